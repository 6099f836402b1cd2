#pragma once

#include <standins/common/relay.h>

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <string>

namespace Galenarack::StandIns {

/// One direction of a relayed connection: a reader that fills a queue and a writer that empties it.
class RelayPipe
{
public:
    RelayPipe(Tcp::socket &from, Tcp::socket &to);

    /// Reads until the end of the stream; the end is passed on like the bytes before it.
    boost::asio::awaitable<void> read();
    boost::asio::awaitable<void> write();

    void setFault(bool silent, std::chrono::microseconds delay);

    /// Ends both loops.
    void stop();

private:
    struct Chunk
    {
        std::chrono::steady_clock::time_point deliverAt;
        std::string bytes; ///< Empty at the end of the stream.
    };

    Tcp::socket &from;
    Tcp::socket &to;
    boost::asio::steady_timer readerTimer; ///< Cancelled when the queue has room.
    boost::asio::steady_timer writerTimer; ///< Cancelled when the writer may have something to do.
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

    /// Closes both sides with a reset.
    void reset();

private:
    Tcp::socket client;
    Tcp::socket target;
    RelayPipe forward;
    RelayPipe backward;
};

} // namespace Galenarack::StandIns
