#include "fleet.h"

#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <random>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

namespace {

const Clock::time_point programStart = Clock::now();

constexpr std::string_view bounds
    = "seed-lag-s=3,reuse-after-s=2,stable-window-ms=3000,ack-ms=4000,catch-up-s=4,drain-ms=2000,grace-s=6,loss-slack-ms=200,"
      "config-apply-ms=2000,rollback-slack-ms=250,max-skew-ms=5000,retry-budget-ratio=0.2,budget-window-s=10,budget-slack=62,"
      "recovery-s=15,probes-per-s=3,floor-share=0.7";

/// Requests that an upstream queues beyond its slots.
constexpr unsigned upstreamQueue = 24;

constexpr std::size_t readSize = 256 * 1024;

sockaddr_in toAddress(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

int listenOn(const std::string &ip, std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = toAddress(ip, port);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || listen(descriptor, 512) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

std::string toBase64(const std::string &text)
{
    namespace base64 = boost::beast::detail::base64;
    std::string encoded(base64::encoded_size(text.size()), '\0');
    encoded.resize(base64::encode(encoded.data(), text.data(), text.size()));
    return encoded;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const std::size_t query = target.find('?');
    std::istringstream parts(query == std::string::npos ? std::string() : target.substr(query + 1));
    for (std::string part; std::getline(parts, part, '&');) {
        if (part.starts_with(name + "=")) {
            return part.substr(name.size() + 1);
        }
    }
    return "";
}

std::string valueOf(const Headers &headers, const std::string &name)
{
    const auto field = headers.find(name);
    return field == headers.end() ? std::string() : field->second;
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size()) {
        text.replace(at, from.size(), to);
    }
}

/// @return the command of the only role in the deploy file
std::string deployCommand()
{
    std::ifstream file("deploy/system.toml");
    constexpr std::string_view start = "run = \"";
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(start)) {
            return line.substr(start.size(), line.rfind('"') - start.size());
        }
    }
    throw std::runtime_error("deploy/system.toml has no line that starts with run");
}

} // namespace

double secondsNow()
{
    return std::chrono::duration<double>(Clock::now() - programStart).count();
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

void RunLog::add(const std::string &id)
{
    const std::scoped_lock lock(this->mutex);
    this->ids.insert(id);
}

bool RunLog::contains(const std::string &id)
{
    const std::scoped_lock lock(this->mutex);
    return this->ids.contains(id);
}

Record::Record(const std::string &path)
    : file(path)
{
}

void Record::line(const std::string &text)
{
    const std::scoped_lock lock(this->mutex);
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f ", secondsNow());
    this->file << time.data() << text << std::endl;
}

Connection::Connection(int descriptor)
    : descriptor(descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::~Connection()
{
    close(this->descriptor);
}

std::unique_ptr<Connection> Connection::open(const std::string &ip, std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const sockaddr_in address = toAddress(ip, port);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(descriptor);
        return nullptr;
    }
    limit.tv_sec = 15;
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    return std::make_unique<Connection>(descriptor);
}

bool Connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool Connection::fill(Clock::time_point end)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()).count();
    pollfd ready{this->descriptor, POLLIN, 0};
    if (left <= 0 || poll(&ready, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    const std::size_t old = this->buffer.size();
    this->buffer.resize(old + readSize);
    const ssize_t length = recv(this->descriptor, this->buffer.data() + old, readSize, 0);
    this->buffer.resize(old + static_cast<std::size_t>(std::max<ssize_t>(length, 0)));
    return length > 0;
}

bool Connection::readHead(std::string &startLine, Headers &headers, std::chrono::milliseconds limit)
{
    const auto end = Clock::now() + limit;
    std::size_t headEnd = std::string::npos;
    while ((headEnd = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!this->fill(end)) {
            return false;
        }
    }
    std::istringstream lines(this->buffer.substr(0, headEnd));
    this->buffer.erase(0, headEnd + 4);
    std::getline(lines, startLine);
    headers.clear();
    for (std::string line; std::getline(lines, line);) {
        if (line.ends_with('\r')) {
            line.pop_back();
        }
        const std::size_t colon = line.find(':');
        std::string name = line.substr(0, colon);
        std::ranges::transform(name, name.begin(), [](unsigned char c) {
            return static_cast<char>(std::tolower(c));
        });
        headers[name] = line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1)));
    }
    return true;
}

