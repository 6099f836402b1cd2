#include <galenarack/membership/gossiptransport.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Galenarack {

namespace asio = boost::asio;

GossipTransport::GossipTransport(asio::io_context &context, GossipSystem &system, std::string fleet, const asio::ip::udp::endpoint &local)
    : system(system)
    , fleet(std::move(fleet))
    , socket(context, local)
    , timer(context)
{
    // A full socket buffer must not block the event loop. Lost datagrams are tolerable, because gossip repeats its updates.
    this->socket.non_blocking(true);
}

void GossipTransport::start()
{
    asio::co_spawn(this->socket.get_executor(), this->receiveLoop(), asio::detached);
    asio::co_spawn(this->socket.get_executor(), this->tickLoop(), asio::detached);
}

void GossipTransport::stop()
{
    this->stopped = true;
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->timer.cancel();
}

void GossipTransport::send(const std::vector<GossipDelivery> &deliveries)
{
    const std::uint16_t port = this->socket.local_endpoint().port();
    for (const GossipDelivery &delivery : deliveries) {
        const std::string datagram = encodeGossip(delivery.message);
        boost::system::error_code error;
        const asio::ip::address address = asio::ip::make_address(delivery.address, error);
        if (!error) {
            this->socket.send_to(asio::buffer(datagram), asio::ip::udp::endpoint(address, port), 0, error);
        }
        if (error) {
            ++this->totals.sendFailures;
            continue;
        }
        ++this->totals.sentDatagrams;
        this->totals.sentBytes += datagram.size() + datagramHeaderBytes;
    }
}

asio::ip::udp::endpoint GossipTransport::localEndpoint() const
{
    return this->socket.local_endpoint();
}

asio::awaitable<void> GossipTransport::receiveLoop()
{
    // One byte more than allowed, so that a longer datagram is detected instead of being truncated to a valid size.
    std::array<char, maxGossipBytes + 1> buffer{};
    while (!this->stopped) {
        asio::ip::udp::endpoint source;
        const auto [error, count]
            = co_await this->socket.async_receive_from(asio::buffer(buffer), source, asio::as_tuple(asio::use_awaitable));
        if (this->stopped) {
            co_return;
        }
        // Errors such as "connection refused" concern an earlier send to a port without a process, so they are ignored.
        if (!error) {
            this->handle(std::string_view(buffer.data(), count), source);
        }
    }
}

asio::awaitable<void> GossipTransport::tickLoop()
{
    while (!this->stopped) {
        this->send(this->system.tick(NodeClock::now()));
        this->timer.expires_after(tickPeriod);
        co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void GossipTransport::handle(std::string_view datagram, const asio::ip::udp::endpoint &source)
{
    ++this->totals.receivedDatagrams;
    this->totals.receivedBytes += datagram.size() + datagramHeaderBytes;
    const auto message = decodeGossip(datagram, this->fleet);
    if (!message.ok()) {
        this->drop(std::string(message.status().message()), source);
        return;
    }
    // Replies go to the stated address, so a forged one would make this node send datagrams to a third party.
    if (message->sender.address != source.address().to_string()) {
        this->drop("sender address in the message differs from the source address", source);
        return;
    }
    this->send(this->system.receive(*message, NodeClock::now()));
}

void GossipTransport::drop(std::string_view reason, const asio::ip::udp::endpoint &source)
{
    ++this->totals.dropped;
    const TimePoint now = NodeClock::now();
    if (this->lastDropLog && now - *this->lastDropLog < dropLogPeriod) {
        return;
    }
    const auto count = static_cast<std::int64_t>(this->totals.dropped - this->droppedAtLastLog);
    this->log.warn("gossip datagrams dropped",
                   {{"reason", reason}, {"source", source.address().to_string()}, {"count_since_last_line", count}});
    this->lastDropLog = now;
    this->droppedAtLastLog = this->totals.dropped;
}

} // namespace Galenarack
