#include "platformfleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <absl/strings/escaping.h>

#include <algorithm>
#include <cstdlib>

#include <unistd.h>

namespace Galenarack {

namespace asio = boost::asio;
using namespace StandIns;
using Json = nlohmann::json;

namespace {

constexpr const char *requestIdField = "Request-Id";
constexpr const char *notRunField = "Not-Executed";
constexpr const char *limitField = "Server-Limit";
constexpr const char *leavingField = "Server-Leaving";
constexpr const char *healthPath = "/healthz";

Json makeRoute(const ConfiguredRoute &route)
{
    Json action = {{"timeout-ms", route.timeout.count()}, {"max-attempts", 3}};
    if (route.services.size() == 1 && route.weights.empty()) {
        action["service"] = route.services.front();
    } else {
        for (std::size_t i = 0; i < route.services.size(); ++i) {
            const std::uint32_t weight = route.weights.empty() ? 1 : route.weights[i];
            action["weighted-services"].push_back({{"service", route.services[i]}, {"weight", weight}});
        }
    }
    return {{"name", route.prefix.substr(1, route.prefix.size() - 2)},
            {"kind", route.idempotent ? "safe" : "unsafe"},
            {"target-latency-ms", 500},
            {"priority", 1},
            {"match", {{"prefix", route.prefix}}},
            {"action", action}};
}

/// @return the bounds of a deployment, in the order in which the platform gives them
nlohmann::ordered_json deploymentBounds(unsigned graceSeconds)
{
    return {{"seed-lag-s", 3},
            {"reuse-after-s", 2},
            {"stable-window-ms", 3000},
            {"drain-ms", 2000},
            {"grace-s", graceSeconds},
            {"config-apply-ms", 2000},
            {"retry-budget-ratio", 0.2},
            {"budget-window-s", 10},
            {"budget-slack", 60},
            {"floor-share", 0.7}};
}

} // namespace

std::string boundsAsList(unsigned graceSeconds)
{
    const nlohmann::ordered_json bounds = deploymentBounds(graceSeconds);
    std::string list;
    for (const auto &[name, value] : bounds.items()) {
        list.append(list.empty() ? "" : ",").append(name).append("=").append(value.dump());
    }
    return list;
}

std::string boundsAsTable(unsigned graceSeconds)
{
    return deploymentBounds(graceSeconds).dump();
}

RegistryStandIn::RegistryStandIn(asio::io_context &context)
    : context(context)
    , server(context, {asio::ip::address_v4::loopback(), 0}, [this](const HttpRequest &request) {
        return this->answer(request);
    })
{
    this->server.open();
}

void RegistryStandIn::put(const std::string &key, const std::string &value)
{
    this->write(key, Item{value, ++this->revision, false});
}

void RegistryStandIn::remove(const std::string &key)
{
    this->write(key, Item{"", ++this->revision, true});
}

void RegistryStandIn::write(const std::string &key, Item item)
{
    this->writes.push_back({std::chrono::steady_clock::now(), key, item});
    this->items[key] = std::move(item);
}

std::vector<RegistryStandIn::LostWrite> RegistryStandIn::restore(std::chrono::milliseconds age)
{
    const auto copied = std::chrono::steady_clock::now() - age;
    const auto firstLost = std::ranges::upper_bound(this->writes, copied, {}, &LoggedWrite::at);
    std::map<std::string, LostWrite> lost;
    for (auto write = firstLost; write != this->writes.end(); ++write) {
        lost[write->key] = {write->key, write->item.value, write->item.deleted};
    }
    this->writes.erase(firstLost, this->writes.end());
    this->items.clear();
    this->revision = 1;
    for (const LoggedWrite &write : this->writes) {
        this->items[write.key] = write.item;
        this->revision = write.item.revision;
    }
    this->historyStart = std::min(this->historyStart, this->revision);
    ++this->era;
    std::vector<LostWrite> list;
    list.reserve(lost.size());
    for (auto &[key, write] : lost) {
        list.push_back(std::move(write));
    }
    return list;
}

void RegistryStandIn::setReachable(bool reachable)
{
    if (reachable == this->reachable) {
        return;
    }
    this->reachable = reachable;
    if (reachable) {
        this->server.open();
    } else {
        this->server.close();
    }
}

void RegistryStandIn::setSilent(bool silent)
{
    this->silent = silent;
}

void RegistryStandIn::loseWatchReplies(unsigned count)
{
    this->lostReplies = count;
}

void RegistryStandIn::cutWatches()
{
    if (this->reachable) {
        this->server.close();
        this->server.open();
    }
}

void RegistryStandIn::setLostShare(double share)
{
    this->lostShare = share;
}

void RegistryStandIn::setReplyDelay(std::chrono::milliseconds delay)
{
    this->replyDelay = delay;
}

void RegistryStandIn::setRejection(unsigned status)
{
    this->rejection = status;
}

void RegistryStandIn::forgetHistory()
{
    this->historyStart = this->revision;
}

void RegistryStandIn::setForgetful(bool forgetful)
{
    this->forgetful = forgetful;
}

void RegistryStandIn::setPageSize(std::size_t items)
{
    this->pageSize = items;
}

std::string RegistryStandIn::address() const
{
    return endpointText(this->server.address());
}

Json RegistryStandIn::toJson(const std::string &key, const Item &item) const
{
    if (item.deleted) {
        return {{"key", key}, {"revision", item.revision}, {"deleted", true}};
    }
    std::string encoded;
    absl::Base64Escape(item.value, &encoded);
    return {{"key", key}, {"value", encoded}, {"revision", item.revision}, {"created", item.revision}, {"lease", 0}};
}

asio::awaitable<void> RegistryStandIn::waitForever()
{
    asio::steady_timer timer(this->context, asio::steady_timer::time_point::max());
    co_await timer.async_wait(asio::use_awaitable);
}

Json RegistryStandIn::readRange(const Target &target) const
{
    Json list = Json::array();
    bool isTruncated = false;
    for (auto entry = this->items.upper_bound(target.parameter("after")); entry != this->items.end() && !isTruncated; ++entry) {
        const auto &[key, item] = *entry;
        if (!item.deleted && key.starts_with(target.parameter("prefix"))) {
            isTruncated = list.size() == this->pageSize;
            if (!isTruncated) {
                list.push_back(this->toJson(key, item));
            }
        }
    }
    return {{"items", list}, {"truncated", isTruncated}, {"store-revision", this->revision}};
}

asio::awaitable<HttpResponse> RegistryStandIn::answer(const HttpRequest &request)
{
    HttpResponse response = co_await this->answerWithoutEra(request);
    response.set("Store-Era", std::to_string(this->era));
    co_return response;
}

asio::awaitable<HttpResponse> RegistryStandIn::answerWithoutEra(const HttpRequest &request)
{
    ++this->calls;
    if (this->silent) {
        co_await this->waitForever();
    }
    if (this->rejection != 0) {
        co_return makeResponse(request, this->rejection, "application/json", "{}");
    }
    HttpResponse response = co_await this->read(request);
    if (this->replyDelay > std::chrono::milliseconds::zero()) {
        asio::steady_timer timer(this->context);
        co_await sleepFor(timer, this->replyDelay);
    }
    if (std::bernoulli_distribution(this->lostShare)(this->random)) {
        co_await this->waitForever();
    }
    co_return response;
}

asio::awaitable<HttpResponse> RegistryStandIn::read(const HttpRequest &request)
{
    const Target target(std::string_view(request.target().data(), request.target().size()));
    if (target.path == "/-/kv-watch") {
        co_return co_await this->watch(request, target);
    }
    if (target.path == "/-/kv-range") {
        co_return makeResponse(request, 200, "application/json", this->readRange(target).dump());
    }
    const auto item = this->items.find(target.parameter("key"));
    if (target.path != "/-/kv-key" || item == this->items.end() || item->second.deleted) {
        co_return makeResponse(request, 404, "application/json", "{}");
    }
    Json body = this->toJson(item->first, item->second);
    body["store-revision"] = this->revision;
    co_return makeResponse(request, 200, "application/json", body.dump());
}

asio::awaitable<HttpResponse> RegistryStandIn::watch(const HttpRequest &request, const Target &target)
{
    const std::uint64_t after = std::stoull(target.parameter("after", "0"));
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoul(target.parameter("wait-ms", "0")));
    asio::steady_timer timer(this->context);
    Json events = Json::array();
    if (this->forgetful || after < this->historyStart || after > this->revision) {
        co_return makeResponse(request, 410, "application/json", "{}");
    }
    while (events.empty() && std::chrono::steady_clock::now() < end && this->reachable) {
        if (this->silent) {
            co_await this->waitForever();
        }
        for (const auto &[key, item] : this->items) {
            if (item.revision > after) {
                events.push_back(this->toJson(key, item));
            }
        }
        if (events.empty()) {
            co_await sleepFor(timer, std::chrono::milliseconds(20));
        }
    }
    if (!events.empty() && this->lostReplies > 0) {
        --this->lostReplies;
        co_await this->waitForever();
    }
    const Json body = {{"events", events}, {"store-revision", this->revision}};
    co_return makeResponse(request, 200, "application/json", body.dump());
}

