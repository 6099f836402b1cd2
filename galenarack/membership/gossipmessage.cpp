#include <galenarack/membership/gossipmessage.h>

#include <galenarack/core/errorkind.h>

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <stdexcept>

namespace Galenarack {

namespace {

using Json = nlohmann::json;

// Messages and updates are encoded as arrays, because maps would repeat the names of the fields.
constexpr std::size_t messageFields = 8; ///< Number of fields of a message.
constexpr std::size_t updateFields = 7; ///< Number of fields of an update; one more holds the marks if there are any.
constexpr std::uint8_t leavingBit = 4; ///< Flag of a leaving node, next to the two bits of GossipState.
constexpr std::uint8_t stateMask = 3;

constexpr std::size_t smallIntegerBytes = 5; ///< Maximum encoded size of a 32-bit integer: CBOR head and value.
constexpr std::size_t integerBytes = 9; ///< Maximum encoded size of a 64-bit integer: CBOR head and value.

constexpr std::size_t textBytes(std::string_view text)
{
    return 2 + text.size();
}

std::size_t encodedBound(const UpstreamMark &mark)
{
    return 1 + textBytes(mark.upstream);
}

Json toWire(const MemberUpdate &update)
{
    const auto flags = static_cast<std::uint8_t>(static_cast<std::uint8_t>(update.state) | (update.leaving ? leavingBit : 0));
    Json wire = Json::array(
        {update.name, update.address, update.failureDomain, update.incarnation.value, update.counter, flags, update.revision});
    if (!update.marks.empty()) {
        Json marks = Json::array();
        for (const UpstreamMark &mark : update.marks) {
            marks.push_back(static_cast<std::uint8_t>(mark.kind));
            marks.push_back(mark.upstream);
        }
        wire.push_back(std::move(marks));
    }
    return wire;
}

void require(bool condition, const char *what)
{
    if (!condition) {
        throw std::invalid_argument(what);
    }
}

std::string nameFrom(const Json &wire)
{
    auto name = wire.get<std::string>();
    require(isGossipName(name), "malformed name");
    return name;
}

std::string optionalNameFrom(const Json &wire)
{
    auto name = wire.get<std::string>();
    require(name.empty() || isGossipName(name), "malformed name");
    return name;
}

std::uint64_t numberFrom(const Json &wire, std::uint64_t largest)
{
    require(wire.is_number_unsigned() && wire.get<std::uint64_t>() <= largest, "number out of range");
    return wire.get<std::uint64_t>();
}

std::vector<UpstreamMark> marksFrom(const Json &wire)
{
    require(wire.is_array() && wire.size() % 2 == 0, "malformed upstream marks");
    std::vector<UpstreamMark> marks;
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < wire.size(); i += 2) {
        const auto kind = numberFrom(wire[i], static_cast<std::uint64_t>(UpstreamMarkKind::Leaving));
        marks.push_back(UpstreamMark{nameFrom(wire[i + 1]), static_cast<UpstreamMarkKind>(kind)});
        bytes += encodedBound(marks.back());
    }
    require(bytes <= maxMarksBytes, "too many upstream marks");
    return marks;
}

MemberUpdate updateFrom(const Json &wire)
{
    require(wire.is_array() && (wire.size() == updateFields || wire.size() == updateFields + 1), "malformed update");
    MemberUpdate update;
    update.name = nameFrom(wire[0]);
    update.address = wire[1].get<std::string>();
    require(isGossipAddress(update.address), "malformed address");
    update.failureDomain = nameFrom(wire[2]);
    update.incarnation.value = numberFrom(wire[3], std::numeric_limits<std::uint64_t>::max());
    require(update.incarnation.value != 0, "incarnation is zero");
    update.counter = static_cast<std::uint32_t>(numberFrom(wire[4], std::numeric_limits<std::uint32_t>::max()));
    const auto flags = static_cast<std::uint8_t>(numberFrom(wire[5], leavingBit | stateMask));
    require((flags & stateMask) <= static_cast<std::uint8_t>(GossipState::Gone), "unknown liveness state");
    update.state = static_cast<GossipState>(flags & stateMask);
    update.leaving = (flags & leavingBit) != 0;
    update.revision = numberFrom(wire[6], std::numeric_limits<std::uint64_t>::max());
    if (wire.size() > updateFields) {
        update.marks = marksFrom(wire[updateFields]);
    }
    return update;
}

GossipMessage messageFrom(const Json &wire, std::string_view fleet)
{
    require(wire.is_array() && !wire.empty() && wire[0].is_number_unsigned(), "not a gossip message");
    require(wire[0].get<std::uint64_t>() == gossipProtocolVersion, "different protocol version");
    require(wire.size() == messageFields, "wrong number of fields");
    GossipMessage message;
    message.fleet = nameFrom(wire[1]);
    require(message.fleet == fleet, "different fleet");
    message.kind = static_cast<GossipKind>(numberFrom(wire[2], static_cast<std::uint64_t>(GossipKind::IndirectProbe)));
    message.sequence = static_cast<std::uint32_t>(numberFrom(wire[3], std::numeric_limits<std::uint32_t>::max()));
    message.sender = updateFrom(wire[4]);
    require(message.sender.state == GossipState::Live, "sender does not report itself as live");
    message.target = optionalNameFrom(wire[5]);
    require(message.kind != GossipKind::IndirectProbe || !message.target.empty(), "indirect probe without a target");
    if (!wire[6].is_null()) {
        message.syncAfter = optionalNameFrom(wire[6]);
    }
    require(wire[7].is_array(), "malformed updates");
    for (const Json &update : wire[7]) {
        message.updates.push_back(updateFrom(update));
    }
    return message;
}

} // namespace

