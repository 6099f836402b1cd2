#include <galenarack/peer/peerclient.h>

#include <galenarack/core/errorkind.h>
#include <galenarack/core/scopeguard.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <tuple>
#include <vector>

namespace Galenarack {

namespace asio = boost::asio;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/// Time limit for establishing a connection, and again for its hello. A connection within the fleet is established in about
/// 1 ms, so a much longer wait means that the VM cannot be reached now.
constexpr Duration connectTimeout = std::chrono::milliseconds(400);

/// Time after a failed connect during which requests to the VM fail at once, so that callers do not each wait for another
/// connect attempt.
constexpr Duration connectBackoff = std::chrono::milliseconds(250);

/// Gap between two ticks above which this process counts as having been paused.
constexpr Duration pauseThreshold = std::chrono::milliseconds(1000);

constexpr Duration heartbeatTimeout = std::chrono::milliseconds(1500);

/// Upper bound on the drift between the clocks of two VMs, in microseconds per second.
constexpr std::int64_t driftPartsPerMillion = 500;

} // namespace

std::int64_t PeerView::estimateClockMs(TimePoint now) const
{
    const Duration age = now - this->clockReceived;
    const Duration drift = age * driftPartsPerMillion / 1'000'000;
    return this->clockMs + std::chrono::duration_cast<std::chrono::milliseconds>(age - drift).count();
}

/// Connection to one VM and the status of its node.
struct PeerClient::Link
{
    Link(std::string vm, const asio::any_io_executor &executor)
        : vm(std::move(vm))
        , connected(executor)
    {
    }

    std::string vm;
    asio::ip::tcp::endpoint address;
    std::shared_ptr<PeerSession> session;
    std::optional<PeerView> view;
    std::uint32_t path = 0; ///< Row of the path in the PathTable.
    TimePoint pingReported; ///< Send time of the last PING reported to the PathTable.
    TimePoint pingReplyReported; ///< Receive time of the last PING reply reported to the PathTable.
    TimePoint lastReceivedReported; ///< Receive time of the last data reported to the PathTable.
    bool connecting = false;
    bool heartbeatPending = false;
    asio::steady_timer connected; ///< Timer cancelled when a connect attempt ends, which wakes all waiting requests.
    absl::Status lastConnect; ///< Result of the last connect attempt.
    TimePoint lastConnectFailure;
};

PeerClient::PeerClient(asio::any_io_executor executor,
                       NodeIdentity identity,
                       PeerLimits limits,
                       std::function<NodeReport()> ownReport,
                       std::function<void(const NodeReport &)> reportReceived,
                       PathTable &paths)
    : executor(std::move(executor))
    , identity(std::move(identity))
    , limits(std::move(limits))
    , ownReport(std::move(ownReport))
    , reportReceived(std::move(reportReceived))
    , paths(paths)
    , log("peer")
{
}

void PeerClient::setAddress(const std::string &vm, const asio::ip::tcp::endpoint &address)
{
    auto &link = this->links[vm];
    if (!link) {
        link = std::make_shared<Link>(vm, this->executor);
        link->path = this->paths.add(vm, NodeClock::now());
    }
    if (link->address == address) {
        return;
    }
    link->address = address;
    if (link->session) {
        link->session->close();
    }
}

const PeerView *PeerClient::view(const std::string &vm) const
{
    const auto entry = this->links.find(vm);
    if (entry == this->links.end() || !entry->second->view) {
        return nullptr;
    }
    return &*entry->second->view;
}

asio::awaitable<absl::StatusOr<PeerView>> PeerClient::connect(const std::string &vm, TimePoint deadline)
{
    const auto entry = this->links.find(vm);
    if (entry == this->links.end()) {
        co_return makeError(ErrorKind::PeerUnreachable, "VM " + vm + " has no known address");
    }
    const auto link = entry->second;
    const absl::Status status = co_await this->ensureConnected(link, deadline);
    if (!status.ok()) {
        co_return status;
    }
    co_return *link->view;
}

