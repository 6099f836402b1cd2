#pragma once

#include "baselines.h"
#include "upstreammodel.h"

#include <galenarack/health/floorsystem.h>
#include <galenarack/health/pathsystem.h>
#include <galenarack/health/probesystem.h>
#include <galenarack/routing/upstreamselector.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace Galenarack::Model {

/// Parameters of one user's fleet (section 1).
struct User
{
    const char *name;
    DetectionProfile profile;
    std::uint32_t slots;
    double domainDelaySeconds; ///< One-way network delay between failure domains, in seconds.
};

/// Fault that is injected after the warm-up. The meaning of `amount` depends on the fault.
enum class Fault : std::uint8_t {
    None,
    Slow, ///< The first upstream is slower by the factor `amount`.
    SlowRoute, ///< As `Slow`, for the second route class only.
    Hang, ///< The first upstream does not respond.
    Errors, ///< The share `amount` of the first upstream's responses are errors.
    Wrong, ///< The share `amount` of its responses have a wrong body.
    Truncated, ///< The share `amount` of its responses are truncated.
    StuckSlot, ///< One slot of the first upstream never responds.
    Flapping, ///< The first upstream alternates between 10 times slower and healthy, each for `amount` seconds.
    AllSlow, ///< All upstreams are slower by the factor `amount`.
    Surge, ///< `amount` times the load; upstreams slow down with concurrency.
    ColdStart, ///< The first upstream restarts: 3 times slower at first, healthy after 8 s.
    Shedding, ///< The first upstream rejects half of its requests with 503 and Retry-After.
    FreezeHome, ///< The process of the first upstream's home is stopped for `amount` seconds.
    CutPath, ///< Messages from one ingress to one home are lost.
    CutDomain, ///< Messages from one failure domain to another are lost.
    Two, ///< One upstream 10 times slower and another hangs.
};

/// Parameters of one run.
struct RunSetting
{
    User user;
    std::uint32_t upstreams;
    double ratePerUpstream;
    Fault fault;
    double amount;
    Detector detector;
    double warmSeconds;
    double faultSeconds;
    std::uint64_t seed;
};

/// Measurements of one run.
struct RunResult
{
    std::optional<double> detectionSeconds; ///< From the fault to the detection of the last faulty upstream, if all are detected.
    std::uint32_t workAfter = 0; ///< Requests that faulty upstreams start between the fault and the end of the run.
    std::uint32_t falseEjections = 0; ///< Ejections of healthy upstreams, by homes (`Ours`) or by ingresses (baselines).
    double upstreamHours = 0.0; ///< Observed upstream-hours; for the baselines, multiplied by the number of ingresses.
    double lowestCapacity = 1.0; ///< Smallest share of healthy upstreams that any ingress keeps after the fault.
    std::uint32_t late = 0; ///< Requests that arrive after the fault and have no successful response within 250 ms.
    std::uint32_t requests = 0; ///< Requests that arrive after the fault.
    std::uint32_t floorViolations = 0; ///< Ticks at which an ingress keeps fewer upstreams than the floor.
};

/// Discrete-event simulation of one service in virtual time. Callers send requests to every ingress. Each ingress runs the library's
/// selector, floor and path systems; each home runs the library's health evaluation.
class ServiceModel
{
public:
    static constexpr std::uint32_t ingressCount = 26; ///< One per VM of the users' three services (6 + 10 + 10).
    static constexpr std::uint32_t domainCount = 3;

    explicit ServiceModel(const RunSetting &setting)
        : setting(setting)
        , random(setting.seed)
        , faultAt(TimePoint() + seconds(setting.warmSeconds))
        , endAt(faultAt + seconds(setting.faultSeconds))
        , detectedAt(setting.upstreams)
    {
        this->document.services.push_back({"service", "services", setting.user.profile, {0, 0.5, 1}, 64});
        for (std::uint32_t i = 0; i < setting.upstreams; ++i) {
            const std::string name = std::to_string(i);
            this->document.upstreams.push_back({name, "upstreams", 0, "vm-" + name, std::to_string(i % domainCount), setting.user.slots});
            this->homes.push_back(std::make_unique<Home>(this->document, i, setting.seed));
        }
        for (std::uint32_t i = 0; i < ingressCount; ++i) {
            this->ingresses.push_back(std::make_unique<Ingress>(this->document, i, setting));
        }
    }

