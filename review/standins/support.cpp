#include "support.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <sstream>
#include <stdexcept>

namespace Review {

namespace {

const Clock::time_point programStart = Clock::now();

constexpr std::size_t readBytes = 64 * 1024;

sockaddr_in socketAddress(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

int listenOn(const std::string &ip, std::uint16_t port)
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = socketAddress(ip, port);
    if (bind(handle, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || listen(handle, 512) != 0) {
        close(handle);
        return -1;
    }
    return handle;
}

std::uint16_t portOf(int handle)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(handle, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

std::string toLower(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

std::string trim(const std::string &text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    const std::size_t last = text.find_last_not_of(" \t");
    return first == std::string::npos ? "" : text.substr(first, last - first + 1);
}

Message parseHead(const std::string &head)
{
    Message message;
    std::istringstream lines(head);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (message.start.empty()) {
            message.start = line;
        } else if (const std::size_t colon = line.find(':'); colon != std::string::npos) {
            message.headers.emplace_back(toLower(line.substr(0, colon)), trim(line.substr(colon + 1)));
        }
    }
    return message;
}

std::string encodeBase64(const std::string &bytes)
{
    constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63U];
        }
    }
    return text;
}

std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t start = target.find('?');
    std::istringstream parts(start == std::string::npos ? "" : target.substr(start + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        const std::size_t equals = part.find('=');
        query[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
    }
    return query;
}

} // namespace

long elapsedMs()
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - programStart).count();
}

void sleepMs(long time)
{
    std::this_thread::sleep_for(Milliseconds(std::max(time, 0L)));
}

bool isTroubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

Record::Record(const std::string &path)
    : file(std::fopen(path.c_str(), "w"))
{
    if (this->file == nullptr) {
        throw std::runtime_error("cannot write " + path);
    }
}

Record::~Record()
{
    std::fclose(this->file);
}

void Record::write(const std::string &line)
{
    const std::scoped_lock lock(this->mutex);
    std::fprintf(this->file, "%7ld %s\n", elapsedMs(), line.c_str());
    std::fflush(this->file);
}

void Record::say(const std::string &line)
{
    this->write(line);
    std::printf("%s\n", line.c_str());
    std::fflush(stdout);
}

std::string Message::header(std::string_view name) const
{
    for (const auto &[key, value] : this->headers) {
        if (key == name) {
            return value;
        }
    }
    return "";
}

std::string Message::word(std::size_t index) const
{
    std::istringstream words(this->start);
    std::string text;
    for (std::size_t i = 0; i <= index; ++i) {
        text.clear();
        words >> text;
    }
    return text;
}

int Message::status() const
{
    return std::atoi(this->word(1).c_str());
}

