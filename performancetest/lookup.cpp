#include "targetdocument.h"

#include <galenarack/config/acceptance.h>

#include <benchmark/benchmark.h>

#include <iostream>
#include <map>
#include <random>
#include <string_view>

using namespace Galenarack;

namespace {

/// Maximum time of a route or account lookup at the target size (section 1 of the design). It is applied to the other lookups as well.
constexpr double maxLookupNanoseconds = 1000.0;

/// Keys are drawn at random, so that the processor caches hold no larger a part of the tables than in production.
constexpr unsigned seed = 20261204;
constexpr std::size_t keyCount = 65'536;

const Document &targetDocument()
{
    static const std::shared_ptr<const Document> document = [] {
        SectionCache cache;
        const Manifest manifest = publishTarget(makeTarget(1.0), cache);
        return acceptRevision(manifest, cache).document;
    }();
    return *document;
}

/// @return random keys made from the rows of the target document
template<typename MakeKey>
std::vector<std::string> makeKeys(std::size_t rows, MakeKey makeKey)
{
    std::mt19937 random(seed);
    std::uniform_int_distribution<std::size_t> row(0, rows - 1);
    std::vector<std::string> keys;
    for (std::size_t i = 0; i < keyCount; ++i) {
        keys.push_back(makeKey(row(random), i));
    }
    return keys;
}

std::vector<std::string> routeKeys()
{
    const auto &rows = targetDocument().routes.all();
    // Three in four paths continue below the prefix, and one in eight matches no long prefix.
    return makeKeys(rows.size(), [&rows](std::size_t row, std::size_t i) {
        const std::string tail = i % 4 == 0 ? "" : "/records/" + std::to_string(i) + (i % 2 == 0 ? "/lines/7/history" : "");
        return (i % 8 == 1 ? "/unknown" : "") + rows[row].prefix + tail;
    });
}

template<typename Rows>
std::vector<std::string> nameKeys(const Rows &rows)
{
    return makeKeys(rows.size(), [&rows](std::size_t row, std::size_t i) {
        return rows[row].name + (i % 8 == 1 ? "x" : "");
    });
}

/// Calls `lookup` with each key in turn.
template<typename Lookup>
void run(benchmark::State &state, const std::vector<std::string> &keys, Lookup lookup)
{
    std::size_t i = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(lookup(std::string_view(keys[i])));
        i = (i + 1) % keyCount;
    }
}

void routeLookup(benchmark::State &state)
{
    run(state, routeKeys(), [&table = targetDocument().routes](std::string_view path) {
        return table.find(path, "GET");
    });
}

void accountLookup(benchmark::State &state)
{
    run(state, nameKeys(targetDocument().accounts.all()), [&table = targetDocument().accounts](std::string_view name) {
        return table.find(name);
    });
}

void serviceLookup(benchmark::State &state)
{
    run(state, nameKeys(targetDocument().services), [](std::string_view name) {
        return targetDocument().findService(name);
    });
}

void upstreamLookup(benchmark::State &state)
{
    run(state, nameKeys(targetDocument().upstreams), [](std::string_view name) {
        return targetDocument().findUpstream(name);
    });
}

void upstreamsOfServiceLookup(benchmark::State &state)
{
    std::uint32_t service = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(targetDocument().upstreamSpan(service));
        service = (service + 7) % static_cast<std::uint32_t>(targetDocument().services.size());
    }
}

/// Looks up a path of 8 KB with 4,096 segments. Callers choose the path, so a long one must not cost more than others.
void longPathLookup(benchmark::State &state)
{
    std::string path;
    for (int i = 0; i < 4'096; ++i) {
        path += "/a";
    }
    run(state, std::vector<std::string>(keyCount, path), [&table = targetDocument().routes](std::string_view key) {
        return table.find(key, "GET");
    });
}

/// Measures the former implementation for comparison: a std::map with the same search from the longest prefix to the shortest.
void routeLookupOrderedMap(benchmark::State &state)
{
    std::map<std::string, std::uint32_t, std::less<>> byPrefix;
    for (const RouteRow &row : targetDocument().routes.all()) {
        byPrefix.emplace(row.prefix, 0);
    }
    run(state, routeKeys(), [&byPrefix](std::string_view path) {
        auto entry = byPrefix.find(path);
        while (entry == byPrefix.end() && !path.empty()) {
            path = path.substr(0, path.rfind('/'));
            entry = byPrefix.find(path);
        }
        return entry;
    });
}

/// Prints the results to the console and records whether a lookup exceeds the bound.
class CheckReporter : public benchmark::ConsoleReporter
{
public:
    void ReportRuns(const std::vector<Run> &reports) override
    {
        benchmark::ConsoleReporter::ReportRuns(reports);
        for (const Run &report : reports) {
            const std::string name = report.benchmark_name();
            const bool isBaseline = name.find("OrderedMap") != std::string::npos;
            if (!isBaseline && report.GetAdjustedCPUTime() >= maxLookupNanoseconds) {
                std::cerr << name << ": " << report.GetAdjustedCPUTime() << " ns; allowed: under " << maxLookupNanoseconds << " ns\n";
                this->isBroken = true;
            }
        }
    }

    bool isBroken = false;
};

BENCHMARK(routeLookup);
BENCHMARK(accountLookup);
BENCHMARK(serviceLookup);
BENCHMARK(upstreamLookup);
BENCHMARK(upstreamsOfServiceLookup);
BENCHMARK(longPathLookup);
BENCHMARK(routeLookupOrderedMap);

} // namespace

int main(int argc, char **argv)
{
    const bool isCheck = argc > 1 && std::string_view(argv[1]) == "--check";
    argc -= isCheck ? 1 : 0;
    argv[isCheck ? 1 : 0] = argv[0];
    char **arguments = argv + (isCheck ? 1 : 0);
    benchmark::Initialize(&argc, arguments);
    CheckReporter reporter;
    benchmark::RunSpecifiedBenchmarks(&reporter);
    return isCheck && reporter.isBroken ? 1 : 0;
}
