#include <galenarack/proxy/callerserver.h>

#include <galenarack/core/errorkind.h>
#include <galenarack/core/socketoptions.h>
#include <galenarack/ingress/callermessage.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace Galenarack {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/// Maximum number of requests in progress on one connection; further ones stay unread in the socket.
constexpr std::size_t pipelineLimit = 64;

/// After stop(), a connection is closed when no request has arrived on it for this long. A request that was sent before the
/// caller could know of the stop arrives within one round trip.
constexpr Duration stoppedIdleTime = std::chrono::milliseconds(150);

/// Time for which the bytes that a caller still sends are read after the last response.
constexpr Duration discardTimeout = std::chrono::seconds(2);

/// Retry-After of a request whose body does not fit, in seconds.
constexpr std::string_view bodyRetryAfter = "1";

/// Time for receiving a body after its header, and for sending a response.
constexpr Duration transferTimeout = std::chrono::seconds(15);

} // namespace

/// A request whose response has not been sent.
struct CallerServer::Pending
{
    explicit Pending(std::shared_ptr<ByteBudget> bodies)
        : bodies(std::move(bodies))
        , reservation(std::in_place, *this->bodies, nullptr)
    {
    }
    std::shared_ptr<ByteBudget> bodies;
    std::optional<ByteReservation> reservation; ///< Share of the body; empty once the request has been answered.
    std::shared_ptr<Cancellation> cancellation = std::make_shared<Cancellation>();
    PeerResponse response;
    bool answered = false; ///< The response is ready to be sent.
    bool keepAlive = true; ///< The caller may send further requests on this connection.
    bool isHead = false; ///< The method is HEAD, so that the response is sent without its body.
};

/// One connection of a caller.
struct CallerServer::Connection
{
    Connection(asio::ip::tcp::socket accepted, const asio::any_io_executor &executor)
        : socket(std::move(accepted))
        , changed(executor, asio::steady_timer::time_point::max())
    {
    }
    asio::ip::tcp::socket socket;
    beast::flat_buffer buffer;
    asio::steady_timer changed; ///< Cancelled when a response is ready, was sent, or the connection ends.
    std::deque<std::shared_ptr<Pending>> pending;
    bool reading = false; ///< A request has been received in part.
    bool ended = false; ///< No further request will be read.
    bool closing = false; ///< The last response is being sent; requests received after it are not run.
    bool writing = false; ///< A response is being sent.
    TimePoint readingSince; ///< Start of the request that is being received.
    TimePoint writingSince; ///< Start of the response that is being sent.
    TimePoint idleSince; ///< Last time at which a request or a response began or ended.
};

CallerServer::CallerServer(asio::any_io_executor executor, std::function<CallerLimits()> limits, std::size_t bodyBytes, Handler handler)
    : executor(std::move(executor))
    , limits(std::move(limits))
    , bodies(std::make_shared<ByteBudget>(bodyBytes))
    , handler(std::move(handler))
    , listener(this->executor, [this](asio::ip::tcp::socket socket) {
        this->accept(std::move(socket));
    })
{
}

absl::Status CallerServer::listen(const asio::ip::tcp::endpoint &address)
{
    return this->listener.listen(address, "caller_address");
}

void CallerServer::accept(asio::ip::tcp::socket socket)
{
    // tick() bounds the time of a write, so that a caller may pause its reading.
    detectDeadPeer(socket);
    const auto connection = std::make_shared<Connection>(std::move(socket), this->executor);
    connection->idleSince = NodeClock::now();
    this->connections.push_back(connection);
    asio::co_spawn(
        this->executor,
        [this, connection]() -> asio::awaitable<void> {
            co_await this->readLoop(connection);
        },
        asio::detached);
    asio::co_spawn(
        this->executor,
        [this, connection]() -> asio::awaitable<void> {
            co_await this->writeLoop(connection);
        },
        asio::detached);
}