Connection::Connection(int handle)
    : handle(handle)
{
    const int on = 1;
    setsockopt(this->handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::~Connection()
{
    ::close(this->handle);
}

std::unique_ptr<Connection> Connection::open(const std::string &ip, std::uint16_t port)
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{1, 0};
    setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const sockaddr_in address = socketAddress(ip, port);
    if (connect(handle, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(handle);
        return nullptr;
    }
    const timeval unlimited{};
    setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &unlimited, sizeof(unlimited));
    return std::make_unique<Connection>(handle);
}

bool Connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(this->handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool Connection::fill(long timeoutMs)
{
    pollfd poller{this->handle, POLLIN, 0};
    if (poll(&poller, 1, static_cast<int>(std::max(timeoutMs, 0L))) <= 0) {
        return false;
    }
    std::string part(readBytes, '\0');
    const ssize_t length = recv(this->handle, part.data(), part.size(), 0);
    if (length <= 0) {
        return false;
    }
    this->buffer.append(part.data(), static_cast<std::size_t>(length));
    return true;
}

std::optional<Message> Connection::readHead(long timeoutMs)
{
    const long end = elapsedMs() + timeoutMs;
    std::size_t length = 0;
    while ((length = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!this->fill(end - elapsedMs())) {
            return std::nullopt;
        }
    }
    Message message = parseHead(this->buffer.substr(0, length + 2));
    this->buffer.erase(0, length + 4);
    return message;
}

std::optional<Message> Connection::read(long timeoutMs)
{
    const long end = elapsedMs() + timeoutMs;
    auto message = this->readHead(timeoutMs);
    if (!message) {
        return std::nullopt;
    }
    const std::size_t length = std::strtoul(message->header("content-length").c_str(), nullptr, 10);
    while (this->buffer.size() < length) {
        if (!this->fill(end - elapsedMs())) {
            return std::nullopt;
        }
    }
    message->body = this->buffer.substr(0, length);
    this->buffer.erase(0, length);
    return message;
}

std::size_t Connection::readSome(std::size_t most, long timeoutMs)
{
    if (this->buffer.empty() && !this->fill(timeoutMs)) {
        return 0;
    }
    const std::size_t length = std::min(most, this->buffer.size());
    this->buffer.erase(0, length);
    return length;
}

void Connection::shutDown()
{
    ::shutdown(this->handle, SHUT_RDWR);
}

void Connection::reset()
{
    const linger abort{1, 0};
    setsockopt(this->handle, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
}

Server::Server(std::string ip, std::uint16_t port, Handler handler)
    : ip(std::move(ip))
    , handler(std::move(handler))
    , listener(listenOn(this->ip, port))
{
    if (this->listener < 0) {
        throw std::runtime_error("cannot listen on " + this->ip);
    }
    this->port = portOf(this->listener);
    this->acceptor = std::thread([this] {
        this->acceptLoop();
    });
}

Server::~Server()
{
    this->stop();
}

void Server::acceptLoop()
{
    while (!this->stopping) {
        pollfd poller{this->listener, POLLIN, 0};
        if (poll(&poller, 1, 50) <= 0) {
            continue;
        }
        const int handle = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0) {
            continue;
        }
        const std::scoped_lock lock(this->mutex);
        this->threads.emplace_back([this, handle] {
            Connection connection(handle);
            {
                const std::scoped_lock opened(this->mutex);
                this->open.insert(&connection);
            }
            if (!this->stopping) {
                this->handler(connection);
            }
            const std::scoped_lock closed(this->mutex);
            this->open.erase(&connection);
        });
    }
}

void Server::stop()
{
    if (this->stopping.exchange(true)) {
        return;
    }
    this->acceptor.join();
    ::close(this->listener);
    std::vector<std::thread> ending;
    {
        const std::scoped_lock lock(this->mutex);
        for (Connection *connection : this->open) {
            connection->shutDown();
        }
        ending.swap(this->threads);
    }
    for (std::thread &thread : ending) {
        thread.join();
    }
}

std::string makeResponse(int status, const Headers &headers, std::string_view body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    text += body;
    return text;
}

Store::Store(const std::string &ip, int doors, Record &record)
    : record(record)
{
    for (int door = 0; door < doors; ++door) {
        this->servers.push_back(std::make_unique<Server>(ip, 0, [this, door](Connection &connection) {
            this->serve(connection, door);
        }));
    }
}

Store::~Store()
{
    this->stopping = true;
    this->servers.clear();
}

std::string Store::address(int door) const
{
    const Server &server = *this->servers[static_cast<std::size_t>(door)];
    return server.ip + ":" + std::to_string(server.port);
}

std::uint64_t Store::put(const std::string &key, Item item)
{
    const std::scoped_lock lock(this->mutex);
    item.revision = ++this->revision;
    this->record.write("store acknowledges revision " + std::to_string(item.revision) + " of " + key
                       + (item.deleted ? ": removed" : " = " + item.value));
    this->items[key] = item;
    return item.revision;
}

std::uint64_t Store::putEntry(const Entry &entry)
{
    const int sequence = ++this->sequences[entry.id];
    std::ostringstream json;
    json << R"({"service":")" << entry.service << R"(","address":")" << entry.address << R"(","zone":")" << entry.zone
         << R"(","version":"v1","slots":)" << entry.slots << R"(,"state":")" << entry.state
         << R"(","cold-remaining-ms":0,"born":1700000000000,"sequence":)" << sequence << "}";
    return this->put("servers/" + entry.id, {json.str()});
}

std::uint64_t Store::removeEntry(const std::string &id)
{
    return this->put("servers/" + id, {"", 0, true});
}

