#pragma once

#include <string>

namespace Galenarack {

/// Names of the header fields that callers and upstreams of a deployment use, in lower case.
struct Dialect
{
    std::string requestId; ///< Chosen by the caller; echoed by upstreams.
    std::string remainingMs; ///< How many milliseconds the sender waits for the response.
    std::string upstreamSignature; ///< Every response of an upstream carries it.
    std::string requiredUpstream; ///< An upstream with another id rejects the request.
    std::string notRun; ///< On a response of an upstream that has not run the request.
    std::string callerService; ///< Service of the VM where the request began; set by the node.
};

} // namespace Galenarack
