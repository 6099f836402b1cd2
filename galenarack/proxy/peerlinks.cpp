#include <galenarack/proxy/peerlinks.h>

#include <galenarack/core/errorkind.h>
#include <galenarack/core/scopeguard.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>

namespace Galenarack {

namespace asio = boost::asio;

namespace {

/// Round trips between nodes take a few milliseconds. A lost SYN is retransmitted only after a second, so that offering the
/// request to another upstream is faster than waiting for it.
constexpr Duration connectTimeout = std::chrono::milliseconds(250);

/// A gap between two ticks above this means that this process was paused, so that missing responses don't show that a peer
/// has failed.
constexpr Duration pauseLimit = std::chrono::milliseconds(500);

PeerLimits linkLimits(std::size_t bodyBytes)
{
    PeerLimits limits;
    limits.bodyBytes = 64 * 1024 * 1024;
    limits.bodyBudget = std::make_shared<ByteBudget>(bodyBytes);
    limits.pingInterval = std::chrono::milliseconds(400);
    limits.pingTimeout = std::chrono::milliseconds(400);
    limits.keepUnresponsiveConnections = true;
    return limits;
}

} // namespace

PeerLinks::PeerLinks(const asio::any_io_executor &executor, std::uint16_t port, std::size_t bodyBytes, PeerHandler handler)
    : executor(executor)
    , port(port)
    , limits(linkLimits(bodyBytes))
    , handler(std::move(handler))
    , listener(executor, [this](asio::ip::tcp::socket socket) {
        this->accept(std::move(socket));
    })
{
}

absl::Status PeerLinks::listen(const asio::ip::tcp::endpoint &address)
{
    return this->listener.listen(address, "peer_address");
}

void PeerLinks::stop()
{
    this->listener.stop();
}

bool PeerLinks::isAnswering() const
{
    return std::ranges::any_of(this->accepted, [](const std::weak_ptr<PeerSession> &known) {
        const std::shared_ptr<PeerSession> session = known.lock();
        return session && session->isBusy();
    });
}

void PeerLinks::accept(asio::ip::tcp::socket socket)
{
    const auto session = std::make_shared<PeerSession>(std::move(socket), PeerSession::Role::Server, this->limits, this->handler);
    std::erase_if(this->accepted, [](const std::weak_ptr<PeerSession> &known) {
        return known.expired();
    });
    this->accepted.push_back(session);
    session->start();
}

asio::awaitable<std::shared_ptr<PeerSession>> PeerLinks::connect(const asio::ip::address &vm)
{
    boost::beast::tcp_stream stream(this->executor);
    stream.expires_after(connectTimeout);
    const auto [error] = co_await stream.async_connect(asio::ip::tcp::endpoint(vm, this->port), asio::as_tuple(asio::use_awaitable));
    if (error) {
        co_return nullptr;
    }
    stream.expires_never();
    const auto session = std::make_shared<PeerSession>(stream.release_socket(), PeerSession::Role::Client, this->limits, nullptr);
    session->start();
    co_return session;
}

asio::awaitable<std::shared_ptr<PeerSession>> PeerLinks::acquireSession(const asio::ip::address &vm)
{
    std::shared_ptr<Link> &slot = this->links[vm];
    if (!slot) {
        slot = std::make_shared<Link>(this->executor);
    }
    const std::shared_ptr<Link> link = slot;
    if (link->session && link->session->isUsable()) {
        co_return link->session;
    }
    if (link->isConnecting) {
        co_await link->connected.async_wait(asio::as_tuple(asio::use_awaitable));
        co_return link->session && link->session->isUsable() ? link->session : nullptr;
    }
    link->isConnecting = true;
    const ScopeGuard finished([link] {
        link->isConnecting = false;
        link->connected.cancel();
    });
    if (link->session && link->session->isOpen()) {
        this->drainingSessions.push_back(std::move(link->session));
    }
    link->session = co_await this->connect(vm);
    if (!link->session) {
        this->log.warn("node not reached", {{"vm", vm.to_string()}});
    }
    co_return link->session;
}

asio::awaitable<absl::StatusOr<PeerResponse>> PeerLinks::exchange(
    asio::ip::address vm, PeerRequest request, TimePoint deadline, std::shared_ptr<Cancellation> cancellation, PeerProgress &progress)
{
    const auto session = co_await this->acquireSession(vm);
    if (!session) {
        co_return makeError(ErrorKind::PeerUnreachable, "cannot connect to the node on VM " + vm.to_string());
    }
    if (cancellation->isRequested()) {
        co_return makeError(ErrorKind::PeerUnreachable, "cancelled before the request was sent");
    }
    co_return co_await session->requestWithExpectContinue(std::move(request), deadline, std::move(cancellation), progress);
}

void PeerLinks::tick(TimePoint now)
{
    const bool afterPause = now - this->lastTick > pauseLimit;
    this->lastTick = now;
    for (const auto &[vm, link] : this->links) {
        if (link->session) {
            link->session->checkLiveness(now, afterPause);
        }
    }
    std::erase_if(this->drainingSessions, [](const std::shared_ptr<PeerSession> &session) {
        if (session->isOpen() && session->openStreams() == 0) {
            session->close();
        }
        return !session->isOpen();
    });
}

} // namespace Galenarack
