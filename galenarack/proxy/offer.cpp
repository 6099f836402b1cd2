#include <galenarack/proxy/offer.h>

#include <galenarack/core/errorkind.h>
#include <galenarack/core/text.h>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <vector>

namespace Galenarack {

namespace {

constexpr std::string_view offerField = "galenarack-offer";
constexpr std::string_view originField = "galenarack-origin"; ///< Same value on all offers of a connection, so HPACK can index it.
constexpr std::string_view routeField = "galenarack-route";
constexpr std::string_view reportField = "galenarack-report";
constexpr std::string_view revisionField = "galenarack-revision"; ///< Changes seldom, so HPACK can index it.
constexpr std::string_view limitField = "galenarack-limit"; ///< Only present while an upstream names a limit.
constexpr std::string_view leavingField = "galenarack-leaving"; ///< Only present once an upstream has said that it leaves.
constexpr std::size_t offerParts = 8;
constexpr std::size_t reportParts = 9;
constexpr std::size_t limitParts = 2;
constexpr std::size_t leavingParts = 2;
constexpr double milli = 1000;

constexpr std::array<std::string_view, 12> outcomeNames = {"answered",
                                                           "busy",
                                                           "ejected",
                                                           "leaving",
                                                           "expired",
                                                           "rejected",
                                                           "unconnected",
                                                           "broken",
                                                           "timed-out",
                                                           "repeat-limit",
                                                           "withdrawn",
                                                           "ambiguous"};

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Reads the space-separated parts of a header field in order. After a malformed part, all values are empty or zero.
class PartReader
{
public:
    PartReader(std::string_view text, std::size_t count)
        : parts(absl::StrSplit(toAbsl(text), ' '))
        , valid(this->parts.size() == count)
    {
    }

    std::string text()
    {
        return this->valid ? std::string(this->parts[this->next++]) : std::string();
    }

    std::int64_t number()
    {
        std::int64_t value = 0;
        this->valid = this->valid && absl::SimpleAtoi(this->parts[this->next++], &value) && value >= 0;
        return this->valid ? value : 0;
    }

    Duration duration()
    {
        return std::chrono::milliseconds(this->number());
    }

