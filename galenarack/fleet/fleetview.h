#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/core/log.h>
#include <galenarack/fleet/trafficconfig.h>
#include <galenarack/fleet/upstreamentry.h>

#include <boost/asio/ip/address.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Galenarack {

/// What this node knows of the fleet: the configuration in force and the registered upstreams.
///
/// Knowledge only moves forward: a configuration of a lower version and an entry of a lower revision are ignored.
class FleetView
{
public:
    /// Puts a configuration into force.
    /// @return false when it is not newer than the one in force
    bool applyConfig(std::shared_ptr<const TrafficConfig> config);

    /// Takes the entry of one upstream.
    /// @return false when a newer one is known
    bool applyEntry(UpstreamEntry entry, TimePoint now);

    /// Removes an upstream.
    /// @param revision of the registry at the removal
    void removeEntry(std::string_view id, std::uint64_t revision);

    /// @return the configuration in force, or null before the first
    const std::shared_ptr<const TrafficConfig> &config() const
    {
        return this->current;
    }

    /// @return all upstreams by id
    const std::map<std::string, UpstreamEntry, std::less<>> &entries() const
    {
        return this->upstreams;
    }

    /// @return the entry, or null
    const UpstreamEntry *find(std::string_view id) const;

    /// @return the newest entry of the VM with this address, or null
    const UpstreamEntry *findOnVm(const boost::asio::ip::address &vm) const;

    /// @return a number that changes with each change of the entries
    std::uint64_t generation() const
    {
        return this->changes;
    }

private:
    std::shared_ptr<const TrafficConfig> current;
    std::map<std::string, UpstreamEntry, std::less<>> upstreams;
    std::map<std::string, std::uint64_t, std::less<>> removalRevisions; ///< Revision of the removal, against late entries.
    std::uint64_t changes = 0;
    Log log{"fleet"};
};

} // namespace Galenarack
