#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Header fields of a message, in the order in which they were read or added.
class Fields
{
public:
    void add(std::string name, std::string value);

    /// @return the value of the first field with this name, compared without case; empty when there is none
    std::string find(std::string_view name) const;

    bool contains(std::string_view name) const;

    const std::vector<std::pair<std::string, std::string>> &all() const
    {
        return this->fields;
    }

private:
    std::vector<std::pair<std::string, std::string>> fields;
};

struct Request
{
    std::string method = "GET";
    std::string target;
    Fields fields;
    std::string body;
};

struct Response
{
    unsigned status = 0; ///< 0 when no complete response was read.
    Fields fields;
    std::string body;
};

/// Owner of a TCP socket.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int descriptor);
    ~Socket();
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    bool isOpen() const
    {
        return this->descriptor >= 0;
    }
    int handle() const
    {
        return this->descriptor;
    }
    void close();

private:
    int descriptor = -1;
};

/// An address of the loopback network.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const
    {
        return this->ip + ":" + std::to_string(this->port);
    }
};

/// @return a listening socket; not open when the address is in use
Socket listenOn(const Address &address);

/// @return a connection; not open when it was refused
Socket connectTo(const Address &address);

/// Writes all bytes.
/// @return false when the connection has ended
bool writeAll(const Socket &socket, std::string_view bytes);

/// Reads HTTP/1.1 messages from a connection.
class Reader
{
public:
    explicit Reader(const Socket &socket)
        : socket(socket)
    {
    }

    /// @return whether a whole request was read
    bool read(Request &request);

    /// @return whether a whole response was read before the end of the connection and the deadline
    bool read(Response &response, Clock::time_point deadline);

private:
    bool fill(Clock::time_point deadline);
    bool readLine(std::string &line, Clock::time_point deadline);
    bool readFields(Fields &fields, Clock::time_point deadline);
    bool readBody(const Fields &fields, std::string &body, Clock::time_point deadline);
    bool readBytes(std::size_t count, std::string &bytes, Clock::time_point deadline);

    const Socket &socket;
    std::string buffer;
};

/// @return the bytes of a request with its length
std::string toBytes(const Request &request);

/// @return the bytes of a response with its length
std::string toBytes(const Response &response);

} // namespace Review