    bool isValid() const
    {
        return this->valid;
    }

private:
    std::vector<absl::string_view> parts;
    std::size_t next = 0;
    bool valid;
};

/// Stands for the id of a request that has none.
constexpr std::string_view noRequestId = "-";

/// @return the id as one part of a header field; callers may choose any characters
std::string encodeRequestId(std::string_view id)
{
    return id.empty() ? std::string(noRequestId) : id == noRequestId ? "%2D" : percentEncoded(id);
}

std::string decodeRequestId(std::string_view part)
{
    return part == noRequestId ? std::string() : percentDecoded(part);
}

/// Bits of the flags in an offer. They are sent between nodes, so their values must not change.
constexpr std::int64_t idempotentFlag = 1;
constexpr std::int64_t allowUnhealthyFlag = 4;
constexpr std::int64_t allowTrialFlag = 8;
constexpr std::int64_t repeatFlag = 16;

/// Appends a position as "revision", or "revision era" once the registry names eras.
void appendPosition(HeaderList &headers, const RegistryPosition &position)
{
    headers.add(revisionField, position.era == 0 ? absl::StrCat(position.revision) : absl::StrCat(position.revision, " ", position.era));
}

/// @return position of the sender; revision 0 when the field is missing or malformed, as from nodes of an earlier release
RegistryPosition readPosition(const HeaderList &headers)
{
    const std::vector<absl::string_view> parts = absl::StrSplit(toAbsl(headers.find(revisionField).value_or("")), ' ');
    RegistryPosition position;
    const bool isValid = absl::SimpleAtoi(parts.front(), &position.revision)
                         && (parts.size() == 1 || (parts.size() == 2 && absl::SimpleAtoi(parts.back(), &position.era)));
    return isValid ? position : RegistryPosition();
}

/// Appends a limit in requests per 1000 s, and the time until it has room in milliseconds.
void appendLimit(HeaderList &headers, std::optional<double> limit, Duration wait)
{
    if (limit) {
        headers.add(limitField, absl::StrCat(static_cast<std::int64_t>(*limit * milli), " ", toMs(wait)));
    }
}

/// @param wait set to the time until the limit has room
/// @return the limit in requests per second; nothing when the field is missing or malformed
std::optional<double> readLimit(const HeaderList &headers, Duration &wait)
{
    PartReader reader(headers.find(limitField).value_or(""), limitParts);
    const double limit = static_cast<double>(reader.number()) / milli;
    wait = reader.duration();
    return reader.isValid() ? std::optional(limit) : std::nullopt;
}

} // namespace

std::string_view offerOutcomeName(OfferOutcome outcome)
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

void Offer::appendTo(HeaderList &headers) const
{
    const std::int64_t flags = (this->idempotent ? idempotentFlag : 0) | (this->allowUnhealthy ? allowUnhealthyFlag : 0)
                               | (this->allowTrial ? allowTrialFlag : 0) | (this->isRepeat ? repeatFlag : 0);
    headers.add(offerField,
                absl::StrCat(this->upstream,
                             " ",
                             encodeRequestId(this->requestId),
                             " ",
                             flags,
                             " ",
                             this->priority,
                             " ",
                             toMs(this->remaining),
                             " ",
                             toMs(this->target),
                             " ",
                             toMs(this->expected),
                             " ",
                             toMs(this->maxQueueWait)));
    // Operators choose the names of routes. A name that no header field can hold is left out: the home then has no estimate for
    // this route alone.
    if (std::ranges::all_of(this->route, absl::ascii_isprint)) {
        headers.add(routeField, this->route);
    }
    headers.add(originField, absl::StrCat(this->callerService, " ", this->failureDomain));
    appendPosition(headers, this->registryPosition);
    appendLimit(headers, this->knownLimit, Duration::zero());
}

absl::StatusOr<Offer> Offer::fromHeaders(const HeaderList &headers)
{
    PartReader offerReader(headers.find(offerField).value_or(""), offerParts);
    PartReader originReader(headers.find(originField).value_or(""), 2);
    Offer offer;
    offer.upstream = offerReader.text();
    offer.requestId = decodeRequestId(offerReader.text());
    const std::int64_t flags = offerReader.number();
    offer.idempotent = (flags & idempotentFlag) != 0;
    offer.allowUnhealthy = (flags & allowUnhealthyFlag) != 0;
    offer.allowTrial = (flags & allowTrialFlag) != 0;
    offer.isRepeat = (flags & repeatFlag) != 0;
    offer.priority = static_cast<std::uint32_t>(offerReader.number());
    offer.remaining = offerReader.duration();
    offer.target = offerReader.duration();
    offer.expected = offerReader.duration();
    offer.maxQueueWait = offerReader.duration();
    offer.route = headers.find(routeField).value_or("");
    offer.callerService = originReader.text();
    offer.failureDomain = originReader.text();
    offer.registryPosition = readPosition(headers);
    Duration unused{};
    offer.knownLimit = readLimit(headers, unused);
    if (!offerReader.isValid() || !originReader.isValid()) {
        return makeError(ErrorKind::InvalidRequest, "offer from a peer has a missing or malformed header field");
    }
    return offer;
}

void OfferReport::appendTo(HeaderList &headers) const
{
    constexpr double percent = 100;
    headers.add(reportField,
                absl::StrCat(static_cast<int>(this->outcome),
                             " ",
                             this->load.running,
                             " ",
                             this->load.waiting,
                             " ",
                             this->load.slots,
                             " ",
                             static_cast<int>(this->load.grayProbability * percent),
                             " ",
                             static_cast<int>(this->load.slowness * percent),
                             " ",
                             static_cast<int>(this->load.shedShare * percent),
                             " ",
                             toMs(this->runDuration),
                             " ",
                             toMs(this->retryAfter)));
    appendPosition(headers, this->registryPosition);
    appendLimit(headers, this->load.limit, this->load.limitWait);
    if (this->leaving) {
        headers.add(leavingField, absl::StrCat(this->leaving->startTimeMs, " ", this->leaving->sentMs));
    }
}

std::optional<OfferReport> OfferReport::fromHeaders(const HeaderList &headers)
{
    constexpr double percent = 100;
    PartReader reader(headers.find(reportField).value_or(""), reportParts);
    OfferReport report;
    const std::int64_t outcome = reader.number();
    report.load.running = static_cast<std::uint32_t>(reader.number());
    report.load.waiting = static_cast<std::uint32_t>(reader.number());
    report.load.slots = static_cast<std::uint32_t>(reader.number());
    report.load.grayProbability = static_cast<double>(reader.number()) / percent;
    report.load.slowness = static_cast<double>(reader.number()) / percent;
    report.load.shedShare = static_cast<double>(reader.number()) / percent;
    report.runDuration = reader.duration();
    report.retryAfter = reader.duration();
    if (!reader.isValid() || outcome >= static_cast<std::int64_t>(outcomeNames.size())) {
        return std::nullopt;
    }
    report.outcome = static_cast<OfferOutcome>(outcome);
    report.registryPosition = readPosition(headers);
    report.load.limit = readLimit(headers, report.load.limitWait);
    PartReader leavingReader(headers.find(leavingField).value_or(""), leavingParts);
    const LeavingMark mark{leavingReader.number(), leavingReader.number()};
    report.leaving = leavingReader.isValid() ? std::optional(mark) : std::nullopt;
    return report;
}

} // namespace Galenarack