bool Connection::readBody(std::size_t length, std::string &last, std::chrono::milliseconds limit)
{
    constexpr std::size_t lastLength = 200;
    const auto end = Clock::now() + limit;
    last.clear();
    while (length > 0) {
        if (this->buffer.empty() && !this->fill(end)) {
            return false;
        }
        const std::size_t taken = std::min(length, this->buffer.size());
        last.append(this->buffer, 0, taken);
        last.erase(0, last.size() - std::min(last.size(), lastLength));
        this->buffer.erase(0, taken);
        length -= taken;
    }
    return true;
}

Server::Server(const std::string &ip, std::uint16_t port, Handler handler)
    : handler(std::move(handler))
{
    const int listener = listenOn(ip, port);
    if (listener < 0) {
        throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
    }
    std::thread([this, listener] {
        for (;;) {
            const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                std::this_thread::sleep_for(10ms);
                continue;
            }
            std::thread([this, accepted] {
                Connection connection(accepted);
                this->handler(connection);
            }).detach();
        }
    }).detach();
}

Store::Store(const std::string &ip, std::uint16_t port)
    : server(std::make_unique<Server>(ip, port, [this](Connection &connection) {
        this->serve(connection);
    }))
{
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::scoped_lock lock(this->mutex);
    this->items[key] = {value, ++this->revision};
}

void Store::serve(Connection &connection)
{
    std::string startLine;
    Headers headers;
    while (connection.readHead(startLine, headers, 60s)) {
        std::istringstream words(startLine);
        std::string method;
        std::string target;
        words >> method >> target;
        unsigned status = 200;
        const std::string body = this->answer(target, status);
        const std::string head = "HTTP/1.1 " + std::to_string(status) + " Answer\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                                 + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        if (!connection.send(head + body)) {
            return;
        }
    }
}

std::string Store::answer(const std::string &target, unsigned &status)
{
    using Json = nlohmann::json;
    if (target.starts_with("/-/kv-watch")) {
        // All items are written before the nodes start.
        std::this_thread::sleep_for(std::chrono::milliseconds(std::stoi(queryValue(target, "wait-ms"))));
        const std::scoped_lock lock(this->mutex);
        return Json{{"events", Json::array()}, {"store-revision", this->revision}}.dump();
    }
    const std::scoped_lock lock(this->mutex);
    const auto toJson = [](const std::string &key, const std::pair<std::string, std::uint64_t> &item) {
        return Json{{"key", key}, {"value", toBase64(item.first)}, {"revision", item.second}, {"created", item.second}, {"lease", 0}};
    };
    if (target.starts_with("/-/kv-key")) {
        const auto item = this->items.find(queryValue(target, "key"));
        if (item == this->items.end()) {
            status = 404;
            return "{}";
        }
        Json body = toJson(item->first, item->second);
        body["store-revision"] = this->revision;
        return body.dump();
    }
    const std::string prefix = queryValue(target, "prefix");
    const std::string after = queryValue(target, "after");
    Json found = Json::array();
    for (const auto &[key, item] : this->items) {
        if (key.starts_with(prefix) && key > after) {
            found.push_back(toJson(key, item));
        }
    }
    return Json{{"items", found}, {"truncated", false}, {"store-revision", this->revision}}.dump();
}

Upstream::Upstream(std::string id, const std::string &ip, std::uint16_t port, unsigned slots, Run run)
    : id(std::move(id))
    , slots(slots)
    , run(std::move(run))
    , server(std::make_unique<Server>(ip, port, [this](Connection &connection) {
        this->serve(connection);
    }))
{
}

void Upstream::serve(Connection &connection)
{
    constexpr auto idleTime = 10s;
    std::string startLine;
    Headers headers;
    std::string last;
    while (connection.readHead(startLine, headers, idleTime)) {
        const std::string length = valueOf(headers, "content-length");
        UpstreamRequest request{valueOf(headers, "request-id"), this->id, length.empty() ? 0 : std::stoul(length)};
        if (!connection.readBody(request.bodyLength, last, 30s)) {
            return;
        }
        const std::string echo = "Request-Id: " + request.id + "\r\nKeep-Alive: timeout=10\r\n";
        const bool isOther = valueOf(headers, "expect-instance") != this->id;
        if (isOther || this->running >= this->slots + upstreamQueue) {
            const std::string rejection
                = isOther ? "421 Misdirected Request\r\nInstance-Id: " + this->id + "\r\n" : "503 Full\r\nNot-Executed: 1\r\n";
            if (!connection.send("HTTP/1.1 " + rejection + echo + "Content-Length: 0\r\n\r\n")) {
                return;
            }
            continue;
        }
        ++this->running;
        const UpstreamAnswer answer = this->run(request);
        --this->running;
        const std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " Answer\r\n" + echo + "Server-Seal: " + this->id + "."
                                 + std::to_string(answer.body.size()) + "\r\nContent-Length: " + std::to_string(answer.body.size())
                                 + "\r\n\r\n";
        if (!connection.send(head + answer.body)) {
            return;
        }
    }
}