    RunResult run()
    {
        this->push(TimePoint() + seconds(0.05), Kind::Tick, 0);
        this->push(TimePoint(), Kind::Ping, 0);
        this->push(TimePoint(), Kind::Arrive, 0);
        while (!this->events.empty() && this->events.top().time < this->endAt) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.time;
            this->handle(event);
        }
        this->summarize();
        return this->result;
    }

private:
    enum class Kind : std::uint8_t {
        Arrive,
        AtHome,
        Finish,
        AtIngress,
        Declined,
        Lost,
        Tick,
        Ping,
        Hedge,
        SendPing,
        Pong,
        Connect,
    };
    struct Event
    {
        TimePoint time;
        std::uint64_t order;
        Kind kind;
        std::uint32_t subject; ///< Index of the request, or `ingress * upstreams + upstream` for PINGs and connections.

        bool operator>(const Event &other) const
        {
            return this->time != other.time ? this->time > other.time : this->order > other.order;
        }
    };
    struct Request
    {
        std::uint32_t ingress = 0;
        std::uint32_t upstream = 0;
        std::uint32_t slot = 0;
        std::uint8_t routeClass = 0;
        bool insist = false;
        bool done = false; ///< The caller has its response, or this copy has failed.
        std::optional<std::uint32_t> twin; ///< Index of the other copy of a hedged request.
        TimePoint arrived;
        TimePoint sent;
        SampleOutcome outcome = SampleOutcome::Ok;
        std::vector<std::uint32_t> tried;
        UpstreamReport report;
    };
    struct Home
    {
        Home(const Document &document, std::uint32_t upstream, std::uint64_t seed)
            : observe(table)
            , detector(table)
            , probe(table, std::mt19937_64(seed + upstream))
            , slotBusy(document.upstreams[upstream].slots, false)
        {
            this->table.configure(document, document.upstreams[upstream].vm, TimePoint());
        }
        UpstreamTable table;
        ObserveSystem observe;
        HealthEvaluationSystem detector;
        ProbeSystem probe;
        HealthyUpstream healthy;
        std::vector<bool> slotBusy;
        std::deque<std::uint32_t> queue;
    };
    struct Ingress
    {
        Ingress(const Document &document, std::uint32_t index, const RunSetting &setting)
            : pathSystem(paths)
            , floor(table, paths)
            , selector(table, index % domainCount, std::mt19937_64(setting.seed * 1000 + index))
            , baseline(setting.detector, setting.upstreams)
        {
            this->table.configure(document, TimePoint());
            for (std::uint32_t i = 0; i < setting.upstreams; ++i) {
                this->table.rows[i].peer = this->paths.add(document.upstreams[i].vm, TimePoint());
                this->paths.connected(i, TimePoint());
            }
            if (setting.detector == Detector::IngressAlone) {
                this->alone = std::make_unique<IngressHealthEvaluator>(document, setting.user.slots);
            }
        }
        ReportTable table;
        PathTable paths;
        PathSystem pathSystem;
        FloorSystem floor;
        UpstreamSelector selector;
        BaselineEjector baseline;
        std::unique_ptr<IngressHealthEvaluator> alone;
    };

    void push(TimePoint time, Kind kind, std::uint32_t subject)
    {
        this->events.push({time, this->order++, kind, subject});
    }

    void handle(const Event &event)
    {
        switch (event.kind) {
        case Kind::Arrive:
            this->arrive();
            break;
        case Kind::AtHome:
            this->arriveAtHome(event.subject);
            break;
        case Kind::Finish:
            this->finish(event.subject);
            break;
        case Kind::AtIngress:
            this->arriveAtIngress(event.subject);
            break;
        case Kind::Declined:
            this->declined(event.subject);
            break;
        case Kind::Lost:
            this->lost(event.subject);
            break;
        case Kind::Tick:
            this->tick();
            break;
        case Kind::Ping:
            this->ping();
            break;
        case Kind::Hedge:
            this->hedge(event.subject);
            break;
        case Kind::SendPing:
            this->sendPing(event.subject);
            break;
        case Kind::Pong:
            this->pong(event.subject);
            break;
        case Kind::Connect:
            this->connect(event.subject);
            break;
        }
    }

    // Faults.
    bool isFaulty() const
    {
        return this->now >= this->faultAt;
    }
    bool isBad(std::uint32_t upstream) const
    {
        switch (this->setting.fault) {
        case Fault::Slow:
        case Fault::SlowRoute:
        case Fault::Hang:
        case Fault::Errors:
        case Fault::Wrong:
        case Fault::Truncated:
        case Fault::StuckSlot:
        case Fault::Flapping:
            return upstream == 0;
        case Fault::Two:
            return upstream <= 1;
        default:
            return false;
        }
    }
    bool isFrozen(std::uint32_t upstream) const
    {
        return this->setting.fault == Fault::FreezeHome && upstream == 0 && this->isFaulty() && this->now < this->thawAt();
    }
    TimePoint thawAt() const
    {
        return this->faultAt + seconds(this->setting.amount);
    }
    bool isCut(std::uint32_t ingress, std::uint32_t upstream) const
    {
        return this->isFaulty()
               && ((this->setting.fault == Fault::CutPath && ingress == 1 && upstream == 0)
                   || (this->setting.fault == Fault::CutDomain && ingress % domainCount == 1 && upstream % domainCount == 0));
    }
    double slowdown(const Request &request) const
    {
        const double sinceFault = std::chrono::duration<double>(this->now - this->faultAt).count();
        if (sinceFault < 0.0) {
            return 1.0;
        }
        const bool first = request.upstream == 0;
        switch (this->setting.fault) {
        case Fault::Slow:
            return first ? this->setting.amount : 1.0;
        case Fault::SlowRoute:
            return first && request.routeClass == 1 ? this->setting.amount : 1.0;
        case Fault::Flapping:
            return first && std::fmod(sinceFault, 2.0 * this->setting.amount) < this->setting.amount ? 10.0 : 1.0;
        case Fault::AllSlow:
            return this->setting.amount;
        case Fault::Surge:
            return 1.0 + (0.2 * static_cast<double>(this->homes[request.upstream]->table.inFlight[0].size()));
        case Fault::ColdStart:
            return first ? 1.0 + std::max(0.0, 2.0 * (1.0 - (sinceFault / 8.0))) : 1.0;
        case Fault::Two:
            return first ? 10.0 : 1.0;
        default:
            return 1.0;
        }
    }
    bool hangs(const Request &request) const
    {
        if (!this->isFaulty()) {
            return false;
        }
        return (this->setting.fault == Fault::Hang && request.upstream == 0) || (this->setting.fault == Fault::Two && request.upstream == 1)
               || (this->setting.fault == Fault::StuckSlot && request.upstream == 0 && request.slot == 0);
    }
    SampleOutcome drawOutcome(const Request &request)
    {
        if (this->isFaulty() && request.upstream == 0) {
            const bool hit = this->random.uniform() < this->setting.amount;
            if (hit && this->setting.fault == Fault::Errors) {
                return SampleOutcome::Failed;
            }
            if (hit && (this->setting.fault == Fault::Wrong || this->setting.fault == Fault::Truncated)) {
                return SampleOutcome::IntegrityError;
            }
            if (this->setting.fault == Fault::Shedding && this->random.uniform() < 0.5) {
                return SampleOutcome::Shed;
            }
        }
        return this->random.uniform() < HealthyUpstream::errorRate ? SampleOutcome::Failed : SampleOutcome::Ok;
    }

    // Callers and ingresses.
    Duration delay(std::uint32_t ingress, std::uint32_t upstream) const
    {
        return ingress % domainCount == upstream % domainCount ? seconds(0.0001) : seconds(this->setting.user.domainDelaySeconds);
    }
    void arrive()
    {
        double rate = this->setting.ratePerUpstream * this->setting.upstreams;
        rate *= this->setting.fault == Fault::Surge && this->isFaulty() ? this->setting.amount : 1.0;
        this->push(this->now + seconds(this->random.exponential(1.0 / rate)), Kind::Arrive, 0);
        Request request;
        request.ingress = this->random.below(ingressCount);
        request.routeClass = HealthyUpstream().drawClass(this->random);
        request.arrived = this->now;
        this->requests.push_back(std::move(request));
        this->result.requests += this->isFaulty() ? 1 : 0;
        this->send(static_cast<std::uint32_t>(this->requests.size() - 1));
    }
    /// Hedges a trial without a response after 100 ms: sends a copy to another upstream; the first successful response counts.
    void hedge(std::uint32_t id)
    {
        if (this->requests[id].done) {
            return;
        }
        Request copy = this->requests[id];
        copy.twin = id;
        this->requests.push_back(copy);
        this->requests[id].twin = static_cast<std::uint32_t>(this->requests.size() - 1);
        this->send(static_cast<std::uint32_t>(this->requests.size() - 1));
    }
    void send(std::uint32_t id)
    {
        Request &request = this->requests[id];
        Ingress &ingress = *this->ingresses[request.ingress];
        const auto selection = ingress.selector.select(0, true, request.tried, this->now);
        if (!selection || request.tried.size() >= 3) {
            this->complete(request, false);
            return;
        }
        request.upstream = selection->row;
        request.insist = selection->insist;
        request.sent = this->now;
        request.tried.push_back(request.upstream);
        if (selection->trial && this->setting.detector == Detector::Ours) {
            this->push(this->now + std::chrono::milliseconds(100), Kind::Hedge, id);
        }
        ingress.table.sent(request.upstream);
        if (ingress.alone) {
            ingress.alone->observe.start(request.upstream, id, request.routeClass, this->now);
        }
        if (this->isCut(request.ingress, request.upstream)) {
            this->push(this->now + seconds(5), Kind::Lost, id);
        } else {
            this->push(this->now + this->delay(request.ingress, request.upstream), Kind::AtHome, id);
        }
    }
    void lost(std::uint32_t id)
    {
        this->requests[id].outcome = SampleOutcome::TimedOut;
        this->arriveAtIngress(id);
    }
    void declined(std::uint32_t id)
    {
        Request &request = this->requests[id];
        Ingress &ingress = *this->ingresses[request.ingress];
        ingress.table.report(request.upstream, request.report, this->now);
        ingress.floor.tick(this->now);
        this->send(id);
    }
    void arriveAtIngress(std::uint32_t id)
    {
        Request &request = this->requests[id];
        Ingress &ingress = *this->ingresses[request.ingress];
        if (request.outcome != SampleOutcome::TimedOut || !this->isCut(request.ingress, request.upstream)) {
            this->applyReport(ingress, request.upstream, request.report);
        }
        const Duration latency = this->now - request.sent;
        ingress.baseline.finished(request.upstream, request.outcome, latency, this->now);
        if (ingress.alone) {
            ingress.alone->observe.finish(request.upstream, id, request.outcome, this->now, std::chrono::seconds(1));
        }
        this->complete(request, request.outcome == SampleOutcome::Ok);
    }
    void applyReport(Ingress &ingress, std::uint32_t upstream, UpstreamReport report)
    {
        if (this->setting.detector != Detector::Ours) {
            const UpstreamReport &kept = ingress.table.rows[upstream].report;
            report.healthState = kept.healthState;
            report.cause = kept.cause;
            report.severity = kept.severity;
            report.weight = kept.weight;
        }
        ingress.table.report(upstream, report, this->now);
    }
    void complete(Request &request, bool good)
    {
        if (request.done) {
            return;
        }
        request.done = true;
        if (request.twin) {
            Request &twin = this->requests[*request.twin];
            if (!good && !twin.done) {
                return;
            }
            twin.done = true;
        }
        const bool late = !good || this->now - request.arrived > std::chrono::milliseconds(250);
        this->result.late += late && request.arrived >= this->faultAt ? 1 : 0;
    }

    // Homes.
    void arriveAtHome(std::uint32_t id)
    {
        Request &request = this->requests[id];
        if (this->isFrozen(request.upstream)) {
            this->push(this->thawAt(), Kind::AtHome, id);
            return;
        }
        Home &home = *this->homes[request.upstream];
        const Duration median = this->ingresses[request.ingress]->table.medianLatency(0, request.routeClass, this->now);
        home.observe.peerMedian(0, request.routeClass, median, this->now);
        const bool expired = this->now - request.arrived > std::chrono::seconds(5);
        const bool admitted = this->setting.detector != Detector::Ours || home.table.admits(0, true, request.insist);
        if (!admitted || expired || home.queue.size() >= 64) {
            request.report = home.table.report(0, request.routeClass, static_cast<std::uint32_t>(home.queue.size()), this->now);
            this->push(this->now + this->delay(request.ingress, request.upstream), Kind::Declined, id);
            return;
        }
        home.queue.push_back(id);
        this->dispatch(home);
    }
    /// Declines the queued requests of an ejected upstream. They have not been run, so the ingress may send them to another upstream.
    void declineQueue(Home &home)
    {
        for (const std::uint32_t id : home.queue) {
            Request &request = this->requests[id];
            request.report = home.table.report(0, request.routeClass, 0, this->now);
            this->push(this->now + this->delay(request.ingress, request.upstream), Kind::Declined, id);
        }
        home.queue.clear();
    }
    void dispatch(Home &home)
    {
        while (!home.queue.empty()) {
            const auto slot = std::find(home.slotBusy.begin(), home.slotBusy.end(), false);
            if (slot == home.slotBusy.end()) {
                return;
            }
            const std::uint32_t id = home.queue.front();
            home.queue.pop_front();
            Request &request = this->requests[id];
            const TimePoint deadline = request.arrived + std::chrono::seconds(5);
            if (this->now >= deadline) {
                request.outcome = SampleOutcome::TimedOut;
                this->push(this->now + this->delay(request.ingress, request.upstream), Kind::AtIngress, id);
                continue;
            }
            *slot = true;
            request.slot = static_cast<std::uint32_t>(slot - home.slotBusy.begin());
            this->start(home, id, deadline);
        }
    }
    void start(Home &home, std::uint32_t id, TimePoint deadline)
    {
        Request &request = this->requests[id];
        this->result.workAfter += this->isFaulty() && this->isBad(request.upstream) ? 1 : 0;
        home.observe.start(0, id, request.routeClass, this->now);
        request.outcome = this->drawOutcome(request);
        const Duration service = home.healthy.drawService(this->random, request.routeClass);
        const auto slowed = seconds(std::chrono::duration<double>(service).count() * this->slowdown(request));
        TimePoint end = home.healthy.finish(this->random, this->now, slowed);
        if (request.outcome == SampleOutcome::Shed) {
            end = this->now + seconds(0.001);
        }
        if (this->hangs(request) || end > deadline) {
            request.outcome = SampleOutcome::TimedOut;
            end = deadline;
        }
        this->push(end, Kind::Finish, id);
    }
    void finish(std::uint32_t id)
    {
        Request &request = this->requests[id];
        if (this->isFrozen(request.upstream)) {
            this->push(this->thawAt(), Kind::Finish, id);
            return;
        }
        Home &home = *this->homes[request.upstream];
        home.slotBusy[request.slot] = false;
        home.observe.finish(0, id, request.outcome, this->now, std::chrono::seconds(1));
        this->dispatch(home);
        request.report = home.table.report(0, request.routeClass, static_cast<std::uint32_t>(home.queue.size()), this->now);
        this->push(this->now + this->delay(request.ingress, request.upstream), Kind::AtIngress, id);
    }

    // Ticks, PINGs and heartbeats.
    void tick()
    {
        this->push(this->now + std::chrono::milliseconds(100), Kind::Tick, 0);
        if (this->setting.fault == Fault::ColdStart && !this->restarted && this->isFaulty()) {
            this->restarted = true;
            this->homes[0]->table.markCold(0, this->now);
        }
        for (std::uint32_t i = 0; i < this->homes.size(); ++i) {
            if (!this->isFrozen(i)) {
                this->tickHome(i);
            }
        }
        for (const auto &ingress : this->ingresses) {
            this->tickIngress(*ingress);
        }
        for (std::uint32_t i = 0; i < this->homes.size(); ++i) {
            this->checkDetected(i);
        }
    }
    void tickHome(std::uint32_t index)
    {
        Home &home = *this->homes[index];
        for (const HealthChange &change : home.detector.tick(this->now)) {
            const bool ejected = change.to == HealthState::Ejected;
            if (ejected && this->setting.detector == Detector::Ours && !(this->isBad(index) && this->isFaulty())) {
                ++this->result.falseEjections;
            }
            if (ejected && this->setting.detector == Detector::Ours) {
                this->declineQueue(home);
            }
        }
        for (const std::uint32_t row : home.probe.tick(this->now)) {
            home.probe.finish(row, true, std::chrono::milliseconds(25), this->now);
        }
    }
    void tickIngress(Ingress &ingress)
    {
        for (const PathChange &change : ingress.pathSystem.tick(this->now)) {
            if (change.to == PathState::Silent) {
                // The ingress reconnects at once. The attempt fails or times out after a second.
                ingress.paths.rows[change.row].connected = false;
                this->push(this->now + std::chrono::seconds(1), Kind::Connect, this->pairIndex(ingress, change.row));
            }
        }
        std::vector<UpstreamState> before;
        for (const ReportRow &row : ingress.table.rows) {
            before.push_back(row.state);
        }
        if (this->setting.detector == Detector::FiveErrors || this->setting.detector == Detector::FixedThreshold) {
            ingress.baseline.tick(ingress.table, this->now);
        } else {
            if (ingress.alone) {
                ingress.alone->detector.tick(this->now);
                for (std::uint32_t i = 0; i < this->homes.size(); ++i) {
                    const HealthEvaluation &evaluation = ingress.alone->table.evaluations[i];
                    ingress.table.gossip(i, evaluation.healthState, evaluation.cause, evaluation.severity, this->now);
                    ingress.table.rows[i].report.weight = ingress.alone->table.weight(i, this->now);
                }
            }
            ingress.floor.tick(this->now);
            this->checkFloor(ingress);
        }
        this->recordCapacity(ingress, before);
    }
    std::uint32_t pairIndex(const Ingress &ingress, std::uint32_t upstream) const
    {
        for (std::uint32_t i = 0; i < this->ingresses.size(); ++i) {
            if (this->ingresses[i].get() == &ingress) {
                return (i * this->setting.upstreams) + upstream;
            }
        }
        return 0;
    }
    void checkFloor(const Ingress &ingress)
    {
        const StateCounts &counts = ingress.table.services[0].counts;
        std::uint32_t kept = 0;
        std::uint32_t reachable = 0;
        for (const ReportRow &row : ingress.table.rows) {
            kept += row.isKept() ? 1 : 0;
            reachable += row.isKept() || row.state == UpstreamState::Ejected ? 1 : 0;
        }
        // The floor of the model's service is half of its reachable upstreams.
        this->result.floorViolations += 2 * kept < reachable || kept < counts.floor ? 1 : 0;
    }
    void recordCapacity(const Ingress &ingress, const std::vector<UpstreamState> &before)
    {
        std::uint32_t healthy = 0;
        std::uint32_t kept = 0;
        for (std::uint32_t i = 0; i < ingress.table.rows.size(); ++i) {
            const ReportRow &row = ingress.table.rows[i];
            if (this->isBad(i)) {
                continue;
            }
            ++healthy;
            kept += row.isKept() ? 1 : 0;
            const bool newlyEjected = row.state == UpstreamState::Ejected && before[i] != UpstreamState::Ejected;
            this->result.falseEjections += newlyEjected && this->setting.detector != Detector::Ours ? 1 : 0;
        }
        if (this->isFaulty()) {
            this->result.lowestCapacity = std::min(this->result.lowestCapacity, static_cast<double>(kept) / healthy);
        }
    }
    void checkDetected(std::uint32_t upstream)
    {
        if (this->detectedAt[upstream] || !this->isFaulty()) {
            return;
        }
        const bool cut = this->setting.fault == Fault::CutPath || this->setting.fault == Fault::CutDomain;
        bool detected
            = this->setting.detector == Detector::Ours && this->homes[upstream]->table.evaluations[0].healthState == HealthState::Ejected;
        std::uint32_t without = 0;
        for (std::uint32_t i = 0; i < ingressCount; ++i) {
            const ReportRow &row = this->ingresses[i]->table.rows[upstream];
            const bool away = row.state == UpstreamState::Ejected || row.state == UpstreamState::Unreachable;
            without += away ? 1 : 0;
            detected = detected || (cut && away && this->isCut(i, upstream));
        }
        if (detected || 2 * without >= ingressCount) {
            this->detectedAt[upstream] = this->now;
        }
    }
    void ping()
    {
        this->push(this->now + std::chrono::milliseconds(500), Kind::Ping, 0);
        for (std::uint32_t pair = 0; pair < ingressCount * this->homes.size(); ++pair) {
            const std::uint32_t ingress = pair / this->setting.upstreams;
            const std::uint32_t upstream = pair % this->setting.upstreams;
            if (!this->ingresses[ingress]->paths.rows[upstream].connected) {
                continue;
            }
            // Connections were opened at different times, so their PINGs are spread over the interval.
            this->push(this->now + std::chrono::milliseconds((pair * 37) % 500), Kind::SendPing, pair);
        }
    }
    void sendPing(std::uint32_t pair)
    {
        const std::uint32_t ingress = pair / this->setting.upstreams;
        const std::uint32_t upstream = pair % this->setting.upstreams;
        this->ingresses[ingress]->paths.pingSent(upstream, this->now);
        if (!this->isCut(ingress, upstream)) {
            this->push(this->now + (2 * this->delay(ingress, upstream)), Kind::Pong, pair);
        }
    }
    void pong(std::uint32_t pair)
    {
        const std::uint32_t upstream = pair % this->setting.upstreams;
        Ingress &ingress = *this->ingresses[pair / this->setting.upstreams];
        if (this->isFrozen(upstream)) {
            this->push(this->thawAt(), Kind::Pong, pair);
            return;
        }
        const Duration roundTrip = 2 * this->delay(pair / this->setting.upstreams, upstream);
        ingress.paths.pingAnswered(
            upstream, seconds(std::chrono::duration<double>(roundTrip).count() * (1.0 + this->random.uniform())), this->now);
        // Every second PING also stands for a heartbeat, which carries the upstream's report.
        if (((this->now.time_since_epoch().count() / 500000) + pair) % 2 == 0) {
            Home &home = *this->homes[upstream];
            const auto queued = static_cast<std::uint32_t>(home.queue.size());
            this->applyReport(ingress, upstream, home.table.report(0, 0, queued, this->now));
            for (std::uint8_t routeClass = 0; routeClass < 2; ++routeClass) {
                home.observe.peerMedian(0, routeClass, ingress.table.medianLatency(0, routeClass, this->now), this->now);
                if (home.table.isRecent(0, routeClass, this->now)) {
                    this->applyReport(ingress, upstream, home.table.report(0, routeClass, queued, this->now));
                }
            }
        }
    }
    void connect(std::uint32_t pair)
    {
        const std::uint32_t upstream = pair % this->setting.upstreams;
        const std::uint32_t number = pair / this->setting.upstreams;
        PathTable &paths = this->ingresses[number]->paths;
        if (this->isCut(number, upstream)) {
            paths.connectFailed(upstream, this->now);
        } else if (this->isFrozen(upstream)) {
            paths.helloUnanswered(upstream, this->now);
        } else {
            paths.connected(upstream, this->now);
            return;
        }
        this->push(this->now + std::chrono::seconds(1), Kind::Connect, pair);
    }

    void summarize()
    {
        double last = -1.0;
        bool all = true;
        bool any = false;
        const bool path = this->setting.fault == Fault::CutPath || this->setting.fault == Fault::FreezeHome;
        for (std::uint32_t i = 0; i < this->homes.size(); ++i) {
            if (!this->isBad(i) && !(path && i == 0) && !(this->setting.fault == Fault::CutDomain && i % domainCount == 0)) {
                continue;
            }
            any = true;
            all = all && this->detectedAt[i].has_value();
            if (this->detectedAt[i]) {
                last = std::max(last, std::chrono::duration<double>(*this->detectedAt[i] - this->faultAt).count());
            }
        }
        if (any && all) {
            this->result.detectionSeconds = last;
        }
        const double hours = (this->setting.warmSeconds + this->setting.faultSeconds) / 3600.0;
        const double detectorCount = this->setting.detector == Detector::Ours ? 1.0 : ingressCount;
        this->result.upstreamHours = hours * this->setting.upstreams * detectorCount;
    }

    RunSetting setting;
    Random random;
    TimePoint faultAt;
    TimePoint endAt;
    TimePoint now;
    std::vector<std::optional<TimePoint>> detectedAt;
    Document document;
    std::vector<std::unique_ptr<Home>> homes;
    std::vector<std::unique_ptr<Ingress>> ingresses;
    std::deque<Request> requests;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t order = 0;
    bool restarted = false;
    RunResult result;
};

} // namespace Galenarack::Model
