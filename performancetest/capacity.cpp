// Measures memory, processor time and network traffic of the parts of a node whose cost grows with the fleet. Each part is measured at
// three sizes, and a straight line is fitted to the results. The bounds follow from section 1 of docs/design.md and apply to the value
// measured at the target size. With --check, the program exits with status 1 if a bound is exceeded.
// --case NAME runs one part: connections, heartbeats, members, directory, membership or metrics.

#include "targetdocument.h"

#include <galenarack/config/acceptance.h>
#include <galenarack/ingress/upstreamdirectory.h>
#include <galenarack/peer/peerclient.h>
#include <galenarack/peer/peerserver.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <malloc.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <span>
#include <string_view>

using namespace Galenarack;
namespace asio = boost::asio;

namespace {

constexpr double targetNodes = 660;
constexpr std::size_t homeUpstreams = 11;

/// Maximum control overhead of a node (section 1): share of a core, memory in bytes and network traffic in bytes per second.
constexpr double maxCoreShare = 0.028;
constexpr double maxNodeBytes = 256.0 * 1024 * 1024;
constexpr double maxBytesPerSecond = 4096;
/// Maximum duration of a step of periodic work, from the bound on added latency at p99 (section 1). The daemon has one thread, so a
/// step delays every request that arrives while it runs.
constexpr double maxStepSeconds = 0.0027;
/// Maximum share of a core for the tick over the home upstreams and the known peers (section 1).
constexpr double maxTickShare = 0.002;

/// Heartbeats that a node sends per second, at the rate of PeerClient. On average it answers as many.
constexpr double heartbeatsPerSecond = 1.0 / std::chrono::duration<double>(PeerClient::heartbeatPace).count();
constexpr double ticksPerSecond = 10;
constexpr double slowTicksPerSecond = 2;
/// Metrics scrapes per second: one every 15 s, the usual interval of a Prometheus server.
constexpr double scrapesPerSecond = 1.0 / 15;
/// Size of the IPv4 and TCP headers of a segment with the timestamp option.
constexpr double segmentHeaderBytes = 52;

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// @return processor seconds per call: the smallest of five averages, to reduce the influence of other load on the machine
template<typename Work>
double secondsOf(int calls, Work &&work)
{
    double best = 1e9;
    for (int round = 0; round < 5; ++round) {
        const double start = processorSeconds();
        for (int i = 0; i < calls; ++i) {
            work();
        }
        best = std::min(best, (processorSeconds() - start) / calls);
    }
    return best;
}

/// A measurement at one size.
struct Point
{
    double size = 0;
    double value = 0;
};

/// A straight line fitted by least squares.
struct Line
{
    double intercept = 0;
    double slope = 0;

