#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

/// Stand-ins of the review's cases: a store, backends and clients that speak the users' protocol on loopback addresses, and the
/// processes of the fleet. Each connection has a thread of its own.
namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Exit statuses of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/// @return milliseconds since the start of the program
long elapsedMs();

void sleepMs(long time);

/// @return whether the disruption of the case takes place; it doesn't with TROUBLE=0 in the environment
bool isTroubled();

/// File with what was sent, answered and run, one line each, with the time in milliseconds.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    void write(const std::string &line);

    /// Writes a line to the file and to standard output.
    void say(const std::string &line);

private:
    std::mutex mutex;
    std::FILE *file;
};

/// Names in lower case.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// HTTP/1.1 request or response.
struct Message
{
    std::string start; ///< Request line or status line.
    Headers headers;
    std::string body;

    /// @return value of a header field, or an empty string
    std::string header(std::string_view name) const;

    /// @return part of the first line, counted from 0
    std::string word(std::size_t index) const;

    /// @return status code of a response
    int status() const;
};

/// One TCP connection with blocking calls.
class Connection
{
public:
    explicit Connection(int handle);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// @return the connection, or null when it isn't established within a second
    static std::unique_ptr<Connection> open(const std::string &ip, std::uint16_t port);

    /// @return whether all bytes were handed to the kernel
    bool send(std::string_view bytes);

    /// Reads one message with its body.
    /// @return nothing at the end of the connection or after the timeout
    std::optional<Message> read(long timeoutMs);

    /// Reads the head of a message; the body stays unread.
    std::optional<Message> readHead(long timeoutMs);

    /// Reads a part of a body.
    /// @return number of bytes read, 0 at the end of the connection or after the timeout
    std::size_t readSome(std::size_t most, long timeoutMs);

    /// Ends the connection in both directions; wakes a thread that reads.
    void shutDown();

    /// Closes with a reset.
    void reset();

private:
    bool fill(long timeoutMs);

    int handle;
    std::string buffer;
};

/// Listens on one address and runs a handler for each connection, in a thread of its own.
class Server
{
public:
    using Handler = std::function<void(Connection &)>;

    /// @param port 0 selects a free port
    Server(std::string ip, std::uint16_t port, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Stops listening and ends all connections.
    void stop();

    const std::string ip;
    std::uint16_t port = 0;

private:
    void acceptLoop();

    Handler handler;
    int listener = -1;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    std::set<Connection *> open;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

/// @return a response with a length
std::string makeResponse(int status, const Headers &headers, std::string_view body);

/// Entry of a backend in the store.
struct Entry
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    int slots = 1;
    std::string state = "ready";
};

/// Route of a configuration.
struct Route
{
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    int targetMs = 1500;
    int timeoutMs = 8000;
    int maxAttempts = 2;
};

/// The platform's store: items with revisions, point and range reads, and watches. It loses nothing that it has acknowledged.
class Store
{
public:
    /// @param doors number of addresses at which it is reached, one for each process, so that answers to one of them can be lost
    Store(const std::string &ip, int doors, Record &record);

    /// Ends the waiting watches and all connections.
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    /// @return revision of the change
    std::uint64_t putEntry(const Entry &entry);
    std::uint64_t removeEntry(const std::string &id);
    std::uint64_t putConfig(int version, const std::vector<Route> &routes, const std::set<std::string> &services);

    /// Closes all connections that wait in a watch.
    void cutWatches();

    /// Called with the number of the door when a watch with events is about to be answered. If it returns true, the answer is lost,
    /// and the connection returns nothing further.
    std::function<bool(int door)> losesAnswer;

    std::string address(int door) const;

    static constexpr const char *host = "fleet.example";

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    std::uint64_t put(const std::string &key, Item item);
    void serve(Connection &connection, int door);
    /// @return nothing when the watch was cut
    std::optional<std::string> watch(const std::map<std::string, std::string> &query, bool &hasEvents);
    static std::string toJson(const std::string &key, const Item &item);

    Record &record;
    std::mutex mutex;
    std::map<std::string, Item> items;
    std::uint64_t revision = 1;
    std::map<std::string, int> sequences;
    std::atomic<int> cuts = 0;
    std::atomic<bool> stopping = false;
    std::vector<std::unique_ptr<Server>> servers;
};

/// Ports of the fleet's processes; the same on all machines.
struct Ports
{
    std::uint16_t outbound = 0;
    std::uint16_t peer = 0;
    std::uint16_t ready = 0;
};

/// @return ports that are free on all addresses
Ports freePorts(const std::vector<std::string> &ips);

/// One process of the fleet, started with the words of the deploy file.
class Node
{
public:
    struct Settings
    {
        std::string name;
        std::string ip;
        std::string zone;
        std::string service;
        std::string app; ///< Address of the backend on its machine.
        std::string store;
        std::string bounds; ///< JSON, as the platform renders it.
        int memoryMb = 260;
        Ports ports;
    };

    /// @param logPath file for the output of the process
    Node(Settings settings, const std::string &logPath);

    /// Kills the process, if it runs.
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    bool waitUntilReady(long timeoutMs) const;
    void signal(int number) const;

    /// @return whether the process has ended by itself
    bool hasEnded();

    /// @return status of wait(2), once the process has ended
    std::optional<int> endStatus() const
    {
        return this->status;
    }

    const Settings settings;

private:
    pid_t pid = -1;
    std::optional<int> status;
};

/// One request of a client and what came of it.
struct Outcome
{
    int status = 0; ///< 0 when the connection ended without a complete response or the client gave up.
    Headers headers;
    std::string body;
};

/// Sends one request on a new connection and waits for the response until 1.5 s after the deadline.
Outcome call(
    const Node &node, const std::string &method, const std::string &target, const std::string &id, long deadlineMs, std::string_view body);

} // namespace Review
