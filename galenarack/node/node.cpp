#include <galenarack/node/node.h>

#include <galenarack/core/errorkind.h>
#include <galenarack/node/explain.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Galenarack {

namespace asio = boost::asio;

namespace {

/// Period of tickSlow(). Ejection marks, membership and gauges change slowly or tolerate more delay than health evaluation.
constexpr Duration slowTickPeriod = std::chrono::milliseconds(500);

constexpr Duration tickPeriod = std::chrono::milliseconds(100);

/// Time for callers and peers to learn that the node leaves, before it stops accepting connections.
constexpr Duration announceDuration = std::chrono::milliseconds(1500);

/// Time between the deadline of the last work and the end of a leaving process, in which the responses are sent.
constexpr Duration lastResponseTime = std::chrono::milliseconds(500);

/// Maximum number of connections from other nodes. Caller connections have their own limit, so memory use is bounded.
constexpr std::size_t peerConnectionLimit = 2048;

MemberUpdate selfUpdate(const Settings &settings, const NodeIdentity &identity)
{
    MemberUpdate update;
    update.name = settings.vm;
    update.address = settings.peerAddress.address().to_string();
    update.failureDomain = settings.failureDomain;
    update.incarnation = identity.incarnation;
    return update;
}

ServiceSettings serviceSettings(const Settings &settings)
{
    ServiceSettings service;
    service.host = settings.configService.address().to_string();
    service.port = settings.configService.port();
    return service;
}

/// @return a random incarnation that is not zero
Incarnation makeIncarnation(std::mt19937_64 &random)
{
    std::uniform_int_distribution<std::uint64_t> distribution(1);
    return Incarnation{distribution(random)};
}

} // namespace

Node::Node(asio::io_context &context, const Settings &settings, std::mt19937_64 random)
    : context(context)
    , settings(settings)
    , random(random)
    , identity{settings.fleet, settings.vm, settings.failureDomain, makeIncarnation(this->random)}
    , peers(
          context.get_executor(),
          this->identity,
          PeerLimits(),
          [this] {
              return this->ownReport(false);
          },
          [this](const NodeReport &report) {
              this->applyReport(report);
          },
          this->paths)
    , home(context.get_executor(),
           this->identity,
           settings.homeUpstreams,
           UpstreamLimits(),
           LedgerLimits(),
           this->metrics,
           this->audit,
           std::mt19937_64(this->random()))
    , directory(this->identity, this->paths, this->metrics, this->audit, std::mt19937_64(this->random()))
    , forwarder(
          context.get_executor(),
          this->identity,
          [this] {
              return this->servingDocument();
          },
          this->home,
          this->peers,
          this->directory,
          this->metrics,
          std::mt19937_64(this->random()))
    , ingress(context.get_executor(), IngressLimits(), this->forwarder)
    , peerServer(
          context.get_executor(),
          this->identity,
          PeerLimits(),
          peerConnectionLimit,
          [this] {
              return this->ownReport(false);
          },
          [this](const NodeReport &report) {
              this->applyReport(report);
          },
          [this](std::shared_ptr<PeerCall> call) {
              return this->answerPeer(std::move(call));
          })
    , config(context.get_executor(),
             this->identity,
             serviceSettings(settings),
             this->peers,
             this->audit,
             ConfigFollower::Callbacks{[this](const std::shared_ptr<const Document> &document) {
                                           this->applyDocument(document);
                                       },
                                       [this](const std::vector<VmEntry> &vms) {
                                           this->applyVmList(vms);
                                       }},
             this->random())
    , members(selfUpdate(settings, this->identity))
    , gossip(this->members, settings.fleet, selfUpdate(settings, this->identity), GossipSettings(), std::mt19937_64(this->random()))
    , timer(context)
    , startedAt(NodeClock::now())
    , log("node")
{
}

absl::Status Node::start()
{
    try {
        this->gossipTransport = std::make_unique<GossipTransport>(
            this->context,
            this->gossip,
            this->settings.fleet,
            asio::ip::udp::endpoint(this->settings.peerAddress.address(), this->settings.peerAddress.port()));
        this->operatorServer = std::make_unique<OperatorServer>(this->context, this->settings.operatorsAddress, this->operatorSources());
    } catch (const boost::system::system_error &error) {
        return makeError(ErrorKind::SettingInvalid, std::string("peer_address or operators_address cannot be bound: ") + error.what());
    }
    absl::Status status = this->ingress.listen(this->settings.callerAddress);
    status.Update(this->peerServer.listen(this->settings.peerAddress));
    if (!status.ok()) {
        return status;
    }
    this->applySeeds();
    this->gossipTransport->start();
    this->operatorServer->start();
    this->config.start();
    asio::co_spawn(
        this->context,
        [this]() -> asio::awaitable<void> {
            co_await this->tickLoop();
        },
        asio::detached);
    this->log.info("node started",
                   {{"vm", this->settings.vm},
                    {"failure_domain", this->settings.failureDomain},
                    {"incarnation", this->identity.incarnation.toString()}});
    return absl::OkStatus();
}

