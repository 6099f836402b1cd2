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
    std::uint64_t requests = 0; ///< All but /health and /drain.
    std::uint64_t excess = 0; ///< Refused because every slot was taken.
    std::uint64_t shed = 0;
    std::uint64_t late = 0; ///< Refused because the deadline had passed.
    std::uint64_t maxRunning = 0;
};

/// HTTP/1.1 upstream with a fixed number of slots and faults on command.
class Upstream
{
public:
    /// @param seed of the spread of durations and of the shares of faults
    Upstream(boost::asio::io_context &context,
             std::string name,
             Tcp::endpoint endpoint,
             UpstreamSettings settings,
             std::uint64_t seed,
             RunLog &runs);

    /// Listens and starts the cold start.
    void start();

    /// Changes the settings; a change of cold_ms starts the cold start again.
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

    /// @return the settings with the faults left out in the healthy half of a flap period
    UpstreamSettings effectiveSettings() const;

    /// Draws the duration of a run.
    std::chrono::microseconds drawDuration(const UpstreamSettings &settings, std::string_view path);

    /// @return true with the probability `share`
    bool draw(double share);

    /// Takes a free slot, in turn; nothing when all are taken.
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
    std::string lastRequestId; ///< Of the last run, for wrong responses.
    std::string lastBody;
};

} // namespace Galenarack::StandIns