Node::Node(Vm vm, Ports ports, std::string storeIp, unsigned memoryMb, std::string logPath)
    : vm(std::move(vm))
    , ports(ports)
    , storeIp(std::move(storeIp))
    , memoryLimitMb(memoryMb)
    , logPath(std::move(logPath))
{
}

Node::~Node()
{
    this->kill();
}

std::vector<std::string> Node::command() const
{
    const auto at = [this](std::uint16_t port) {
        return this->vm.ip + ":" + std::to_string(port);
    };
    std::string line = deployCommand();
    replaceAll(line, "{{node}}", this->vm.name);
    replaceAll(line, "{{zone}}", this->vm.zone);
    replaceAll(line, "{{listen.outbound}}", at(this->ports.caller));
    replaceAll(line, "{{listen.ready}}", at(this->ports.ready));
    replaceAll(line, "{{ip}}", this->vm.ip);
    replaceAll(line, "{{internal-ports.0}}", std::to_string(this->ports.peer));
    replaceAll(line, "{{service}}", this->vm.service);
    replaceAll(line, "{{app}}", at(this->ports.upstream));
    replaceAll(line, "{{platform.address}}", this->storeIp + ":" + std::to_string(this->ports.store));
    replaceAll(line, "{{bounds}}", std::string(bounds));
    replaceAll(line, "{{limits.memory-mb}}", std::to_string(this->memoryLimitMb));
    std::istringstream words(line);
    std::vector<std::string> command;
    for (std::string word; words >> word;) {
        command.push_back(word);
    }
    return command;
}