PlatformUpstream::PlatformUpstream(asio::io_context &context, std::string id, const std::string &vm)
    : id(std::move(id))
    , context(context)
    , server(context, {asio::ip::make_address(vm), 0}, [this](const HttpRequest &request) {
        return this->answer(request);
    })
{
    this->server.setFaultChooser([this](const HttpResponse &response, std::size_t size) {
        this->responseBytes = size;
        const bool isRejection = response.count(notRunField) != 0;
        return ResponseFault{this->behaviour.repeatsResponses || (this->behaviour.repeatsRejections && isRejection),
                             this->behaviour.sentBytes};
    });
    this->server.open();
}

std::string PlatformUpstream::address() const
{
    return endpointText(this->server.address());
}

asio::awaitable<HttpResponse> PlatformUpstream::answer(const HttpRequest &request)
{
    const std::string requestId(request[requestIdField]);
    if (request.target() == healthPath) {
        ++this->probeCount;
        if (this->behaviour.isReplacedInHealthChecks) {
            HttpResponse other = makeResponse(request, 200, "text/plain", "");
            other.set("Instance-Id", "another-" + this->id);
            co_return other;
        }
        HttpResponse response = this->makeAnswer(request, this->behaviour.saysLeaving ? 503 : 200, "");
        response.set("Instance-Id", this->id);
        co_return response;
    }
    if (std::string_view(request["Expect-Instance"].data(), request["Expect-Instance"].size()) != this->id) {
        HttpResponse response = this->makeAnswer(request, 421, "");
        response.set("Instance-Id", this->id);
        co_return response;
    }
    const std::size_t arrival = this->arrivals.size();
    this->arrivals.push_back({std::chrono::steady_clock::now(), requestId, this->startTimeMs});
    const bool isFirstArrival = this->arrivedIds.insert(requestId).second;
    if (this->behaviour.rejects || (this->behaviour.rejectsFirstArrivals && isFirstArrival)) {
        HttpResponse response = this->makeAnswer(request, 503, "");
        response.set(notRunField, "1");
        co_return response;
    }
    this->arrivals[arrival].isRun = true;
    ++this->runs[requestId];
    this->callerServices[requestId] = std::string(request["Caller-Service"]);
    const UpstreamBehaviour now = this->behaviour;
    const Target target(std::string_view(request.target().data(), request.target().size()));
    const std::string workTime = target.parameter("work-ms");
    const auto processingTime = workTime.empty() ? now.processingTime : std::chrono::milliseconds(std::stoul(workTime));
    asio::steady_timer timer(this->context);
    co_await sleepFor(timer, processingTime / 2);
    bool isCallDone = true;
    if (this->call && !target.parameter("calls").empty()) {
        isCallDone = co_await this->call(requestId);
    }
    co_await sleepFor(timer, processingTime - processingTime / 2);
    this->arrivals[arrival].answered = std::chrono::steady_clock::now();
    if (now.dropsResponses) {
        this->server.close();
        this->server.open();
    }
    std::string body = "ran " + requestId;
    body.resize(std::max<std::size_t>(body.size(), std::stoul(target.parameter("body-bytes", "0"))), '.');
    HttpResponse response = this->makeAnswer(request, isCallDone ? now.status : 500, std::move(body));
    response.set("Server-Seal", "seal-" + this->id);
    this->notices[requestId] = {!this->behaviour.limits.empty(), this->behaviour.saysLeaving, this->startTimeMs};
    co_return response;
}

