// Case 11: clients send bodies within max-body-bytes, and many come at once. Kills and restarts a node whose memory exceeds memory-mb, as
// the platform does.

#include "fleet.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <random>

namespace {

using namespace Review;
using namespace std::chrono_literals;

constexpr unsigned vmCount = 6;
constexpr unsigned memoryMb = 260;
constexpr unsigned slots = 3;
constexpr unsigned deadlineMs = 3000;
constexpr std::size_t bodyBytes = 33'000'000; ///< About half of max-body-bytes.
constexpr unsigned usualCallers = 6; ///< One on each VM.
constexpr unsigned burstCallers = 10; ///< 1.67 times as many.
constexpr double caseSeconds = 90;
constexpr double burstEvery = 10;
constexpr double burstSeconds = 3;
constexpr unsigned allowedLosses = 3; ///< The rule counts more than these.

/// @return whether many clients have come at once, at this time
bool isBurst(double now, double start)
{
    const double inTurn = now - start - 6;
    return hasTrouble() && inTurn > 0 && inTurn - burstEvery * static_cast<int>(inTurn / burstEvery) < burstSeconds;
}

struct Counts
{
    std::atomic<unsigned> sent = 0;
    std::atomic<unsigned> served = 0;
    std::atomic<unsigned> refused = 0;
    std::atomic<unsigned> failed = 0;
    std::atomic<unsigned> cut = 0;
    std::atomic<unsigned> lost = 0; ///< Passed on to an upstream from a kept connection that ended without an answer.
};

void callInTurn(const Fleet &fleet, Record &record, RunLog &runs, Counts &counts, unsigned caller, double start)
{
    static const std::string body(bodyBytes, 'b');
    const Vm &vm = fleet.vms[caller % vmCount];
    Caller sender(vm, fleet.ports);
    for (unsigned number = 0; secondsNow() - start < caseSeconds;) {
        if (caller >= usualCallers && !isBurst(secondsNow(), start)) {
            std::this_thread::sleep_for(20ms);
            continue;
        }
        const std::string id = "c" + std::to_string(caller) + "-" + std::to_string(++number);
        const CallerReply reply = sender.post(number % 2 == 0 ? "/moves/" : "/desk/", id, deadlineMs, body);
        ++counts.sent;
        ++(reply.status == 200 ? counts.served : reply.status == 503 ? counts.refused : reply.status == 0 ? counts.cut : counts.failed);
        const bool isLost = reply.status == 0 && reply.wasKept && !reply.timedOut && runs.contains(id);
        counts.lost += isLost ? 1 : 0;
        const std::string outcome = reply.status != 0 ? std::to_string(reply.status)
                                    : reply.timedOut  ? "no answer in time"
                                                      : "connection ended without an answer";
        record.line("request " + id + " to " + vm.name + ": " + outcome + (isLost ? ", though it was passed on" : ""));
        std::this_thread::sleep_for(50ms);
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "use: memorycase RECORD LOG-FOLDER\n";
        return notRunnable;
    }
    try {
        Record record(argv[1]);
        const std::vector<std::string> services = {"movement-office", "climate-desk"};
        Fleet fleet(services, vmCount, memoryMb, argv[2]);
        RunLog runs;
        const Upstream::Run run = [&record, &runs](const UpstreamRequest &request) {
            thread_local std::mt19937 random(std::random_device{}());
            runs.add(request.id);
            record.line("run " + request.id + " at " + request.upstream + ", " + std::to_string(request.bodyLength) + " bytes");
            std::this_thread::sleep_for(std::chrono::milliseconds(std::uniform_int_distribution<int>(120, 360)(random)));
            return UpstreamAnswer{200, "moved " + request.id};
        };
        const std::string config
            = configText({{"/moves/", "unsafe", "movement-office", 800, 3000}, {"/desk/", "unsafe", "climate-desk", 800, 3000}}, services);
        if (!fleet.start(slots, run, config)) {
            record.line("the nodes are not ready");
            fleet.stop();
            return notRunnable;
        }
        const double start = secondsNow();
        Counts counts;
        std::vector<std::thread> callers;
        for (unsigned caller = 0; caller < burstCallers; ++caller) {
            callers.emplace_back([&fleet, &record, &runs, &counts, caller, start] {
                callInTurn(fleet, record, runs, counts, caller, start);
            });
        }
        std::vector<unsigned> kills(vmCount, 0);
        std::vector<unsigned> peaks(vmCount, 0);
        std::vector<double> restartAt(vmCount, 0);
        unsigned otherEnds = 0;
        while (secondsNow() - start < caseSeconds + 2) {
            for (unsigned i = 0; i < vmCount; ++i) {
                Node &node = *fleet.nodes[i];
                if (restartAt[i] > 0) {
                    if (secondsNow() >= restartAt[i]) {
                        restartAt[i] = 0;
                        node.start();
                    }
                    continue;
                }
                const unsigned used = node.memoryMb();
                peaks[i] = std::max(peaks[i], used);
                const bool ended = node.hasEnded();
                if (used > memoryMb || ended) {
                    record.line(node.machine().name
                                + (ended ? " has ended"
                                         : " uses " + std::to_string(used) + " MB of " + std::to_string(memoryMb) + " and is killed"));
                    ++(ended ? otherEnds : kills[i]);
                    node.kill();
                    restartAt[i] = secondsNow() + 0.5;
                }
            }
            std::this_thread::sleep_for(2ms);
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        fleet.stop();
        for (unsigned i = 0; i < vmCount; ++i) {
            record.line(fleet.vms[i].name + ": killed " + std::to_string(kills[i]) + " times for its memory, peak "
                        + std::to_string(peaks[i]) + " MB");
        }
        record.line("sent " + std::to_string(counts.sent) + ", served " + std::to_string(counts.served) + ", refused "
                    + std::to_string(counts.refused) + ", failed " + std::to_string(counts.failed) + ", without an answer "
                    + std::to_string(counts.cut) + ", processes that ended otherwise " + std::to_string(otherEnds));
        record.line(std::to_string(counts.lost)
                    + " requests were passed on from a kept connection that ended without an answer, allowed are "
                    + std::to_string(allowedLosses));
        const bool isBroken = counts.lost > allowedLosses;
        record.line(isBroken ? "rule broken" : "rule held");
        std::cout << (isBroken ? "rule broken" : "rule held") << std::endl;
        _exit(isBroken ? ruleBroken : ruleHeld);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return notRunnable;
    }
}
