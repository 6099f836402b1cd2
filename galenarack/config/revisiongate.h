#pragma once

#include <galenarack/config/acceptance.h>
#include <galenarack/core/clock.h>

#include <absl/status/status.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// Decision of the gate about an offered manifest.
enum class GateDecision : std::uint8_t {
    Accepted, ///< The manifest is now in force.
    AlreadyInForce, ///< A manifest with the same content is in force already.
    Incomplete, ///< Section values are missing; the manifest can be offered again when the cache has them.
    Refused, ///< The manifest is not put in force; GateResult::status gives the reason.
};

/// Result of offering one manifest.
struct GateResult
{
    GateDecision decision = GateDecision::Refused;
    absl::Status status; ///< Alarm with an ErrorKind for Incomplete and Refused; otherwise ok.
    bool isRepeated = false; ///< Whether the preceding offer raised the same alarm, which then need not be logged again.
    std::uint64_t revision = 0; ///< Revision of the manifest; 0 when it could not be parsed.
    std::vector<std::string> missing; ///< Digests of the missing section values.
    Acceptance acceptance; ///< Document, findings and sections held back; empty when the content was not checked.
    std::shared_ptr<const Document> replaced; ///< Document that an accepted one replaced; null when there was none.
};

/// Decides which revision is in force on this node. The revision in force never decreases.
class RevisionGate
{
public:
    /// Time during which an incomplete manifest keeps a starting node from putting a lower revision in force. It is bounded, since a
    /// manifest with one missing value would otherwise keep every restarted node out of service.
    static constexpr Duration incompleteHold = std::chrono::seconds(30);

    /// @param fleet name of the fleet; manifests of others are refused
    /// @param cache section values; must outlive the gate, which pins the values of the revision in force
    RevisionGate(std::string fleet, SectionCache &cache);

    /// Offers a manifest from the service or a peer. An older revision, the same revision with other content, an incomplete set of
    /// sections and invalid data leave the document in force unchanged. While no document is in force, a revision lower than
    /// highestKnownRevision() is refused too.
    GateResult offer(std::string_view manifestJson, TimePoint now);

    /// Records the revision that a peer reports to have in force.
    void recordPeerRevision(std::uint64_t revision);

    /// @return the highest revision known to be in force on this node or a peer, or named by an incomplete manifest within
    ///     incompleteHold
    std::uint64_t highestKnownRevision(TimePoint now) const;

    /// @return whether the manifest is newer than the one in force, so that its sections are worth fetching
    bool isNewer(const Manifest &manifest) const;

    /// @return the document in force, or null
    std::shared_ptr<const Document> document() const
    {
        return this->inForce;
    }

    /// @return the revision in force, or 0
    std::uint64_t revision() const
    {
        return this->inForce == nullptr ? 0 : this->inForce->revision;
    }

    /// @return the manifest in force as it was received, for offers to peers; empty when there is none
    const std::string &manifestBytes() const
    {
        return this->manifestInForce;
    }

private:
    GateResult decide(std::string_view manifestJson, TimePoint now);
    GateResult decideRevision(const Manifest &manifest, TimePoint now);
    GateResult decideContent(const Manifest &manifest, std::string_view manifestJson, TimePoint now);

    std::string fleet;
    SectionCache &cache;
    std::shared_ptr<const Document> inForce;
    std::string manifestInForce;
    std::string digestInForce; ///< Digest of the manifest in force.
    std::uint64_t highestPeerRevision = 0;
    std::uint64_t incompleteRevision = 0; ///< Highest revision of an incomplete manifest.
    TimePoint incompleteSince; ///< Time of the first offer of incompleteRevision.
    std::string refusedDigest; ///< Digest of the last manifest whose content was refused; avoids checking it again.
    Acceptance refusedAcceptance;
    std::string lastAlarm;
};

} // namespace Galenarack
