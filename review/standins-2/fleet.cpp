#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <random>
#include <sstream>

namespace Review {

namespace {

std::string toBase64(std::string_view bytes)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = (group << 8U) | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        text += digits[(group >> 18U) & 63U];
        text += digits[(group >> 12U) & 63U];
        text += count > 1 ? digits[(group >> 6U) & 63U] : '=';
        text += count > 2 ? digits[group & 63U] : '=';
    }
    return text;
}

/// @return the value of a parameter in the query of a target, with its percent-escapes decoded
std::string queryValue(const std::string &target, const std::string &name)
{
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos) {
        return {};
    }
    std::istringstream pairs(target.substr(mark + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
        if (!pair.starts_with(name + "=")) {
            continue;
        }
        std::string value;
        for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
            if (pair[i] == '%' && i + 2 < pair.size()) {
                value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                value += pair[i];
            }
        }
        return value;
    }
    return {};
}

std::uint64_t toNumber(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

Response jsonResponse(unsigned status, std::string body)
{
    Response response;
    response.status = status;
    response.fields.add("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

const char *const smallBounds
    = R"({"seed-lag-s":3,"reuse-after-s":2,"stable-window-ms":3000,"ack-ms":4000,"catch-up-s":4,"drain-ms":2000,"grace-s":6,)"
      R"("loss-slack-ms":200,"config-apply-ms":2000,"rollback-slack-ms":250,"max-skew-ms":5000,"retry-budget-ratio":0.2,)"
      R"("budget-window-s":10,"budget-slack":62,"recovery-s":15,"probes-per-s":3,"floor-share":0.7})";

Record::Record(const std::string &path)
    : file(path, std::ios::trunc)
{
}

double Record::now() const
{
    return std::chrono::duration<double>(Clock::now() - this->start).count();
}

void Record::line(const std::string &text)
{
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f ", this->now());
    const std::lock_guard lock(this->mutex);
    this->file << time.data() << text << std::endl;
}

Server::Server(const Address &address, Handler handler)
    : listener(listenOn(address))
    , handler(std::move(handler))
{
    if (!this->listener.isOpen()) {
        std::fprintf(stderr, "cannot listen on %s\n", address.text().c_str());
        std::_Exit(exitNotRun);
    }
    std::thread([this] {
        this->accept();
    }).detach();
}

void Server::accept()
{
    for (;;) {
        const int descriptor = accept4(this->listener.handle(), nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        std::thread([this, socket = std::make_shared<Socket>(descriptor)] {
            this->handler(socket);
        }).detach();
    }
}

Store::Store(const Address &address)
    : server(std::make_unique<Server>(address, [this](const std::shared_ptr<Socket> &socket) {
        this->serve(*socket);
    }))
{
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(this->mutex);
    Item &item = this->items[key];
    item.value = value;
    item.revision = ++this->revision;
    item.created = item.created == 0 ? item.revision : item.created;
    this->events.push_back({key, this->revision, false, item});
    this->changed.notify_all();
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    if (this->items.erase(key) != 0) {
        this->events.push_back({key, ++this->revision, true, {}});
        this->changed.notify_all();
    }
}

void Store::silenceOpenConnections()
{
    ++this->silences;
}

void Store::serve(const Socket &socket)
{
    const unsigned silencesBefore = this->silences;
    Reader reader(socket);
    Request request;
    while (reader.read(request)) {
        const Response response = this->answer(request);
        const bool isSilent = this->silences != silencesBefore;
        if (!isSilent && !writeAll(socket, toBytes(response))) {
            return;
        }
    }
}

std::string Store::itemText(const std::string &key, const Item &item) const
{
    return R"({"key":")" + key + R"(","value":")" + toBase64(item.value) + R"(","revision":)" + std::to_string(item.revision)
           + R"(,"created":)" + std::to_string(item.created) + R"(,"lease":0)";
}

Response Store::answer(const Request &request)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/-/kv-watch") {
        return this->watch(queryValue(request.target, "prefix"),
                           toNumber(queryValue(request.target, "after")),
                           Milliseconds(toNumber(queryValue(request.target, "wait-ms"))));
    }
    const std::lock_guard lock(this->mutex);
    const std::string end = R"("store-revision":)" + std::to_string(this->revision) + "}";
    if (path == "/-/kv-key") {
        const auto item = this->items.find(queryValue(request.target, "key"));
        return item == this->items.end() ? jsonResponse(404, "{}")
                                         : jsonResponse(200, this->itemText(item->first, item->second) + "," + end);
    }
    if (path != "/-/kv-range") {
        return jsonResponse(404, "{}");
    }
    const std::string prefix = queryValue(request.target, "prefix");
    const std::string after = queryValue(request.target, "after");
    std::string list;
    for (const auto &[key, item] : this->items) {
        if (key.starts_with(prefix) && key > after) {
            list += (list.empty() ? "" : ",") + this->itemText(key, item) + "}";
        }
    }
    return jsonResponse(200, R"({"items":[)" + list + R"(],"truncated":false,)" + end);
}

Response Store::watch(const std::string &prefix, std::uint64_t after, Milliseconds wait)
{
    const auto deadline = Clock::now() + wait;
    std::unique_lock lock(this->mutex);
    for (;;) {
        std::string list;
        for (const Event &event : this->events) {
            if (event.revision <= after || !event.key.starts_with(prefix)) {
                continue;
            }
            list += list.empty() ? "" : ",";
            list += event.isDeleted
                        ? R"({"key":")" + event.key + R"(","revision":)" + std::to_string(event.revision) + R"(,"deleted":true})"
                        : this->itemText(event.key, event.item) + "}";
        }
        if (!list.empty() || Clock::now() >= deadline) {
            return jsonResponse(200, R"({"events":[)" + list + R"(],"store-revision":)" + std::to_string(this->revision) + "}");
        }
        this->changed.wait_until(lock, deadline);
    }
}

Relay::Relay(const Address &address, Address target)
    : target(std::move(target))
    , server(std::make_unique<Server>(address, [this](const std::shared_ptr<Socket> &socket) {
        this->serve(*socket);
    }))
{
}

void Relay::cut()
{
    this->isCut = true;
    ++this->cuts;
}

void Relay::heal()
{
    this->isCut = false;
}

void Relay::serve(const Socket &socket)
{
    // A connection that was opened during a cut counts as one of before it.
    const unsigned cutsBefore = this->cuts - (this->isCut ? 1 : 0);
    const Socket store = connectTo(this->target);
    std::thread answers([&] {
        this->pass(store, socket, cutsBefore);
    });
    this->pass(socket, store, cutsBefore);
    answers.join();
}

void Relay::pass(const Socket &from, const Socket &to, unsigned cutsBefore) const
{
    std::array<char, 16 * 1024> bytes{};
    ssize_t length = 0;
    while ((length = recv(from.handle(), bytes.data(), bytes.size(), 0)) > 0) {
        if (this->cuts == cutsBefore && !writeAll(to, {bytes.data(), static_cast<std::size_t>(length)})) {
            break;
        }
    }
    shutdown(from.handle(), SHUT_RDWR);
    shutdown(to.handle(), SHUT_RDWR);
}

Backend::Backend(BackendSettings settings, Store &store, Behaviour behaviour, Observer observer)
    : settings(std::move(settings))
    , store(store)
    , behaviour(std::move(behaviour))
    , observer(std::move(observer))
    , born(unixMilliseconds())
    , server(std::make_unique<Server>(this->settings.address, [this](const std::shared_ptr<Socket> &socket) {
        this->serve(*socket);
    }))
{
    this->writeEntry();
}

std::string Backend::id() const
{
    return this->settings.name + "-" + std::to_string(this->lifetime);
}

void Backend::leave()
{
    this->store.remove("servers/" + this->id());
}

void Backend::startAgain()
{
    ++this->lifetime;
    this->born = unixMilliseconds();
    this->writeEntry();
}

void Backend::writeEntry()
{
    this->store.put("servers/" + this->id(),
                    R"({"service":")" + this->settings.service + R"(","address":")" + this->settings.address.text() + R"(","zone":")"
                        + this->settings.zone + R"(","version":"v1","slots":)" + std::to_string(this->settings.slots)
                        + R"(,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":)" + std::to_string(this->born) + "}");
}

