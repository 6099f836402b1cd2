/// Case 9: a change of weights that ends a service's share, and the requests that its nodes send it all the same.

#include "../standins-2/smallfleet.h"

using namespace Review;

namespace {

constexpr unsigned routeCount = 4;

/// Bound config-apply-ms of the deployment, and what a judge on the same machine may measure late.
constexpr Milliseconds applyTime(2000);
constexpr Milliseconds afterApply(1000);

std::vector<Route> routes(unsigned oldWeight, unsigned newWeight)
{
    std::vector<Route> list;
    for (unsigned i = 0; i < routeCount; ++i) {
        Route route;
        route.host = "host" + std::to_string(i) + ".example";
        route.prefix = "/claims/";
        route.shares = {{"old", oldWeight}, {"new", newWeight}};
        list.push_back(route);
    }
    return list;
}

} // namespace

int main(int, char **arguments)
{
    const std::string folder = arguments[1];
    Record record(folder + "/record.txt");
    const std::string logs = makeTemporaryFolder();
    std::mutex mutex;
    std::map<std::string, std::string> ranBy; // Service that ran a request, by its id.
    const auto observe = [&](const Backend &backend, const Request &request, const Reply &) {
        const std::string id = request.fields.find("Request-Id");
        record.line("run id=" + id + " server=" + backend.id() + " service=" + backend.about().service);
        const std::lock_guard lock(mutex);
        ranBy[id] = backend.about().service;
    };
    unsigned broken = 0;
    SmallFleet fleet(
        {"old", "old", "old", "new", "new", "new"},
        3,
        [](const Backend &, const Request &) {
            return Reply();
        },
        observe,
        logs);
    const std::vector<std::string> services = {"old", "new"};
    fleet.configure(1, routes(100, 0), services);
    if (!fleet.start()) {
        fleet.finish(exitNotRun);
    }
    record.line("config version=1 old=100 new=0 acknowledged");
    std::this_thread::sleep_for(Milliseconds(3500));
    fleet.configure(2, routes(50, 50), services);
    record.line("config version=2 old=50 new=50 acknowledged");
    std::this_thread::sleep_for(Milliseconds(3500));
    if (hasTrouble()) {
        fleet.configure(3, routes(0, 100), services);
        record.line("config version=3 old=0 new=100 acknowledged");
    }
    std::this_thread::sleep_for(applyTime + afterApply);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        for (unsigned j = 0; j < routeCount; ++j) {
            Client client(fleet.node(i).callers());
            Request request;
            const std::string id = newRequestId();
            request.target = "/claims/7";
            request.fields.add("Host", "host" + std::to_string(j) + ".example");
            request.fields.add("Request-Id", id);
            request.fields.add("Deadline-Ms", "3000");
            record.line("sent id=" + id + " node=" + fleet.node(i).about().name + " host=host" + std::to_string(j));
            const Client::Result result = client.send(request, Milliseconds(4000));
            const std::lock_guard lock(mutex);
            record.line("answered id=" + id + " status=" + std::to_string(result.response.status) + " by=" + ranBy[id]);
            broken += hasTrouble() && ranBy[id] == "old" ? 1 : 0;
        }
    }
    record.line("requests that the service without a share ran: " + std::to_string(broken));
    fleet.finish(broken > 0 ? exitBroken : exitHeld);
}
