#include <galenarack/proxy/proxynode.h>

#include <galenarack/core/errorkind.h>

#include <platform/dialect.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace Galenarack {

namespace asio = boost::asio;

namespace {

constexpr Duration tickPeriod = std::chrono::milliseconds(100);

/// Share of the memory of the process for the responses of the upstream in transit, and as much again for the bodies on the
/// connections between nodes. A buffer that grows needs up to three times the size of its contents for a moment.
constexpr std::size_t transitMemoryShare = 8;

/// Share of the memory of the process for the bodies of callers' requests. Each is held twice while it is sent to an upstream.
constexpr std::size_t callerMemoryShare = 4;

/// Maximum size of a reply of the registry. A value has up to 1 MB, and its encoding in a reply a third more; a watch returns
/// all changes since the last one.
constexpr std::size_t maxRegistryReplyBytes = std::size_t{8} * 1024 * 1024;

ServiceSettings registrySettings(const Settings &settings)
{
    ServiceSettings service;
    service.host = settings.registry->address().to_string();
    service.port = settings.registry->port();
    service.connectTimeout = std::chrono::seconds(1);
    service.replyTimeout = std::chrono::milliseconds(750);
    service.maxReplyBytes = maxRegistryReplyBytes;
    // An interrupted watch may have missed changes, so the error has to reach the follower.
    service.resendsOnNewConnection = false;
    return service;
}

RouterSettings routerSettings(const Settings &settings)
{
    RouterSettings router;
    router.service = settings.homeUpstreams.front().name;
    router.failureDomain = settings.failureDomain;
    router.vm = settings.peerAddress.address();
    return router;
}

} // namespace

ProxyNode::ProxyNode(asio::io_context &context, const Settings &settings, std::mt19937_64 random)
    : context(context)
    , settings(settings)
    , random(random)
    , dialect(Platform::dialect())
    , registryClient(context.get_executor(), registrySettings(settings))
    , follower(context.get_executor(),
               this->registryClient,
               this->view,
               this->revisions,
               FollowerSettings::forBounds(settings.bounds.registry, registrySettings(settings).replyTimeout),
               std::mt19937_64(this->random()))
    , home(context.get_executor(),
           settings.peerAddress.address(),
           settings.homeUpstreams.front().address,
           this->dialect,
           settings.memoryBytes / transitMemoryShare,
           settings.bounds.retry,
           this->view,
           this->revisions)
    , links(context.get_executor(),
            settings.peerAddress.port(),
            settings.memoryBytes / transitMemoryShare,
            [this](std::shared_ptr<PeerCall> call) {
                return this->home.handle(std::move(call));
            })
    , router(context.get_executor(),
             routerSettings(settings),
             this->dialect,
             this->view,
             this->home,
             this->links,
             this->revisions,
             this->metrics,
             std::mt19937_64(this->random()))
    , callers(
          context.get_executor(),
          [this] {
              return this->callerLimits();
          },
          settings.memoryBytes / callerMemoryShare,
          [this](CallerRequest request, std::shared_ptr<Cancellation> cancellation) {
              return this->router.route(std::move(request), std::move(cancellation), this->follower.isCurrent());
          })
    , timer(context)
{
}

absl::Status ProxyNode::start()
{
    try {
        this->operatorServer = std::make_unique<OperatorServer>(this->context, this->settings.operatorsAddress, this->operatorSources());
    } catch (const boost::system::system_error &error) {
        return makeError(ErrorKind::SettingInvalid, std::string("operators_address cannot be bound: ") + error.what());
    }
    absl::Status status = this->callers.listen(this->settings.callerAddress);
    status.Update(this->links.listen(this->settings.peerListenAddress));
    if (!status.ok()) {
        return status;
    }
    this->operatorServer->start();
    asio::co_spawn(
        this->context,
        [this]() -> asio::awaitable<void> {
            co_await this->follower.run();
        },
        asio::detached);
    asio::co_spawn(
        this->context,
        [this]() -> asio::awaitable<void> {
            co_await this->tickLoop();
        },
        asio::detached);
    this->log.info("node started",
                   {{"fleet", this->settings.fleet},
                    {"vm", this->settings.vm},
                    {"failure_domain", this->settings.failureDomain},
                    {"service", this->settings.homeUpstreams.front().name}});
    this->logBounds();
    return absl::OkStatus();
}

