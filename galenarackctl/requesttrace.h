#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// One log line that belongs to a request.
struct TraceLine
{
    std::string log; ///< Name of the log it stands in.
    std::int64_t timeMs = 0; ///< By the clock of the node that wrote it, since the epoch.
    nlohmann::ordered_json fields;

    /// @return the text of a field, or an empty text
    std::string text(std::string_view field) const;
};

/// The story of one request from the logs of many nodes.
///
/// Clocks of VMs differ, so lines of different nodes are ordered by cause: the end of a run at a home comes before the line of
/// the ingress that takes its result.
class RequestTrace
{
public:
    explicit RequestTrace(std::string requestId);

    /// Takes the lines of one log that name the request. Text before the JSON object of a line is ignored, and so are lines
    /// without one.
    void read(const std::string &log, std::istream &input);

    /// @return the lines by cause; valid until the next read()
    const std::vector<TraceLine> &orderedLines();

    /// @return least time by which the clock of a line's node is ahead of that of the ingress, in milliseconds; 0 when the
    ///         lines agree
    std::int64_t skewMs(const TraceLine &line) const;

    /// @return why the request ended as it did, in one line
    std::string cause() const;

private:
    std::vector<TraceLine>::const_iterator finalLine() const;
    const TraceLine *ingressLineFor(const TraceLine &run) const;

    std::string requestId;
    std::vector<TraceLine> lines;
};

} // namespace Galenarack
