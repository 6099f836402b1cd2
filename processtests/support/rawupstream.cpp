#include "rawupstream.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace Galenarack {

namespace asio = boost::asio;
using StandIns::Tcp;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto endDelay = std::chrono::milliseconds(100);

/// @param name name of a field in lower case
/// @return value of the field; empty when there is none
std::string fieldOf(std::string_view head, const std::string &name)
{
    std::string lower(head);
    std::ranges::transform(lower, lower.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    const std::string line = "\r\n" + name + ": ";
    const std::size_t start = lower.find(line);
    if (start == std::string::npos) {
        return {};
    }
    const std::size_t value = start + line.size();
    return std::string(head.substr(value, head.find("\r\n", value) - value));
}

} // namespace

RawUpstream::RawUpstream(asio::io_context &context, std::string idField)
    : idField(std::move(idField))
    , acceptor(context, {asio::ip::address_v4::loopback(), 0})
    , endpoint(this->acceptor.local_endpoint())
{
    asio::co_spawn(context, this->accept(), asio::detached);
}

asio::awaitable<void> RawUpstream::accept()
{
    for (;;) {
        auto [error, socket] = co_await this->acceptor.async_accept(awaitTuple);
        if (error) {
            co_return;
        }
        asio::co_spawn(this->acceptor.get_executor(), this->serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> RawUpstream::serve(Tcp::socket socket)
{
    std::string buffer;
    for (;;) {
        const auto [error, headBytes] = co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", awaitTuple);
        if (error) {
            co_return;
        }
        const std::string head = buffer.substr(0, headBytes);
        const std::string id = fieldOf(head, this->idField);
        const std::string length = fieldOf(head, "content-length");
        const std::size_t unreadBytes = (length.empty() ? 0 : std::stoul(length)) - (buffer.size() - headBytes);
        buffer.clear();
        const bool isCheck = this->answersChecks && (head.starts_with("GET /health ") || head.starts_with("GET /drain "));
        this->arrivals[id] += isCheck ? 0 : 1;
        const std::string echo = "\r\n" + this->idField + ": " + id + "\r\n";
        const std::string signedEcho = echo + "Server-Seal: seal\r\n";
        asio::steady_timer timer(socket.get_executor(), this->delay);
        co_await timer.async_wait(awaitTuple);
        if (isCheck || head.find("/sound HTTP/") != std::string::npos) {
            const std::string bytes = "HTTP/1.1 200 OK" + signedEcho + "Content-Length: 5\r\n\r\nsound";
            co_await asio::async_write(socket, asio::buffer(bytes), awaitTuple);
            continue;
        }
        const RawAnswer now = this->answer;
        const std::string bytes
            = now.statusLine + (now.isSigned ? signedEcho : echo) + now.fields + (now.endlessPart.empty() ? "\r\n" : "") + now.body;
        co_await asio::async_write(socket, asio::buffer(bytes), awaitTuple);
        if (!now.endlessPart.empty()) {
            co_await this->sendWithoutEnd(socket, now.endlessPart);
            co_return;
        }
        co_await this->finish(socket, now.end, unreadBytes);
        co_return;
    }
}

asio::awaitable<void> RawUpstream::sendWithoutEnd(Tcp::socket &socket, std::string part)
{
    // Keeps a node that holds all bytes from using up the memory of the machine.
    constexpr std::size_t maxBytes = 1024 * 1024 * 1024;
    while (this->endlessBytes < maxBytes) {
        const auto [error, count] = co_await asio::async_write(socket, asio::buffer(part), awaitTuple);
        this->endlessBytes += count;
        if (error) {
            break;
        }
    }
}

asio::awaitable<void> RawUpstream::finish(Tcp::socket &socket, RawEnd end, std::size_t unreadBytes)
{
    boost::system::error_code ignored;
    if (end == RawEnd::HalfCloseThenRead) {
        socket.shutdown(Tcp::socket::shutdown_send, ignored);
    }
    if (end != RawEnd::ReadThenClose && end != RawEnd::Keep) {
        asio::steady_timer timer(socket.get_executor(), endDelay);
        co_await timer.async_wait(awaitTuple);
    }
    if (end == RawEnd::Reset) {
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    const bool reads = end == RawEnd::Keep || end == RawEnd::ReadThenClose || end == RawEnd::HalfCloseThenRead;
    std::string part(64 * 1024, '\0');
    while (reads && (unreadBytes > 0 || end == RawEnd::Keep)) {
        const auto [error, count] = co_await socket.async_read_some(asio::buffer(part), awaitTuple);
        if (error) {
            break;
        }
        unreadBytes -= std::min(count, unreadBytes);
    }
    socket.close(ignored);
}

} // namespace Galenarack