void Node::start()
{
    std::vector<std::string> words = this->command();
    std::vector<char *> arguments;
    for (std::string &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    std::string path = std::string("PATH=") + (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "/usr/bin:/bin");
    std::string home = "HOME=/tmp";
    std::string language = "LANG=C";
    std::array<char *, 4> environment{path.data(), home.data(), language.data(), nullptr};
    const int log = open(this->logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    this->pid = fork();
    if (this->pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execve(arguments[0], arguments.data(), environment.data());
        _exit(127);
    }
    close(log);
}

void Node::kill()
{
    if (this->pid > 0) {
        ::kill(this->pid, SIGKILL);
        waitpid(this->pid, nullptr, 0);
        this->pid = -1;
    }
}

bool Node::hasEnded()
{
    if (this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
        this->pid = -1;
    }
    return this->pid <= 0;
}

bool Node::isReady() const
{
    const auto connection = Connection::open(this->vm.ip, this->ports.ready);
    std::string startLine;
    Headers headers;
    return connection && connection->send("GET /readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
           && connection->readHead(startLine, headers, 1s) && startLine.find(" 200 ") != std::string::npos;
}

unsigned Node::memoryMb() const
{
    std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
    for (std::string line; this->pid > 0 && std::getline(file, line);) {
        if (line.starts_with("VmRSS:")) {
            // The kernel counts in units of 1024 bytes.
            return static_cast<unsigned>(std::stoull(line.substr(6)) / 1024);
        }
    }
    return 0;
}

Fleet::Fleet(const std::vector<std::string> &services, unsigned count, unsigned memoryMb, const std::string &logFolder)
{
    std::random_device random;
    const auto isFree = [this](const std::string &network) {
        const int descriptor = listenOn(network + ".1", this->ports.peer);
        if (descriptor >= 0) {
            close(descriptor);
        }
        return descriptor >= 0;
    };
    std::string network;
    for (unsigned attempt = 0; attempt < 20 && (network.empty() || !isFree(network)); ++attempt) {
        network = "127." + std::to_string(10 + random() % 200) + "." + std::to_string(1 + random() % 250);
    }
    this->storeIp = network + ".250";
    this->store = std::make_unique<Store>(this->storeIp, this->ports.store);
    for (unsigned i = 0; i < count; ++i) {
        const std::string number = std::to_string(i + 1);
        this->vms.push_back({"vm-" + number,
                             "kl-" + std::string(1, static_cast<char>('a' + i % 3)),
                             network + "." + number,
                             services[i % services.size()]});
        this->nodes.push_back(std::make_unique<Node>(
            this->vms.back(), this->ports, this->storeIp, memoryMb, logFolder + "/" + this->vms.back().name + ".log"));
    }
}

bool Fleet::start(unsigned slots, const Upstream::Run &run, const std::string &config)
{
    this->store->put("op/config", config);
    const std::int64_t born
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    for (const Vm &vm : this->vms) {
        const std::string id = "i-" + vm.name;
        this->upstreams.push_back(std::make_unique<Upstream>(id, vm.ip, this->ports.upstream, slots, run));
        const nlohmann::json entry = {{"service", vm.service},
                                      {"address", vm.ip + ":" + std::to_string(this->ports.upstream)},
                                      {"zone", vm.zone},
                                      {"version", "v1"},
                                      {"slots", slots},
                                      {"state", "ready"},
                                      {"cold-remaining-ms", 0},
                                      {"sequence", 1},
                                      {"born", born}};
        this->store->put("servers/" + id, entry.dump());
    }
    for (const auto &node : this->nodes) {
        node->start();
    }
    const auto end = Clock::now() + 10s;
    return std::ranges::all_of(this->nodes, [end](const auto &node) {
        while (!node->isReady() && Clock::now() < end) {
            std::this_thread::sleep_for(50ms);
        }
        return Clock::now() < end;
    });
}

void Fleet::stop()
{
    for (const auto &node : this->nodes) {
        node->kill();
    }
}

Caller::Caller(Vm vm, const Ports &ports)
    : vm(std::move(vm))
    , ports(ports)
{
}

CallerReply Caller::post(const std::string &path, const std::string &id, unsigned deadlineMs, std::string_view body)
{
    CallerReply reply;
    if (!this->connection) {
        this->connection = Connection::open(this->vm.ip, this->ports.caller);
        this->isKept = false;
    }
    reply.wasKept = this->isKept;
    std::unique_ptr<Connection> used = std::move(this->connection);
    const std::string head = "POST " + path + " HTTP/1.1\r\nHost: claims.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
                             + std::to_string(deadlineMs) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (!used || !used->send(head)) {
        return reply;
    }
    // An early answer may come while the body is being sent, so a failed send is no reason not to read it.
    used->send(body);
    const auto end = Clock::now() + std::chrono::milliseconds(deadlineMs);
    std::string startLine;
    if (!used->readHead(startLine, reply.headers, std::chrono::milliseconds(deadlineMs))) {
        reply.timedOut = Clock::now() >= end;
        return reply;
    }
    const std::string length = valueOf(reply.headers, "content-length");
    if (used->readBody(length.empty() ? 0 : std::stoul(length), reply.bodyEnd, 1s)) {
        reply.status = static_cast<unsigned>(std::stoul(startLine.substr(startLine.find(' ') + 1)));
    }
    if (reply.status != 0 && valueOf(reply.headers, "connection") != "close") {
        this->isKept = true;
        this->connection = std::move(used);
    }
    return reply;
}

std::string configText(const std::vector<RouteText> &routes, const std::vector<std::string> &services)
{
    using Json = nlohmann::json;
    Json rules = Json::array();
    for (const RouteText &route : routes) {
        rules.push_back({{"name", "r-" + std::to_string(rules.size())},
                         {"kind", route.kind},
                         {"target-latency-ms", route.targetMs},
                         {"priority", 1},
                         {"match", {{"prefix", route.prefix}}},
                         {"action", {{"service", route.service}, {"timeout-ms", route.timeoutMs}, {"max-attempts", 2}}}});
    }
    Json clusters = Json::array();
    for (const std::string &service : services) {
        clusters.push_back({{"name", service}, {"health-path", "/healthz"}, {"max-connections", 390}});
    }
    const Json config
        = {{"version", "00000007"},
           {"limits", {{"max-header-bytes", 16384}, {"max-body-bytes", 67108864}, {"header-timeout-ms", 3000}, {"idle-timeout-ms", 15000}}},
           {"listeners", {{{"host", "claims.example"}, {"rules", rules}}}},
           {"clusters", clusters}};
    return config.dump();
}

} // namespace Review