void Backend::serve(const Socket &socket)
{
    Reader reader(socket);
    Request request;
    while (reader.read(request) && writeAll(socket, toBytes(this->answer(request)))) { }
}

Response Backend::answer(const Request &request)
{
    Response response;
    response.fields.add("Request-Id", request.fields.find("Request-Id"));
    response.fields.add("Instance-Id", this->id());
    if (request.target == "/healthz") {
        response.status = 200;
        return response;
    }
    const std::string expected = request.fields.find("Expect-Instance");
    if (!expected.empty() && expected != this->id()) {
        response.status = 421;
        response.fields.add("Not-Executed", "1");
        return response;
    }
    constexpr unsigned queueLength = 24;
    const unsigned before = this->running++;
    Reply reply = before >= this->settings.slots + queueLength ? Reply{503, Milliseconds(0), false} : this->behaviour(*this, request);
    this->observer(*this, request, reply);
    std::this_thread::sleep_for(reply.work);
    --this->running;
    response.status = reply.status;
    if (reply.isRun) {
        response.fields.add("Server-Seal", "seal." + request.fields.find("Request-Id"));
        response.body = "run by " + this->id();
    } else {
        response.fields.add("Not-Executed", "1");
    }
    return response;
}

Ports findFreePorts(const std::vector<std::string> &ips)
{
    std::random_device device;
    std::mt19937 random(device());
    std::uniform_int_distribution<int> choose(21000, 31000);
    constexpr int portCount = 5;
    for (;;) {
        const int first = choose(random);
        bool isFree = true;
        for (const std::string &ip : ips) {
            for (int i = 0; i < portCount; ++i) {
                isFree = isFree && listenOn({ip, static_cast<std::uint16_t>(first + i)}).isOpen();
            }
        }
        if (isFree) {
            const auto port = [first](int offset) {
                return static_cast<std::uint16_t>(first + offset);
            };
            return {port(0), port(1), port(2), port(3), port(4)};
        }
    }
}

