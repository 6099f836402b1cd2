#pragma once

#include "testhttp.h"

#include <string>
#include <vector>

namespace Galenarack {

/// Compares the responses that callers received with the runs that the upstreams recorded, and reports violations of the
/// guarantees P2 (a response is complete, belongs to its request and comes from a run), P3 (work reported as not run has not
/// run) and P4 (work with an idempotency key runs at most once).
class GuaranteeChecker
{
public:
    /// Records the reply to a request. `key` is the idempotency key of the request, or empty.
    void addReply(const TestReply &reply, const std::string &key);

    /// Records the report of a standin-load process that was started with --lists.
    void addLoadReport(const nlohmann::json &report);

    /// @param runs response of the upstream stand-in to GET /runs
    /// @return violations of P2, P3 and P4, one per line; empty when there are none
    std::string violations(const nlohmann::json &runs) const;

private:
    std::vector<std::string> notRunRequestIds;
    std::vector<std::string> answeredKeys;
    std::uint64_t mismatchedResponses = 0;
    std::uint64_t cutResponses = 0;
};

} // namespace Galenarack