void PlatformUpstream::restart()
{
    this->server.close();
    this->startTimeMs = std::max(unixMilliseconds(), this->startTimeMs + 1);
    this->server.open();
}

void PlatformUpstream::recordNamedLimit()
{
    std::optional<double> limit;
    const std::vector<std::string> &values = this->behaviour.limits;
    if (values.size() == 1 && !values.front().empty() && values.front().find_first_not_of("0123456789.") == std::string::npos) {
        limit = std::stod(values.front());
    }
    const bool isChange = this->namedLimits.empty() || this->namedLimits.back().perSecond != limit
                          || this->namedLimits.back().startTimeMs != this->startTimeMs;
    if (isChange) {
        this->namedLimits.push_back({std::chrono::steady_clock::now(), limit, this->startTimeMs});
    }
}

HttpResponse PlatformUpstream::makeAnswer(const HttpRequest &request, unsigned status, std::string body)
{
    this->recordNamedLimit();
    HttpResponse response = makeResponse(request, status, "text/plain", std::move(body));
    response.set(requestIdField, request[requestIdField]);
    for (const std::string &limit : this->behaviour.limits) {
        response.insert(limitField, limit);
    }
    if (this->behaviour.saysLeaving) {
        response.set(leavingField, "1");
    }
    return response;
}

