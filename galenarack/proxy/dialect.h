#pragma once

#include <algorithm>
#include <string>
#include <vector>

namespace Galenarack {

/// Names of the header fields that the callers and upstreams of a deployment use, in lower case, and statuses with a special meaning.
struct Dialect
{
    /// @return whether a response with this status tells a caller that the request has not run and never will
    bool impliesNotRun(unsigned status) const
    {
        return std::ranges::find(this->notRunStatuses, status) != this->notRunStatuses.end();
    }

    std::string requestId; ///< Request id, chosen by the caller and echoed by upstreams.
    std::string remainingMs; ///< Time for which the sender waits for the response, in milliseconds.
    std::string upstreamSignature; ///< Present on every response of an upstream.
    std::string requiredUpstream; ///< Id of the upstream that the request is for; an upstream with another id rejects it.
    std::string upstreamId; ///< Id of the upstream, on its responses to health checks.
    std::string notRun; ///< Present on a response of an upstream that has not run the request.
    std::string requestLimit; ///< Requests per second that the upstream of a response takes from all nodes together.
    std::string leaving; ///< "1" on each response of an upstream that is shutting down.
    std::string callerService; ///< Service of the VM that the request comes from; set by the node.
    std::vector<unsigned> notRunStatuses; ///< Statuses from which callers conclude that a request has not run and never will.
};

} // namespace Galenarack
