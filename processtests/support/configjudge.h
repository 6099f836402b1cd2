#pragma once

#include "platformfleet.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Galenarack {

/// Judges from the outside whether nodes handle requests as a configuration that may be in force allows.
class ConfigJudge
{
public:
    using Clock = std::chrono::steady_clock;
    using Time = Clock::time_point;

    /// Longest time from the acknowledgement of a version until it is in force at nodes in touch.
    static constexpr auto applyTime = std::chrono::milliseconds(2000);
    /// A node is in touch when neither it nor the registry had a fault for this time.
    static constexpr auto settleTime = std::chrono::milliseconds(3000);
    /// Time after the end of a response from which the same node may not act on an older version.
    static constexpr auto rollbackSlack = std::chrono::milliseconds(250);

    /// One request as seen by its caller and the upstreams.
    struct Observation
    {
        std::string id;
        unsigned node = 0; ///< Node that received the request.
        unsigned nodeStarts = 0; ///< Number of starts of that node's process before the request; the same at its end.
        std::string prefix; ///< Prefix that begins the path.
        Time sent;
        Time ended;
        unsigned status = 0; ///< HTTP status, or 0 without a complete response.
        std::vector<std::string> services; ///< Services of the upstreams that ran the request.
        bool isInTouch = false; ///< Whether the node was in touch when the request was sent.
    };

    /// Records a version in the order of publication; it is acknowledged at once.
    void addVersion(std::span<const ConfiguredRoute> routes, Time acknowledged);

    /// Checks a request that has ended.
    /// @return description of the violation, or nothing
    std::optional<std::string> judge(const Observation &seen);

    /// @return number of requests that were sent to nodes in touch and whose handling shows a version
    std::size_t judgedCount() const
    {
        return this->judged;
    }

private:
    struct Version
    {
        std::map<std::string, std::vector<std::string>> services; ///< Services by prefix.
        Time acknowledged;
    };

    /// Oldest version that a node may act on, as seen at a time.
    struct SeenVersion
    {
        Time at;
        std::size_t version = 0;
    };

    /// @return whether a version allows what was seen
    bool allows(const Version &version, const Observation &seen) const;

    /// @return index of the newest version acknowledged by `time`, 0 if there is none
    std::size_t newestAt(Time time) const;

    std::string describe(const char *rule, const Observation &seen, std::size_t oldest, std::size_t newest) const;

    std::vector<Version> versions;
    std::map<std::pair<unsigned, unsigned>, std::vector<SeenVersion>> seenVersions; ///< By node and its number of starts.
    std::size_t judged = 0;
};

} // namespace Galenarack
