/// Case 7: a machine is cut off from the store for some seconds, and the server beside it leaves meanwhile.

#include "../standins-2/smallfleet.h"

using namespace Review;

namespace {

/// Bounds of the deployment.
constexpr Milliseconds stableWindow(3000);
constexpr Milliseconds drainTime(2000);

/// Length of a cut, and when in it the server leaves.
constexpr Milliseconds cutTime(4000);
constexpr Milliseconds leaveAfter(1500);

/// Time for which the clients go on after the machine is in touch again, and until the next round.
constexpr Milliseconds watchTime(1500);
constexpr Milliseconds settleTime(1500);

/// Time by which a judge on the same machine may be late.
constexpr Milliseconds margin(50);

constexpr unsigned roundCount = 6;
constexpr unsigned clientCount = 3;
constexpr Milliseconds sendInterval(30);

} // namespace

int main(int, char **arguments)
{
    const std::string folder = arguments[1];
    Record record(folder + "/record.txt");
    std::mutex mutex;
    std::map<std::string, Clock::time_point> sentAt; // Requests of the clients on the first machine, by id.
    std::map<std::string, std::pair<std::string, Clock::time_point>> runs; // Server that ran a request, and when it arrived, by id.
    SmallFleet fleet(
        {"lodging", "lodging", "lodging"},
        3,
        [](const Backend &, const Request &) {
            return Reply();
        },
        [&](const Backend &backend, const Request &request, const Reply &) {
            const std::string id = request.fields.find("Request-Id");
            const std::lock_guard lock(mutex);
            runs[id] = {backend.id(), Clock::now()};
            record.line("run id=" + id + " server=" + backend.id());
        },
        makeTemporaryFolder());
    Route route;
    route.host = "claims.example";
    route.prefix = "/claims/";
    route.kind = "unsafe";
    route.shares = {{"lodging"}};
    fleet.configure(1, {route}, {"lodging"});
    if (!fleet.start()) {
        fleet.finish(exitNotRun);
    }
    std::this_thread::sleep_for(stableWindow + Milliseconds(500));
    for (unsigned i = 0; i < clientCount; ++i) {
        std::thread([&] {
            Client client(fleet.node(0).callers());
            for (;;) {
                Request request;
                const std::string id = newRequestId();
                request.method = "POST";
                request.target = "/claims/new";
                request.fields.add("Host", "claims.example");
                request.fields.add("Request-Id", id);
                request.fields.add("Deadline-Ms", "3000");
                request.body = "claim";
                {
                    const std::lock_guard lock(mutex);
                    sentAt[id] = Clock::now();
                    record.line("sent id=" + id);
                }
                const Client::Result result = client.send(request, Milliseconds(4000));
                record.line("answered id=" + id + " status=" + std::to_string(result.response.status));
                std::this_thread::sleep_for(sendInterval);
            }
        }).detach();
    }

    unsigned broken = 0;
    for (unsigned round = 0; round < roundCount; ++round) {
        const std::string leaving = fleet.backend(0).id();
        if (hasTrouble()) {
            fleet.firstMachinesPath().cut();
            record.line("machine 1 is cut off from the store");
        }
        std::this_thread::sleep_for(leaveAfter);
        fleet.backend(0).leave();
        const auto left = Clock::now();
        record.line("server " + leaving + " leaves: entry deleted, acknowledged");
        std::this_thread::sleep_for(cutTime - leaveAfter);
        fleet.firstMachinesPath().heal();
        const auto healed = Clock::now();
        record.line("machine 1 reaches the store again");
        std::this_thread::sleep_for(stableWindow + watchTime);
        {
            const std::lock_guard lock(mutex);
            const auto bound = std::max(healed + stableWindow, left + drainTime) + margin;
            for (const auto &[id, run] : runs) {
                if (run.first == leaving && run.second > bound && sentAt[id] > healed + stableWindow) {
                    ++broken;
                    record.line("late id=" + id + " server=" + leaving + " ms_after_acknowledgement="
                                + std::to_string(std::chrono::duration_cast<Milliseconds>(run.second - left).count())
                                + " ms_after_cut=" + std::to_string(std::chrono::duration_cast<Milliseconds>(run.second - healed).count()));
                }
            }
        }
        fleet.backend(0).startAgain();
        record.line("server " + fleet.backend(0).id() + " starts");
        std::this_thread::sleep_for(settleTime);
    }
    record.line("requests that reached a server later than the bound: " + std::to_string(broken));
    fleet.finish(broken > 0 ? exitBroken : exitHeld);
}
