#pragma once

#include <galenarack/core/clock.h>

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace Galenarack {

/// What one upstream says about itself in the fleet's registry.
struct UpstreamEntry
{
    std::string id; ///< Names one upstream; a request can insist on it.
    std::string service;
    boost::asio::ip::tcp::endpoint address; ///< On the VM of its home.
    std::string failureDomain;
    std::uint32_t slots = 1; ///< Requests that it runs at the same time.
    bool draining = false; ///< It leaves and must get no new work.
    Duration coldRemaining{}; ///< It is slow for this long after the entry was written.
    std::int64_t startTimeMs = 0; ///< Unix time of its start; an upstream that starts again under its id has another one.
    std::uint64_t revision = 0; ///< Of the registry, when the entry was written; orders all entries.
};

} // namespace Galenarack
