#pragma once

#include "runlog.h"
#include "upstreamsettings.h"

#include <standins/common/network.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Galenarack::StandIns {

class UpstreamConnection;

/// Counters of one upstream since its start or the last reset.
struct UpstreamCounters
{
    std::uint64_t connections = 0;
    std::uint64_t requests = 0; ///< Requests received, except /health and /drain.
    std::uint64_t excess = 0; ///< Requests rejected because every slot was in use.
    std::uint64_t shed = 0; ///< Requests rejected by simulated load shedding (shedShare).
    std::uint64_t late = 0; ///< Requests rejected because their deadline had passed.
    std::uint64_t maxRunning = 0; ///< Largest number of concurrent runs.
};

/// HTTP/1.1 upstream with a configurable number of slots and injectable faults.
class Upstream
{
public:
    /// @param seed seed of the random numbers that draw run durations and injected faults
    Upstream(boost::asio::io_context &context,
             std::string name,
             Tcp::endpoint endpoint,
             UpstreamSettings settings,
             std::uint64_t seed,
             RunLog &runs);

    /// Starts to accept connections and begins the cold-start period.
    void start();

    /// Changes the settings named in `change`. cold_ms restarts the cold-start period, flap_period_ms the flap period.
    void change(const nlohmann::json &change);

    void resetCounters();

    const std::string &name() const
    {
        return this->upstreamName;
    }
    const Tcp::endpoint &address() const
    {
        return this->endpoint;
    }

    /// @return settings, counters and slots in use
    nlohmann::json toJson() const;

private:
    friend class UpstreamConnection;

    boost::asio::awaitable<void> acceptLoop();

    /// @return the settings in force now: without faults in the healthy half of a flap period
    UpstreamSettings effectiveSettings() const;

    /// Draws a random duration for a run, with the slowdowns that apply to `path` and to the cold start.
    std::chrono::microseconds drawDuration(const UpstreamSettings &settings, std::string_view path);

    /// @return true with the probability `share`
    bool draw(double share);

    /// Marks a free slot as in use, in round-robin order.
    /// @return the slot, or nothing when all are in use
    std::optional<std::size_t> acquireSlot();

    boost::asio::io_context &context;
    std::string upstreamName;
    Tcp::endpoint endpoint;
    Tcp::acceptor acceptor;
    UpstreamSettings settings;
    std::mt19937_64 random;
    RunLog &runs;
    UpstreamCounters counters;
    std::vector<bool> slotInUse;
    std::size_t nextSlot = 0;
    std::uint64_t running = 0;
    std::chrono::steady_clock::time_point coldSince;
    std::chrono::steady_clock::time_point flapSince;
    std::string lastRequestId; ///< Request id of the last run, sent with responses that are wrong on purpose.
    std::string lastBody; ///< Response body of the last run, sent as a wrong response.
};

} // namespace Galenarack::StandIns
