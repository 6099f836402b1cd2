#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/fleet/registryposition.h>

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace Galenarack {

/// Entry of one upstream in the fleet's registry, as the upstream wrote it.
struct UpstreamEntry
{
    std::string id; ///< Unique identifier of the upstream; a request can require it.
    std::string service; ///< Name of the service that the upstream runs.
    boost::asio::ip::tcp::endpoint address; ///< Address and port of the upstream, on the VM of its home.
    std::string failureDomain;
    std::uint32_t slots = 1; ///< Number of requests that the upstream runs at the same time.
    bool draining = false; ///< Whether the upstream is shutting down and must get no new requests.
    Duration coldRemaining{}; ///< Time after the entry was written during which the upstream is still slow from its cold start.
    std::int64_t startTimeMs = 0; ///< Unix time of the upstream's start, in ms; differs after a restart under the same id.
    std::int64_t sequence = 0; ///< Number of the write, counted by the upstream from its start.
    RegistryPosition position; ///< Position of the write in the registry's history; orders the entries of one era.
};

/// Record of an upstream that has said in a response that it is shutting down.
struct LeavingMark
{
    std::int64_t startTimeMs = 0; ///< Start time of the upstream in the entry that its home had then, Unix time in ms.
    /// Unix time on the VM of the upstream at which its home sent the request of the latest such response, in ms. An upstream that started
    /// later has not said it.
    std::int64_t sentMs = 0;
};

} // namespace Galenarack
