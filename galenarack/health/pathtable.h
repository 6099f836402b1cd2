#pragma once

#include <galenarack/core/clock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// What an ingress knows about its own path to one peer.
enum class PathState : std::uint8_t {
    Good,
    Degraded, ///< Much slower than its own past, or a PING is overdue.
    Silent, ///< A PING stayed unanswered for 1.5 s; connections that open may still work.
    Cut, ///< No connection can be opened.
    Frozen, ///< Connections open but the peer's process does not reply.
};

/// @return lower-case name, e.g. "silent"
std::string_view pathStateName(PathState state);

/// The ingress's row of one peer.
struct PathRow
{
    std::string peer; ///< Name of the VM.
    PathState state = PathState::Good;
    bool connected = false;
    bool hasReceived = false;
    bool connectFailed = false; ///< The last attempt to connect failed and none succeeded since.
    bool helloUnanswered = false; ///< A connection opened but its hello was not answered, and none was since.
    std::optional<TimePoint> pingSince; ///< Oldest unanswered PING.
    TimePoint lastReceived;
    TimePoint since; ///< Start of the present state.
    float mean = 0.0F; ///< Log round trip in microseconds, own past.
    float variance = 0.1F;
    float evidence = 0.0F; ///< CUSUM of log-likelihood ratios for a slow path.
    std::uint32_t samples = 0;
};

/// The ingress's rows, one per peer.
class PathTable
{
public:
    /// Adds a peer, or finds it. @return its index, which stays valid
    std::uint32_t add(std::string_view peer, TimePoint now);

    /// @return the row of the peer, or nothing
    std::optional<std::uint32_t> find(std::string_view peer) const;

    /// The peer answered the hello on a new connection.
    void connected(std::uint32_t row, TimePoint now);

    /// An attempt to open a connection failed.
    void connectFailed(std::uint32_t row, TimePoint now);

    /// A connection opened, but its hello was not answered in time.
    void helloUnanswered(std::uint32_t row, TimePoint now);

    /// The last open connection closed in order; says nothing about the path.
    void disconnected(std::uint32_t row, TimePoint now);

    /// A PING or heartbeat was sent.
    void pingSent(std::uint32_t row, TimePoint now);

    /// The PING was answered after `roundTrip`.
    void pingAnswered(std::uint32_t row, Duration roundTrip, TimePoint now);

    /// Any frame arrived.
    void frameReceived(std::uint32_t row, TimePoint now);

    /// @return whether requests can be sent on the path; false for Silent, Cut and Frozen
    bool isReachable(std::uint32_t row) const;

    /// @return share of a path for selection: 1, or less while degraded
    float weight(std::uint32_t row) const;

    std::vector<PathRow> rows;
};

} // namespace Galenarack
