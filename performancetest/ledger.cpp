#include <galenarack/execution/executionledger.h>

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iostream>
#include <string_view>

using namespace Galenarack;

namespace {

constexpr Incarnation home{0xa1};
constexpr Incarnation ingress{0xb1};
constexpr TimePoint start(std::chrono::hours(1));
constexpr int requestsPerSecond = 200;
constexpr Duration requestGap = std::chrono::microseconds(1'000'000 / requestsPerSecond);
/// Time between the issue of a key and the arrival of its request: one round trip between caller and ingress, 8 ms each way.
constexpr Duration keyAge = std::chrono::milliseconds(16);
constexpr std::size_t responseSize = 1024;

LedgerRequest makeRequest(std::uint64_t number, TimePoint now, bool keyed)
{
    LedgerRequest request{{ingress, number}, home, now, now + std::chrono::seconds(5), {number, number}, {}};
    if (keyed) {
        request.key = IdempotencyKey{"vm-1", home, now - keyAge, number};
    }
    return request;
}

/// Admits, runs and finishes one request.
/// @return false if the request is refused
bool execute(ExecutionLedger &ledger, const LedgerRequest &request, const std::shared_ptr<const RetainedResponse> &response, TimePoint now)
{
    const auto decision = ledger.admit(request, now);
    const auto *run = std::get_if<LedgerDecision::Run>(&decision);
    if (run == nullptr || ledger.markDispatched(run->work, now)) {
        return false;
    }
    ledger.finish(run->work, response, now);
    return true;
}

std::shared_ptr<const RetainedResponse> makeResponse()
{
    return std::make_shared<RetainedResponse>(
        RetainedResponse{200, {{"content-type", "application/json"}}, std::string(responseSize, 'x')});
}

/// A ledger that has processed `count` keyed requests at the peak rate.
struct FilledLedger
{
    ExecutionLedger ledger;
    TimePoint now = start;
    std::size_t refused = 0;
    std::size_t peakBytes = 0;

    explicit FilledLedger(std::uint64_t count)
        : ledger(home, {}, start)
    {
        for (std::uint64_t number = 1; number <= count; ++number) {
            this->now += requestGap;
            this->refused += execute(this->ledger, makeRequest(number, this->now, true), makeResponse(), this->now) ? 0 : 1;
            this->peakBytes = std::max(this->peakBytes, this->ledger.tableByteCount() + this->ledger.responseByteCount());
        }
    }
};

void insert(benchmark::State &state)
{
    ExecutionLedger ledger(home, {}, start);
    const auto response = makeResponse();
    TimePoint now = start;
    std::uint64_t number = 0;
    for (auto _ : state) {
        now += requestGap;
        benchmark::DoNotOptimize(execute(ledger, makeRequest(++number, now, true), response, now));
    }
    state.counters["entries"] = static_cast<double>(ledger.entryCount());
}
BENCHMARK(insert);

void lookup(benchmark::State &state)
{
    constexpr std::uint64_t count = 50'000;
    FilledLedger filled(count);
    std::uint64_t number = 0;
    for (auto _ : state) {
        number = number % count + 1;
        const TimePoint sent = start + requestGap * number;
        benchmark::DoNotOptimize(filled.ledger.admit(makeRequest(number, sent, true), filled.now));
    }
}
BENCHMARK(lookup);

/// Measures a tick of 100 ms in which no entry of a full ledger expires.
void idleTick(benchmark::State &state)
{
    FilledLedger filled(50'000);
    const auto tick = std::chrono::milliseconds(100);
    TimePoint now = filled.now + std::chrono::seconds(61);
    filled.ledger.expire(now);
    const TimePoint first = now;
    for (auto _ : state) {
        now += tick;
        if (now > start + std::chrono::seconds(290)) {
            now = first;
        }
        filled.ledger.expire(now);
    }
}
BENCHMARK(idleTick)->Iterations(1'000);

struct Check
{
    bool passed = true;

    void atMost(std::string_view name, double value, double bound)
    {
        std::cout << (value <= bound ? "ok      " : "BROKEN  ") << name << " " << value << ", bound " << bound << '\n';
        this->passed = this->passed && value <= bound;
    }
};

/// CPU time of this process, which does not include other load on the machine.
double cpuMicroseconds()
{
    return 1e6 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

/// @return CPU time in microseconds of a tick in which no entry expires
double idleTickCost(std::uint64_t entries)
{
    FilledLedger filled(entries);
    TimePoint now = filled.now + std::chrono::seconds(100);
    filled.ledger.expire(now);
    const double begin = cpuMicroseconds();
    constexpr int ticks = 200'000;
    for (int i = 0; i < ticks; ++i) {
        now += std::chrono::microseconds(100);
        filled.ledger.expire(now);
    }
    return (cpuMicroseconds() - begin) / ticks;
}

/// Checks the bounds of sections 1 and 5 at 200 keyed requests per second over three retry horizons.
bool checkBounds()
{
    Check check;
    const std::uint64_t count = std::uint64_t(requestsPerSecond) * 900;
    constexpr double mebibyte = 1 << 20;
    const double heapBefore = heapBytes();
    const double begin = cpuMicroseconds();
    FilledLedger filled(count);
    const double perRequest = (cpuMicroseconds() - begin) / static_cast<double>(count);
    const double entries = static_cast<double>(filled.ledger.entryCount());
    std::cout << entries << " entries, " << static_cast<double>(filled.ledger.tableByteCount()) / entries << " bytes per entry\n";
    check.atMost("heap used by the ledger (MiB)", (heapBytes() - heapBefore) / mebibyte, 16);
    check.atMost("tables and responses by its own count, at the peak (MiB)", static_cast<double>(filled.peakBytes) / mebibyte, 16);
    check.atMost("retained responses (MiB)", static_cast<double>(filled.ledger.responseByteCount()) / mebibyte, 8);
    check.atMost("refused requests", static_cast<double>(filled.refused), 0);
    // The ledger may use a tenth of the 100 microseconds of CPU time allowed per request.
    check.atMost("admit, dispatch and finish, with expiry (us)", perRequest, 10);
    // A scan of all entries would cost 1,000 times as much.
    check.atMost("idle tick with 50,000 entries, relative to 50", idleTickCost(50'000) / idleTickCost(50), 10);

    // All entries are due when a home resumes after a long pause. Expiring them may take one tick of 100 ms.
    const double wake = cpuMicroseconds();
    filled.ledger.expire(filled.now + std::chrono::hours(1));
    check.atMost("expiry of all entries (us)", cpuMicroseconds() - wake, 100'000);
    check.atMost("entries left after a pause", static_cast<double>(filled.ledger.entryCount()), 0);
    return check.passed;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "--check") {
        return checkBounds() ? 0 : 1;
    }
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