bool isGossipName(std::string_view name)
{
    const auto isAllowed = [](char c) {
        return c > ' ' && c < '\x7f' && c != '"' && c != '\\';
    };
    return !name.empty() && name.size() <= maxNameBytes && std::ranges::all_of(name, isAllowed);
}

bool isGossipAddress(std::string_view address)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(address, error);
    return !error && address.find('%') == std::string_view::npos;
}

std::size_t encodedBound(const MemberUpdate &update)
{
    constexpr std::size_t headBytes = 1 + 3; // Heads of the array and of the array of marks.
    std::size_t bytes = headBytes + textBytes(update.name) + textBytes(update.address) + textBytes(update.failureDomain);
    bytes += integerBytes + smallIntegerBytes + 1 + integerBytes;
    for (const UpstreamMark &mark : update.marks) {
        bytes += encodedBound(mark);
    }
    return bytes;
}

std::size_t encodedBound(const GossipMessage &message)
{
    constexpr std::size_t headBytes = 1 + 1 + 1 + 3; // Head of the array, version, kind, and head of the array of updates.
    std::size_t bytes = headBytes + textBytes(message.fleet) + smallIntegerBytes + encodedBound(message.sender);
    bytes += textBytes(message.target) + 2 + maxNameBytes; // Room for syncAfter, which may be set later.
    for (const MemberUpdate &update : message.updates) {
        bytes += encodedBound(update);
    }
    return bytes;
}

std::vector<UpstreamMark> fittingMarks(std::vector<UpstreamMark> marks)
{
    std::erase_if(marks, [](const UpstreamMark &mark) {
        return !isGossipName(mark.upstream);
    });
    std::ranges::stable_sort(marks, std::ranges::greater(), &UpstreamMark::kind);
    std::size_t bytes = 0;
    const auto firstOver = std::ranges::find_if(marks, [&bytes](const UpstreamMark &mark) {
        bytes += encodedBound(mark);
        return bytes > maxMarksBytes;
    });
    marks.erase(firstOver, marks.end());
    return marks;
}

std::string encodeGossip(const GossipMessage &message)
{
    Json updates = Json::array();
    for (const MemberUpdate &update : message.updates) {
        updates.push_back(toWire(update));
    }
    const Json after = message.syncAfter ? Json(*message.syncAfter) : Json();
    const Json wire = Json::array({gossipProtocolVersion,
                                   message.fleet,
                                   static_cast<std::uint8_t>(message.kind),
                                   message.sequence,
                                   toWire(message.sender),
                                   message.target,
                                   after,
                                   std::move(updates)});
    std::string datagram;
    Json::to_cbor(wire, datagram);
    return datagram;
}

absl::StatusOr<GossipMessage> decodeGossip(std::string_view datagram, std::string_view fleet)
{
    if (datagram.size() > maxGossipBytes) {
        return makeError(ErrorKind::InvalidRequest, "datagram exceeds the size limit");
    }
    try {
        return messageFrom(Json::from_cbor(datagram.begin(), datagram.end()), fleet);
    } catch (const Json::exception &) {
        // The text of the exception is not used, because it quotes data of the datagram.
        return makeError(ErrorKind::InvalidRequest, "malformed CBOR or field of a wrong type");
    } catch (const std::invalid_argument &error) {
        return makeError(ErrorKind::InvalidRequest, error.what());
    }
}

} // namespace Galenarack