void ProxyNode::logBounds() const
{
    nlohmann::ordered_json inForce = nlohmann::ordered_json::object();
    for (const Platform::NamedBound &bound : this->settings.bounds.inForce) {
        inForce[bound.name] = bound.value;
    }
    const nlohmann::ordered_json unused = this->settings.bounds.unused;
    this->log.info("bounds in force", {{"form", this->settings.bounds.form}, {"bounds", &inForce}, {"unused", &unused}});
}

void ProxyNode::drain(std::string_view signal)
{
    if (this->drainSchedule) {
        return;
    }
    this->drainSchedule = DrainSchedule::forGrace(NodeClock::now(), this->settings.bounds.terminationGrace);
    this->log.info("node is leaving",
                   {{"signal", signal},
                    {"grace_ms", toMilliseconds(TimePoint(this->settings.bounds.terminationGrace))},
                    {"callers_in_progress", static_cast<std::int64_t>(this->callers.pending())},
                    {"home_in_progress", static_cast<std::int64_t>(this->home.inProgress())}});
    this->home.drain(*this->drainSchedule);
    this->router.drain(*this->drainSchedule);
    this->callers.drain();
}

asio::awaitable<void> ProxyNode::tickLoop()
{
    for (;;) {
        this->timer.expires_after(tickPeriod);
        const auto [error] = co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (error) {
            co_return;
        }
        const TimePoint now = NodeClock::now();
        this->follower.tick(now);
        if (this->follower.isCurrent()) {
            this->view.tick(now);
        }
        this->links.tick(now);
        this->home.tick(now);
        this->callers.tick(now);
        this->updateMetrics();
        this->tickDrain(now);
        flushLogs();
    }
}

void ProxyNode::updateMetrics()
{
    const std::uint64_t version = this->view.config() ? this->view.config()->version : 0;
    this->metrics.setRevision(version, version);
    this->metrics.setReady(this->readiness().ready);
    if (const UpstreamEntry *own = this->view.findOnVm(this->settings.peerAddress.address())) {
        this->metrics.setHomeLoad(own->id, this->home.currentLoad());
    }
}

void ProxyNode::tickDrain(TimePoint now)
{
    if (!this->drainSchedule) {
        return;
    }
    this->router.tickDrain(now);
    if (now < this->drainSchedule->announced) {
        return;
    }
    const bool isIdle
        = this->callers.pending() == 0 && this->home.inProgress() == 0 && this->router.inProgress() == 0 && !this->links.isAnswering();
    if (!this->callersStopped && (isIdle || now >= this->drainSchedule->acceptEnd)) {
        this->callersStopped = true;
        this->callers.stop();
        return;
    }
    const bool isServed = this->callersStopped && isIdle && this->callers.connectionCount() == 0;
    if (isServed || now >= this->drainSchedule->exit) {
        this->router.logCutRequests(now);
        this->links.stop();
        this->log.info("node stopped",
                       {{"since_signal_ms", toMilliseconds(TimePoint(now - this->drainSchedule->started))},
                        {"served", isServed ? "yes" : "no"},
                        {"callers_in_progress", static_cast<std::int64_t>(this->callers.pending())},
                        {"home_in_progress", static_cast<std::int64_t>(this->home.inProgress())}});
        this->context.stop();
    }
}

CallerLimits ProxyNode::callerLimits() const
{
    return this->view.config() ? this->view.config()->limits : CallerLimits();
}

Readiness ProxyNode::readiness() const
{
    if (this->drainSchedule) {
        return {false, "draining"};
    }
    if (!this->view.config() || !this->follower.isSynchronized()) {
        return {false, "no configuration"};
    }
    return {true, ""};
}

OperatorSources ProxyNode::operatorSources()
{
    OperatorSources sources;
    sources.metrics = [this] {
        return this->metrics.text();
    };
    sources.readiness = [this] {
        return this->readiness();
    };
    return sources;
}

} // namespace Galenarack