void Node::drain(std::string_view signal)
{
    if (this->drainStep != DrainStep::Serving) {
        return;
    }
    this->drainStep = DrainStep::Announcing;
    this->drainStarted = NodeClock::now();
    DrainStarted record;
    record.subject = this->settings.vm;
    record.signal = signal;
    record.inFlight = static_cast<std::uint32_t>(this->home.requestsInProgress());
    this->audit.append(std::move(record));

    this->home.drain();
    this->forwarder.drainUntil(this->drainStarted + this->settings.drainTimeout - lastResponseTime);
    this->ingress.drain();
    this->gossip.setLeaving();
    this->peerServer.drain();
}

asio::awaitable<void> Node::tickLoop()
{
    for (;;) {
        this->timer.expires_after(tickPeriod);
        const auto [error] = co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (error) {
            co_return;
        }
        this->tick(NodeClock::now());
    }
}

void Node::tick(TimePoint now)
{
    this->peers.tick(now);
    this->home.tick(now);
    this->processMembershipChanges(now);
    this->directory.tick(now);
    this->forwarder.tick(now);
    this->config.tick(now);
    this->tickDrain(now);
    flushLogs();
    if (now - this->lastSlowTick >= slowTickPeriod) {
        this->lastSlowTick = now;
        this->tickSlow(now);
    }
}

void Node::tickSlow(TimePoint now)
{
    this->directory.applyMembers(this->members, now);
    for (const NamedUpstreamReport &named : this->home.reports(now)) {
        this->directory.report(named.upstream, named.report, now);
    }
    this->gossip.setMarks(this->home.marks());
    const auto document = this->config.document();
    this->metrics.setRevision(document ? document->revision : 0, this->config.highestKnownRevision(now));
    this->metrics.setReady(this->readiness().ready);
    MemberCounts counts;
    for (const auto &[name, member] : this->members.all()) {
        switch (member.state) {
        case MemberState::Live:
            ++counts.live;
            break;
        case MemberState::Leaving:
            ++counts.leaving;
            break;
        case MemberState::Gone:
            ++counts.gone;
            break;
        case MemberState::Unknown:
            ++counts.unknown;
            break;
        }
    }
    this->metrics.setMembers(counts);
}

void Node::tickDrain(TimePoint now)
{
    if (this->drainStep == DrainStep::Announcing && now - this->drainStarted >= announceDuration) {
        this->drainStep = DrainStep::Finishing;
        this->ingress.stop();
    }
    const bool overdue = now - this->drainStarted >= this->settings.drainTimeout;
    if (this->drainStep == DrainStep::Finishing && (this->isIdle() || overdue)) {
        this->log.info("node stopped", {{"in_flight", static_cast<std::int64_t>(this->home.requestsInProgress())}});
        this->config.stop();
        this->context.stop();
    }
}

bool Node::isIdle() const
{
    return this->forwarder.requestsInProgress() == 0 && this->home.requestsInProgress() == 0 && this->peerServer.openRequests() == 0;
}

asio::awaitable<PeerResponse> Node::answerPeer(std::shared_ptr<PeerCall> call)
{
    const std::string path = call->request.path;
    if (call->request.headers.find(PeerHeader::kind) == "forward") {
        co_return co_await this->home.forward(call);
    }
    if (path.starts_with(PeerPath::outcome)) {
        co_return co_await this->home.outcome(call);
    }
    if (path.starts_with(PeerPath::relay)) {
        co_return co_await this->forwarder.relayOutcome(call);
    }
    if (path == PeerPath::heartbeat) {
        PeerResponse response;
        response.body = this->ownReport(true).encode();
        co_return response;
    }
    co_return this->config.answerPeer(path);
}

void Node::applyReport(const NodeReport &report)
{
    this->gossip.recordConnectionFrame(report.vm, report.incarnation, report.revision, NodeClock::now());
    this->config.recordPeerRevision(report.vm, report.revision);
    for (const NamedUpstreamReport &named : report.upstreams) {
        this->directory.report(named.upstream, named.report, NodeClock::now());
    }
}

void Node::applyDocument(const std::shared_ptr<const Document> &document)
{
    this->home.applyDocument(*document);
    this->directory.applyDocument(*document, NodeClock::now());
    this->directory.applyMembers(this->members, NodeClock::now());
    this->gossip.setRevision(document->revision);
    std::vector<std::string> services;
    std::vector<std::string> upstreams;
    std::ranges::transform(document->services, std::back_inserter(services), &ServiceRow::name);
    std::ranges::transform(document->upstreams, std::back_inserter(upstreams), &UpstreamRow::name);
    this->metrics.setLabels(services, upstreams);
}

void Node::applyVmList(const std::vector<VmEntry> &vms)
{
    const TimePoint now = NodeClock::now();
    std::vector<ListedVm> listed;
    for (const VmEntry &vm : vms) {
        listed.push_back({vm.name, vm.address, vm.failureDomain, vm.state == VmState::Leaving});
        if (vm.name == this->settings.vm && vm.state == VmState::Leaving) {
            this->drain("vm list");
        }
    }
    this->gossipTransport->send(this->gossip.applyVmList(listed, now));
    this->config.setVms(vms);
    this->processMembershipChanges(now);
}

