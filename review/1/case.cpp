/// Non-idempotent requests to a service whose two backends reject a part of them, while one of the backends also sends a few of its
/// answers twice. Counts the requests that run more than once, and those that are refused as not run and have run.

#include "support.h"

#include <algorithm>
#include <exception>
#include <random>

using namespace Review;

namespace {

constexpr int clients = 5;
constexpr long trafficMs = 58'000;
constexpr long troubleStartsMs[] = {3'000, 10'000, 17'000, 24'000, 31'000, 38'000, 45'000, 52'000};
constexpr long troubleMs = 5'000; ///< Length of the impairment in the site file.
constexpr double rejectedShare = 0.55; ///< Share of the arrivals that are rejected, as in the site file.
constexpr double doubledShare = 0.03; ///< Share of the answers that are sent twice, as in the site file.
constexpr long workMs = 30;
constexpr long deadlineMs = 6'000;
constexpr int slots = 7;
constexpr const char *bounds
    = R"({"stable-window-ms":3000,"drain-ms":2000,"grace-s":6,"config-apply-ms":2000,"retry-budget-ratio":0.2,"budget-window-s":10,"budget-slack":62})";

class Case
{
public:
    Case(Record &record, const std::string &logs)
        : record(record)
        , store("127.0.51.1", 1, record)
        , desk("127.0.51.11", 0, this->backend("i-desk-1", false))
        , officeB("127.0.51.12", 0, this->backend("i-office-1", false))
        , officeC("127.0.51.13", 0, this->backend("i-office-2", true))
    {
        this->putEntry("i-desk-1", "climate-desk", this->desk, "ajloun-a");
        this->putEntry("i-office-1", "movement-office", this->officeB, "ajloun-b");
        this->putEntry("i-office-2", "movement-office", this->officeC, "ajloun-c");
        this->store.putConfig(1, {{"move", "/move/", "unsafe", "movement-office", 2500, 6000, 2}}, {"climate-desk", "movement-office"});
        const Ports ports = freePorts({this->desk.ip, this->officeB.ip, this->officeC.ip});
        const auto start = [&](const Server &app, const char *name, const char *zone, const char *service) {
            this->nodes.push_back(std::make_unique<Node>(
                Node::Settings{
                    name, app.ip, zone, service, app.ip + ":" + std::to_string(app.port), this->store.address(0), bounds, 260, ports},
                logs + "/" + name + ".log"));
        };
        start(this->desk, "sidecar-a-1", "ajloun-a", "climate-desk");
        start(this->officeB, "sidecar-b-1", "ajloun-b", "movement-office");
        start(this->officeC, "sidecar-c-1", "ajloun-c", "movement-office");
    }

