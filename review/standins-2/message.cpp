#include "message.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Review {

namespace {

sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

void disableDelay(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::string toText(const Fields &fields)
{
    std::string text;
    for (const auto &[name, value] : fields.all()) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    return text;
}

} // namespace

void Fields::add(std::string name, std::string value)
{
    this->fields.emplace_back(std::move(name), std::move(value));
}

std::string Fields::find(std::string_view name) const
{
    for (const auto &[known, value] : this->fields) {
        if (known.size() == name.size() && strncasecmp(known.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return {};
}

bool Fields::contains(std::string_view name) const
{
    return std::ranges::any_of(this->fields, [name](const auto &field) {
        return field.first.size() == name.size() && strncasecmp(field.first.data(), name.data(), name.size()) == 0;
    });
}

Socket::Socket(int descriptor)
    : descriptor(descriptor)
{
}

Socket::~Socket()
{
    this->close();
}

Socket::Socket(Socket &&other) noexcept
    : descriptor(std::exchange(other.descriptor, -1))
{
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    if (this != &other) {
        this->close();
        this->descriptor = std::exchange(other.descriptor, -1);
    }
    return *this;
}

void Socket::close()
{
    if (this->descriptor >= 0) {
        ::close(std::exchange(this->descriptor, -1));
    }
}

Socket listenOn(const Address &address)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(socket.handle(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in local = toSockaddr(address);
    constexpr int backlog = 256;
    if (bind(socket.handle(), reinterpret_cast<const sockaddr *>(&local), sizeof(local)) != 0 || listen(socket.handle(), backlog) != 0) {
        socket.close();
    }
    return socket;
}

Socket connectTo(const Address &address)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in remote = toSockaddr(address);
    if (connect(socket.handle(), reinterpret_cast<const sockaddr *>(&remote), sizeof(remote)) != 0) {
        socket.close();
        return socket;
    }
    disableDelay(socket.handle());
    return socket;
}

bool writeAll(const Socket &socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = send(socket.handle(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (written <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

bool Reader::fill(Clock::time_point deadline)
{
    if (deadline != Clock::time_point::max()) {
        const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
        pollfd ready{this->socket.handle(), POLLIN, 0};
        if (left <= 0 || poll(&ready, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
    }
    std::array<char, 64 * 1024> bytes{};
    const ssize_t length = recv(this->socket.handle(), bytes.data(), bytes.size(), 0);
    if (length <= 0) {
        return false;
    }
    this->buffer.append(bytes.data(), static_cast<std::size_t>(length));
    return true;
}

bool Reader::readLine(std::string &line, Clock::time_point deadline)
{
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n")) == std::string::npos) {
        if (!this->fill(deadline)) {
            return false;
        }
    }
    line = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return true;
}

bool Reader::readFields(Fields &fields, Clock::time_point deadline)
{
    std::string line;
    while (this->readLine(line, deadline)) {
        if (line.empty()) {
            return true;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            return false;
        }
        const std::size_t start = line.find_first_not_of(" \t", colon + 1);
        fields.add(line.substr(0, colon), start == std::string::npos ? std::string() : line.substr(start));
    }
    return false;
}

bool Reader::readBytes(std::size_t count, std::string &bytes, Clock::time_point deadline)
{
    while (this->buffer.size() < count) {
        if (!this->fill(deadline)) {
            return false;
        }
    }
    bytes.append(this->buffer, 0, count);
    this->buffer.erase(0, count);
    return true;
}

bool Reader::readBody(const Fields &fields, std::string &body, Clock::time_point deadline)
{
    const std::string length = fields.find("content-length");
    std::size_t count = 0;
    std::from_chars(length.data(), length.data() + length.size(), count);
    return this->readBytes(count, body, deadline);
}

bool Reader::read(Request &request)
{
    request = Request();
    constexpr auto never = Clock::time_point::max();
    std::string line;
    if (!this->readLine(line, never)) {
        return false;
    }
    const std::size_t first = line.find(' ');
    const std::size_t second = line.rfind(' ');
    if (first == std::string::npos || second <= first) {
        return false;
    }
    request.method = line.substr(0, first);
    request.target = line.substr(first + 1, second - first - 1);
    return this->readFields(request.fields, never) && this->readBody(request.fields, request.body, never);
}

bool Reader::read(Response &response, Clock::time_point deadline)
{
    constexpr std::size_t statusOffset = 9; // Length of "HTTP/1.1 ".
    response = Response();
    std::string line;
    unsigned status = 0;
    if (!this->readLine(line, deadline) || line.size() < statusOffset + 3) {
        return false;
    }
    std::from_chars(line.data() + statusOffset, line.data() + statusOffset + 3, status);
    if (!this->readFields(response.fields, deadline) || !this->readBody(response.fields, response.body, deadline)) {
        return false;
    }
    response.status = status;
    return true;
}

std::string toBytes(const Request &request)
{
    const bool hasBody = request.method != "GET";
    return request.method + " " + request.target + " HTTP/1.1\r\n" + toText(request.fields)
           + (hasBody ? "Content-Length: " + std::to_string(request.body.size()) + "\r\n" : std::string()) + "\r\n" + request.body;
}

std::string toBytes(const Response &response)
{
    return "HTTP/1.1 " + std::to_string(response.status) + " Status\r\n" + toText(response.fields)
           + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}

} // namespace Review