    double at(double size) const
    {
        return this->intercept + this->slope * size;
    }
};

Line fit(std::span<const Point> points)
{
    double meanSize = 0;
    double meanValue = 0;
    for (const Point &point : points) {
        meanSize += point.size / static_cast<double>(points.size());
        meanValue += point.value / static_cast<double>(points.size());
    }
    double covariance = 0;
    double variance = 0;
    for (const Point &point : points) {
        covariance += (point.size - meanSize) * (point.value - meanValue);
        variance += (point.size - meanSize) * (point.size - meanSize);
    }
    Line line;
    line.slope = covariance / variance;
    line.intercept = meanValue - line.slope * meanSize;
    return line;
}

/// Prints the points, the line fitted to them and the largest relative error of the line.
Line report(const char *what, const char *unit, std::span<const Point> points, double scale)
{
    const Line line = fit(points);
    std::printf("%-34s", what);
    double error = 0;
    for (const Point &point : points) {
        std::printf(" %6.0f: %10.3f", point.size, point.value * scale);
        error = std::max(error, std::abs(line.at(point.size) / point.value - 1));
    }
    std::printf("  %s; fit %.4f + %.6f n, off by at most %.0f%%\n", unit, line.intercept * scale, line.slope * scale, error * 100);
    std::fflush(stdout);
    return line;
}

bool isWithin(const char *what, double value, double bound, const char *unit)
{
    const bool isOk = value <= bound;
    std::printf("  bound: %-62s %10.4f %s, allowed %10.4f: %s\n", what, value, unit, bound, isOk ? "ok" : "BROKEN");
    return isOk;
}

/// Makes the report that a node with `upstreams` home upstreams sends in a heartbeat.
NodeReport makeReport(const std::string &vm, std::size_t upstreams)
{
    NodeReport report;
    report.fleet = "target";
    report.vm = vm;
    report.incarnation = Incarnation{0x123456789abcdef0};
    report.clockMs = 1'796'000'000'000;
    report.revision = 4711;
    for (std::size_t i = 0; i < upstreams; ++i) {
        UpstreamReport row;
        row.severity = 0.0371F;
        row.inFlight = 1;
        row.slots = 3;
        row.latency = std::chrono::microseconds(20'417);
        report.upstreams.push_back({"upstream-" + std::to_string(1000 + i), row});
    }
    return report;
}

/// Connects one PeerClient to the PeerServers of `count` nodes, each on its own loopback address. At the target size a node has 659
/// outgoing and 659 incoming connections, so it uses as much memory as 659 pairs.
class PairFixture
{
public:
    explicit PairFixture(std::size_t count)
        : client(
            this->context.get_executor(),
            NodeIdentity{"target", "vm-0", "domain-0", Incarnation{1}},
            PeerLimits(),
            [] {
                return makeReport("vm-0", 0);
            },
            [](const NodeReport &) {},
            this->paths)
    {
        const double before = heapBytes();
        for (std::size_t i = 1; i <= count; ++i) {
            this->add(i);
        }
        for (std::size_t i = 1; i <= count; ++i) {
            asio::co_spawn(
                this->context,
                [this, vm = nameOf(i)]() -> asio::awaitable<void> {
                    std::ignore = co_await this->client.connect(vm, NodeClock::now() + std::chrono::seconds(30));
                },
                asio::detached);
            if (i % 50 == 0) {
                this->settle();
            }
        }
        this->settle();
        this->heap = heapBytes() - before;
    }

    /// Runs the event loop until no handler has run for 20 ms.
    void settle()
    {
        while (this->context.run_one_for(std::chrono::milliseconds(20)) > 0) { }
    }

    asio::io_context context{1};
    PathTable paths;
    PeerClient client;
    std::vector<std::unique_ptr<PeerServer>> servers;
    double heap = 0;

private:
    static std::string nameOf(std::size_t i)
    {
        return "vm-" + std::to_string(i);
    }

    void add(std::size_t i)
    {
        constexpr unsigned short port = 19'650;
        const std::string vm = nameOf(i);
        const asio::ip::address_v4 address({127, 6, static_cast<unsigned char>(i / 250), static_cast<unsigned char>(1 + i % 250)});
        PeerHandler handler = [vm](std::shared_ptr<PeerCall>) -> asio::awaitable<PeerResponse> {
            PeerResponse response;
            response.body = makeReport(vm, homeUpstreams).encode();
            co_return response;
        };
        this->servers.push_back(std::make_unique<PeerServer>(
            this->context.get_executor(),
            NodeIdentity{"target", vm, "domain-0", Incarnation{i}},
            PeerLimits(),
            2048,
            [vm] {
                return makeReport(vm, 0);
            },
            [](const NodeReport &) {},
            std::move(handler)));
        const absl::Status status = this->servers.back()->listen({address, port});
        if (!status.ok()) {
            std::fprintf(stderr, "%s\n", std::string(status.message()).c_str());
            std::exit(2);
        }
        this->client.setAddress(vm, {address, port});
    }
};

bool checkConnections()
{
    std::printf("connections: PeerClient and PeerServer over loopback, one pair a peer\n");
    std::vector<Point> heap;
    std::vector<Point> tick;
    std::vector<Point> heartbeat;
    for (const std::size_t count : {100UL, 300UL, 659UL}) {
        PairFixture pairs(count);
        if (pairs.client.connectionCount() != count) {
            std::printf("  only %zu of %zu connections opened\n", pairs.client.connectionCount(), count);
            return false;
        }
        const auto size = static_cast<double>(count);
        heap.push_back({size, pairs.heap});
        TimePoint now = NodeClock::now();
        pairs.client.tick(now);
        pairs.settle();
        tick.push_back({size, secondsOf(200, [&] {
                            pairs.client.tick(now);
                        })});
        constexpr int rounds = 100;
        double seconds = 1e9;
        for (int round = 0; round < 5; ++round) {
            const double start = processorSeconds();
            for (int i = 0; i < rounds; ++i) {
                now += std::chrono::milliseconds(250);
                pairs.client.tick(now);
                while (pairs.context.poll() > 0) { }
            }
            seconds = std::min(seconds, (processorSeconds() - start) / rounds);
        }
        heartbeat.push_back({size, seconds - tick.back().value});
        pairs.settle();
    }
    report("heap of n pairs", "MB", heap, 1e-6);
    report("PeerClient::tick, n links", "us", tick, 1e6);
    report("one heartbeat, both ends, n links", "us", heartbeat, 1e6);
    const double beats = heartbeatsPerSecond * heartbeat.back().value;
    bool isOk = isWithin("heap of 659 connections each way", heap.back().value / 1e6, maxNodeBytes / 1e6, "MB");
    isOk &= isWithin("tick over 659 links, of a core", 100 * tick.back().value * ticksPerSecond, 100 * maxTickShare, "%");
    isOk &= isWithin("heartbeats sent and answered, of a core", 100 * beats, 100 * maxCoreShare, "%");
    return isOk;
}

/// Layout of TCP_INFO in Linux 4.2 and later. The struct in <netinet/tcp.h> lacks the counters, and <linux/tcp.h> cannot be included
/// together with it.
struct TcpCounters
{
    tcp_info base;
    std::uint64_t pacingRate;
    std::uint64_t maxPacingRate;
    std::uint64_t bytesAcked;
    std::uint64_t bytesReceived;
    std::uint32_t segmentsSent;
    std::uint32_t segmentsReceived;
};
static_assert(offsetof(TcpCounters, bytesAcked) == 120);

/// @return bytes transferred on a connection so far in both directions, including headers
double bytesOnWire(int descriptor)
{
    TcpCounters counters{};
    socklen_t length = sizeof(counters);
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &counters, &length) != 0 || length < sizeof(counters)) {
        std::fprintf(stderr, "cannot read the byte counters of TCP_INFO, which require Linux 4.2 or later\n");
        std::exit(2);
    }
    const auto payload = static_cast<double>(counters.bytesAcked + counters.bytesReceived);
    return payload + segmentHeaderBytes * (counters.segmentsSent + counters.segmentsReceived);
}

