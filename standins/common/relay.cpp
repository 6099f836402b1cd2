#include <standins/common/relay.h>

#include <standins/common/relayconnection.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Galenarack::StandIns {

namespace asio = boost::asio;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t maxDatagramBytes = 65536;

asio::ip::udp::endpoint datagramEndpoint(const Tcp::endpoint &endpoint)
{
    return {endpoint.address(), endpoint.port()};
}

} // namespace

Relay::Relay(asio::io_context &context, Tcp::endpoint listen, Tcp::endpoint target, bool withDatagrams)
    : context(context)
    , listenEndpoint(std::move(listen))
    , targetEndpoint(std::move(target))
{
    this->setAccepting(true);
    if (withDatagrams) {
        this->datagramSocket = std::make_shared<Udp::socket>(context, datagramEndpoint(this->listenEndpoint));
        asio::co_spawn(context, this->relayDatagrams(this->datagramSocket), asio::detached);
    }
}

Relay::~Relay()
{
    this->setAccepting(false);
    this->closeConnections();
}

void Relay::setFault(const PathFault &fault, bool existingOnly)
{
    if (!existingOnly) {
        this->fault = fault;
    }
    for (const ConnectionPointer &connection : this->connections) {
        connection->setFault(fault);
    }
}

void Relay::closeConnections()
{
    for (const ConnectionPointer &connection : this->connections) {
        connection->reset();
    }
}

void Relay::setAccepting(bool accepting)
{
    if (accepting == (this->acceptor != nullptr)) {
        return;
    }
    if (!accepting) {
        this->acceptor->close();
        this->acceptor.reset();
        return;
    }
    this->acceptor = std::make_shared<Tcp::acceptor>(this->context, this->listenEndpoint);
    this->listenEndpoint = this->acceptor->local_endpoint();
    asio::co_spawn(this->context, this->acceptLoop(this->acceptor), asio::detached);
}

asio::awaitable<void> Relay::acceptLoop(std::shared_ptr<Tcp::acceptor> acceptor)
{
    while (acceptor->is_open()) {
        auto [error, socket] = co_await acceptor->async_accept(asTuple);
        if (!error) {
            ++this->accepted;
            const auto connection = std::make_shared<RelayConnection>(std::move(socket));
            connection->setFault(this->fault);
            this->connections.insert(connection);
            asio::co_spawn(this->context, this->runConnection(connection), asio::detached);
        }
    }
}

asio::awaitable<void> Relay::runConnection(ConnectionPointer connection)
{
    co_await connection->run(this->targetEndpoint);
    this->connections.erase(connection);
}

asio::awaitable<void> Relay::relayDatagrams(DatagramSocket socket)
{
    std::string buffer(maxDatagramBytes, '\0');
    while (socket->is_open()) {
        Udp::endpoint client;
        const auto [error, size] = co_await socket->async_receive_from(asio::buffer(buffer), client, asTuple);
        if (!error && !this->fault.forwardSilent) {
            this->sendAfterDelay(this->socketFor(client), buffer.substr(0, size), datagramEndpoint(this->targetEndpoint));
        }
    }
}

asio::awaitable<void> Relay::relayReplies(DatagramSocket socket, Udp::endpoint client)
{
    std::string buffer(maxDatagramBytes, '\0');
    while (socket->is_open()) {
        Udp::endpoint sender;
        const auto [error, size] = co_await socket->async_receive_from(asio::buffer(buffer), sender, asTuple);
        if (!error && !this->fault.backwardSilent) {
            this->sendAfterDelay(this->datagramSocket, buffer.substr(0, size), client);
        }
    }
}

void Relay::sendAfterDelay(const DatagramSocket &socket, std::string datagram, const Udp::endpoint &receiver)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->context, this->fault.delay);
    timer->async_wait([timer, socket, datagram = std::move(datagram), receiver](const boost::system::error_code &) {
        boost::system::error_code ignored;
        socket->send_to(asio::buffer(datagram), receiver, 0, ignored);
    });
}

Relay::DatagramSocket Relay::socketFor(const Udp::endpoint &client)
{
    DatagramSocket &socket = this->datagramClients[client];
    if (!socket) {
        socket = std::make_shared<Udp::socket>(this->context, Udp::endpoint(Udp::v4(), 0));
        asio::co_spawn(this->context, this->relayReplies(socket, client), asio::detached);
    }
    return socket;
}

} // namespace Galenarack::StandIns
