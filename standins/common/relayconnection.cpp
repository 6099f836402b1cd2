#include <standins/common/relayconnection.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace Galenarack::StandIns {

namespace asio = boost::asio;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t chunkBytes = std::size_t(64) << 10;

/// Limit on the bytes queued for a silent or slow direction; the relay stops reading once it is reached.
constexpr std::size_t maxQueuedBytes = std::size_t(4) << 20;

constexpr auto untilCancelled = std::chrono::hours(24);

} // namespace

RelayPipe::RelayPipe(Tcp::socket &from, Tcp::socket &to)
    : from(from)
    , to(to)
    , readerTimer(from.get_executor())
    , writerTimer(from.get_executor())
{
}

asio::awaitable<void> RelayPipe::read()
{
    std::string buffer(chunkBytes, '\0');
    while (!this->stopped) {
        if (this->queuedBytes >= maxQueuedBytes) {
            co_await sleepFor(this->readerTimer, untilCancelled);
            continue;
        }
        const auto [error, size] = co_await this->from.async_read_some(asio::buffer(buffer), asTuple);
        const std::size_t kept = error ? 0 : size;
        this->queue.push_back({std::chrono::steady_clock::now() + this->delay, buffer.substr(0, kept)});
        this->queuedBytes += kept;
        this->writerTimer.cancel();
        if (error) {
            break;
        }
    }
}

asio::awaitable<void> RelayPipe::write()
{
    while (!this->stopped) {
        if (this->queue.empty() || this->silent) {
            co_await sleepFor(this->writerTimer, untilCancelled);
            continue;
        }
        const auto wait = this->queue.front().deliverAt - std::chrono::steady_clock::now();
        if (wait > std::chrono::steady_clock::duration::zero()) {
            co_await sleepFor(this->writerTimer, wait);
            continue;
        }
        const std::string bytes = std::move(this->queue.front().bytes);
        this->queue.pop_front();
        this->queuedBytes -= bytes.size();
        this->readerTimer.cancel();
        boost::system::error_code ignored;
        if (bytes.empty()) {
            this->to.shutdown(Tcp::socket::shutdown_send, ignored);
            break;
        }
        // Bytes for a closed receiver are discarded: the sender detects the close in the other direction, which may be silent.
        co_await asio::async_write(this->to, asio::buffer(bytes), asTuple);
    }
}

void RelayPipe::setFault(bool silent, std::chrono::microseconds delay)
{
    this->silent = silent;
    this->delay = delay;
    this->writerTimer.cancel();
}

void RelayPipe::stop()
{
    this->stopped = true;
    this->readerTimer.cancel();
    this->writerTimer.cancel();
}

RelayConnection::RelayConnection(Tcp::socket client)
    : client(std::move(client))
    , target(this->client.get_executor())
    , forward(this->client, this->target)
    , backward(this->target, this->client)
{
}

asio::awaitable<void> RelayConnection::run(Tcp::endpoint target)
{
    using namespace asio::experimental::awaitable_operators;
    const auto [error] = co_await this->target.async_connect(target, asTuple);
    boost::system::error_code ignored;
    if (error) {
        this->reset();
        co_return;
    }
    this->client.set_option(Tcp::no_delay(true), ignored);
    this->target.set_option(Tcp::no_delay(true), ignored);
    co_await (this->forward.read() && this->forward.write() && this->backward.read() && this->backward.write());
    this->client.close(ignored);
    this->target.close(ignored);
}

void RelayConnection::setFault(const PathFault &fault)
{
    this->forward.setFault(fault.forwardSilent, fault.delay);
    this->backward.setFault(fault.backwardSilent, fault.delay);
}

void RelayConnection::reset()
{
    boost::system::error_code ignored;
    for (Tcp::socket *socket : {&this->client, &this->target}) {
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
    this->forward.stop();
    this->backward.stop();
}

} // namespace Galenarack::StandIns
