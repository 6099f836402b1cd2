#pragma once

#include "testhttp.h"

#include <string>
#include <vector>

namespace Galenarack {

/// Checks what the fleet told its callers against the runs that the upstreams counted.
class GuaranteeChecker
{
public:
    /// Notes the reply to a request; `key` is empty when the request had none.
    void addReply(const TestReply &reply, const std::string &key);

    /// Notes a report of standin-load with --lists.
    void addLoadReport(const nlohmann::json &report);

    /// @param runs GET /runs of the upstreams
    /// @return broken promises of P2, P3 and P4, one a line; empty when all were kept
    std::string violations(const nlohmann::json &runs) const;

private:
    std::vector<std::string> notRunRequestIds;
    std::vector<std::string> answeredKeys;
    std::uint64_t mismatchedResponses = 0;
    std::uint64_t cutResponses = 0;
};

} // namespace Galenarack
