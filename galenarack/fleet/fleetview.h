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
#include <span>
#include <string>
#include <string_view>

namespace Galenarack {

/// This node's view of the fleet: the configuration in force and the registered upstreams.
///
/// The view never goes back. A configuration that is not of a higher version is ignored. Within one era of the registry, so is an entry
/// that is not of a higher revision. A registry that has come back from a copy may list entries that were changed or removed since;
/// the first one of an upstream in a new era is therefore compared by what the upstream itself counts: its start and its writes.
class FleetView
{
public:
    /// Replaces the configuration in force.
    /// @return false when the version is not higher than that of the configuration in force
    bool applyConfig(std::shared_ptr<const TrafficConfig> config);

    /// Adds or replaces the entry of one upstream.
    /// @return false when the view has a newer entry or a later removal
    bool applyEntry(UpstreamEntry entry, TimePoint now);

    /// Removes an upstream, unless its entry is of a higher position.
    /// @param position position of the removal in the registry's history
    void removeEntry(std::string_view id, const RegistryPosition &position);

    /// Adds the upstreams whose removal was lost with a history of the registry, once their entries have been there for so long that
    /// the upstreams must be running. Call it every 100 ms while the view is current.
    void tick(TimePoint now);

    /// Forgets the entries that had come back after their removal and are listed no longer.
    /// @param listedIds ids of all upstreams in a complete read, sorted
    void dropReturned(std::span<const std::string> listedIds);

    /// Records that an upstream has said in a response that it is shutting down. Its entry counts as draining from now on, whatever the
    /// registry says, until it names a later start.
    void markLeaving(std::string_view id, const LeavingMark &mark);

    /// @return the mark of the upstream, also while it is not registered; nothing when it has started again since
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

    /// @return the entry of the upstream that started last among those with this IP address, and of the latest write among those of one
    ///         start, or null. Entries whose service the configuration in force does not name are passed over while there is another one.
    const UpstreamEntry *findOnVm(const boost::asio::ip::address &vm) const;

    /// @return number of changes of the configuration and the entries so far
    std::uint64_t generation() const
    {
        return this->changes;
    }

private:
    /// Removal of an upstream's entry.
    struct Removal
    {
        RegistryPosition position; ///< Position of the removal, or of an older entry that has come back since.
        std::int64_t startTimeMs = 0; ///< Start time in the removed entry.
        std::int64_t sequence = 0; ///< Sequence in the removed entry.
        std::optional<UpstreamEntry> returned; ///< Entry that a copy of the registry has brought back.
        TimePoint returnedAt; ///< When that entry was read.
    };

    /// @return whether the entry is newer than the one that is known
    static bool isNewer(const UpstreamEntry &entry, const UpstreamEntry &known);

    /// @return whether the entry was written after the removal
    static bool isNewer(const UpstreamEntry &entry, const Removal &removal);

    void store(UpstreamEntry entry);

    bool isMarkedLeaving(const UpstreamEntry &entry) const;
    void forgetOldMarks(std::int64_t unixMs);

    std::shared_ptr<const TrafficConfig> current;
    std::map<std::string, UpstreamEntry, std::less<>> upstreams;
    std::map<std::string, Removal, std::less<>> removals; ///< By id of the upstream; rejects older entries that arrive late.
    std::map<std::string, LeavingMark, std::less<>> leavingMarks; ///< By id of the upstream.
    std::uint64_t changes = 0;
    Log log{"fleet"};
};

} // namespace Galenarack
