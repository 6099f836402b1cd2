// Compares the upstream selector with random and round-robin selection in virtual time. Measures how long requests wait at the home
// for a slot, at 50, 70, 85 and 95% load, with zero, one and two gray upstreams of ten. A gray upstream is 3 times slower and not yet
// ejected. Reports reach an ingress with responses and heartbeats, as in the fleet. There is no target for the times; --check only
// requires that the selector's mean wait is never longer than that of random selection, since the selector would otherwise be of no use.

#include "upstreammodel.h"

#include <galenarack/routing/upstreamselector.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

using namespace Galenarack;
using namespace Galenarack::Model;

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr std::uint32_t upstreamCount = 10;
constexpr std::uint32_t ingressCount = 26;
constexpr std::uint32_t slots = 3;
constexpr double meanService = 0.025; ///< Mean service time in seconds.
constexpr double graySlowdown = 3.0;
constexpr double runSeconds = 120.0;
constexpr double linkSeconds = 0.001; ///< One-way network delay between ingress and home.

enum class Policy : std::uint8_t {
    Selector,
    Random,
    RoundRobin,
};

/// Waiting times for a slot, in seconds.
struct Waits
{
    double mean = 0.0;
    double p99 = 0.0;
};

/// Simulates one run: Poisson arrivals over all ingresses, exponential service times, first-in first-out queues at the homes.
class Run
{
public:
    Run(Policy policy, double load, std::uint32_t gray)
        : policy(policy)
        , gray(gray)
        , random(seed)
    {
        Document document;
        document.services.push_back({"service", "services", DetectionProfile::Claims, {}, 64});
        for (std::uint32_t i = 0; i < upstreamCount; ++i) {
            document.upstreams.push_back({std::to_string(i), "upstreams", 0, "vm", std::to_string(i % 3), slots});
        }
        for (std::uint32_t i = 0; i < ingressCount; ++i) {
            this->tables.push_back(std::make_unique<ReportTable>());
            this->tables.back()->configure(document, TimePoint());
            this->selectors.push_back(std::make_unique<UpstreamSelector>(*this->tables.back(), i % 3, std::mt19937_64(seed + i)));
        }
        // The load is relative to the capacity that remains with the gray upstreams.
        const double capacity = (upstreamCount - gray + (gray / graySlowdown)) * slots / meanService;
        this->interval = 1.0 / (load * capacity);
    }

    Waits measure()
    {
        this->at(0.0, [this] {
            this->arrive();
        });
        this->at(0.0, [this] {
            this->heartbeats();
        });
        while (this->events.top().time < runSeconds) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.time;
            event.action();
        }
        std::sort(this->waits.begin(), this->waits.end());
        Waits result;
        for (const double wait : this->waits) {
            result.mean += wait / static_cast<double>(this->waits.size());
        }
        result.p99 = this->waits[this->waits.size() * 99 / 100];
        return result;
    }

private:
    struct Event
    {
        double time;
        std::uint64_t order;
        std::function<void()> action;

        bool operator>(const Event &other) const
        {
            return this->time != other.time ? this->time > other.time : this->order > other.order;
        }
    };
    struct Home
    {
        std::uint32_t busy = 0;
        std::deque<std::pair<double, std::uint32_t>> queue; ///< Arrival time in seconds and ingress of each queued request.
    };

    void at(double time, std::function<void()> action)
    {
        this->events.push({time, this->order++, std::move(action)});
    }
    TimePoint point() const
    {
        return TimePoint() + seconds(this->now);
    }
    void arrive()
    {
        this->at(this->now + this->random.exponential(this->interval), [this] {
            this->arrive();
        });
        const std::uint32_t ingress = this->random.below(ingressCount);
        std::uint32_t upstream = this->random.below(upstreamCount);
        if (this->policy == Policy::Selector) {
            upstream = this->selectors[ingress]->select(0, true, {}, this->point())->row;
            this->tables[ingress]->sent(upstream);
        } else if (this->policy == Policy::RoundRobin) {
            upstream = (this->next[ingress]++ + ingress) % upstreamCount;
        }
        this->at(this->now + linkSeconds, [this, ingress, upstream] {
            this->homes[upstream].queue.emplace_back(this->now, ingress);
            this->dispatch(upstream);
        });
    }
    void dispatch(std::uint32_t upstream)
    {
        Home &home = this->homes[upstream];
        while (home.busy < slots && !home.queue.empty()) {
            const auto [arrived, ingress] = home.queue.front();
            home.queue.pop_front();
            ++home.busy;
            if (arrived > runSeconds / 10) {
                this->waits.push_back(this->now - arrived);
            }
            const double service = this->random.exponential(meanService) * (upstream < this->gray ? graySlowdown : 1.0);
            this->at(this->now + service, [this, upstream, ingress = ingress] {
                --this->homes[upstream].busy;
                this->dispatch(upstream);
                this->report(ingress, upstream);
            });
        }
    }
    void report(std::uint32_t ingress, std::uint32_t upstream)
    {
        UpstreamReport report;
        report.inFlight = this->homes[upstream].busy;
        report.queued = static_cast<std::uint32_t>(this->homes[upstream].queue.size());
        this->at(this->now + linkSeconds, [this, ingress, upstream, report] {
            this->tables[ingress]->report(upstream, report, this->point());
        });
    }
    void heartbeats()
    {
        this->at(this->now + 1.0, [this] {
            this->heartbeats();
        });
        for (std::uint32_t pair = 0; pair < ingressCount * upstreamCount; ++pair) {
            this->at(this->now + (pair * 37 % 1000) / 1000.0, [this, pair] {
                this->report(pair / upstreamCount, pair % upstreamCount);
            });
        }
    }

    Policy policy;
    std::uint32_t gray;
    Random random;
    double interval = 0.0;
    double now = 0.0;
    std::uint64_t order = 0;
    std::vector<std::unique_ptr<ReportTable>> tables;
    std::vector<std::unique_ptr<UpstreamSelector>> selectors;
    Home homes[upstreamCount];
    std::uint32_t next[ingressCount] = {};
    std::vector<double> waits;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
};

} // namespace

int main(int argc, char **argv)
{
    const bool check = argc > 1 && std::strcmp(argv[1], "--check") == 0;
    bool good = true;
    std::printf(
        "waiting time in ms, mean / p99; seed %lu\n%5s %5s %19s %19s %19s\n", seed, "load", "gray", "selector", "random", "round-robin");
    for (const double load : {0.50, 0.70, 0.85, 0.95}) {
        for (const std::uint32_t gray : {0U, 1U, 2U}) {
            const Waits own = Run(Policy::Selector, load, gray).measure();
            const Waits random = Run(Policy::Random, load, gray).measure();
            const Waits robin = Run(Policy::RoundRobin, load, gray).measure();
            std::printf("%5.2f %5u %9.2f / %7.1f %9.2f / %7.1f %9.2f / %7.1f\n",
                        load,
                        gray,
                        own.mean * 1e3,
                        own.p99 * 1e3,
                        random.mean * 1e3,
                        random.p99 * 1e3,
                        robin.mean * 1e3,
                        robin.p99 * 1e3);
            if (own.mean > random.mean) {
                std::printf("BROKEN: mean wait with the selector is longer than with random selection\n");
                good = false;
            }
        }
    }
    return check && !good ? 1 : 0;
}
