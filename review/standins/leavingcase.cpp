#include "leavingcase.h"

#include <algorithm>

namespace Review {

namespace {

struct Machine
{
    const char *name;
    const char *zone;
    const char *service;
    const char *backend;
};

constexpr Machine machines[] = {
    {"sidecar-a-1", "ajloun-a", "climate-desk", "i-desk-1"},
    {"sidecar-b-1", "ajloun-b", "movement-office", "i-office-1"},
    {"sidecar-c-1", "ajloun-c", "movement-office", "i-office-2"},
};
constexpr std::size_t machineCount = std::size(machines);
constexpr std::size_t leaving = machineCount - 1;

constexpr int clientsPerNode = 3;
constexpr long workMs = 250;
constexpr long deadlineMs = 6'000;
constexpr long drainMs = 2'000;
constexpr long servesOnMs = 3'500; ///< The backend serves for `drain-ms` and 1.5 s more.
constexpr int cutCount = 3;
constexpr long cutPauseMs = 2'000;
constexpr int slots = 7;
constexpr const char *bounds
    = R"({"stable-window-ms":3000,"drain-ms":2000,"grace-s":6,"config-apply-ms":2000,"retry-budget-ratio":0.2,"budget-window-s":10,"budget-slack":62})";

} // namespace

LeavingCase::LeavingCase(StoreTrouble trouble, const std::string &network, Record &record, const std::string &logs)
    : trouble(trouble)
    , record(record)
    , store(network + ".1", machineCount, record)
{
    std::vector<std::string> ips;
    for (std::size_t i = 0; i < machineCount; ++i) {
        ips.push_back(network + "." + std::to_string(11 + i));
        this->apps.push_back(std::make_unique<Server>(ips.back(), 0, this->backend(i)));
        this->putEntry(i, "ready");
    }
    this->store.putConfig(1, {{"move", "/move/", "unsafe", "movement-office", 2500, 6000, 2}}, {"climate-desk", "movement-office"});
    const Ports ports = freePorts(ips);
    for (std::size_t i = 0; i < machineCount; ++i) {
        const Node::Settings settings{machines[i].name,
                                      ips[i],
                                      machines[i].zone,
                                      machines[i].service,
                                      ips[i] + ":" + std::to_string(this->apps[i]->port),
                                      this->store.address(static_cast<int>(i)),
                                      bounds,
                                      260,
                                      ports};
        this->nodes.push_back(std::make_unique<Node>(settings, logs + "/" + machines[i].name + ".log"));
    }
}

void LeavingCase::putEntry(std::size_t machine, const std::string &state)
{
    const Machine &at = machines[machine];
    const Server &app = *this->apps[machine];
    this->store.putEntry({at.backend, at.service, app.ip + ":" + std::to_string(app.port), at.zone, slots, state});
}

Server::Handler LeavingCase::backend(std::size_t machine)
{
    const std::string id = machines[machine].backend;
    return [this, id, machine](Connection &connection) {
        while (const auto request = connection.read(60'000)) {
            const std::string requestId = request->header("request-id");
            if (request->header("expect-instance") != id) {
                connection.send(makeResponse(421, {{"Request-Id", requestId}, {"Instance-Id", id}}, ""));
                continue;
            }
            const long since = this->leftAt > 0 ? elapsedMs() - this->leftAt : 0;
            const bool isLate = machine == leaving && since > drainMs;
            this->record.write(id + " runs " + requestId
                               + (isLate ? ", LATE: " + std::to_string(since) + " ms after the acknowledgement" : ""));
            {
                const std::scoped_lock lock(this->mutex);
                ++this->arrivals;
                if (isLate) {
                    ++this->lateArrivals;
                    this->latest = std::max(this->latest, since);
                    this->lateIds.insert(requestId);
                }
            }
            sleepMs(workMs);
            const std::string answer
                = makeResponse(200, {{"Request-Id", requestId}, {"Server-Seal", "seal-" + requestId}}, "moved " + requestId);
            if (!connection.send(answer)) {
                return;
            }
        }
    };
}

void LeavingCase::sendUntil(std::size_t node, int client, long end)
{
    for (int i = 0; elapsedMs() < end; ++i) {
        const std::string id = "m" + std::to_string(node) + "-" + std::to_string(client) + "-" + std::to_string(i);
        this->record.write("sent " + id + " to " + machines[node].name);
        const Outcome outcome = call(*this->nodes[node], "POST", "/move/" + id, id, deadlineMs, "batch " + id);
        this->record.write("answered " + id + " with " + std::to_string(outcome.status));
        const std::scoped_lock lock(this->mutex);
        this->statuses[id] = outcome.status;
    }
}

void LeavingCase::prepareLostAnswer()
{
    this->store.losesAnswer = [this](int door) {
        return door == static_cast<int>(leaving) && this->mayLose.exchange(false);
    };
    // The store loses answers for 4.5 s; here it loses one of the three to this change.
    this->mayLose = isTroubled();
    this->store.putConfig(2, {{"move", "/move/", "unsafe", "movement-office", 2500, 5500, 2}}, {"climate-desk", "movement-office"});
    sleepMs(4'500);
    this->mayLose = false;
    this->record.say("the store loses no more answers");
    // Stable for `stable-window-ms`, and one second more.
    sleepMs(4'000);
}

void LeavingCase::cutWatches()
{
    for (int cut = 0; cut < cutCount; ++cut) {
        this->store.cutWatches();
        sleepMs(cutPauseMs);
    }
}

void LeavingCase::leave()
{
    if (this->trouble == StoreTrouble::LostAnswer) {
        this->putEntry(leaving, "draining");
    } else {
        this->store.removeEntry(machines[leaving].backend);
    }
    this->leftAt = elapsedMs();
    this->record.say(std::string(machines[leaving].backend) + " leaves");
}

int LeavingCase::run()
{
    for (const auto &node : this->nodes) {
        if (!node->waitUntilReady(15'000)) {
            this->record.say("a process is not ready");
            return couldNotRun;
        }
    }
    const long end = elapsedMs() + 18'000;
    std::vector<std::thread> threads;
    for (std::size_t node = 0; node < machineCount; ++node) {
        for (int client = 0; client < clientsPerNode; ++client) {
            threads.emplace_back([this, node, client, end] {
                this->sendUntil(node, client, end);
            });
        }
    }
    sleepMs(2'000);
    if (this->trouble == StoreTrouble::LostAnswer) {
        this->prepareLostAnswer();
    } else {
        sleepMs(5'000);
        if (isTroubled()) {
            threads.emplace_back([this] {
                this->cutWatches();
            });
        }
        sleepMs(100);
    }
    this->leave();
    sleepMs(servesOnMs);
    this->record.say(std::string(machines[leaving].backend) + " exits");
    this->apps[leaving]->stop();
    if (this->trouble == StoreTrouble::LostAnswer) {
        this->store.removeEntry(machines[leaving].backend);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return this->judge();
}

int LeavingCase::judge()
{
    const std::scoped_lock lock(this->mutex);
    int lost = 0;
    for (const std::string &id : this->lateIds) {
        const int status = this->statuses.contains(id) ? this->statuses.at(id) : 0;
        if (status != 200) {
            ++lost;
            this->record.write("late " + id + " was answered " + std::to_string(status));
        }
    }
    this->record.say("requests " + std::to_string(this->statuses.size()) + ", runs " + std::to_string(this->arrivals)
                     + ", at the leaving backend later than " + std::to_string(drainMs) + " ms after the acknowledgement "
                     + std::to_string(this->lateArrivals) + " (latest " + std::to_string(this->latest) + " ms), of these not served "
                     + std::to_string(lost));
    if (this->arrivals == 0) {
        return couldNotRun;
    }
    return this->lateArrivals > 0 ? ruleBroken : ruleHeld;
}

} // namespace Review
