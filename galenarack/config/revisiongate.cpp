#include <galenarack/config/revisiongate.h>

#include <galenarack/core/errorkind.h>

#include <algorithm>
#include <span>
#include <utility>

namespace Galenarack {

namespace {

GateResult alarm(GateDecision decision, ErrorKind kind, std::uint64_t revision, std::string_view detail)
{
    GateResult result;
    result.decision = decision;
    result.status = makeError(kind, detail);
    result.revision = revision;
    return result;
}

std::string revisionText(std::uint64_t revision)
{
    return "revision " + std::to_string(revision);
}

/// Maximum number of errors in the text of an alarm; GateResult::acceptance has all of them.
constexpr std::size_t maxAlarmFindings = 100;

/// @return the errors in one text, one per line
std::string joined(const std::vector<Finding> &findings)
{
    std::string text;
    for (const Finding &finding : std::span(findings).first(std::min(findings.size(), maxAlarmFindings))) {
        text += (text.empty() ? "" : "\n") + finding.toString();
    }
    if (findings.size() > maxAlarmFindings) {
        text += "\nand " + std::to_string(findings.size() - maxAlarmFindings) + " more";
    }
    return text;
}

} // namespace

RevisionGate::RevisionGate(std::string fleet, SectionCache &cache)
    : fleet(std::move(fleet))
    , cache(cache)
{
}

GateResult RevisionGate::offer(std::string_view manifestJson, TimePoint now)
{
    GateResult result = this->decide(manifestJson, now);
    const std::string text(result.status.message());
    result.isRepeated = !result.status.ok() && text == this->lastAlarm;
    this->lastAlarm = text;
    return result;
}

GateResult RevisionGate::decide(std::string_view manifestJson, TimePoint now)
{
    const absl::StatusOr<Manifest> manifest = Manifest::parse(manifestJson);
    if (!manifest.ok()) {
        return alarm(GateDecision::Refused, ErrorKind::ConfigInvalid, 0, std::string(manifest.status().message()));
    }
    if (manifest->fleet != this->fleet) {
        return alarm(GateDecision::Refused,
                     ErrorKind::ConfigInvalid,
                     manifest->revision,
                     "the manifest belongs to fleet '" + manifest->fleet + "'; allowed: '" + this->fleet + "'");
    }
    GateResult result = this->decideRevision(*manifest, now);
    if (result.decision != GateDecision::Accepted) {
        return result;
    }
    return this->decideContent(*manifest, manifestJson, now);
}

GateResult RevisionGate::decideRevision(const Manifest &manifest, TimePoint now)
{
    GateResult result;
    result.revision = manifest.revision;
    result.decision = GateDecision::Accepted;
    if (this->inForce == nullptr) {
        const std::uint64_t highest = this->highestKnownRevision(now);
        if (manifest.revision < highest) {
            return alarm(GateDecision::Refused,
                         ErrorKind::ConfigStale,
                         manifest.revision,
                         revisionText(manifest.revision) + " is lower than " + std::to_string(highest)
                             + ", the highest revision known at start");
        }
        return result;
    }
    if (manifest.revision < this->inForce->revision) {
        return alarm(GateDecision::Refused,
                     ErrorKind::ConfigStale,
                     manifest.revision,
                     revisionText(manifest.revision) + " is lower than " + std::to_string(this->inForce->revision) + ", which is in force");
    }
    if (manifest.revision > this->inForce->revision) {
        return result;
    }
    if (manifest.digest() != this->digestInForce) {
        return alarm(GateDecision::Refused,
                     ErrorKind::ConfigInvalid,
                     manifest.revision,
                     revisionText(manifest.revision) + " is in force with other content; publish this content under a higher revision");
    }
    result.decision = GateDecision::AlreadyInForce;
    return result;
}

GateResult RevisionGate::decideContent(const Manifest &manifest, std::string_view manifestJson, TimePoint now)
{
    const std::vector<std::string> digests = manifest.allDigests();
    std::vector<std::string> missing = this->cache.missing(digests);
    if (!missing.empty()) {
        if (manifest.revision > this->incompleteRevision) {
            this->incompleteRevision = manifest.revision;
            this->incompleteSince = now;
        }
        GateResult result = alarm(GateDecision::Incomplete,
                                  ErrorKind::ConfigInvalid,
                                  manifest.revision,
                                  revisionText(manifest.revision) + ": " + std::to_string(missing.size())
                                      + " section values are missing, the first one is section/" + missing.front());
        result.missing = std::move(missing);
        return result;
    }
    const std::string digest = manifest.digest();
    if (digest != this->refusedDigest) {
        Acceptance acceptance = acceptRevision(manifest, this->cache);
        if (acceptance.document != nullptr) {
            GateResult result;
            result.decision = GateDecision::Accepted;
            result.revision = manifest.revision;
            result.replaced = std::exchange(this->inForce, acceptance.document);
            result.acceptance = std::move(acceptance);
            this->manifestInForce = manifestJson;
            this->digestInForce = digest;
            this->cache.pin(digests);
            return result;
        }
        this->refusedDigest = digest;
        this->refusedAcceptance = std::move(acceptance);
    }
    // No node accepts this content, so it no longer delays a start.
    if (manifest.revision == this->incompleteRevision) {
        this->incompleteRevision = 0;
    }
    GateResult result = alarm(GateDecision::Refused,
                              ErrorKind::ConfigInvalid,
                              manifest.revision,
                              revisionText(manifest.revision) + " is refused:\n" + joined(this->refusedAcceptance.findings));
    result.acceptance = this->refusedAcceptance;
    return result;
}

void RevisionGate::recordPeerRevision(std::uint64_t revision)
{
    this->highestPeerRevision = std::max(this->highestPeerRevision, revision);
}

std::uint64_t RevisionGate::highestKnownRevision(TimePoint now) const
{
    std::uint64_t highest = std::max(this->highestPeerRevision, this->revision());
    if (now - this->incompleteSince < incompleteHold) {
        highest = std::max(highest, this->incompleteRevision);
    }
    return highest;
}

bool RevisionGate::isNewer(const Manifest &manifest) const
{
    return manifest.fleet == this->fleet && manifest.revision > this->revision();
}

} // namespace Galenarack
