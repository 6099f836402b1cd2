#pragma once

#include <galenarack/core/listener.h>
#include <galenarack/core/log.h>
#include <galenarack/core/nodeidentity.h>
#include <galenarack/peer/peercontrol.h>
#include <galenarack/peer/peersession.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <list>
#include <memory>

namespace Galenarack {

/// Accepts connections from other nodes on the peer port. A connection must send a valid hello before any other request.
class PeerServer
{
public:
    /// @param connectionLimit maximum number of open connections; further ones are closed at once
    /// @param ownReport makes the report that answers a hello
    /// @param helloReceived is called with the report of each accepted hello
    /// @param handler answers all other requests
    PeerServer(const boost::asio::any_io_executor &executor,
               NodeIdentity identity,
               PeerLimits limits,
               std::size_t connectionLimit,
               std::function<NodeReport()> ownReport,
               std::function<void(const NodeReport &)> helloReceived,
               PeerHandler handler);

    /// Binds to `address` and starts to accept connections.
    /// @return SettingInvalid when the address cannot be bound
    absl::Status listen(const boost::asio::ip::tcp::endpoint &address);

    /// Sends GOAWAY on all connections. Requests in progress continue.
    void drain();

    /// @return the number of requests in progress, without hellos
    std::size_t openRequests() const;

private:
    void accept(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<PeerResponse> handle(std::shared_ptr<bool> helloAccepted, std::shared_ptr<PeerCall> call);
    PeerResponse answerHello(bool &helloAccepted, const PeerRequest &request);

    NodeIdentity identity;
    PeerLimits limits;
    std::size_t connectionLimit;
    std::function<NodeReport()> ownReport;
    std::function<void(const NodeReport &)> helloReceived;
    PeerHandler handler;
    Listener listener;
    std::list<std::weak_ptr<PeerSession>> sessions;
    std::size_t requestsInProgress = 0;
    Log log;
};

} // namespace Galenarack
