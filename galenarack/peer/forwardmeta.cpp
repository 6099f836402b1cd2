#include <galenarack/peer/forwardmeta.h>

#include <galenarack/core/errorkind.h>

#include <array>
#include <limits>
#include <utility>

namespace Galenarack {

namespace {

constexpr std::string_view fingerprintField = "galenarack-fingerprint";
constexpr std::string_view receivedField = "galenarack-received-ms";
constexpr std::string_view routeClassField = "galenarack-route-class";

std::string_view flagText(bool flag)
{
    return flag ? "1" : "0";
}

absl::Status fieldError(std::string_view field)
{
    return makeError(ErrorKind::InvalidRequest, "header field " + std::string(field) + " is missing or malformed");
}

/// Largest accepted number. A larger time in milliseconds overflows when it is converted to microseconds.
constexpr std::int64_t maxNumber = std::numeric_limits<std::int64_t>::max() / 1000;

/// Reads a number from 0 to maxNumber into `number`.
/// @return whether the field is present and well-formed
template<typename Number>
bool readNumber(const HeaderList &headers, std::string_view field, Number &number)
{
    const auto value = headers.findNumber(field);
    if (!value || *value < 0 || *value > maxNumber || !std::in_range<Number>(*value)) {
        return false;
    }
    number = static_cast<Number>(*value);
    return true;
}

/// Reads "1" or "0" into `flag`.
/// @return whether the field is present and well-formed
bool readFlag(const HeaderList &headers, std::string_view field, bool &flag)
{
    const auto value = headers.find(field);
    flag = value == "1";
    return flag || value == "0";
}

/// Reads a text, which may be empty, into `text`.
/// @return whether the field is present
bool readText(const HeaderList &headers, std::string_view field, std::string &text)
{
    const auto value = headers.find(field);
    text = value.value_or("");
    return value.has_value();
}

std::optional<RequestFingerprint> parseFingerprint(std::string_view text)
{
    constexpr std::size_t wordDigits = 16;
    if (text.size() != 2 * wordDigits) {
        return std::nullopt;
    }
    const auto high = fromHex(text.substr(0, wordDigits));
    const auto low = fromHex(text.substr(wordDigits));
    if (!high || !low) {
        return std::nullopt;
    }
    return RequestFingerprint{*high, *low};
}

} // namespace

void ForwardMeta::appendTo(HeaderList &headers) const
{
    headers.add(PeerHeader::requestId, this->id.toString());
    headers.add(PeerHeader::incarnation, this->addressedTo.toString());
    headers.add(receivedField, std::to_string(this->receivedMs));
    headers.add(PeerHeader::expiryMs, std::to_string(this->expiryMs));
    headers.add(PeerHeader::account, this->account);
    headers.add(PeerHeader::upstream, this->upstream);
    headers.add(PeerHeader::revision, std::to_string(this->revision));
    headers.add(routeClassField, std::to_string(this->routeClass));
    headers.add(PeerHeader::repeatable, flagText(this->repeatable));
    headers.add(PeerHeader::insist, flagText(this->insist));
    headers.add(PeerHeader::mayQueue, flagText(this->mayQueue));
    if (this->key) {
        headers.add(PeerHeader::key, this->key->toString());
    }
    if (!this->repeatable) {
        headers.add(fingerprintField, toHex(this->fingerprint.high) + toHex(this->fingerprint.low));
    }
    if (this->serviceMedianUs > 0) {
        headers.add(PeerHeader::serviceMedianUs, std::to_string(this->serviceMedianUs));
    }
}

absl::StatusOr<ForwardMeta> ForwardMeta::fromHeaders(const HeaderList &headers)
{
    ForwardMeta meta;
    const auto id = RequestId::fromString(headers.find(PeerHeader::requestId).value_or(""));
    const auto addressedTo = Incarnation::fromString(headers.find(PeerHeader::incarnation).value_or(""));
    if (!id) {
        return fieldError(PeerHeader::requestId);
    }
    if (!addressedTo) {
        return fieldError(PeerHeader::incarnation);
    }
    meta.id = *id;
    meta.addressedTo = *addressedTo;
    const std::array<std::pair<std::string_view, bool>, 9> fields = {{
        {receivedField, readNumber(headers, receivedField, meta.receivedMs)},
        {PeerHeader::expiryMs, readNumber(headers, PeerHeader::expiryMs, meta.expiryMs)},
        {PeerHeader::account, readText(headers, PeerHeader::account, meta.account)},
        {PeerHeader::upstream, readText(headers, PeerHeader::upstream, meta.upstream)},
        {PeerHeader::revision, readNumber(headers, PeerHeader::revision, meta.revision)},
        {routeClassField, readNumber(headers, routeClassField, meta.routeClass)},
        {PeerHeader::repeatable, readFlag(headers, PeerHeader::repeatable, meta.repeatable)},
        {PeerHeader::insist, readFlag(headers, PeerHeader::insist, meta.insist)},
        {PeerHeader::mayQueue, readFlag(headers, PeerHeader::mayQueue, meta.mayQueue)},
    }};
    for (const auto &[field, isWellFormed] : fields) {
        if (!isWellFormed) {
            return fieldError(field);
        }
    }
    const bool hasMedian = headers.find(PeerHeader::serviceMedianUs).has_value();
    if (hasMedian && !readNumber(headers, PeerHeader::serviceMedianUs, meta.serviceMedianUs)) {
        return fieldError(PeerHeader::serviceMedianUs);
    }
    if (const auto text = headers.find(PeerHeader::key)) {
        meta.key = IdempotencyKey::parse(*text);
        if (!meta.key) {
            return fieldError(PeerHeader::key);
        }
    }
    if (!meta.repeatable) {
        const auto fingerprint = parseFingerprint(headers.find(fingerprintField).value_or(""));
        if (!fingerprint) {
            return fieldError(fingerprintField);
        }
        meta.fingerprint = *fingerprint;
    }
    return meta;
}

LedgerRequest ForwardMeta::toLedgerRequest() const
{
    return LedgerRequest{
        this->id, this->addressedTo, fromMilliseconds(this->receivedMs), fromMilliseconds(this->expiryMs), this->fingerprint, this->key};
}

} // namespace Galenarack