std::uint64_t Store::putConfig(int version, const std::vector<Route> &routes, const std::set<std::string> &services)
{
    char digits[16];
    std::snprintf(digits, sizeof(digits), "%08x", version);
    std::ostringstream json;
    json << R"({"version":")" << digits
         << R"(","limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000})"
         << R"(,"listeners":[{"host":")" << host << R"(","rules":[)";
    const char *separator = "";
    for (const Route &route : routes) {
        json << separator << R"({"name":")" << route.name << R"(","kind":")" << route.kind << R"(","target-latency-ms":)" << route.targetMs
             << R"(,"priority":1,"match":{"prefix":")" << route.prefix << R"("},"action":{"service":")" << route.service
             << R"(","timeout-ms":)" << route.timeoutMs << R"(,"max-attempts":)" << route.maxAttempts << "}}";
        separator = ",";
    }
    json << R"(]}],"clusters":[)";
    separator = "";
    for (const std::string &service : services) {
        json << separator << R"({"name":")" << service
             << R"(","health-path":"/healthz","max-connections":390,"protocol":"h1","tls":false})";
        separator = ",";
    }
    json << "]}";
    return this->put("op/config", {json.str()});
}

void Store::cutWatches()
{
    ++this->cuts;
}

std::string Store::toJson(const std::string &key, const Item &item)
{
    const std::string head = R"({"key":")" + key + R"(","revision":)" + std::to_string(item.revision);
    if (item.deleted) {
        return head + R"(,"deleted":true})";
    }
    return head + R"(,"created":)" + std::to_string(item.revision) + R"(,"lease":0,"value":")" + encodeBase64(item.value) + "\"}";
}

std::optional<std::string> Store::watch(const std::map<std::string, std::string> &query, bool &hasEvents)
{
    const std::uint64_t after = std::strtoull(query.at("after").c_str(), nullptr, 10);
    const std::string prefix = query.contains("prefix") ? query.at("prefix") : "";
    const long end = elapsedMs() + std::strtol(query.at("wait-ms").c_str(), nullptr, 10);
    const int cutsBefore = this->cuts;
    for (;;) {
        {
            const std::scoped_lock lock(this->mutex);
            std::map<std::uint64_t, std::string> events;
            for (const auto &[key, item] : this->items) {
                if (item.revision > after && key.starts_with(prefix)) {
                    events[item.revision] = toJson(key, item);
                }
            }
            if (!events.empty() || elapsedMs() >= end) {
                hasEvents = !events.empty();
                std::string list;
                for (const auto &[itemRevision, event] : events) {
                    list += (list.empty() ? "" : ",") + event;
                }
                return "{\"events\":[" + list + "],\"store-revision\":" + std::to_string(this->revision) + "}";
            }
        }
        if (this->cuts != cutsBefore || this->stopping) {
            return std::nullopt;
        }
        sleepMs(5);
    }
}

