#pragma once

#include "platformfleet.h"
#include "rawupstream.h"

#include <optional>
#include <string>

namespace Galenarack {

/// Two nodes with the platform adapter; the upstream of the second one, which all routes lead to, sends raw bytes.
class RawFleet
{
public:
    static constexpr unsigned nodeCount = 2;

    /// Starts all processes and waits until they are ready.
    RawFleet();

    /// Sends a request and waits for its end.
    /// @param bytes size of the request's body
    StandIns::Exchange send(unsigned node, const std::string &method, const std::string &target, const std::string &id, std::size_t bytes);

    /// Sends requests that get sound answers, so that the upstream is not ejected for those before.
    /// @param name part of the request ids, different for each call
    void restoreHealth(unsigned node, const std::string &name);

    /// Sends a request with a deadline of 4 s.
    /// @param result set when the request has ended
    boost::asio::awaitable<void> exchange(unsigned node,
                                          std::string method,
                                          std::string target,
                                          std::string id,
                                          std::size_t bytes,
                                          std::optional<StandIns::Exchange> &result);

    PlatformFleet fleet;
    RawUpstream upstream;
};

} // namespace Galenarack
