#include <galenarack/node/configfollower.h>

#include <galenarack/core/errorkind.h>
#include <galenarack/core/scopeguard.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace Galenarack {

namespace asio = boost::asio;

namespace {

/// Time-out of one query to a peer, connecting included.
constexpr Duration peerTimeout = std::chrono::seconds(2);

/// A starting node queries a peer again after this time.
constexpr Duration peerRetryInterval = std::chrono::seconds(1);

/// Number of peers that a starting node queries in each failure domain. The limit keeps the nodes of a failure domain that
/// starts as a whole from opening hundreds of connections each.
constexpr std::size_t maxPeerQueriesPerFailureDomain = 3;

constexpr std::string_view serviceSource = "service";

std::vector<AuditSection> toAuditSections(std::span<const Finding> findings)
{
    std::vector<AuditSection> sections;
    for (const Finding &finding : findings) {
        sections.push_back({finding.section, finding.owner, finding.toString(), false});
    }
    return sections;
}

/// @return the sections that are held back or differ from the previous document, which may be null, each with its owner
std::vector<AuditSection> changedSections(const Document &document, const Document *before)
{
    std::vector<AuditSection> changes;
    for (const SectionInfo &section : document.sections) {
        const bool isSame = before != nullptr && std::ranges::any_of(before->sections, [&](const SectionInfo &old) {
                                return old.name == section.name && old.digest == section.digest;
                            });
        if (!isSame || section.heldBack) {
            changes.push_back({section.name, section.owner, section.heldBack ? "held back" : "changed", section.heldBack});
        }
    }
    return changes;
}

} // namespace

ConfigFollower::ConfigFollower(const asio::any_io_executor &executor,
                               NodeIdentity identity,
                               const ServiceSettings &service,
                               PeerClient &peers,
                               AuditTrail &audit,
                               Callbacks callbacks,
                               std::uint64_t seed)
    : executor(executor)
    , identity(std::move(identity))
    , peers(peers)
    , audit(audit)
    , callbacks(std::move(callbacks))
    , gate(this->identity.fleet, this->cache)
    , log("config")
{
    ConfigReaderCallbacks readerCallbacks;
    readerCallbacks.manifest = [this](std::string_view source, std::string_view manifestJson) {
        this->applyManifest(source, manifestJson);
    };
    readerCallbacks.service = [this](bool replied) {
        this->startRule.serviceReplied(replied);
        if (replied) {
            this->serviceReplyAt = NodeClock::now();
        }
    };
    readerCallbacks.problem = [this](const absl::Status &problem) {
        this->log.warn("section could not be fetched", {{"detail", messageOf(problem)}});
    };
    this->reader = std::make_shared<ConfigReader>(executor, service, this->cache, this->gate, readerCallbacks, seed);
    this->vmListReader = std::make_shared<VmListReader>(
        executor,
        service,
        [this](std::vector<VmEntry> vms) {
            this->callbacks.vmListReceived(std::move(vms));
        },
        [this](const absl::Status &problem) {
            this->log.warn("VM list is invalid and was ignored", {{"detail", messageOf(problem)}});
        },
        seed + 1);
}

void ConfigFollower::start()
{
    this->reader->start();
    this->vmListReader->start();
}

void ConfigFollower::stop()
{
    this->reader->stop();
    this->vmListReader->stop();
}

void ConfigFollower::setVms(std::span<const VmEntry> vms)
{
    std::size_t otherLive = 0;
    for (const VmEntry &vm : vms) {
        if (vm.name == this->identity.vm) {
            continue;
        }
        this->failureDomainOfVm[vm.name] = vm.failureDomain;
        otherLive += vm.state == VmState::Live ? 1 : 0;
    }
    this->startRule.setOtherLiveVms(otherLive);
}

void ConfigFollower::recordPeerRevision(const std::string &vm, std::uint64_t revision)
{
    this->gate.recordPeerRevision(revision);
    if (revision <= this->gate.revision() || !this->fetching.insert(vm).second) {
        return;
    }
    asio::co_spawn(
        this->executor,
        [this, vm]() -> asio::awaitable<void> {
            co_await this->fetchFromPeer(vm);
        },
        asio::detached);
}

void ConfigFollower::tick(TimePoint now)
{
    if (this->startDecision(now) == StartDecision::Serve) {
        this->isServing = true;
        return;
    }
    std::map<std::string, std::size_t> queriesPerDomain;
    for (const auto &[vm, failureDomain] : this->failureDomainOfVm) {
        auto &queryCount = queriesPerDomain[failureDomain];
        const auto last = this->lastQueryAt.find(vm);
        const bool isDue = last == this->lastQueryAt.end() || now - last->second >= peerRetryInterval;
        if (queryCount >= maxPeerQueriesPerFailureDomain) {
            continue;
        }
        ++queryCount;
        if (!isDue) {
            continue;
        }
        this->lastQueryAt[vm] = now;
        this->startRule.peerQueried(vm, failureDomain);
        asio::co_spawn(
            this->executor,
            [this, peer = vm]() -> asio::awaitable<void> {
                co_await this->queryPeer(peer);
            },
            asio::detached);
    }
}