asio::awaitable<beast::error_code> CallerServer::readRequest(Connection &connection, Parser &parser, ByteReservation &reservation)
{
    constexpr std::size_t readSize = 4096;
    connection.idleSince = NodeClock::now();
    if (connection.buffer.size() == 0) {
        const auto [error, length] = co_await connection.socket.async_read_some(connection.buffer.prepare(readSize), awaitTuple);
        if (error) {
            co_return error == asio::error::eof ? beast::error_code(http::error::end_of_stream) : error;
        }
        connection.buffer.commit(length);
    }
    connection.reading = true;
    connection.readingSince = NodeClock::now();
    const auto [headerError, headerLength] = co_await http::async_read_header(connection.socket, connection.buffer, parser, awaitTuple);
    if (headerError) {
        co_return headerError;
    }
    if (!hasUnambiguousLength(parser.get())) {
        co_return http::error::bad_content_length;
    }
    if (!reservation.tryResize(parser.content_length().value_or(0))) {
        co_return asio::error::no_buffer_space;
    }
    if (connection.pending.empty() && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        const http::response<http::empty_body> interim(http::status::continue_, parser.get().version());
        co_await http::async_write(connection.socket, interim, awaitTuple);
    }
    co_return co_await this->readBody(connection, parser, reservation);
}

asio::awaitable<beast::error_code> CallerServer::readBody(Connection &connection, Parser &parser, ByteReservation &reservation)
{
    const bool hasLength = parser.content_length().has_value();
    parser.eager(true);
    while (!parser.is_done()) {
        const auto [error, length] = co_await http::async_read_some(connection.socket, connection.buffer, parser, awaitTuple);
        if (error) {
            co_return error;
        }
        if (!hasLength && !reservation.tryResize(parser.get().body().capacity())) {
            co_return asio::error::no_buffer_space;
        }
    }
    co_return beast::error_code();
}

asio::awaitable<void> CallerServer::skipInput(Connection &connection)
{
    constexpr std::size_t skipSize = 16 * 1024;
    for (;;) {
        connection.buffer.clear();
        const auto [error, length] = co_await connection.socket.async_read_some(connection.buffer.prepare(skipSize), awaitTuple);
        if (error) {
            co_return;
        }
    }
}

void CallerServer::cancelUnanswered(const Connection &connection)
{
    for (const auto &pending : std::deque(connection.pending)) {
        pending->cancellation->request();
    }
}

asio::awaitable<void> CallerServer::readLoop(std::shared_ptr<Connection> connection)
{
    for (;;) {
        while (connection->pending.size() >= pipelineLimit) {
            co_await connection->changed.async_wait(awaitTuple);
        }
        const CallerLimits limits = this->limits();
        Parser parser;
        parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        parser.body_limit(limits.bodyBytes);
        const auto pending = std::make_shared<Pending>(this->bodies);
        const beast::error_code error = co_await this->readRequest(*connection, parser, *pending->reservation);
        connection->reading = false;
        connection->idleSince = NodeClock::now();
        if (error) {
            if (error == asio::error::no_buffer_space) {
                pending->reservation.reset();
                this->refuse(connection, ErrorKind::Overloaded, "the bodies of requests in progress leave no room for this one");
                connection->changed.cancel();
                co_await this->skipInput(*connection);
                cancelUnanswered(*connection);
            } else if (isProtocolError(error)) {
                this->refuse(connection, kindOfReadError(error), error.message());
            } else {
                // The caller has closed the connection, so its responses cannot be delivered.
                cancelUnanswered(*connection);
            }
            break;
        }
        if (connection->closing) {
            // The caller repeats requests that were sent before it received the closing response, so they must not run here.
            continue;
        }
        pending->keepAlive = parser.keep_alive();
        pending->isHead = parser.get().method() == http::verb::head;
        this->enqueue(connection, pending);
        CallerRequest request = toCallerRequest(parser.release());
        asio::co_spawn(
            this->executor,
            [this, connection, pending, received = std::move(request)]() mutable -> asio::awaitable<void> {
                co_await this->answer(connection, pending, std::move(received));
            },
            asio::detached);
        if (!pending->keepAlive) {
            // Read on only to detect that the caller closes the connection.
            char byte = 0;
            const auto [endError, length] = co_await connection->socket.async_read_some(asio::buffer(&byte, 1), awaitTuple);
            if (endError && !pending->answered) {
                pending->cancellation->request();
            }
            break;
        }
    }
    connection->ended = true;
    connection->changed.cancel();
}

void CallerServer::enqueue(const std::shared_ptr<Connection> &connection, std::shared_ptr<Pending> pending)
{
    connection->pending.push_back(std::move(pending));
}

