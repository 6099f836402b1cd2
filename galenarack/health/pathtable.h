#pragma once

#include <galenarack/core/clock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// State of the path from an ingress to one peer.
enum class PathState : std::uint8_t {
    Good, ///< No evidence of a fault.
    Degraded, ///< Round trips are much slower than the path's baseline, or a PING is overdue.
    Silent, ///< No frame for 1.5 s after a PING, or a PING unanswered for 4 s; new connections may still work.
    Cut, ///< Connections to the peer cannot be opened.
    Frozen, ///< Connections open, but the peer's process does not respond.
};

/// @return the lower-case name of a state, e.g. "silent"
std::string_view pathStateName(PathState state);

/// Row of one peer at the ingress.
struct PathRow
{
    std::string peer; ///< Name of the peer's VM.
    PathState state = PathState::Good; ///< State at the last tick of the path system.
    bool connected = false; ///< Whether a connection is open and its hello was answered.
    bool hasReceived = false; ///< Whether any frame was received from the peer.
    bool connectFailed = false; ///< Whether an attempt to connect failed and no hello was answered since.
    bool helloUnanswered = false; ///< Whether a connection's hello was not answered in time and none was answered since.
    std::optional<TimePoint> pingSince; ///< Time of the oldest unanswered PING.
    TimePoint lastReceived; ///< When the last frame was received.
    TimePoint since; ///< Start of the present state.
    float mean = 0.0F; ///< Baseline of the round trip, as log of microseconds.
    float variance = 0.1F; ///< Variance of the log round trip in the baseline.
    float evidence = 0.0F; ///< CUSUM of log-likelihood ratios for a slow path; at least 0.
    std::uint32_t samples = 0; ///< Number of round trips in the baseline.
};

/// Paths of an ingress, one row per peer.
class PathTable
{
public:
    /// Adds a peer unless it is present. @return the index of its row, which stays valid
    std::uint32_t add(std::string_view peer, TimePoint now);

    /// @return the index of the peer's row, or nothing if it is unknown
    std::optional<std::uint32_t> find(std::string_view peer) const;

    /// Records that the peer answered the hello on a new connection.
    void connected(std::uint32_t row, TimePoint now);

    /// Records a failed attempt to open a connection.
    void connectFailed(std::uint32_t row, TimePoint now);

    /// Records that a connection opened but its hello was not answered in time.
    void helloUnanswered(std::uint32_t row, TimePoint now);

    /// Records that the last open connection closed in order, which is no evidence about the path.
    void disconnected(std::uint32_t row, TimePoint now);

    /// Records that a PING or heartbeat was sent.
    void pingSent(std::uint32_t row, TimePoint now);

    /// Records that the PING was answered after `roundTrip`.
    void pingAnswered(std::uint32_t row, Duration roundTrip, TimePoint now);

    /// Records that a frame of any kind was received.
    void frameReceived(std::uint32_t row, TimePoint now);

    /// @return whether requests can be sent on the path; false for Silent, Cut and Frozen
    bool isReachable(std::uint32_t row) const;

    /// @return the factor on the traffic share of upstreams behind the path: 1, or 0.2 while degraded
    float weight(std::uint32_t row) const;

    std::vector<PathRow> rows;
};

} // namespace Galenarack