void Store::serve(Connection &connection, int door)
{
    const std::string number = std::to_string(door);
    while (const auto request = connection.read(60'000)) {
        const std::string target = request->word(1);
        const std::string path = target.substr(0, target.find('?'));
        const auto query = parseQuery(target);
        std::string body;
        int status = 200;
        if (path == "/-/kv-watch") {
            bool hasEvents = false;
            const auto answer = this->watch(query, hasEvents);
            if (!answer) {
                this->record.write("store cuts a waiting watch at door " + number);
                return;
            }
            if (hasEvents && this->losesAnswer && this->losesAnswer(door)) {
                this->record.write("the store's answer at door " + number + " is lost");
                // The connection returns nothing further, and stays open.
                while (connection.read(60'000)) { }
                return;
            }
            body = *answer;
        } else if (path == "/-/kv-range") {
            const std::scoped_lock lock(this->mutex);
            for (const auto &[key, item] : this->items) {
                if (!item.deleted && key.starts_with(query.at("prefix"))) {
                    body += (body.empty() ? "" : ",") + toJson(key, item);
                }
            }
            body = "{\"items\":[" + body + "],\"truncated\":false,\"store-revision\":" + std::to_string(this->revision) + "}";
        } else {
            const std::scoped_lock lock(this->mutex);
            const auto item = query.contains("key") ? this->items.find(query.at("key")) : this->items.end();
            status = item != this->items.end() && !item->second.deleted ? 200 : 404;
            if (status == 200) {
                body = toJson(item->first, item->second);
                body.back() = ',';
                body += "\"store-revision\":" + std::to_string(this->revision) + "}";
            }
        }
        this->record.write("store answers " + std::to_string(status) + " at door " + number + " to " + target);
        if (!connection.send(makeResponse(status, {{"Content-Type", "application/json"}}, body))) {
            return;
        }
    }
}

Ports freePorts(const std::vector<std::string> &ips)
{
    const auto pick = [&ips] {
        for (int attempt = 0; attempt < 200; ++attempt) {
            const int first = listenOn(ips.front(), 0);
            const std::uint16_t port = portOf(first);
            ::close(first);
            const bool isFree = std::ranges::all_of(ips, [port](const std::string &ip) {
                const int handle = listenOn(ip, port);
                ::close(handle);
                return handle >= 0;
            });
            if (isFree) {
                return port;
            }
        }
        throw std::runtime_error("no free port");
    };
    Ports ports;
    ports.outbound = pick();
    do {
        ports.peer = pick();
    } while (ports.peer == ports.outbound);
    do {
        ports.ready = pick();
    } while (ports.ready == ports.outbound || ports.ready == ports.peer);
    return ports;
}

Node::Node(Settings settings, const std::string &logPath)
    : settings(std::move(settings))
{
    const auto at = [this](std::uint16_t port) {
        return this->settings.ip + ":" + std::to_string(port);
    };
    const std::vector<std::string> words = {"target/galenarackd",
                                            "--fleet=galenarack",
                                            "--vm=" + this->settings.name,
                                            "--failure_domain=" + this->settings.zone,
                                            "--caller_address=" + at(this->settings.ports.outbound),
                                            "--peer_address=" + at(this->settings.ports.peer),
                                            "--operators_address=" + at(this->settings.ports.ready),
                                            "--home_upstreams=" + this->settings.service + "=" + this->settings.app,
                                            "--registry=" + this->settings.store,
                                            "--bounds=" + this->settings.bounds,
                                            "--memory_mb=" + std::to_string(this->settings.memoryMb)};
    std::vector<char *> arguments;
    for (const std::string &word : words) {
        arguments.push_back(const_cast<char *>(word.c_str()));
    }
    arguments.push_back(nullptr);
    const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    const pid_t parent = getpid();
    this->pid = fork();
    if (this->pid == 0) {
        // The process must not outlive the case.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(127);
        }
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execv(arguments.front(), arguments.data());
        _exit(127);
    }
    ::close(log);
    if (this->pid < 0) {
        throw std::runtime_error("cannot start a process");
    }
}

Node::~Node()
{
    if (!this->hasEnded()) {
        kill(this->pid, SIGKILL);
        waitpid(this->pid, nullptr, 0);
    }
}

bool Node::hasEnded()
{
    int waited = 0;
    if (!this->status && waitpid(this->pid, &waited, WNOHANG) == this->pid) {
        this->status = waited;
    }
    return this->status.has_value();
}

void Node::signal(int number) const
{
    if (!this->status) {
        kill(this->pid, number);
    }
}

bool Node::waitUntilReady(long timeoutMs) const
{
    const long end = elapsedMs() + timeoutMs;
    while (elapsedMs() < end) {
        if (const auto connection = Connection::open(this->settings.ip, this->settings.ports.ready)) {
            connection->send("GET /readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
            const auto response = connection->read(500);
            if (response && response->status() == 200) {
                return true;
            }
        }
        sleepMs(50);
    }
    return false;
}

Outcome call(
    const Node &node, const std::string &method, const std::string &target, const std::string &id, long deadlineMs, std::string_view body)
{
    Outcome outcome;
    const auto connection = Connection::open(node.settings.ip, node.settings.ports.outbound);
    if (!connection) {
        return outcome;
    }
    std::string request = method + " " + target + " HTTP/1.1\r\nHost: " + Store::host + "\r\nRequest-Id: " + id
                          + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (method != "GET") {
        request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    request += "\r\n";
    request += body;
    if (!connection->send(request)) {
        return outcome;
    }
    if (const auto response = connection->read(deadlineMs + 1500)) {
        outcome.status = response->status();
        outcome.headers = response->headers;
        outcome.body = response->body;
    }
    return outcome;
}

} // namespace Review