asio::awaitable<void> ConfigFollower::queryPeer(std::string vm)
{
    const auto view = co_await this->peers.connect(vm, NodeClock::now() + peerTimeout);
    if (!view.ok()) {
        this->startRule.peerFailed(vm);
        co_return;
    }
    this->recordPeerRevision(vm, view->revision);
    this->startRule.peerReplied(vm);
}

StartDecision ConfigFollower::startDecision(TimePoint now) const
{
    if (this->isServing) {
        return StartDecision::Serve;
    }
    return this->startRule.decide(this->gate, now);
}

asio::awaitable<void> ConfigFollower::fetchFromPeer(std::string vm)
{
    const ScopeGuard finished([this, vm] {
        this->fetching.erase(vm);
    });
    auto manifest = co_await this->fetchValue(vm, std::string(PeerPath::manifest));
    if (!manifest.ok()) {
        co_return;
    }
    this->reader->offerFromPeer(vm, std::move(*manifest), [this, vm](const std::string &digest) {
        return this->fetchValue(vm, std::string(PeerPath::section) + digest);
    });
}

asio::awaitable<absl::StatusOr<std::string>> ConfigFollower::fetchValue(std::string vm, std::string path)
{
    // A named variable, as g++ 12 destroys the captures of a closure twice when it is a temporary of a co_await expression.
    std::function<PeerRequest(const PeerView &)> makeRequest = [path](const PeerView &) {
        PeerRequest request;
        request.method = "GET";
        request.path = path;
        return request;
    };
    auto reply = co_await this->peers.request(vm, std::move(makeRequest), NodeClock::now() + peerTimeout);
    if (!reply.ok()) {
        co_return reply.status();
    }
    constexpr unsigned ok = 200;
    if (reply->response.status != ok) {
        co_return makeError(ErrorKind::PeerUnreachable, "VM " + vm + " did not return " + path);
    }
    co_return std::move(reply->response.body);
}

PeerResponse ConfigFollower::answerPeer(std::string_view path) const
{
    constexpr unsigned notFound = 404;
    PeerResponse response;
    if (path == PeerPath::manifest && !this->gate.manifestBytes().empty()) {
        response.body = this->gate.manifestBytes();
        return response;
    }
    if (path.starts_with(PeerPath::section)) {
        if (const auto bytes = this->cache.bytes(path.substr(PeerPath::section.size()))) {
            response.body = *bytes;
            return response;
        }
    }
    response.status = notFound;
    return response;
}

void ConfigFollower::applyManifest(std::string_view source, std::string_view manifestJson)
{
    const GateResult result = this->gate.offer(manifestJson, NodeClock::now());
    this->reportResult(source, result);
    if (result.decision != GateDecision::Accepted) {
        return;
    }
    this->heldBackSections.clear();
    for (const std::string &name : result.acceptance.heldBack) {
        const auto finding = std::ranges::find(result.acceptance.findings, name, &Finding::section);
        const bool found = finding != result.acceptance.findings.end();
        this->heldBackSections.push_back({name, found ? finding->owner : "", found ? finding->toString() : ""});
    }
    this->callbacks.documentAccepted(this->gate.document());
}

void ConfigFollower::reportResult(std::string_view source, const GateResult &result)
{
    const std::string sourceText = source == serviceSource ? "configuration service" : std::string(source);
    if (result.decision == GateDecision::Accepted) {
        const auto document = this->gate.document();
        RevisionAccepted record;
        record.revision = document->revision;
        record.previous = result.replaced ? result.replaced->revision : 0;
        record.digest = document->digest;
        record.source = sourceText;
        record.changes = changedSections(*document, result.replaced.get());
        this->audit.append(std::move(record));
        return;
    }
    if (result.decision == GateDecision::AlreadyInForce || result.isRepeated) {
        return;
    }
    RevisionRefused record;
    record.revision = result.revision;
    record.inForce = this->gate.revision();
    record.errorKind = errorRow(errorKindOf(result.status)).name;
    record.source = sourceText;
    record.errors = toAuditSections(result.acceptance.findings);
    if (record.errors.empty()) {
        record.errors.push_back({"manifest", "", messageOf(result.status), false});
    }
    this->audit.append(std::move(record));
}

} // namespace Galenarack
