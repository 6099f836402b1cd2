#pragma once

#include <standins/common/relay.h>

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <string>

namespace Galenarack::StandIns {

/// One direction of a relayed connection: a read loop fills a queue and a write loop drains it.
class RelayPipe
{
public:
    RelayPipe(Tcp::socket &from, Tcp::socket &to);

    /// Reads until the end of the stream, which is queued and delayed like the bytes before it.
    boost::asio::awaitable<void> read();

    /// Delivers queued bytes once their delay has passed, until the end of the stream.
    boost::asio::awaitable<void> write();

    void setFault(bool silent, std::chrono::microseconds delay);

    /// Makes both loops return.
    void stop();

private:
    struct Chunk
    {
        std::chrono::steady_clock::time_point deliverAt;
        std::string bytes; ///< Empty for the end of the stream.
    };

    Tcp::socket &from;
    Tcp::socket &to;
    boost::asio::steady_timer readerTimer; ///< Wakes the read loop: cancelled when the queue has room.
    boost::asio::steady_timer writerTimer; ///< Wakes the write loop: cancelled after a change of the queue or the fault.
    std::deque<Chunk> queue;
    std::size_t queuedBytes = 0;
    std::chrono::microseconds delay{0};
    bool silent = false;
    bool stopped = false;
};

/// Both directions of one relayed connection.
class RelayConnection : public std::enable_shared_from_this<RelayConnection>
{
public:
    explicit RelayConnection(Tcp::socket client);

    /// Connects to the target and relays until both directions have ended.
    boost::asio::awaitable<void> run(Tcp::endpoint target);

    void setFault(const PathFault &fault);

    /// Closes both sides with a TCP reset.
    void reset();

private:
    Tcp::socket client;
    Tcp::socket target;
    RelayPipe forward;
    RelayPipe backward;
};

} // namespace Galenarack::StandIns
