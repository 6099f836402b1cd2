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

/// This node's view of the fleet: the configuration in force and the registered upstreams.
///
/// The view never goes back: a configuration that is not of a higher version and an entry that is not of a higher revision
/// are ignored.
class FleetView
{
public:
    /// Replaces the configuration in force.
    /// @return false when the version is not higher than that of the configuration in force
    bool applyConfig(std::shared_ptr<const TrafficConfig> config);

    /// Adds or replaces the entry of one upstream.
    /// @return false when the view has an entry or a removal of the same or a higher revision
    bool applyEntry(UpstreamEntry entry, TimePoint now);

    /// Removes an upstream, unless its entry is of a higher revision.
    /// @param revision registry revision of the removal
    void removeEntry(std::string_view id, std::uint64_t revision);

    /// Records that an upstream has said in a response that it is shutting down. Its entry counts as draining from now on, whatever the
    /// registry says, until it names a later start.
    void markLeaving(std::string_view id, const LeavingMark &mark);

    /// @return the mark of the upstream, or nothing when it does not hold for its entry
    std::optional<LeavingMark> leavingMark(std::string_view id) const;

    /// @return the configuration in force, or null before the first one is applied
    const std::shared_ptr<const TrafficConfig> &config() const
    {
        return this->current;
    }

    /// @return the entries of all registered upstreams, by id
    const std::map<std::string, UpstreamEntry, std::less<>> &entries() const
    {
        return this->upstreams;
    }

    /// @return the entry of the upstream, or null when it is not registered
    const UpstreamEntry *find(std::string_view id) const;

    /// @return the entry with the highest revision among those with this IP address, or null. Entries whose service the
    ///         configuration in force does not name are passed over while there is another one.
    const UpstreamEntry *findOnVm(const boost::asio::ip::address &vm) const;

    /// @return number of changes of the configuration and the entries so far
    std::uint64_t generation() const
    {
        return this->changes;
    }

private:
    bool isMarkedLeaving(const UpstreamEntry &entry) const;
    void forgetOldMarks(std::int64_t unixMs);

    std::shared_ptr<const TrafficConfig> current;
    std::map<std::string, UpstreamEntry, std::less<>> upstreams;
    std::map<std::string, std::uint64_t, std::less<>>
        removalRevisions; ///< Registry revision of each removal; rejects older entries that arrive late.
    std::map<std::string, LeavingMark, std::less<>> leavingMarks; ///< By id of the upstream.
    std::uint64_t changes = 0;
    Log log{"fleet"};
};

} // namespace Galenarack