/// @return bytes of one heartbeat and its response, including TCP and IP headers
double heartbeatBytes(std::size_t upstreams)
{
    constexpr int warmUp = 5;
    constexpr int count = 200;
    asio::io_context context(1);
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    asio::ip::tcp::socket near(context);
    asio::ip::tcp::socket far(context);
    near.connect(acceptor.local_endpoint());
    acceptor.accept(far);
    const int descriptor = dup(near.native_handle());
    PeerHandler handler = [upstreams](std::shared_ptr<PeerCall>) -> asio::awaitable<PeerResponse> {
        PeerResponse response;
        response.body = makeReport("vm-1", upstreams).encode();
        co_return response;
    };
    const auto client = std::make_shared<PeerSession>(std::move(near), PeerSession::Role::Client, PeerLimits(), PeerHandler());
    const auto server = std::make_shared<PeerSession>(std::move(far), PeerSession::Role::Server, PeerLimits(), handler);
    client->start();
    server->start();
    double bytes = 0;
    auto run = [&]() -> asio::awaitable<void> {
        double before = 0;
        for (int i = 0; i < warmUp + count; ++i) {
            if (i == warmUp) {
                before = bytesOnWire(descriptor);
            }
            PeerRequest request;
            request.method = "GET";
            request.path = PeerPath::heartbeat;
            std::ignore = co_await client->request(std::move(request), NodeClock::now() + std::chrono::seconds(2));
        }
        bytes = (bytesOnWire(descriptor) - before) / count;
        client->close();
        server->close();
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    close(descriptor);
    return bytes;
}

bool checkHeartbeats()
{
    std::printf("heartbeats: bytes of one heartbeat and its response, from TCP_INFO, %g bytes of headers a segment\n", segmentHeaderBytes);
    std::vector<Point> bytes;
    for (const std::size_t upstreams : {0UL, 11UL, 44UL}) {
        bytes.push_back({static_cast<double>(upstreams), heartbeatBytes(upstreams)});
    }
    const Line line = report("n home upstreams", "bytes", bytes, 1);
    const double beat = line.at(homeUpstreams);
    return isWithin("heartbeats sent and answered, 11 home upstreams", 2 * heartbeatsPerSecond * beat, maxBytesPerSecond, "bytes/s");
}

std::vector<ListedVm> makeVms(std::size_t nodes)
{
    std::vector<ListedVm> vms;
    for (std::size_t i = 0; i < nodes; ++i) {
        const std::string address = "127.6." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250);
        vms.push_back({"vm-" + std::to_string(i), address, "domain-" + std::to_string(i % 6), false});
    }
    return vms;
}

