#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace Review {

/// Exit codes of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int notRunnable = 2;

/// Header fields by lower-case name.
using Headers = std::map<std::string, std::string>;

/// @return seconds since the program started
double secondsNow();

/// @return whether the case is run with its disruption (TROUBLE is not 0)
bool hasTrouble();

/// Ids of the requests that upstreams have begun to run.
class RunLog
{
public:
    void add(const std::string &id);

    bool contains(const std::string &id);

private:
    std::mutex mutex;
    std::set<std::string> ids;
};

/// The file record.txt of a case. Each line begins with the time.
class Record
{
public:
    explicit Record(const std::string &path);

    void line(const std::string &text);

private:
    std::mutex mutex;
    std::ofstream file;
};

/// A connected socket, closed at the end.
class Connection
{
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// @return whether a connection to this address was made within a second
    static std::unique_ptr<Connection> open(const std::string &ip, std::uint16_t port);

    bool send(std::string_view bytes);

    /// Reads a start line and header fields.
    /// @return false when the connection ended or the time limit has passed
    bool readHead(std::string &startLine, Headers &headers, std::chrono::milliseconds limit);

    /// Reads and drops a body.
    /// @param last receives the last bytes of the body
    bool readBody(std::size_t length, std::string &last, std::chrono::milliseconds limit);

private:
    bool fill(std::chrono::steady_clock::time_point end);

    int descriptor;
    std::string buffer;
};

/// Accepts connections on one address and serves each in a thread of its own, until the program ends.
class Server
{
public:
    using Handler = std::function<void(Connection &)>;

    /// @throws std::runtime_error when the address is in use
    Server(const std::string &ip, std::uint16_t port, Handler handler);

private:
    Handler handler;
};

/// The platform's store: range and key reads, and watches that find no change.
class Store
{
public:
    Store(const std::string &ip, std::uint16_t port);

    void put(const std::string &key, const std::string &value);

private:
    void serve(Connection &connection);
    std::string answer(const std::string &target, unsigned &status);

    std::mutex mutex;
    std::map<std::string, std::pair<std::string, std::uint64_t>> items; ///< Value and revision by key.
    std::uint64_t revision = 10;
    std::unique_ptr<Server> server;
};

/// A request as an upstream has read it.
struct UpstreamRequest
{
    std::string id; ///< Value of Request-Id.
    std::string upstream; ///< Instance id of the upstream.
    std::size_t bodyLength = 0;
};

/// Answer of an upstream.
struct UpstreamAnswer
{
    unsigned status = 200;
    std::string body;
};

/// One upstream on a VM. It rejects requests beyond its slots and a short queue, and those for another instance.
class Upstream
{
public:
    /// Runs a request: works, and returns the answer. Called in the thread of the connection.
    using Run = std::function<UpstreamAnswer(const UpstreamRequest &)>;

    Upstream(std::string id, const std::string &ip, std::uint16_t port, unsigned slots, Run run);

private:
    void serve(Connection &connection);

    std::string id;
    unsigned slots;
    Run run;
    std::atomic<unsigned> running = 0;
    std::unique_ptr<Server> server;
};

/// A VM of the deployment.
struct Vm
{
    std::string name;
    std::string zone;
    std::string ip;
    std::string service;
};

/// Ports that are the same on all VMs.
struct Ports
{
    std::uint16_t peer = 7620;
    std::uint16_t upstream = 8301;
    std::uint16_t ready = 8302;
    std::uint16_t caller = 8304;
    std::uint16_t store = 8309;
};

/// One galenarackd, started with the command of the deploy file.
class Node
{
public:
    Node(Vm vm, Ports ports, std::string storeIp, unsigned memoryMb, std::string logPath);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start();
    void kill();

    /// @return whether the process has ended
    bool hasEnded();

    /// @return whether /readyz answers 200
    bool isReady() const;

    /// @return resident memory in MB, 0 when the process has ended
    unsigned memoryMb() const;

    const Vm &machine() const
    {
        return this->vm;
    }

private:
    std::vector<std::string> command() const;

    Vm vm;
    Ports ports;
    std::string storeIp;
    unsigned memoryLimitMb;
    std::string logPath;
    pid_t pid = -1;
};

/// A small deployment on loopback addresses that are free: `count` VMs in three zones, with the services in turn.
class Fleet
{
public:
    /// @throws std::runtime_error when no addresses are free or the deploy file can't be read
    Fleet(const std::vector<std::string> &services, unsigned count, unsigned memoryMb, const std::string &logFolder);

    /// Registers an upstream on each VM and starts all nodes.
    /// @return whether all nodes are ready within ten seconds
    bool start(unsigned slots, const Upstream::Run &run, const std::string &config);

    /// Ends all nodes.
    void stop();

    Ports ports;
    std::vector<Vm> vms;
    std::vector<std::unique_ptr<Node>> nodes;

private:
    std::string storeIp;
    std::unique_ptr<Store> store;
    std::vector<std::unique_ptr<Upstream>> upstreams;
};

/// What a caller got for one request.
struct CallerReply
{
    unsigned status = 0; ///< 0 when the connection ended, or the time limit passed, before a complete answer.
    Headers headers;
    std::string bodyEnd; ///< Last bytes of the body.
    bool wasKept = false; ///< Whether an earlier request on the same connection has been answered.
    bool timedOut = false; ///< Whether the caller has ended the connection, as no answer came before its deadline.
};

/// A caller on a VM. It keeps its connection for further requests.
class Caller
{
public:
    Caller(Vm vm, const Ports &ports);

    /// Sends a POST with its body and waits for the answer.
    CallerReply post(const std::string &path, const std::string &id, unsigned deadlineMs, std::string_view body);

private:
    Vm vm;
    Ports ports;
    std::unique_ptr<Connection> connection;
    bool isKept = false; ///< Whether a request on the connection has been answered.
};

/// A route of the configuration, for configText().
struct RouteText
{
    std::string prefix;
    std::string kind;
    std::string service;
    unsigned targetMs = 800;
    unsigned timeoutMs = 1500;
};

/// @return a configuration with these routes of the host claims.example and with the limits that the pages show
std::string configText(const std::vector<RouteText> &routes, const std::vector<std::string> &services);

} // namespace Review