    int run()
    {
        for (const auto &node : this->nodes) {
            if (!node->waitUntilReady(15'000)) {
                this->record.say("a process is not ready");
                return couldNotRun;
            }
        }
        this->trafficStart = elapsedMs();
        std::vector<std::thread> threads;
        for (int client = 0; client < clients; ++client) {
            threads.emplace_back([this, client] {
                for (int i = 0; elapsedMs() < this->trafficStart + trafficMs; ++i) {
                    this->sendOnce("m" + std::to_string(client) + "-" + std::to_string(i));
                }
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        sleepMs(1'000);
        return this->judge();
    }

private:
    void putEntry(const char *id, const char *service, const Server &app, const char *zone)
    {
        this->store.putEntry({id, service, app.ip + ":" + std::to_string(app.port), zone, slots, "ready"});
    }

    bool isImpaired() const
    {
        const long age = elapsedMs() - this->trafficStart;
        return this->trafficStart > 0 && std::ranges::any_of(troubleStartsMs, [age](long start) {
                   return age >= start && age < start + troubleMs;
               });
    }

    /// A backend that serves one request at a time on a connection. While it is impaired it rejects a part of its requests, and
    /// `doubles` makes it send a few of its answers once more, at the point where the next answer on the connection is expected.
    Server::Handler backend(const std::string &id, bool doubles)
    {
        return [this, id, doubles](Connection &connection) {
            std::string extra;
            while (const auto request = connection.read(60'000)) {
                const std::string requestId = request->header("request-id");
                if (!extra.empty()) {
                    this->record.write(id + " sends its previous answer on this connection once more, then handles " + requestId);
                    connection.send(extra);
                    extra.clear();
                }
                std::string answer;
                if (request->header("expect-instance") != id) {
                    answer = makeResponse(421, {{"Request-Id", requestId}, {"Instance-Id", id}}, "");
                } else if (this->isImpaired() && this->draw() < rejectedShare) {
                    this->record.write(id + " rejects " + requestId);
                    answer = makeResponse(503, {{"Request-Id", requestId}, {"Not-Executed", "1"}}, "");
                    extra = doubles && this->mayDouble() ? answer : "";
                } else {
                    this->noteRun(id, requestId);
                    sleepMs(workMs);
                    answer = makeResponse(200, {{"Request-Id", requestId}, {"Server-Seal", "seal-" + requestId}}, "moved " + requestId);
                }
                if (doubles && this->isImpaired()) {
                    ++this->answers;
                }
                if (!connection.send(answer)) {
                    return;
                }
            }
        };
    }

    /// @return whether one more answer may be sent twice
    bool mayDouble()
    {
        if (!isTroubled()) {
            return false;
        }
        const std::scoped_lock lock(this->mutex);
        if (this->doubled + 1 > doubledShare * this->answers) {
            return false;
        }
        ++this->doubled;
        return true;
    }

    double draw()
    {
        const std::scoped_lock lock(this->mutex);
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    void noteRun(const std::string &id, const std::string &requestId)
    {
        this->record.write(id + " runs " + requestId);
        const std::scoped_lock lock(this->mutex);
        ++this->runs[requestId];
    }

    void sendOnce(const std::string &id)
    {
        this->record.write("sent " + id);
        const Outcome outcome = call(*this->nodes.front(), "POST", "/move/" + id, id, deadlineMs, "batch " + id);
        this->record.write("answered " + id + " with " + std::to_string(outcome.status));
        const std::scoped_lock lock(this->mutex);
        this->statuses[id] = outcome.status;
    }

    int judge()
    {
        const std::scoped_lock lock(this->mutex);
        int twice = 0;
        int refused = 0;
        for (const auto &[id, count] : this->runs) {
            const int status = this->statuses.contains(id) ? this->statuses.at(id) : 0;
            if (count > 1) {
                ++twice;
                this->record.write("TWICE: " + id + " ran " + std::to_string(count) + " times, answered " + std::to_string(status));
            }
            if (status == 503 || status == 429 || status == 408 || status == 421) {
                ++refused;
                this->record.write("REFUSED: " + id + " was answered " + std::to_string(status) + " and ran");
            }
        }
        this->record.say("requests " + std::to_string(this->statuses.size()) + ", ran " + std::to_string(this->runs.size())
                         + ", answers of the doubling backend while impaired " + std::to_string(this->answers) + ", of these sent twice "
                         + std::to_string(this->doubled));
        this->record.say("ran more than once " + std::to_string(twice) + ", refused and ran " + std::to_string(refused));
        if (this->runs.empty()) {
            return couldNotRun;
        }
        return twice + refused > 0 ? ruleBroken : ruleHeld;
    }

    Record &record;
    std::mutex mutex;
    std::mt19937 random{std::random_device()()};
    std::atomic<long> trafficStart = 0;
    std::atomic<int> answers = 0;
    int doubled = 0;
    std::map<std::string, int> runs;
    std::map<std::string, int> statuses;
    Store store;
    Server desk;
    Server officeB;
    Server officeC;
    std::vector<std::unique_ptr<Node>> nodes;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        return couldNotRun;
    }
    Record record(argv[1]);
    try {
        return Case(record, argv[2]).run();
    } catch (const std::exception &error) {
        record.say(std::string("could not run: ") + error.what());
        return couldNotRun;
    }
}