asio::awaitable<absl::StatusOr<PeerReply>> PeerClient::request(const std::string &vm,
                                                               std::function<PeerRequest(const PeerView &)> makeRequest,
                                                               TimePoint deadline,
                                                               std::shared_ptr<Cancellation> cancellation)
{
    const auto view = co_await this->connect(vm, deadline);
    if (!view.ok()) {
        co_return view.status();
    }
    const auto session = this->links.find(vm)->second->session;
    auto response = co_await session->request(makeRequest(*view), deadline, std::move(cancellation));
    if (!response.ok()) {
        co_return response.status();
    }
    if (const auto clock = response->headers.findNumber(PeerHeader::clockMs)) {
        this->updateClock(vm, *clock, NodeClock::now());
    }
    co_return PeerReply{std::move(*response), view->incarnation};
}

void PeerClient::updateClock(const std::string &vm, std::int64_t clockMs, TimePoint now)
{
    const auto entry = this->links.find(vm);
    if (entry == this->links.end() || !entry->second->view) {
        return;
    }
    PeerView &view = *entry->second->view;
    // A message that was delayed longer gives an estimate that lags more, so the larger estimate is the better one.
    if (clockMs >= view.estimateClockMs(now)) {
        view.clockMs = clockMs;
        view.clockReceived = now;
    }
}

asio::awaitable<absl::Status> PeerClient::ensureConnected(std::shared_ptr<Link> link, TimePoint deadline)
{
    if (link->session && link->session->isUsable() && link->view) {
        co_return absl::OkStatus();
    }
    if (!link->connecting) {
        if (NodeClock::now() - link->lastConnectFailure < connectBackoff) {
            co_return link->lastConnect;
        }
        link->connecting = true;
        link->connected.expires_after(std::chrono::hours(1));
        asio::co_spawn(
            this->executor,
            [this, link]() -> asio::awaitable<void> {
                link->lastConnect = co_await this->openConnection(link);
                link->connecting = false;
                if (!link->lastConnect.ok()) {
                    link->lastConnectFailure = NodeClock::now();
                }
                link->connected.cancel();
            },
            asio::detached);
    }
    while (link->connecting && NodeClock::now() < deadline) {
        // All waiting requests share one connect attempt, which has its own time limit.
        co_await link->connected.async_wait(awaitTuple);
    }
    if (link->session && link->session->isUsable() && link->view) {
        co_return absl::OkStatus();
    }
    co_return link->lastConnect.ok() ? makeError(ErrorKind::PeerUnreachable, "no connection to VM " + link->vm) : link->lastConnect;
}

asio::awaitable<absl::Status> PeerClient::openConnection(std::shared_ptr<Link> link)
{
    asio::ip::tcp::socket socket(this->executor);
    asio::steady_timer limit(this->executor);
    limit.expires_after(connectTimeout);
    limit.async_wait([&socket](boost::system::error_code error) {
        if (!error) {
            boost::system::error_code ignored;
            socket.close(ignored);
        }
    });
    const auto [error] = co_await socket.async_connect(link->address, awaitTuple);
    limit.cancel();
    if (error || !socket.is_open()) {
        this->paths.connectFailed(link->path, NodeClock::now());
        co_return makeError(ErrorKind::PeerUnreachable, "connect to VM " + link->vm + " failed: " + error.message());
    }
    const auto session = std::make_shared<PeerSession>(std::move(socket), PeerSession::Role::Client, this->limits, PeerHandler());
    session->start();
    co_return co_await this->sendHello(link, session);
}

asio::awaitable<absl::Status> PeerClient::sendHello(std::shared_ptr<Link> link, std::shared_ptr<PeerSession> session)
{
    PeerRequest request;
    request.method = "POST";
    request.path = PeerPath::hello;
    request.body = this->ownReport().encode();
    auto response = co_await session->request(std::move(request), NodeClock::now() + connectTimeout);
    if (!response.ok()) {
        session->close();
        this->paths.helloUnanswered(link->path, NodeClock::now());
        co_return makeError(ErrorKind::PeerUnreachable, "VM " + link->vm + " did not respond to the hello");
    }
    const auto report = NodeReport::decode(response->body);
    if (response->status != 200 || !report.ok() || report->version != peerProtocolVersion || report->fleet != this->identity.fleet
        || report->vm != link->vm) {
        session->close();
        this->log.warn("peer refused the hello or is not the expected node",
                       {{"vm", link->vm}, {"status", static_cast<std::int64_t>(response->status)}});
        co_return makeError(ErrorKind::PeerUnreachable, "VM " + link->vm + " refused the hello or is not the expected node");
    }
    this->applyReport(*link, *report);
    link->session = session;
    this->paths.connected(link->path, NodeClock::now());
    co_return absl::OkStatus();
}