PlatformFleet::PlatformFleet(unsigned nodes)
    : registry(this->context)
    , nodeCount(nodes)
    // Derived from the process id, so that concurrent test processes use different ports.
    , basePort(static_cast<std::uint16_t>(20000 + (getpid() % 2000) * 4))
{
    this->processes.resize(nodes);
    for (unsigned node = 0; node < nodes; ++node) {
        this->upstreams.push_back(std::make_unique<PlatformUpstream>(this->context, "i-" + std::to_string(node), this->vmAddress(node)));
        this->publishEntry(node, "ready");
        this->addRelays(node);
    }
    this->publishConfig("/read/");
}

std::string PlatformFleet::vmAddress(unsigned node) const
{
    return "127.0.1." + std::to_string(node + 1);
}

std::string PlatformFleet::directAddress(unsigned node, unsigned offset) const
{
    return "127.0.2." + std::to_string(node + 1) + ":" + std::to_string(this->basePort + offset);
}

void PlatformFleet::addRelays(unsigned node)
{
    const auto listen = [this, node](unsigned offset) {
        return Tcp::endpoint(asio::ip::make_address(this->vmAddress(node)), static_cast<std::uint16_t>(this->basePort + offset));
    };
    const Tcp::endpoint freePort(asio::ip::address_v4::loopback(), 0);
    const auto add = [this](const Tcp::endpoint &address, const std::string &target) {
        this->relays.back().push_back(std::make_unique<Relay>(this->context, address, parseEndpoint(target), false));
    };
    this->relays.emplace_back();
    add(listen(1), this->directAddress(node, 1));
    add(freePort, this->registry.address());
    add(freePort, this->upstreams[node]->address());
    add(listen(0), this->directAddress(node, 0));
}

void PlatformFleet::setPathFault(unsigned node, Path path, const PathFault &fault, bool existingOnly)
{
    this->relays[node][static_cast<std::size_t>(path)]->setFault(fault, existingOnly);
}

void PlatformFleet::setPathAccepting(unsigned node, Path path, bool accepting)
{
    this->relays[node][static_cast<std::size_t>(path)]->setAccepting(accepting);
    if (!accepting) {
        this->resetPath(node, path);
    }
}

void PlatformFleet::resetPath(unsigned node, Path path)
{
    this->relays[node][static_cast<std::size_t>(path)]->closeConnections();
}

void PlatformFleet::publishEntry(unsigned node, const std::string &state)
{
    const Json entry = {{"service", serviceOf(node)},
                        {"address", this->upstreams[node]->address()},
                        {"zone", node < this->nodeCount / 2 ? "a" : "b"},
                        {"version", "v1"},
                        {"slots", this->slots},
                        {"state", state},
                        {"cold-remaining-ms", 0},
                        {"born", this->upstreams[node]->startTimeMs},
                        {"sequence", this->sequence++}};
    this->registry.put("servers/" + this->upstreams[node]->id, entry.dump());
}

