#include <galenarack/peer/peerserver.h>

#include <galenarack/core/errorkind.h>
#include <galenarack/core/scopeguard.h>

namespace Galenarack {

namespace asio = boost::asio;

namespace {

PeerResponse errorResponse(unsigned status, ErrorKind kind)
{
    PeerResponse response;
    response.status = status;
    response.headers.add(PeerHeader::error, errorRow(kind).name);
    return response;
}

} // namespace

PeerServer::PeerServer(const asio::any_io_executor &executor,
                       NodeIdentity identity,
                       PeerLimits limits,
                       std::size_t connectionLimit,
                       std::function<NodeReport()> ownReport,
                       std::function<void(const NodeReport &)> helloReceived,
                       PeerHandler handler)
    : identity(std::move(identity))
    , limits(std::move(limits))
    , connectionLimit(connectionLimit)
    , ownReport(std::move(ownReport))
    , helloReceived(std::move(helloReceived))
    , handler(std::move(handler))
    , listener(executor,
               [this](asio::ip::tcp::socket socket) {
                   this->accept(std::move(socket));
               })
    , log("peer")
{
}

absl::Status PeerServer::listen(const asio::ip::tcp::endpoint &address)
{
    return this->listener.listen(address, "peer_address");
}

void PeerServer::drain()
{
    for (const auto &weak : this->sessions) {
        if (const auto session = weak.lock()) {
            session->sendGoAway();
        }
    }
}

std::size_t PeerServer::openRequests() const
{
    return this->requestsInProgress;
}

void PeerServer::accept(asio::ip::tcp::socket socket)
{
    this->sessions.remove_if([](const std::weak_ptr<PeerSession> &session) {
        return session.expired();
    });
    if (this->sessions.size() >= this->connectionLimit) {
        this->log.warn("peer connection refused: connection limit reached", {{"error_kind", errorRow(ErrorKind::ConnectionLimit).name}});
        return;
    }
    const auto helloAccepted = std::make_shared<bool>(false);
    const auto session = std::make_shared<PeerSession>(
        std::move(socket), PeerSession::Role::Server, this->limits, [this, helloAccepted](std::shared_ptr<PeerCall> call) {
            return this->handle(helloAccepted, std::move(call));
        });
    this->sessions.push_back(session);
    session->start();
}

asio::awaitable<PeerResponse> PeerServer::handle(std::shared_ptr<bool> helloAccepted, std::shared_ptr<PeerCall> call)
{
    if (call->request.path == PeerPath::hello) {
        co_return this->answerHello(*helloAccepted, call->request);
    }
    if (!*helloAccepted) {
        co_return errorResponse(403, ErrorKind::InvalidRequest);
    }
    ++this->requestsInProgress;
    const ScopeGuard finished([this] {
        --this->requestsInProgress;
    });
    co_return co_await this->handler(std::move(call));
}

PeerResponse PeerServer::answerHello(bool &helloAccepted, const PeerRequest &request)
{
    const auto report = NodeReport::decode(request.body);
    if (!report.ok()) {
        this->log.warn("peer refused: malformed hello", {{"detail", messageOf(report.status())}});
        return errorResponse(400, ErrorKind::InvalidRequest);
    }
    if (report->version != peerProtocolVersion || report->fleet != this->identity.fleet) {
        this->log.warn("peer refused: different protocol version or fleet",
                       {{"vm", report->vm},
                        {"version", static_cast<std::int64_t>(report->version)},
                        {"expected_version", static_cast<std::int64_t>(peerProtocolVersion)},
                        {"fleet", report->fleet},
                        {"expected_fleet", this->identity.fleet}});
        return errorResponse(403, ErrorKind::InvalidRequest);
    }
    helloAccepted = true;
    this->helloReceived(*report);
    PeerResponse response;
    response.body = this->ownReport().encode();
    return response;
}

} // namespace Galenarack