void PeerClient::applyReport(Link &link, const NodeReport &report)
{
    const TimePoint now = NodeClock::now();
    if (!link.view || link.view->incarnation != report.incarnation) {
        link.view = PeerView{report.incarnation, report.revision, report.leaving, report.clockMs, now};
    }
    link.view->revision = std::max(link.view->revision, report.revision);
    link.view->leaving = report.leaving;
    this->updateClock(link.vm, report.clockMs, now);
    this->reportReceived(report);
}

void PeerClient::tick(TimePoint now)
{
    const bool afterPause = this->lastTick != TimePoint() && now - this->lastTick > pauseThreshold;
    this->lastTick = now;
    for (const auto &[vm, link] : this->links) {
        if (link->session) {
            link->session->checkLiveness(now, afterPause);
            this->observePath(*link, now);
        }
    }
    this->reconnectOne(now);
    this->sendDueHeartbeats(now);
}

void PeerClient::observePath(Link &link, TimePoint now)
{
    const PeerSession &session = *link.session;
    if (session.lastReceived() > link.lastReceivedReported) {
        link.lastReceivedReported = session.lastReceived();
        this->paths.frameReceived(link.path, now);
    }
    const auto &reply = session.lastPingReply();
    if (reply && reply->received > link.pingReplyReported) {
        link.pingReplyReported = reply->received;
        this->paths.pingAnswered(link.path, reply->roundTrip, now);
    }
    const auto ping = session.unansweredPing();
    if (ping && *ping > link.pingReported) {
        link.pingReported = *ping;
        this->paths.pingSent(link.path, *ping);
    }
}

void PeerClient::reconnectOne(TimePoint now)
{
    auto entry = this->links.upper_bound(this->reconnectCursor);
    for (std::size_t step = 0; step < this->links.size(); ++step) {
        if (entry == this->links.end()) {
            entry = this->links.begin();
        }
        const auto link = entry->second;
        const bool isConnected = link->session && link->session->isUsable();
        if (!isConnected && !link->connecting && !this->paths.isReachable(link->path)) {
            this->reconnectCursor = link->vm;
            asio::co_spawn(
                this->executor,
                [this, link, now]() -> asio::awaitable<void> {
                    std::ignore = co_await this->ensureConnected(link, now + connectTimeout);
                },
                asio::detached);
            return;
        }
        ++entry;
    }
}

void PeerClient::sendDueHeartbeats(TimePoint now)
{
    if (now - this->lastHeartbeat < heartbeatPace || this->links.empty()) {
        return;
    }
    // Continues with the next connected VM by name after the previous heartbeat.
    auto entry = this->links.upper_bound(this->heartbeatCursor);
    for (std::size_t step = 0; step < this->links.size(); ++step) {
        if (entry == this->links.end()) {
            entry = this->links.begin();
        }
        const auto link = entry->second;
        if (link->session && link->session->isUsable() && !link->heartbeatPending) {
            this->heartbeatCursor = link->vm;
            this->lastHeartbeat = now;
            link->heartbeatPending = true;
            asio::co_spawn(
                this->executor,
                [this, link]() -> asio::awaitable<void> {
                    co_await this->sendHeartbeat(link);
                },
                asio::detached);
            return;
        }
        ++entry;
    }
}

asio::awaitable<void> PeerClient::sendHeartbeat(std::shared_ptr<Link> link)
{
    const ScopeGuard finished([link] {
        link->heartbeatPending = false;
    });
    PeerRequest request;
    request.method = "GET";
    request.path = PeerPath::heartbeat;
    const auto response = co_await link->session->request(std::move(request), NodeClock::now() + heartbeatTimeout);
    if (!response.ok()) {
        co_return;
    }
    const auto report = NodeReport::decode(response->body);
    if (report.ok() && report->vm == link->vm) {
        this->applyReport(*link, *report);
    }
}

std::size_t PeerClient::connectionCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->links, [](const auto &entry) {
        return entry.second->session && entry.second->session->isOpen();
    }));
}

} // namespace Galenarack
