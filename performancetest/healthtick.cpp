// Measures the cost of one tick of the health systems as a function of the number of rows. With --check, the program exits with status 1
// if the bound of section 1 is exceeded: at a tick of 100 ms, the tick over 11 home upstreams and the known peers must take less than
// 0.2% of a core.

#include <galenarack/health/floorsystem.h>
#include <galenarack/health/healthevaluationsystem.h>
#include <galenarack/health/observesystem.h>
#include <galenarack/health/pathsystem.h>
#include <galenarack/health/probesystem.h>

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

using namespace Galenarack;

namespace {

constexpr double tickSeconds = 0.1;
constexpr double maxCoreShare = 0.002; ///< Maximum share of a core for the tick.
constexpr std::uint32_t homeUpstreams = 11;
constexpr std::uint32_t targetPeers = 659;
constexpr std::uint32_t upstreamsPerService = 25;

/// Tables and health systems of one node: home upstreams with requests in flight, peers, and reports on the upstreams of all services.
class Node
{
public:
    Node(std::uint32_t home, std::uint32_t peers, std::uint32_t reports)
    {
        for (std::uint32_t i = 0; i < home; ++i) {
            this->upstreams.add(std::to_string(i), 7, DetectionProfile::Claims, UpstreamRule::Judge, this->now);
            for (std::uint64_t token = 0; token < 50; ++token) {
                this->observe.start(i, token, static_cast<std::uint8_t>(token % maxRouteClasses), this->now);
                this->observe.finish(i, token, SampleOutcome::Ok, this->now + std::chrono::milliseconds(20 + token % 7));
            }
            for (std::uint64_t token = 0; token < 4; ++token) {
                this->observe.start(i, token, 0, this->now);
            }
        }
        Document document;
        const std::uint32_t services = std::max(1U, reports / upstreamsPerService);
        for (std::uint32_t i = 0; i < services; ++i) {
            document.services.push_back({std::to_string(i), "s", DetectionProfile::Claims, {0, 0.5, 1}, 64});
        }
        for (std::uint32_t i = 0; i < reports; ++i) {
            document.upstreams.push_back({std::to_string(i), "u", i % services, "vm", std::to_string(i % 3), 7});
        }
        this->reports.configure(document, this->now);
        for (std::uint32_t i = 0; i < peers; ++i) {
            this->paths.connected(this->paths.add(std::to_string(i), this->now), this->now);
        }
        for (std::uint32_t i = 0; peers > 0 && i < reports; ++i) {
            this->reports.rows[i].peer = i % peers;
        }
    }
    void tick()
    {
        this->now += std::chrono::milliseconds(100);
        benchmark::DoNotOptimize(this->evaluation.tick(this->now));
        for (const std::uint32_t row : this->probe.tick(this->now)) {
            this->probe.finish(row, true, std::chrono::milliseconds(25), this->now);
        }
        benchmark::DoNotOptimize(this->pathSystem.tick(this->now));
        benchmark::DoNotOptimize(this->floor.tick(this->now));
    }

private:
    TimePoint now = TimePoint() + std::chrono::seconds(100);
    UpstreamTable upstreams;
    ObserveSystem observe{this->upstreams};
    HealthEvaluationSystem evaluation{this->upstreams};
    ProbeSystem probe{this->upstreams, std::mt19937_64(1)};
    PathTable paths;
    PathSystem pathSystem{this->paths};
    ReportTable reports;
    FloorSystem floor{this->reports, this->paths};
};

void homeTick(benchmark::State &state)
{
    Node node(static_cast<std::uint32_t>(state.range(0)), 0, 0);
    for (auto _ : state) {
        node.tick();
    }
}
BENCHMARK(homeTick)->Arg(11)->Arg(44)->Arg(176);

void pathTick(benchmark::State &state)
{
    Node node(0, static_cast<std::uint32_t>(state.range(0)), 0);
    for (auto _ : state) {
        node.tick();
    }
}
BENCHMARK(pathTick)->Arg(26)->Arg(165)->Arg(659);

void floorTick(benchmark::State &state)
{
    Node node(0, 26, static_cast<std::uint32_t>(state.range(0)));
    for (auto _ : state) {
        node.tick();
    }
}
BENCHMARK(floorTick)->Arg(26)->Arg(1850)->Arg(7400);

/// @return seconds per tick: the smallest of five averages, to reduce the influence of other load on the machine
double secondsPerTick(std::uint32_t home, std::uint32_t peers, std::uint32_t reports)
{
    Node node(home, peers, reports);
    double best = 1e9;
    for (int round = 0; round < 5; ++round) {
        constexpr int ticks = 200;
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < ticks; ++i) {
            node.tick();
        }
        best = std::min(best, std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count() / ticks);
    }
    return best;
}

bool check()
{
    const double small = secondsPerTick(homeUpstreams, 26, 0);
    const double middle = secondsPerTick(homeUpstreams * 4, 165, 0);
    const double large = secondsPerTick(homeUpstreams * 16, targetPeers, 0);
    std::printf("slope: %.1f ns a home upstream from 11 to 176 (peers 26, 165, 659): %.2f, %.2f, %.2f us a tick\n",
                (large - small) * 1e9 / (homeUpstreams * 15),
                small * 1e6,
                middle * 1e6,
                large * 1e6);
    const double target = secondsPerTick(homeUpstreams, targetPeers, 0);
    std::printf(
        "11 home upstreams and 659 peers: %.2f us a tick, %.4f%% of a core, bound 0.2%%\n", target * 1e6, 100 * target / tickSeconds);
    const double whole = secondsPerTick(homeUpstreams, targetPeers, 7400);
    std::printf("with the reports of 7,400 upstreams: %.2f us a tick, %.4f%% of a core\n", whole * 1e6, 100 * whole / tickSeconds);
    const bool good = target / tickSeconds < maxCoreShare;
    if (!good) {
        std::printf("BROKEN: tick above 0.2%% of a core\n");
    }
    return good;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc > 1 && std::strcmp(argv[1], "--check") == 0) {
        return check() ? 0 : 1;
    }
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    check();
    return 0;
}