void Node::applySeeds()
{
    if (this->settings.peerSeeds.empty()) {
        return;
    }
    std::vector<VmEntry> seeds;
    for (const PeerSeed &seed : this->settings.peerSeeds) {
        seeds.push_back({seed.vm, seed.address, "unknown", VmState::Live});
    }
    this->applyVmList(seeds);
}

void Node::processMembershipChanges(TimePoint now)
{
    for (const auto &[name, member] : this->members.all()) {
        if (name == this->settings.vm || member.address.empty()) {
            continue;
        }
        boost::system::error_code error;
        const auto address = asio::ip::make_address(member.address, error);
        if (!error) {
            this->peers.setAddress(name, {address, this->settings.peerAddress.port()});
        }
    }
    for (const MemberChange &change : this->members.popChanges()) {
        this->audit.append(MembershipChanged{
            change.name, std::string(memberStateName(change.before)), std::string(memberStateName(change.after)), change.evidence});
    }
    if (this->gossip.isLeaving()) {
        this->drain("gossip");
    }
    this->members.removeExpired(now);
}

NodeReport Node::ownReport(bool withUpstreams) const
{
    NodeReport report;
    report.fleet = this->identity.fleet;
    report.vm = this->identity.vm;
    report.incarnation = this->identity.incarnation;
    report.clockMs = toMilliseconds(NodeClock::now());
    const auto document = this->config.document();
    report.revision = document ? document->revision : 0;
    report.leaving = this->drainStep != DrainStep::Serving;
    if (withUpstreams) {
        report.upstreams = this->home.reports(NodeClock::now());
    }
    return report;
}

std::shared_ptr<const Document> Node::servingDocument() const
{
    return this->readiness().ready || this->drainStep != DrainStep::Serving ? this->config.document() : nullptr;
}

Readiness Node::readiness() const
{
    if (this->drainStep != DrainStep::Serving) {
        return {false, "draining"};
    }
    const StartDecision decision = this->config.startDecision(NodeClock::now());
    if (decision != StartDecision::Serve) {
        return {false, std::string(startDecisionText(decision))};
    }
    return {true, ""};
}

OperatorSources Node::operatorSources()
{
    OperatorSources sources;
    sources.metrics = [this] {
        return this->metrics.text();
    };
    sources.readiness = [this] {
        return this->readiness();
    };
    sources.status = [this] {
        return this->status();
    };
    sources.upstreams = [this] {
        return this->upstreamStatus();
    };
    sources.audit = [this](std::uint64_t after) {
        return this->audit.page(after);
    };
    sources.outcome = [this](RequestId id) -> asio::awaitable<OperatorReply> {
        co_return this->outcomeReply(id);
    };
    sources.explain = [this](const ExplainQuery &query) {
        return explain(this->config.document().get(), this->directory.status(), query);
    };
    return sources;
}

OperatorReply Node::outcomeReply(RequestId id) const
{
    OperatorReply reply;
    reply.body["request_id"] = id.toString();
    const auto entry = this->home.executionLedger().inspect(WorkId::of(id));
    reply.body["execution"] = executionName(entry ? entry->execution : Execution::MayHaveRun);
    reply.body["state"] = entry ? entry->state : "unknown";
    reply.body["detail"]
        = entry ? "" : "this node has no ledger entry for the request ID; work with an idempotency key is recorded under its key";
    return reply;
}

NodeStatus Node::status() const
{
    const TimePoint now = NodeClock::now();
    const auto toMs = [](Duration duration) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    };
    const auto document = this->config.document();
    NodeStatus status;
    status.fleet = this->identity.fleet;
    status.node = this->identity.vm;
    status.address = this->settings.peerAddress.address().to_string();
    status.failureDomain = this->identity.failureDomain;
    status.incarnation = this->identity.incarnation.toString();
    status.readiness = this->readiness();
    status.leaving = this->drainStep != DrainStep::Serving;
    status.revision = document ? document->revision : 0;
    status.heardRevision = this->config.highestKnownRevision(now);
    status.digest = document ? document->digest : "";
    const auto serviceReply = this->config.lastServiceReply();
    status.serviceSilentMs = serviceReply ? toMs(now - *serviceReply) : -1;
    status.upMs = toMs(now - this->startedAt);
    status.inFlight = static_cast<std::uint32_t>(this->forwarder.requestsInProgress());
    status.homeInFlight = static_cast<std::uint32_t>(this->home.requestsInProgress());
    status.ledgerEntries = this->home.executionLedger().entryCount();
    status.heldBack = this->config.heldBack();
    for (const auto &[name, member] : this->members.all()) {
        status.members.push_back({name,
                                  member.address,
                                  member.failureDomain,
                                  std::string(memberStateName(member.state)),
                                  member.incarnation.toString(),
                                  member.revision,
                                  member.lastReceived ? toMs(now - *member.lastReceived) : -1,
                                  member.suspectedSince.has_value()});
    }
    return status;
}

std::vector<UpstreamStatus> Node::upstreamStatus() const
{
    return this->directory.status();
}

} // namespace Galenarack
