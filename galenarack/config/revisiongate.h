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

/// What the gate did with a manifest.
enum class GateDecision : std::uint8_t {
    Accepted, ///< It is now in force.
    AlreadyInForce, ///< The same content is in force already.
    Incomplete, ///< Section values are missing; offer it again when they are there.
    Refused, ///< Nothing changed; GateResult::status says why.
};

/// Result of one offer.
struct GateResult
{
    GateDecision decision = GateDecision::Refused;
    absl::Status status; ///< Not ok for Incomplete and Refused: the alarm, with an ErrorKind.
    bool isRepeated = false; ///< The same alarm as at the offer before; need not be logged again.
    std::uint64_t revision = 0; ///< Revision of the manifest; 0 when it could not be parsed.
    std::vector<std::string> missing; ///< Digests that are missing.
    Acceptance acceptance; ///< Document, findings and sections held back, when acceptance was decided.
    std::shared_ptr<const Document> replaced; ///< Document that was in force before an accepted one; may be null.
};

/// Decides which revision is in force on this node. The revision only ever increases.
class RevisionGate
{
public:
    /// How long an incomplete manifest keeps a starting node from putting a lower revision in force. Afterwards it does not
    /// count any more, since one manifest with a missing value would otherwise keep every restarted node out of service.
    static constexpr Duration incompleteHold = std::chrono::seconds(30);

    /// @param fleet name of the fleet; manifests of others are refused
    /// @param cache section values; must outlive the gate, which pins those in force
    RevisionGate(std::string fleet, SectionCache &cache);

    /// Offers a manifest from the service or a peer. An older revision, the same revision with other content, an incomplete set of
    /// sections and invalid data change nothing. While nothing is in force, a revision lower than the highest heard of is refused too.
    GateResult offer(std::string_view manifestJson, TimePoint now);

    /// A peer stated the revision that it has in force.
    void recordPeerRevision(std::uint64_t revision);

    /// @return the highest revision that some node has in force, as far as this node knows, or that an incomplete manifest
    ///     announced within incompleteHold
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

    /// @return the manifest in force as it was received, to be passed to peers; empty when there is none
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
    TimePoint incompleteSince; ///< When it was first offered.
    std::string refusedDigest; ///< Last manifest that acceptance refused; spares checking it again.
    Acceptance refusedAcceptance;
    std::string lastAlarm;
};

} // namespace Galenarack
