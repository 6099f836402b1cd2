// Measures the failure detection of section 4.4 in virtual time and compares it with the baselines on the same seeds.
//   performance-detection [--check] [--group NAME] [--case NAME] [--seeds N] [--hours N] [--baselines] [--all]
// Each case of section 4.4 is a ctest entry of its own, so that KNOWN-RED.txt names exactly the cases that fail. `--seeds 1000` and
// `--hours 40000` give the long run. Groups: claims, authority (detection, all cases at busy load), steady-claims, steady-authority
// (false ejections of healthy upstreams), late (late responses compared with the baselines), quiet (all cases at quiet load).

#include "servicemodel.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <string>
#include <thread>
#include <vector>

using namespace Galenarack;
using namespace Galenarack::Model;

namespace {

constexpr std::uint64_t firstSeed = 20261204;
constexpr unsigned workers = 4;
constexpr double busyRate = 17.6; ///< Requests/s per upstream at the target size (section 2).
constexpr double quietRate = 0.2; ///< Requests/s per upstream at quiet load.

constexpr User claimsFirm = {"claims", DetectionProfile::Claims, 3, 0.001};
constexpr User dairyAuthority = {"authority", DetectionProfile::Authority, 7, 0.0005};

/// Target of a case, from section 4.4. Times are from the fault to detection, for the users `claims` and `authority`.
enum class Target : std::uint8_t {
    Report, ///< No target; the figures are only printed.
    Severe, ///< Wrong responses, no response, or 10 times slower: 2 s and 5 s at p99.
    Slower, ///< 3 times slower: 5 s and 15 s at p99.
    NoEjection, ///< Not a fault of an upstream: no upstream is ejected.
    NoneKeptOut, ///< Slowdown common to all upstreams: every ingress keeps all of them.
};

struct Case
{
    const char *name;
    Fault fault;
    double amount;
    Target target;
    double faultSeconds;
};

constexpr Case cases[] = {
    {"slow-3x", Fault::Slow, 3.0, Target::Slower, 30},
    {"slow-10x", Fault::Slow, 10.0, Target::Severe, 30},
    {"hang", Fault::Hang, 0.0, Target::Severe, 30},
    {"errors-5pct", Fault::Errors, 0.05, Target::Report, 60},
    {"errors-30pct", Fault::Errors, 0.3, Target::Report, 30},
    {"errors-100pct", Fault::Errors, 1.0, Target::Report, 30},
    {"wrong-30pct", Fault::Wrong, 0.3, Target::Severe, 30},
    {"truncated-100pct", Fault::Truncated, 1.0, Target::Severe, 30},
    {"stuck-slot", Fault::StuckSlot, 0.0, Target::Severe, 30},
    {"flapping-2s", Fault::Flapping, 2.0, Target::Report, 60},
    {"flapping-10s", Fault::Flapping, 10.0, Target::Report, 60},
    {"flapping-60s", Fault::Flapping, 60.0, Target::Report, 150},
    {"slow-route-10x", Fault::SlowRoute, 10.0, Target::Severe, 30},
    {"all-slow-3x", Fault::AllSlow, 3.0, Target::NoneKeptOut, 30},
    {"all-slow-10x", Fault::AllSlow, 10.0, Target::NoneKeptOut, 30},
    {"surge-3x", Fault::Surge, 3.0, Target::NoEjection, 30},
    {"cold-start", Fault::ColdStart, 0.0, Target::NoEjection, 30},
    {"load-shedding", Fault::Shedding, 0.0, Target::NoEjection, 30},
    {"freeze-home-1s", Fault::FreezeHome, 1.0, Target::NoEjection, 20},
    {"freeze-home-10s", Fault::FreezeHome, 10.0, Target::NoEjection, 30},
    {"cut-path", Fault::CutPath, 0.0, Target::NoEjection, 30},
    {"cut-failure-domain", Fault::CutDomain, 0.0, Target::NoEjection, 30},
    {"two-at-once", Fault::Two, 0.0, Target::Severe, 30},
};

/// Runs a function for each index on `workers` threads. Each index has its own seed, so the result does not depend on the order.
void forEachIndex(std::size_t count, const std::function<void(std::size_t)> &function)
{
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < workers; ++i) {
        threads.emplace_back([&] {
            for (std::size_t index = next++; index < count; index = next++) {
                function(index);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

const char *detectorName(Detector detector)
{
    constexpr const char *names[] = {"ours", "five-errors", "fixed-threshold", "ingress-alone"};
    return names[static_cast<std::size_t>(detector)];
}

/// Returns the nearest-rank percentile. Missing values are passed as infinite, so they sort last.
double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::max<std::size_t>(1, rank) - 1];
}

/// Aggregated results of all runs of one case.
struct Summary
{
    double detection50 = 0.0;
    double detection99 = 0.0;
    double work50 = 0.0;
    double work99 = 0.0;
    std::uint32_t falseEjections = 0;
    double falsePerThousandHours = 0.0;
    double lowestCapacity = 1.0;
    double lateShare = 0.0;
    std::uint32_t floorViolations = 0;
    bool hasDetection = false;
};

Summary measure(RunSetting setting, std::uint32_t seeds)
{
    std::vector<RunResult> results(seeds);
    forEachIndex(seeds, [&](std::size_t index) {
        RunSetting own = setting;
        own.seed = firstSeed + index;
        results[index] = ServiceModel(own).run();
    });
    Summary summary;
    std::vector<double> detection;
    std::vector<double> work;
    double hours = 0.0;
    double late = 0.0;
    double requests = 0.0;
    for (const RunResult &result : results) {
        detection.push_back(result.detectionSeconds.value_or(HUGE_VAL));
        summary.hasDetection = summary.hasDetection || result.detectionSeconds.has_value();
        work.push_back(result.workAfter);
        summary.falseEjections += result.falseEjections;
        hours += result.upstreamHours;
        summary.lowestCapacity = std::min(summary.lowestCapacity, result.lowestCapacity);
        late += result.late;
        requests += result.requests;
        summary.floorViolations += result.floorViolations;
    }
    summary.detection50 = percentile(detection, 0.5);
    summary.detection99 = percentile(detection, 0.99);
    summary.work50 = percentile(work, 0.5);
    summary.work99 = percentile(work, 0.99);
    summary.falsePerThousandHours = 1000.0 * summary.falseEjections / hours;
    summary.lateShare = requests > 0.0 ? late / requests : 0.0;
    return summary;
}

void printHeader()
{
    std::printf("%-9s %3s %-5s %-18s %-15s %8s %8s %7s %7s %6s %9s %8s %7s\n",
                "user",
                "ups",
                "load",
                "case",
                "judge",
                "det50/s",
                "det99/s",
                "work50",
                "work99",
                "false",
                "f/1000h",
                "capacity",
                "late%");
}

void printRow(const User &user, std::uint32_t upstreams, const char *load, const char *name, Detector detector, const Summary &summary)
{
    std::printf("%-9s %3u %-5s %-18s %-15s %8.2f %8.2f %7.0f %7.0f %6u %9.2f %8.2f %7.3f\n",
                user.name,
                upstreams,
                load,
                name,
                detectorName(detector),
                summary.detection50,
                summary.detection99,
                summary.work50,
                summary.work99,
                summary.falseEjections,
                summary.falsePerThousandHours,
                summary.lowestCapacity,
                100.0 * summary.lateShare);
    std::fflush(stdout);
}

/// Prints a message if a bound is violated. @return whether the bound holds
bool checkBound(bool holds, const std::string &text)
{
    if (!holds) {
        std::printf("BROKEN: %s\n", text.c_str());
    }
    return holds;
}

bool checkCase(const User &user, const Case &c, const Summary &summary)
{
    const bool claims = user.profile == DetectionProfile::Claims;
    const std::string name = std::string(user.name) + " " + c.name;
    bool good = checkBound(summary.floorViolations == 0, name + ": an ingress kept fewer upstreams than the floor");
    const double severe = claims ? 2.0 : 5.0;
    const double slower = claims ? 5.0 : 15.0;
    switch (c.target) {
    case Target::Severe:
        good &= checkBound(summary.detection99 <= severe, name + ": p99 of the detection time is above " + std::to_string(severe) + " s");
        break;
    case Target::Slower:
        good &= checkBound(summary.detection99 <= slower, name + ": p99 of the detection time is above " + std::to_string(slower) + " s");
        break;
    case Target::NoEjection:
        good &= checkBound(summary.falseEjections == 0, name + ": a healthy upstream was ejected");
        break;
    case Target::NoneKeptOut:
        good &= checkBound(summary.lowestCapacity >= 1.0, name + ": an ingress ejected an upstream although all were equally slow");
        break;
    case Target::Report:
        break;
    }
    return good;
}

RunSetting settingOf(const User &user, std::uint32_t upstreams, const Case &c, Detector detector, bool quiet)
{
    // At quiet load it takes minutes to collect 20 samples of each route class.
    const double warm = quiet ? 600.0 : 40.0;
    return {user, upstreams, quiet ? quietRate : busyRate, c.fault, c.amount, detector, warm, quiet ? 120.0 : c.faultSeconds, 0};
}

struct Options
{
    bool check = false;
    bool baselines = false;
    bool all = false;
    std::uint32_t seeds = 40;
    double hours = 0.0;
    std::string group;
    std::string onlyCase;
};

bool runCases(const User &user, const Options &options, bool quiet)
{
    printHeader();
    bool good = true;
    const std::vector<std::uint32_t> sizes = options.all ? std::vector<std::uint32_t>{6, 10} : std::vector<std::uint32_t>{10};
    for (const std::uint32_t upstreams : sizes) {
        for (const Case &c : cases) {
            if (!options.onlyCase.empty() && options.onlyCase != c.name) {
                continue;
            }
            const Summary summary = measure(settingOf(user, upstreams, c, Detector::Ours, quiet), options.seeds);
            printRow(user, upstreams, quiet ? "quiet" : "busy", c.name, Detector::Ours, summary);
            if (!quiet) {
                good &= checkCase(user, c, summary);
            }
            for (const Detector detector : {Detector::FiveErrors, Detector::FixedThreshold, Detector::IngressAlone}) {
                if (options.baselines) {
                    const Summary other = measure(settingOf(user, upstreams, c, detector, quiet), std::min(10U, options.seeds));
                    printRow(user, upstreams, quiet ? "quiet" : "busy", c.name, detector, other);
                }
            }
        }
    }
    return good;
}

/// Compares the share of late responses, with one gray upstream of ten, with that of the best baseline.
bool runLate(const Options &options)
{
    printHeader();
    bool good = true;
    for (const Case &c : cases) {
        const bool gray = std::strcmp(c.name, "slow-10x") == 0 || std::strcmp(c.name, "hang") == 0;
        if (!gray || (!options.onlyCase.empty() && options.onlyCase != c.name)) {
            continue;
        }
        Case longer = c;
        longer.faultSeconds = 60;
        double best = HUGE_VAL;
        double ours = 0.0;
        for (const Detector detector : {Detector::Ours, Detector::FiveErrors, Detector::FixedThreshold, Detector::IngressAlone}) {
            const Summary summary = measure(settingOf(claimsFirm, 10, longer, detector, false), options.seeds);
            printRow(claimsFirm, 10, "busy", c.name, detector, summary);
            (detector == Detector::Ours ? ours : best) = detector == Detector::Ours ? summary.lateShare : std::min(best, summary.lateShare);
        }
        std::printf("late: ours %.3f%%, best baseline %.3f%%, ratio %.2f\n", 100 * ours, 100 * best, ours / best);
        good &= checkBound(ours <= 0.2 * best, std::string(c.name) + ": share of late responses is above a fifth of the best baseline's");
    }
    return good;
}

/// Counts ejections in a service of ten healthy upstreams. Only the homes are simulated: the peer median is computed from the
/// upstream table once a second instead of being received from ingresses.
std::uint32_t countFalseEjections(const User &user, double rate, double hours, std::uint64_t seed)
{
    constexpr std::uint32_t upstreams = 10;
    struct Upstream
    {
        HealthyUpstream healthy;
        std::vector<std::pair<TimePoint, std::uint64_t>> ends;
        TimePoint nextArrival;
        std::uint32_t waiting = 0;
    };
    Random random(seed);
    UpstreamTable table;
    ObserveSystem observe(table);
    HealthEvaluationSystem detector(table);
    std::vector<Upstream> rows(upstreams);
    for (std::uint32_t i = 0; i < upstreams; ++i) {
        table.add(std::to_string(i), user.slots, user.profile, UpstreamRule::Judge, TimePoint());
        rows[i].nextArrival = TimePoint() + seconds(random.exponential(1.0 / rate));
    }
    std::uint32_t ejections = 0;
    std::uint64_t token = 0;
    const auto end = TimePoint() + seconds(hours / upstreams * 3600.0);
    for (TimePoint tickAt; tickAt < end; tickAt += std::chrono::milliseconds(100)) {
        for (std::uint32_t i = 0; i < upstreams; ++i) {
            Upstream &row = rows[i];
            const auto start = [&](TimePoint at) {
                const std::uint8_t routeClass = row.healthy.drawClass(random);
                observe.start(i, ++token, routeClass, at);
                row.ends.emplace_back(row.healthy.finish(random, at, row.healthy.drawService(random, routeClass)), token);
            };
            while (true) {
                const auto first = std::min_element(row.ends.begin(), row.ends.end());
                const TimePoint nextEnd = first == row.ends.end() ? TimePoint::max() : first->first;
                if (std::min(nextEnd, row.nextArrival) >= tickAt + std::chrono::milliseconds(100)) {
                    break;
                }
                if (nextEnd <= row.nextArrival) {
                    const bool failed = random.uniform() < HealthyUpstream::errorRate;
                    observe.finish(i, first->second, failed ? SampleOutcome::Failed : SampleOutcome::Ok, nextEnd);
                    *first = row.ends.back();
                    row.ends.pop_back();
                    if (row.waiting > 0) {
                        --row.waiting;
                        start(nextEnd);
                    }
                    continue;
                }
                const TimePoint arrival = row.nextArrival;
                row.nextArrival += seconds(random.exponential(1.0 / rate));
                if (row.ends.size() < user.slots) {
                    start(arrival);
                } else {
                    ++row.waiting;
                }
            }
        }
        const TimePoint now = tickAt + std::chrono::milliseconds(100);
        for (const HealthChange &change : detector.tick(now)) {
            ejections += change.to == HealthState::Ejected ? 1 : 0;
        }
        if (now.time_since_epoch().count() % 1000000 == 0) {
            for (std::uint8_t routeClass = 0; routeClass < 2; ++routeClass) {
                std::vector<Duration> recent;
                for (std::uint32_t i = 0; i < upstreams; ++i) {
                    recent.push_back(table.recentLatency(i, routeClass, now));
                }
                std::nth_element(recent.begin(), recent.begin() + upstreams / 2, recent.end());
                for (std::uint32_t i = 0; i < upstreams; ++i) {
                    observe.peerMedian(i, routeClass, recent[upstreams / 2], now);
                }
            }
        }
    }
    return ejections;
}

bool runSteady(const User &user, const Options &options)
{
    bool good = true;
    const bool claims = user.profile == DetectionProfile::Claims;
    const double limit = claims ? 1.0 : 0.1;
    const double hours = options.hours > 0.0 ? options.hours : 2000.0;
    for (const double rate : {busyRate, quietRate}) {
        constexpr std::size_t parts = 16;
        std::vector<std::uint32_t> counts(parts);
        forEachIndex(parts, [&](std::size_t index) {
            counts[index] = countFalseEjections(user, rate, hours / parts, firstSeed + index);
        });
        std::uint32_t total = 0;
        for (const std::uint32_t count : counts) {
            total += count;
        }
        // Upper 95% confidence limit of a Poisson mean: 3.0 without events, otherwise a normal approximation.
        const double upper = total == 0 ? 3.0 : total + 1.645 * std::sqrt(static_cast<double>(total)) + 2.0;
        std::printf(
            "%s steady, %.1f requests/s an upstream: %u false ejections in %.0f upstream-hours, %.3f per 1,000 h (95%% upper limit %.3f), "
            "target below %.1f\n",
            user.name,
            rate,
            total,
            hours,
            1000.0 * total / hours,
            1000.0 * upper / hours,
            limit);
        good &= checkBound(1000.0 * total / hours < limit, std::string(user.name) + ": too many false ejections per 1,000 upstream-hours");
    }
    return good;
}

Options parse(int argc, char **argv)
{
    Options options;
    for (int i = 1; i < argc; ++i) {
        const std::string name = argv[i];
        const auto value = [&]() -> std::string {
            return i + 1 < argc ? argv[++i] : std::string();
        };
        if (name == "--check") {
            options.check = true;
        } else if (name == "--baselines") {
            options.baselines = true;
        } else if (name == "--all") {
            options.all = true;
        } else if (name == "--group") {
            options.group = value();
        } else if (name == "--case") {
            options.onlyCase = value();
        } else if (name == "--seeds") {
            options.seeds = static_cast<std::uint32_t>(std::stoul(value()));
        } else if (name == "--hours") {
            options.hours = std::stod(value());
        } else {
            std::fprintf(stderr, "unknown argument %s\n", name.c_str());
            std::exit(2);
        }
    }
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    const Options options = parse(argc, argv);
    bool good = true;
    const auto isSelected = [&](const char *group) {
        return options.group.empty() || options.group == group;
    };
    if (isSelected("claims")) {
        good &= runCases(claimsFirm, options, false);
    }
    if (isSelected("authority")) {
        good &= runCases(dairyAuthority, options, false);
    }
    if (options.group == "quiet") {
        good &= runCases(claimsFirm, options, true) && runCases(dairyAuthority, options, true);
    }
    if (isSelected("late")) {
        good &= runLate(options);
    }
    if (isSelected("steady-claims")) {
        good &= runSteady(claimsFirm, options);
    }
    if (isSelected("steady-authority")) {
        good &= runSteady(dairyAuthority, options);
    }
    return options.check && !good ? 1 : 0;
}
