#include <galenarack/proxy/offer.h>

#include <galenarack/core/errorkind.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <array>
#include <vector>

namespace Galenarack {

namespace {

constexpr std::string_view offerField = "galenarack-offer";
constexpr std::string_view originField = "galenarack-origin"; ///< The same on all offers of a connection, so HPACK indexes it.
constexpr std::string_view reportField = "galenarack-report";
constexpr std::size_t offerParts = 8;
constexpr std::size_t reportParts = 9;

constexpr std::array<std::string_view, 11> endNames
    = {"answered", "busy", "ejected", "leaving", "expired", "rejected", "unconnected", "broken", "timed-out", "repeat-limit", "withdrawn"};

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Reads the parts of a field in order.
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

/// Bits of the flags in an offer.
constexpr std::int64_t idempotentFlag = 1;
constexpr std::int64_t acceptsGrayFlag = 4;
constexpr std::int64_t mayTryFlag = 8;
constexpr std::int64_t repeatFlag = 16;

} // namespace

std::string_view offerEndName(OfferEnd end)
{
    return endNames[static_cast<std::size_t>(end)];
}

void Offer::appendTo(HeaderList &headers) const
{
    const std::int64_t flags = (this->idempotent ? idempotentFlag : 0) | (this->allowUnhealthy ? acceptsGrayFlag : 0)
                               | (this->allowTrial ? mayTryFlag : 0) | (this->isRepeat ? repeatFlag : 0);
    headers.add(offerField,
                absl::StrCat(this->upstream,
                             " ",
                             this->requestId.empty() ? "-" : this->requestId,
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
                             toMs(this->patience)));
    headers.add(originField, absl::StrCat(this->callerService, " ", this->failureDomain));
}

absl::StatusOr<Offer> Offer::fromHeaders(const HeaderList &headers)
{
    PartReader offerReader(headers.find(offerField).value_or(""), offerParts);
    PartReader originReader(headers.find(originField).value_or(""), 2);
    Offer offer;
    offer.upstream = offerReader.text();
    offer.requestId = offerReader.text();
    const std::int64_t flags = offerReader.number();
    offer.idempotent = (flags & idempotentFlag) != 0;
    offer.allowUnhealthy = (flags & acceptsGrayFlag) != 0;
    offer.allowTrial = (flags & mayTryFlag) != 0;
    offer.isRepeat = (flags & repeatFlag) != 0;
    offer.priority = static_cast<std::uint32_t>(offerReader.number());
    offer.remaining = offerReader.duration();
    offer.target = offerReader.duration();
    offer.expected = offerReader.duration();
    offer.patience = offerReader.duration();
    offer.callerService = originReader.text();
    offer.failureDomain = originReader.text();
    if (!offerReader.isValid() || !originReader.isValid()) {
        return makeError(ErrorKind::InvalidRequest, "the offer between nodes is malformed");
    }
    return offer;
}

void OfferReport::appendTo(HeaderList &headers) const
{
    constexpr double percent = 100;
    headers.add(reportField,
                absl::StrCat(static_cast<int>(this->end),
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
                             toMs(this->ran),
                             " ",
                             toMs(this->retryAfter)));
}

std::optional<OfferReport> OfferReport::fromHeaders(const HeaderList &headers)
{
    constexpr double percent = 100;
    PartReader reader(headers.find(reportField).value_or(""), reportParts);
    OfferReport report;
    const std::int64_t end = reader.number();
    report.load.running = static_cast<std::uint32_t>(reader.number());
    report.load.waiting = static_cast<std::uint32_t>(reader.number());
    report.load.slots = static_cast<std::uint32_t>(reader.number());
    report.load.grayProbability = static_cast<double>(reader.number()) / percent;
    report.load.slowness = static_cast<double>(reader.number()) / percent;
    report.load.shedShare = static_cast<double>(reader.number()) / percent;
    report.ran = reader.duration();
    report.retryAfter = reader.duration();
    if (!reader.isValid() || end >= static_cast<std::int64_t>(endNames.size())) {
        return std::nullopt;
    }
    report.end = static_cast<OfferEnd>(end);
    return report;
}

} // namespace Galenarack