MemberTable makeMembers(std::size_t nodes)
{
    MemberUpdate self;
    self.name = "vm-0";
    self.address = "127.6.0.1";
    self.failureDomain = "domain-0";
    self.incarnation = Incarnation{1};
    MemberTable members(self);
    const std::vector<ListedVm> vms = makeVms(nodes);
    members.applyVmList(vms, NodeClock::now());
    for (const ListedVm &vm : vms) {
        members.recordConnectionFrame(vm.name, Incarnation{7}, 1, NodeClock::now());
    }
    return members;
}

/// Measures the work of Node::processMembershipChanges, which runs in each tick of 100 ms.
bool checkMembers()
{
    std::printf("members: addresses of all members passed to PeerClient in each tick\n");
    std::vector<Point> heap;
    std::vector<Point> tick;
    for (const std::size_t nodes : {66UL, 330UL, 660UL}) {
        asio::io_context context(1);
        PathTable paths;
        PeerClient client(
            context.get_executor(),
            NodeIdentity{"target", "vm-0", "domain-0", Incarnation{1}},
            PeerLimits(),
            [] {
                return NodeReport();
            },
            [](const NodeReport &) {},
            paths);
        const double before = heapBytes();
        MemberTable members = makeMembers(nodes);
        const auto pass = [&] {
            for (const auto &[name, member] : members.all()) {
                boost::system::error_code error;
                const auto address = asio::ip::make_address(member.address, error);
                client.setAddress(name, {address, 19'650});
            }
            members.removeExpired(NodeClock::now());
        };
        pass();
        const auto size = static_cast<double>(nodes);
        heap.push_back({size, heapBytes() - before});
        tick.push_back({size, secondsOf(200, pass)});
    }
    report("heap of n members and links", "KB", heap, 1e-3);
    report("one pass over n members", "us", tick, 1e6);
    bool isOk = isWithin("heap of 660 members and links", heap.back().value / 1e6, maxNodeBytes / 1e6, "MB");
    isOk &= isWithin("pass over 660 members, of a core", 100 * tick.back().value * ticksPerSecond, 100 * maxTickShare, "%");
    return isOk;
}

std::shared_ptr<const Document> makeDocument(double scale)
{
    SectionCache cache;
    const Manifest manifest = publishTarget(makeTarget(scale), cache);
    const Acceptance acceptance = acceptRevision(manifest, cache);
    if (!acceptance.findings.empty()) {
        std::fprintf(stderr, "the target document has errors: %s\n", acceptance.findings.front().toString().c_str());
        std::exit(2);
    }
    return acceptance.document;
}

bool checkDirectory()
{
    std::printf("directory: UpstreamDirectory over n upstreams\n");
    std::vector<Point> heap;
    std::vector<Point> apply;
    std::vector<Point> tick;
    std::vector<Point> reports;
    std::vector<Point> select;
    for (const double scale : {0.25, 0.5, 1.0}) {
        const auto document = makeDocument(scale);
        const auto size = static_cast<double>(document->upstreams.size());
        Metrics metrics;
        AuditTrail audit;
        PathTable paths;
        const TimePoint now = NodeClock::now();
        const double before = heapBytes();
        UpstreamDirectory directory(
            NodeIdentity{"target", "vm-0", "region-0-domain-0", Incarnation{1}}, paths, metrics, audit, std::mt19937_64(1));
        directory.applyDocument(*document, now);
        heap.push_back({size, heapBytes() - before});
        apply.push_back({size, secondsOf(1, [&] {
                             directory.applyDocument(*document, now);
                         })});
        tick.push_back({size, secondsOf(20, [&] {
                            directory.tick(now);
                        })});
        const std::string last = document->upstreams.back().name;
        UpstreamReport report;
        report.latency = std::chrono::milliseconds(20);
        reports.push_back({size, secondsOf(50, [&] {
                               directory.report(last, report, now);
                           })});
        const std::string service = document->services.back().name;
        select.push_back({size, secondsOf(200, [&] {
                              directory.select(service, true, "", {}, now);
                          })});
    }
    report("heap", "MB", heap, 1e-6);
    report("applyDocument, unchanged document", "ms", apply, 1e3);
    report("tick without a change", "us", tick, 1e6);
    report("report on the last upstream", "us", reports, 1e6);
    report("select for the last service", "us", select, 1e6);
    const double applySeconds = apply.back().value;
    const double heartbeatReports = heartbeatsPerSecond * homeUpstreams * reports.back().value;
    bool isOk = isWithin("heap at 7,400 upstreams", heap.back().value / 1e6, maxNodeBytes / 1e6, "MB");
    isOk &= isWithin("tick without a change, of a core", 100 * tick.back().value * ticksPerSecond, 100 * maxCoreShare, "%");
    isOk &= isWithin("reports of heartbeats, of a core", 100 * heartbeatReports, 100 * maxCoreShare, "%");
    isOk &= isWithin("select and report of one request", 1e6 * (select.back().value + reports.back().value), 100, "us");
    // 950 changes a day are one every 91 s. Pauses that take up at most 1% of the time do not affect the added latency at p99.
    isOk &= isWithin("applyDocument, share of the time", 100 * applySeconds * 950 / 86'400, 1, "%");
    return isOk;
}

bool checkMembership()
{
    std::printf("membership: UpstreamDirectory::applyMembers over n upstreams and n 660/7,400 members, with the tick after it\n");
    std::vector<Point> membership;
    for (const double scale : {0.25, 0.5, 1.0}) {
        const auto document = makeDocument(scale);
        const MemberTable members = makeMembers(static_cast<std::size_t>(targetNodes * scale));
        Metrics metrics;
        AuditTrail audit;
        PathTable paths;
        const TimePoint now = NodeClock::now();
        UpstreamDirectory directory(
            NodeIdentity{"target", "vm-0", "region-0-domain-0", Incarnation{1}}, paths, metrics, audit, std::mt19937_64(1));
        directory.applyDocument(*document, now);
        membership.push_back({static_cast<double>(document->upstreams.size()), secondsOf(2, [&] {
                                  directory.applyMembers(members, now);
                                  directory.tick(now);
                              })});
    }
    report("applyMembers and the tick after it", "ms", membership, 1e3);
    const double seconds = membership.back().value;
    bool isOk = isWithin("applyMembers twice a second, of a core", 100 * seconds * slowTicksPerSecond, 100 * maxCoreShare, "%");
    isOk &= isWithin("applyMembers as one step", 1e3 * seconds, 1e3 * maxStepSeconds, "ms");
    return isOk;
}

bool checkMetrics()
{
    std::printf("metrics: series of an ingress that sent requests to n upstreams, and one scrape\n");
    std::vector<Point> heap;
    std::vector<Point> scrape;
    std::vector<Point> bytes;
    for (const double scale : {0.1, 0.5, 1.0}) {
        const auto document = makeDocument(scale);
        std::vector<std::string> services;
        std::vector<std::string> upstreams;
        std::ranges::transform(document->services, std::back_inserter(services), &ServiceRow::name);
        std::ranges::transform(document->upstreams, std::back_inserter(upstreams), &UpstreamRow::name);
        const double before = heapBytes();
        Metrics metrics;
        metrics.setLabels(services, upstreams);
        for (const UpstreamRow &upstream : document->upstreams) {
            const std::string &service = services[upstream.service];
            metrics.countRequest(service, upstream.name, std::nullopt, std::chrono::milliseconds(20));
        }
        const auto size = static_cast<double>(upstreams.size());
        heap.push_back({size, heapBytes() - before});
        scrape.push_back({size, secondsOf(1, [&] {
                              bytes.push_back({size, static_cast<double>(metrics.text().size())});
                          })});
    }
    report("heap", "MB", heap, 1e-6);
    report("text of one scrape", "ms", scrape, 1e3);
    const std::array<Point, 3> lengths = {bytes[0], bytes[5], bytes[10]};
    report("length of the text", "KB", lengths, 1e-3);
    const double seconds = scrape.back().value;
    bool isOk = isWithin("heap at 7,400 upstreams", heap.back().value / 1e6, maxNodeBytes / 1e6, "MB");
    isOk &= isWithin("a scrape every 15 s, of a core", 100 * seconds * scrapesPerSecond, 100 * maxCoreShare, "%");
    // Scrapes may delay at most 1% of the requests, so that they do not affect the added latency at p99.
    isOk &= isWithin("a scrape every 15 s, share of the time", 100 * seconds * scrapesPerSecond, 1, "%");
    return isOk;
}

/// A part of the benchmark that can be selected with --case.
struct Case
{
    std::string_view name;
    bool (*check)();
};

constexpr std::array cases = {
    Case{"connections", checkConnections},
    Case{"heartbeats", checkHeartbeats},
    Case{"members", checkMembers},
    Case{"directory", checkDirectory},
    Case{"membership", checkMembership},
    Case{"metrics", checkMetrics},
};

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string_view> arguments(argv + 1, argv + argc);
    const bool isCheck = std::ranges::find(arguments, "--check") != arguments.end();
    const auto option = std::ranges::find(arguments, "--case");
    const std::string_view chosen = option == arguments.end() || option + 1 == arguments.end() ? std::string_view() : *(option + 1);
    bool isOk = true;
    bool isFound = false;
    for (const Case &one : cases) {
        if (chosen.empty() || chosen == one.name) {
            isFound = true;
            isOk &= one.check();
        }
    }
    if (!isFound) {
        std::fprintf(stderr, "unknown name for --case; expected connections, heartbeats, members, directory, membership or metrics\n");
        return 2;
    }
    return isCheck && !isOk ? 1 : 0;
}