void CallerServer::refuse(const std::shared_ptr<Connection> &connection, ErrorKind kind, const std::string &detail)
{
    this->log.warn(
        "request refused",
        {{"error_kind", errorRow(kind).name}, {"detail", detail}, {"bodies_bytes", static_cast<std::int64_t>(this->bodies->used())}});
    const auto pending = std::make_shared<Pending>(this->bodies);
    pending->keepAlive = false;
    pending->answered = true;
    pending->response = problemResponse(kind, detail, "");
    if (kind == ErrorKind::Overloaded) {
        pending->response.headers.add("retry-after", std::string(bodyRetryAfter));
    }
    this->enqueue(connection, pending);
}

asio::awaitable<void> CallerServer::answer(std::shared_ptr<Connection> connection, std::shared_ptr<Pending> pending, CallerRequest request)
{
    pending->response = co_await this->handler(std::move(request), pending->cancellation);
    pending->reservation.reset();
    pending->answered = true;
    connection->changed.cancel();
}

asio::awaitable<void> CallerServer::writeLoop(std::shared_ptr<Connection> connection)
{
    bool open = true;
    while (open) {
        while (connection->pending.empty() ? !connection->ended : !connection->pending.front()->answered) {
            co_await connection->changed.async_wait(awaitTuple);
        }
        if (connection->pending.empty()) {
            break;
        }
        const std::shared_ptr<Pending> pending = connection->pending.front();
        if (pending->cancellation->isRequested()) {
            break;
        }
        const bool isLast = connection->pending.size() == 1 && !connection->reading;
        const bool keepAlive = pending->keepAlive && !(this->draining && isLast);
        connection->closing = !keepAlive;
        http::response<http::string_body> message(static_cast<http::status>(pending->response.status), 11);
        for (const HeaderField &field : pending->response.headers.all()) {
            message.insert(field.name, field.value);
        }
        message.body() = std::move(pending->response.body);
        message.keep_alive(keepAlive);
        message.prepare_payload();
        if (pending->isHead) {
            message.body().clear();
        }
        connection->writing = true;
        connection->writingSince = NodeClock::now();
        const auto [error, length] = co_await http::async_write(connection->socket, message, awaitTuple);
        connection->writing = false;
        connection->idleSince = NodeClock::now();
        connection->pending.pop_front();
        connection->changed.cancel();
        open = !error && keepAlive;
    }
    // No further response can be sent, so what is still received must not run, nor wait for room in the pipeline.
    connection->closing = true;
    for (const auto &pending : std::exchange(connection->pending, {})) {
        pending->cancellation->request();
    }
    connection->changed.cancel();
    if (!connection->ended) {
        co_await this->discardUnread(connection);
    }
    this->close(*connection);
    std::erase(this->connections, connection);
}

asio::awaitable<void> CallerServer::discardUnread(std::shared_ptr<Connection> connection)
{
    // Closing with unread bytes would reset the connection, and the caller could lose the response.
    boost::system::error_code ignored;
    connection->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    asio::steady_timer limit(this->executor, discardTimeout);
    limit.async_wait([connection](boost::system::error_code error) {
        if (!error) {
            boost::system::error_code failed;
            connection->socket.cancel(failed);
        }
    });
    while (!connection->ended) {
        co_await connection->changed.async_wait(awaitTuple);
    }
}

void CallerServer::close(Connection &connection)
{
    boost::system::error_code ignored;
    connection.socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    connection.socket.close(ignored);
}

void CallerServer::tick(TimePoint now)
{
    const CallerLimits limits = this->limits();
    for (const auto &connection : this->connections) {
        const Duration idle = now - connection->idleSince;
        const bool isIdle = connection->pending.empty() && !connection->reading && !connection->writing;
        const bool isSlow = connection->reading && now - connection->readingSince > limits.headerTimeout + transferTimeout;
        const bool isStuck = connection->writing && now - connection->writingSince > transferTimeout;
        const bool isLeftOver = isIdle && this->stoppedAt && std::min(idle, now - *this->stoppedAt) > stoppedIdleTime;
        if ((isIdle && idle > limits.idleTimeout) || isLeftOver || isSlow || isStuck) {
            boost::system::error_code ignored;
            connection->socket.cancel(ignored);
        }
    }
}

void CallerServer::drain()
{
    this->draining = true;
}

void CallerServer::stop()
{
    this->listener.stop();
    this->stoppedAt = NodeClock::now();
}

std::size_t CallerServer::pending() const
{
    std::size_t count = 0;
    for (const auto &connection : this->connections) {
        count += connection->pending.size() + (connection->reading ? 1 : 0);
    }
    return count;
}

} // namespace Galenarack