void PlatformFleet::publishConfig(const std::string &readPrefix)
{
    const ConfiguredRoute routes[] = {{readPrefix, {"back"}, true}, {"/write/", {"back"}, false}};
    this->publishRoutes(routes);
}

void PlatformFleet::publishRoutes(std::span<const ConfiguredRoute> routes)
{
    Json rules = Json::array();
    for (const ConfiguredRoute &route : routes) {
        rules.push_back(makeRoute(route));
    }
    std::string digits(8, '0');
    std::snprintf(digits.data(), digits.size() + 1, "%08x", static_cast<unsigned>(this->version++));
    const Json config
        = {{"version", digits},
           {"limits",
            {{"max-header-bytes", 16384}, {"max-body-bytes", this->maxBodyBytes}, {"header-timeout-ms", 3000}, {"idle-timeout-ms", 15000}}},
           {"listeners", {{{"host", "fleet.example"}, {"rules", rules}}}},
           {"clusters",
            {{{"name", "back"}, {"health-path", "/healthz"}, {"max-connections", 100}},
             {{"name", "front"}, {"health-path", "/healthz"}, {"max-connections", 100}}}}};
    this->lastConfig = config.dump();
    this->publishConfigAgain();
}

void PlatformFleet::publishConfigAgain()
{
    this->registry.put("op/config", this->lastConfig);
}

void PlatformFleet::setUpstreamAddress(unsigned node, const Tcp::endpoint &address)
{
    this->upstreamAddresses[node] = endpointText(address);
}

void PlatformFleet::startNode(unsigned node)
{
    const std::string vm = this->vmAddress(node);
    const auto address = [&vm, this](unsigned offset) {
        return vm + ":" + std::to_string(this->basePort + offset);
    };
    const char *otherBuild = std::getenv("GALENARACK_SOAK_DAEMON");
    const auto relayed = [this, node](Path path) {
        return endpointText(this->relays[node][static_cast<std::size_t>(path)]->address());
    };
    const auto direct = this->upstreamAddresses.find(node);
    const std::vector<std::string> arguments = {"--fleet=test",
                                                "--vm=vm-" + std::to_string(node),
                                                std::string("--failure_domain=") + (node < this->nodeCount / 2 ? "a" : "b"),
                                                "--caller_address=" + this->directAddress(node, 0),
                                                "--peer_address=" + address(1),
                                                "--peer_listen_address=" + this->directAddress(node, 1),
                                                "--operators_address=" + address(2),
                                                "--home_upstreams=" + serviceOf(node) + "="
                                                    + (direct == this->upstreamAddresses.end() ? relayed(Path::Upstream) : direct->second),
                                                "--registry=" + relayed(Path::Registry),
                                                "--bounds=" + this->bounds};
    // The previous process has to be gone, or the new one may find its addresses in use.
    this->processes[node].reset();
    this->processes[node]
        = std::make_unique<ChildProcess>(otherBuild != nullptr ? std::filesystem::path(otherBuild) : programPath("galenarackd"),
                                         arguments,
                                         this->folder.path() / ("node-" + std::to_string(node) + ".log"));
}

bool PlatformFleet::startAll()
{
    for (unsigned node = 0; node < this->nodeCount; ++node) {
        this->startNode(node);
    }
    bool isReady = true;
    for (unsigned node = 0; node < this->nodeCount; ++node) {
        isReady = isReady && this->waitUntilReady(node);
    }
    return isReady;
}

bool PlatformFleet::waitUntilReady(unsigned node)
{
    for (int i = 0; i < 200; ++i) {
        HttpClient client(this->context, this->operatorsAddress(node));
        HttpRequest request(boost::beast::http::verb::get, "/readyz", 11);
        bool ready = false;
        bool done = false;
        asio::co_spawn(
            this->context,
            [&]() -> asio::awaitable<void> {
                const Exchange exchange = co_await client.exchange(std::move(request), std::chrono::milliseconds(500));
                ready = exchange.end == ExchangeEnd::Complete && exchange.response.result_int() == 200;
                done = true;
            },
            asio::detached);
        while (!done) {
            this->runFor(std::chrono::milliseconds(20));
        }
        if (ready) {
            return true;
        }
        this->runFor(std::chrono::milliseconds(80));
    }
    return false;
}

