#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// Log line of a request.
struct TraceLine
{
    std::string log; ///< Name of the log that contains the line.
    std::int64_t timeMs = 0; ///< Time of the line in milliseconds since the Unix epoch, by the clock of the node that wrote it.
    nlohmann::ordered_json fields; ///< JSON object of the line.

    /// @return the value of a field as text; empty when the line has no such field
    std::string text(std::string_view field) const;
};

/// Collects the log lines of one request from the logs of several nodes, and derives why the request ended as it did.
///
/// The clocks of VMs differ, so lines of different nodes are in causal order: the end of a run at a home precedes the line of
/// the ingress that receives its result.
class RequestTrace
{
public:
    explicit RequestTrace(std::string requestId);

    /// Reads the lines of one log that have the request id. Text before the JSON object of a line is ignored, and so are lines
    /// without a JSON object.
    /// @param log name of the log, for TraceLine::log
    void read(const std::string &log, std::istream &input);

    /// @return the lines in causal order; valid until the next read()
    const std::vector<TraceLine> &orderedLines();

    /// @return minimum time by which the clock of the line's node is ahead of the clock of the ingress, in milliseconds; 0 when
    ///         the times of the lines are consistent
    std::int64_t skewMs(const TraceLine &line) const;

    /// @return one-line explanation of the outcome of the request
    std::string cause() const;

private:
    std::vector<TraceLine>::const_iterator finalLine() const;
    const TraceLine *ingressLineFor(const TraceLine &run) const;

    std::string requestId;
    std::vector<TraceLine> lines;
};

} // namespace Galenarack