Node::Node(NodeSettings settings, const std::string &logPath)
    : settings(std::move(settings))
{
    const auto on = [this](std::uint16_t port) {
        return Address{this->settings.ip, port}.text();
    };
    // The words of `run` in the deploy file.
    std::vector<std::string> words = {
        "target/galenarackd",
        "--fleet=galenarack",
        "--vm=" + this->settings.name,
        "--failure_domain=" + this->settings.zone,
        "--caller_address=" + on(this->settings.ports.callers),
        "--peer_address=" + on(this->settings.ports.peers),
        "--operators_address=" + on(this->settings.ports.ready),
        "--home_upstreams=" + this->settings.service + "=" + on(this->settings.ports.app),
        "--registry=" + this->settings.store.text(),
        "--bounds=" + this->settings.bounds,
        "--memory_mb=" + std::to_string(this->settings.memoryMb),
    };
    std::vector<char *> arguments;
    for (std::string &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const pid_t parent = getpid();
    this->pid = fork();
    if (this->pid == 0) {
        // The process must not outlive the case.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(exitNotRun);
        }
        const int log = open(logPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execv(arguments.front(), arguments.data());
        _exit(127);
    }
}

Node::~Node()
{
    if (this->isRunning()) {
        this->signal(SIGKILL);
        waitpid(this->pid, nullptr, 0);
    }
}

void Node::signal(int number) const
{
    kill(this->pid, number);
}

bool Node::isRunning()
{
    if (!this->hasEnded && waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
        this->hasEnded = true;
    }
    return !this->hasEnded;
}

bool Node::isReady() const
{
    const Socket socket = connectTo({this->settings.ip, this->settings.ports.ready});
    Request request;
    request.target = "/readyz";
    request.fields.add("Host", this->settings.ip);
    Reader reader(socket);
    Response response;
    return socket.isOpen() && writeAll(socket, toBytes(request)) && reader.read(response, Clock::now() + Milliseconds(500))
           && response.status == 200;
}

unsigned Node::residentMb() const
{
    std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:")) {
            constexpr unsigned kbPerMb = 1024;
            return static_cast<unsigned>(std::stoul(line.substr(line.find_first_of("0123456789"))) / kbPerMb);
        }
    }
    return 0;
}

Client::Client(const Address &node)
    : node(node)
    , socket(connectTo(node))
    , reader(this->socket)
{
}

Client::Result Client::send(const Request &request, Milliseconds patience)
{
    Result result;
    const auto deadline = Clock::now() + patience;
    if (!this->socket.isOpen() || !writeAll(this->socket, toBytes(request)) || !this->reader.read(result.response, deadline)) {
        result.isClosed = Clock::now() < deadline;
    }
    return result;
}

std::string newRequestId()
{
    static std::atomic<std::uint64_t> next = std::random_device()();
    std::array<char, 20> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(++next) * 0x9e3779b97f4a7c15ULL);
    return text.data();
}

bool waitUntilReady(const std::vector<std::unique_ptr<Node>> &nodes)
{
    const auto deadline = Clock::now() + std::chrono::seconds(15);
    while (Clock::now() < deadline) {
        if (std::ranges::all_of(nodes, [](const auto &node) {
                return node->isReady();
            })) {
            return true;
        }
        std::this_thread::sleep_for(Milliseconds(100));
    }
    return false;
}

} // namespace Review
