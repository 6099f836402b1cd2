// Case 12: an upstream whose status check is good fails part of its requests with 503, 429 or 408 after it has run them.

#include "fleet.h"

#include <array>
#include <atomic>
#include <cmath>
#include <iostream>
#include <random>

namespace {

using namespace Review;
using namespace std::chrono_literals;

constexpr unsigned vmCount = 9;
constexpr unsigned memoryMb = 260;
constexpr unsigned slots = 3;
constexpr unsigned deadlineMs = 3000;
constexpr unsigned callersPerVm = 2;
constexpr double caseSeconds = 40;
constexpr double troubleEvery = 12;
constexpr double troubleStart = 5; ///< Within each such time.
constexpr double troubleSeconds = 6.5;
constexpr double failingShare = 0.4; ///< Of the requests of the upstream in trouble.
constexpr const char *upstreamInTrouble = "i-vm-4";

/// @return whether this status promises that a request has not run
bool isPromise(unsigned status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

struct Counts
{
    std::atomic<unsigned> sent = 0;
    std::atomic<unsigned> served = 0;
    std::atomic<unsigned> refused = 0;
    std::atomic<unsigned> other = 0;
    std::atomic<unsigned> broken = 0; ///< Answered with a promise although they have run.
};

void callInTurn(const Fleet &fleet, Record &record, RunLog &runs, Counts &counts, unsigned caller, double start)
{
    const std::string body(4000, 'b');
    const Vm &vm = fleet.vms[caller % vmCount];
    Caller sender(vm, fleet.ports);
    std::mt19937 random(caller);
    for (unsigned number = 1; secondsNow() - start < caseSeconds; ++number) {
        const std::string id = "c" + std::to_string(caller) + "-" + std::to_string(number);
        const CallerReply reply = sender.post("/lodge/", id, deadlineMs, body);
        const bool hasRun = runs.contains(id);
        const bool isBroken = isPromise(reply.status) && hasRun;
        ++counts.sent;
        ++(reply.status == 200 ? counts.served : isPromise(reply.status) && !hasRun ? counts.refused : counts.other);
        counts.broken += isBroken ? 1 : 0;
        record.line("request " + id + " to " + vm.name + ": " + std::to_string(reply.status) + (isBroken ? ", though it has run" : ""));
        std::this_thread::sleep_for(std::chrono::milliseconds(std::uniform_int_distribution<int>(0, 200)(random)));
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "use: refusedcase RECORD LOG-FOLDER\n";
        return notRunnable;
    }
    try {
        Record record(argv[1]);
        RunLog runs;
        const std::vector<std::string> services = {"lodging"};
        Fleet fleet(services, vmCount, memoryMb, argv[2]);
        std::atomic<double> start = 0;
        const Upstream::Run run = [&record, &runs, &start](const UpstreamRequest &request) {
            thread_local std::mt19937 random(std::random_device{}());
            runs.add(request.id);
            std::this_thread::sleep_for(std::chrono::milliseconds(std::uniform_int_distribution<int>(120, 360)(random)));
            const double inTrouble = std::fmod(secondsNow() - start, troubleEvery) - troubleStart;
            const bool fails = hasTrouble() && request.upstream == upstreamInTrouble && inTrouble > 0 && inTrouble < troubleSeconds
                               && std::uniform_real_distribution<double>(0, 1)(random) < failingShare;
            constexpr std::array<unsigned, 3> failures = {503, 429, 408};
            const unsigned status = fails ? failures[random() % failures.size()] : 200;
            record.line("run " + request.id + " at " + request.upstream + ": " + std::to_string(status));
            return UpstreamAnswer{status, "lodged " + request.id};
        };
        if (!fleet.start(slots, run, configText({{"/lodge/", "unsafe", "lodging", 800, 3000}}, services))) {
            record.line("the nodes are not ready");
            fleet.stop();
            return notRunnable;
        }
        start = secondsNow();
        Counts counts;
        std::vector<std::thread> callers;
        for (unsigned caller = 0; caller < vmCount * callersPerVm; ++caller) {
            callers.emplace_back([&fleet, &record, &runs, &counts, caller, &start] {
                callInTurn(fleet, record, runs, counts, caller, start);
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        fleet.stop();
        record.line("sent " + std::to_string(counts.sent) + ", served " + std::to_string(counts.served) + ", refused and not run "
                    + std::to_string(counts.refused) + ", other " + std::to_string(counts.other));
        record.line(std::to_string(counts.broken) + " requests that may not be repeated have run and were answered 503, 429, 408 or 421");
        const bool isBroken = counts.broken > 0;
        record.line(isBroken ? "rule broken" : "rule held");
        std::cout << (isBroken ? "rule broken" : "rule held") << std::endl;
        _exit(isBroken ? ruleBroken : ruleHeld);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return notRunnable;
    }
}