Tcp::endpoint PlatformFleet::callerAddress(unsigned node, bool isDirect) const
{
    return isDirect ? parseEndpoint(this->directAddress(node, 0))
                    : Tcp::endpoint(asio::ip::make_address(this->vmAddress(node)), this->basePort);
}

Tcp::endpoint PlatformFleet::operatorsAddress(unsigned node) const
{
    return {asio::ip::make_address(this->vmAddress(node)), static_cast<std::uint16_t>(this->basePort + 2)};
}

asio::awaitable<CallResult> PlatformFleet::send(
    unsigned node, std::string method, std::string target, std::string id, std::chrono::milliseconds timeout)
{
    HttpClient client(this->context, this->callerAddress(node, false));
    co_return co_await this->sendThrough(client, method, target, id, timeout);
}

CallResult PlatformFleet::sendAndWait(unsigned node, const std::string &method, const std::string &target, const std::string &id)
{
    std::optional<CallResult> result;
    asio::co_spawn(
        this->context,
        [&]() -> asio::awaitable<void> {
            result = co_await this->send(node, method, target, id, std::chrono::seconds(3));
        },
        asio::detached);
    while (!result) {
        this->runFor(std::chrono::milliseconds(10));
    }
    return *result;
}

bool PlatformFleet::isServedWithin(unsigned node, const std::string &prefix, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
        const std::string id = prefix + std::to_string(node) + "-" + std::to_string(i);
        if (this->sendAndWait(node, "GET", prefix + "x", id).status == 200) {
            return true;
        }
        this->runFor(std::chrono::milliseconds(50));
    }
    return false;
}

asio::awaitable<CallResult> PlatformFleet::sendDirectly(
    unsigned node, std::string method, std::string target, std::string id, std::chrono::milliseconds timeout)
{
    HttpClient client(this->context, this->callerAddress(node, true));
    co_return co_await this->sendThrough(client, method, target, id, timeout);
}

asio::awaitable<CallResult> PlatformFleet::sendThrough(
    HttpClient &client, std::string method, std::string target, std::string id, std::chrono::milliseconds timeout)
{
    HttpRequest request(boost::beast::http::string_to_verb(method), target, 11);
    request.set(boost::beast::http::field::host, "fleet.example");
    request.set(requestIdField, id);
    request.set("Deadline-Ms", std::to_string(timeout.count()));
    request.body() = method == "POST" ? std::string(2000, 'x') : "";
    request.prepare_payload();
    const Exchange exchange = co_await client.exchange(std::move(request), timeout + std::chrono::milliseconds(1500));
    CallResult result;
    result.end = exchange.end;
    if (exchange.end == ExchangeEnd::Complete) {
        result.status = exchange.response.result_int();
        result.isSigned = exchange.response.count("Server-Seal") == 1;
        result.seal = std::string(exchange.response["Server-Seal"]);
        result.retryAfter = std::string(exchange.response["Retry-After"]);
        result.hasNotice = exchange.response.count(limitField) + exchange.response.count(leavingField) > 0;
        result.echoedId = std::string(exchange.response[requestIdField]);
        result.body = exchange.response.body();
    }
    co_return result;
}

unsigned PlatformFleet::runCount(const std::string &id) const
{
    unsigned runs = 0;
    for (const auto &upstream : this->upstreams) {
        const auto entry = upstream->runs.find(id);
        runs += entry == upstream->runs.end() ? 0 : entry->second;
    }
    return runs;
}

std::vector<unsigned> PlatformFleet::backNodes() const
{
    std::vector<unsigned> nodes;
    for (unsigned node = 1; node < this->nodeCount; node += 2) {
        nodes.push_back(node);
    }
    return nodes;
}

void PlatformFleet::runFor(std::chrono::milliseconds time)
{
    this->context.restart();
    this->context.run_for(time);
}

} // namespace Galenarack
