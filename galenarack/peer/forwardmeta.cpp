#include <galenarack/peer/forwardmeta.h>

#include <galenarack/core/errorkind.h>

namespace Galenarack {

namespace {

constexpr std::string_view fingerprintField = "galenarack-fingerprint";
constexpr std::string_view receivedField = "galenarack-received-ms";
constexpr std::string_view routeClassField = "galenarack-route-class";

std::string_view flagText(bool flag)
{
    return flag ? "1" : "0";
}

absl::Status missing(std::string_view field)
{
    return makeError(ErrorKind::InvalidRequest, "header field " + std::string(field) + " is missing or malformed");
}

bool isSet(const HeaderList &headers, std::string_view field)
{
    return headers.find(field) == "1";
}

std::optional<RequestFingerprint> parseFingerprint(std::string_view text)
{
    constexpr std::size_t half = 16;
    if (text.size() != 2 * half) {
        return std::nullopt;
    }
    const auto high = fromHex(text.substr(0, half));
    const auto low = fromHex(text.substr(half));
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
    const auto received = headers.findNumber(receivedField);
    const auto expiry = headers.findNumber(PeerHeader::expiryMs);
    if (!id) {
        return missing(PeerHeader::requestId);
    }
    if (!addressedTo) {
        return missing(PeerHeader::incarnation);
    }
    if (!received || !expiry) {
        return missing(PeerHeader::expiryMs);
    }
    meta.id = *id;
    meta.addressedTo = *addressedTo;
    meta.receivedMs = *received;
    meta.expiryMs = *expiry;
    meta.account = headers.find(PeerHeader::account).value_or("");
    meta.upstream = headers.find(PeerHeader::upstream).value_or("");
    meta.revision = static_cast<std::uint64_t>(headers.findNumber(PeerHeader::revision).value_or(0));
    meta.routeClass = static_cast<std::uint32_t>(headers.findNumber(routeClassField).value_or(0));
    meta.repeatable = isSet(headers, PeerHeader::repeatable);
    meta.insist = isSet(headers, PeerHeader::insist);
    meta.mayQueue = isSet(headers, PeerHeader::mayQueue);
    meta.serviceMedianUs = headers.findNumber(PeerHeader::serviceMedianUs).value_or(0);
    if (const auto text = headers.find(PeerHeader::key)) {
        meta.key = IdempotencyKey::parse(*text);
        if (!meta.key) {
            return missing(PeerHeader::key);
        }
    }
    if (!meta.repeatable) {
        const auto fingerprint = parseFingerprint(headers.find(fingerprintField).value_or(""));
        if (!fingerprint) {
            return missing(fingerprintField);
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
