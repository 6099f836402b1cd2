#pragma once

#include "message.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace Review {

/// Writes what was sent, answered and run to a file, a line each with its time in seconds from the start.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

    /// @return seconds since the start
    double now() const;

private:
    std::mutex mutex;
    std::ofstream file;
    Clock::time_point start = Clock::now();
};

/// Accepts connections and serves each one in a thread of its own. The threads run until the process ends.
class Server
{
public:
    using Handler = std::function<void(std::shared_ptr<Socket>)>;

    Server(const Address &address, Handler handler);

private:
    void accept();

    Socket listener;
    Handler handler;
};

/// Stand-in of the platform's metadata store, as far as a reader uses it.
class Store
{
public:
    explicit Store(const Address &address);

    /// Writes an item and wakes the watches.
    void put(const std::string &key, const std::string &value);

    /// Deletes an item and wakes the watches.
    void remove(const std::string &key);

    /// From now on nothing more is answered on the connections that are open, and nothing resets them. New connections work.
    void silenceOpenConnections();

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct Event
    {
        std::string key;
        std::uint64_t revision = 0;
        bool isDeleted = false;
        Item item;
    };

    void serve(const Socket &socket);
    Response answer(const Request &request);
    Response watch(const std::string &prefix, std::uint64_t after, Milliseconds wait);
    std::string itemText(const std::string &key, const Item &item) const;

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::vector<Event> events;
    std::uint64_t revision = 100;
    std::atomic<unsigned> silences = 0;
    std::unique_ptr<Server> server;
};

/// Passes the connections of one machine on to the store. A cut drops what both ends send and resets nothing; connections that were open
/// or opened during a cut stay silent after it.
class Relay
{
public:
    Relay(const Address &address, Address target);
    void cut();
    void heal();

private:
    void serve(const Socket &socket);
    void pass(const Socket &from, const Socket &to, unsigned cutsBefore) const;

    Address target;
    std::atomic<bool> isCut = false;
    std::atomic<unsigned> cuts = 0;
    std::unique_ptr<Server> server;
};

/// How a server answers one request.
struct Reply
{
    unsigned status = 200;
    Milliseconds work{20}; ///< Time until the answer.
    bool isRun = true; ///< False: the server says that it has not run the request.
};

/// Settings of a server.
struct BackendSettings
{
    std::string name; ///< First part of its ids.
    std::string service;
    Address address;
    std::string zone;
    unsigned slots = 3;
};

/// Stand-in of an application server: runs requests, answers as it is told, and writes its entry in the store.
class Backend
{
public:
    using Behaviour = std::function<Reply(const Backend &backend, const Request &request)>;
    using Observer = std::function<void(const Backend &backend, const Request &request, const Reply &reply)>;

    /// @param behaviour chosen for each request
    /// @param observer called when a request has arrived, before it is worked on
    Backend(BackendSettings settings, Store &store, Behaviour behaviour, Observer observer);

    /// Deletes the entry without a notice. The server goes on to serve for a while.
    void leave();

    /// Starts the next lifetime of the server, under another id.
    void startAgain();

    /// @return id of the present lifetime
    std::string id() const;

    const BackendSettings &about() const
    {
        return this->settings;
    }

private:
    void serve(const Socket &socket);
    Response answer(const Request &request);

    /// Writes the entry. It changes when more than its sequence changes, so that a heartbeat is no change.
    void writeEntry();

    BackendSettings settings;
    std::atomic<unsigned> lifetime = 1;
    Store &store;
    Behaviour behaviour;
    Observer observer;
    std::atomic<std::int64_t> born;
    std::atomic<unsigned> running = 0;
    std::unique_ptr<Server> server;
};

/// Ports that all machines of a fleet use.
struct Ports
{
    std::uint16_t callers = 0;
    std::uint16_t peers = 0;
    std::uint16_t ready = 0;
    std::uint16_t app = 0;
    std::uint16_t store = 0;
};

/// @return ports that are free on all these addresses
Ports findFreePorts(const std::vector<std::string> &ips);

/// Settings of one node, as the platform fills them in.
struct NodeSettings
{
    std::string name;
    std::string ip;
    std::string zone;
    std::string service;
    Address store;
    Ports ports;
    std::string bounds;
    unsigned memoryMb = 260;
};

/// A process of the program under review, started with the command of the deploy file.
class Node
{
public:
    /// @param logPath file for the output of the process
    Node(NodeSettings settings, const std::string &logPath);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void signal(int number) const;

    /// @return whether the process runs
    bool isRunning();

    /// @return whether the node says that it is ready
    bool isReady() const;

    /// @return resident memory in MB; 0 when the process has ended
    unsigned residentMb() const;

    const NodeSettings &about() const
    {
        return this->settings;
    }

    Address callers() const
    {
        return {this->settings.ip, this->settings.ports.callers};
    }

private:
    NodeSettings settings;
    pid_t pid = -1;
    bool hasEnded = false;
};

/// A client's connection to a node.
class Client
{
public:
    /// How a request ended for its client.
    struct Result
    {
        Response response; ///< Status 0 without an answer.
        bool isClosed = false; ///< The connection ended before an answer.
    };

    explicit Client(const Address &node);

    /// Sends one request and waits for its answer.
    Result send(const Request &request, Milliseconds patience);

    const Socket &connection() const
    {
        return this->socket;
    }

private:
    Address node;
    Socket socket;
    Reader reader;
};

/// @return an id that no other request of this process has
std::string newRequestId();

/// Waits until all nodes are ready.
/// @return false after 15 s
bool waitUntilReady(const std::vector<std::unique_ptr<Node>> &nodes);

/// Bounds of a small deployment, as the platform gives them.
extern const char *const smallBounds;

/// Exit codes of a case.
constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

} // namespace Review
