#include <galenarack/health/healthevaluationsystem.h>
#include <galenarack/health/observesystem.h>
#include <galenarack/health/probesystem.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <functional>
#include <random>

using namespace Galenarack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// One upstream with 3 slots that receives a request every 57 ms of virtual time; each test sets the latency and outcome of requests.
struct Bench
{
    explicit Bench(DetectionProfile profile = DetectionProfile::Claims, UpstreamRule rule = UpstreamRule::Judge)
    {
        this->table.add("upstream", 3, profile, rule, this->now);
    }

    /// Runs requests and ticks of the systems for at most `length`. @return the time to the first ejection, or nothing without one
    std::optional<Duration> run(Duration length, const std::function<std::pair<Duration, SampleOutcome>()> &behaviour, bool median = true)
    {
        const TimePoint start = this->now;
        while (this->now - start < length) {
            this->now += milliseconds(1);
            const auto elapsed = std::chrono::duration_cast<milliseconds>(this->now - TimePoint()).count();
            for (std::size_t i = 0; i < this->pending.size();) {
                if (this->pending[i].endsAt <= this->now) {
                    this->observe.finish(0, this->pending[i].token, this->pending[i].outcome, this->now, seconds(1));
                    this->pending.erase(this->pending.begin() + static_cast<std::ptrdiff_t>(i));
                } else {
                    ++i;
                }
            }
            if (elapsed % 57 == 0 && this->pending.size() < 3) {
                const auto [latency, outcome] = behaviour();
                this->observe.start(0, ++this->token, 0, this->now);
                this->pending.push_back({this->now + latency, this->token, outcome});
            }
            if (elapsed % 100 == 0) {
                if (median) {
                    this->observe.peerMedian(0, 0, milliseconds(20), this->now);
                }
                for (const std::uint32_t row : this->probe.tick(this->now)) {
                    this->probe.finish(row, this->probeOk, milliseconds(25), this->now);
                }
                for (const HealthChange &change : this->evaluation.tick(this->now)) {
                    if (change.to == HealthState::Ejected) {
                        this->lastCause = change.cause;
                        this->lastEjectionTime = change.ejectionTime;
                        return this->now - start;
                    }
                }
            }
        }
        return std::nullopt;
    }

    std::pair<Duration, SampleOutcome> healthy()
    {
        const double value = 20000.0 * std::exp(0.5 * std::normal_distribution<double>()(this->random));
        return {Duration(static_cast<Duration::rep>(value)), SampleOutcome::Ok};
    }
    void warmUp()
    {
        CPPUNIT_ASSERT(!this->run(seconds(30), [this] {
            return this->healthy();
        }));
        CPPUNIT_ASSERT(this->healthState() == HealthState::Serving);
    }
    HealthState healthState() const
    {
        return this->table.evaluations[0].healthState;
    }

    struct PendingRequest
    {
        TimePoint endsAt;
        std::uint64_t token;
        SampleOutcome outcome;
    };
    TimePoint now;
    UpstreamTable table;
    ObserveSystem observe{this->table};
    HealthEvaluationSystem evaluation{this->table};
    ProbeSystem probe{this->table, std::mt19937_64(1)};
    std::mt19937_64 random{20261204};
    std::vector<PendingRequest> pending;
    std::uint64_t token = 0;
    bool probeOk = true;
    HealthCause lastCause = HealthCause::None;
    Duration lastEjectionTime{0};
};

} // namespace

class HealthEvaluationSystemTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HealthEvaluationSystemTest);
    CPPUNIT_TEST(detectsFaultsByTable);
    CPPUNIT_TEST(processPauseIsNoEvidence);
    CPPUNIT_TEST(commonSlowdownIsNoEvidence);
    CPPUNIT_TEST(reinstatesThroughTrialAndSlowStart);
    CPPUNIT_TEST(ejectionTimeGrows);
    CPPUNIT_TEST(sheddingReducesShareOnly);
    CPPUNIT_TEST(probesStayWithinSlotTime);
    CPPUNIT_TEST(admissionByTable);
    CPPUNIT_TEST(configureKeepsHealthState);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against faults that are detected too late, with the wrong cause, or not at all because probes succeed. Rows without
    /// a limit guard against false ejections.
    void detectsFaultsByTable()
    {
        struct Row
        {
            const char *name;
            double factor;
            double badShare;
            SampleOutcome outcome;
            std::optional<double> claimsSeconds;
            std::optional<double> authoritySeconds;
            HealthCause cause;
        };
        const Row rows[] = {
            {"3 times slower", 3.0, 0.0, SampleOutcome::Ok, 5.0, 15.0, HealthCause::Latency},
            {"10 times slower", 10.0, 0.0, SampleOutcome::Ok, 2.0, 5.0, HealthCause::Latency},
            {"hang", 1e6, 0.0, SampleOutcome::Ok, 2.0, 5.0, HealthCause::Stall},
            {"truncated", 1.0, 1.0, SampleOutcome::IntegrityError, 2.0, 5.0, HealthCause::Integrity},
            {"errors", 1.0, 1.0, SampleOutcome::Failed, 2.0, 5.0, HealthCause::Failure},
            {"1.3 times slower", 1.3, 0.0, SampleOutcome::Ok, {}, {}, HealthCause::None},
            {"short deadlines", 1.0, 0.5, SampleOutcome::TimedOut, {}, {}, HealthCause::None},
            {"callers leave", 1.0, 0.5, SampleOutcome::Cancelled, {}, {}, HealthCause::None},
            {"load shedding", 1.0, 0.9, SampleOutcome::Shed, {}, {}, HealthCause::None},
        };
        for (const Row &row : rows) {
            for (const DetectionProfile profile : {DetectionProfile::Claims, DetectionProfile::Authority}) {
                Bench bench(profile);
                bench.warmUp();
                const auto detected = bench.run(seconds(20), [&] {
                    auto [latency, outcome] = bench.healthy();
                    const bool bad = std::uniform_real_distribution<double>()(bench.random) < row.badShare;
                    return std::pair(Duration(static_cast<Duration::rep>(latency.count() * row.factor)), bad ? row.outcome : outcome);
                });
                const auto limit = profile == DetectionProfile::Claims ? row.claimsSeconds : row.authoritySeconds;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, limit.has_value(), detected.has_value());
                if (limit) {
                    CPPUNIT_ASSERT_MESSAGE(row.name, std::chrono::duration<double>(*detected).count() <= *limit);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, causeName(row.cause), causeName(bench.lastCause));
                }
            }
        }
    }

    /// Guards against an ejection because requests in flight age while the home's process is paused.
    void processPauseIsNoEvidence()
    {
        Bench bench;
        bench.warmUp();
        for (std::uint64_t i = 0; i < 3; ++i) {
            bench.observe.start(0, 1000000 + i, 0, bench.now);
        }
        bench.now += seconds(10);
        bench.evaluation.tick(bench.now);
        for (std::uint64_t i = 0; i < 3; ++i) {
            bench.observe.finish(0, 1000000 + i, SampleOutcome::Ok, bench.now);
        }
        bench.evaluation.tick(bench.now + milliseconds(100));
        CPPUNIT_ASSERT(bench.healthState() == HealthState::Serving);
        CPPUNIT_ASSERT(bench.table.evaluations[0].severity < 0.5F);
    }

    /// Guards against an ejection during a slowdown of the whole service, when the peer median rises only after evidence has
    /// accumulated.
    void commonSlowdownIsNoEvidence()
    {
        Bench bench;
        bench.warmUp();
        const auto slow = [&] {
            auto [latency, outcome] = bench.healthy();
            return std::pair(latency * 3, outcome);
        };
        CPPUNIT_ASSERT(!bench.run(milliseconds(800), slow, true));
        for (int i = 0; i < 20; ++i) {
            bench.observe.peerMedian(0, 0, milliseconds(60), bench.now);
        }
        CPPUNIT_ASSERT(!bench.run(seconds(60), slow, false));
    }

    /// Guards against reinstatement while probes fail or without a trial and slow start before the full traffic share.
    void reinstatesThroughTrialAndSlowStart()
    {
        Bench bench;
        bench.warmUp();
        const auto healthy = [&] {
            return bench.healthy();
        };
        CPPUNIT_ASSERT(bench.run(seconds(5), [] {
            return std::pair(Duration(milliseconds(20)), SampleOutcome::Failed);
        }));
        bench.probeOk = false;
        bench.run(seconds(20), healthy);
        CPPUNIT_ASSERT(bench.healthState() == HealthState::Ejected);
        bench.probeOk = true;
        bench.run(milliseconds(1500), healthy);
        CPPUNIT_ASSERT(bench.healthState() == HealthState::Trial);
        bench.run(seconds(2), healthy);
        CPPUNIT_ASSERT(bench.healthState() == HealthState::Cold);
        CPPUNIT_ASSERT(bench.table.weight(0, bench.now) < 0.5F);
        bench.run(seconds(11), healthy);
        CPPUNIT_ASSERT(bench.healthState() == HealthState::Serving);
        CPPUNIT_ASSERT_EQUAL(1.0F, bench.table.weight(0, bench.now));
    }

    /// Guards against a flapping upstream that returns after the same ejection time each time: the time must grow to its maximum.
    void ejectionTimeGrows()
    {
        Bench bench;
        bench.warmUp();
        Duration last{0};
        for (int i = 0; i < 7; ++i) {
            const auto bad = [&] {
                const bool trial = bench.healthState() == HealthState::Ejected;
                return trial ? bench.healthy() : std::pair(Duration(milliseconds(20)), SampleOutcome::IntegrityError);
            };
            CPPUNIT_ASSERT(bench.run(seconds(400), bad));
            CPPUNIT_ASSERT(bench.lastEjectionTime >= last && bench.lastEjectionTime <= bench.table.ejectionMax);
            last = bench.lastEjectionTime;
        }
        CPPUNIT_ASSERT_EQUAL(bench.table.ejectionMax.count(), last.count());
    }

    /// Guards against load shedding that does not reduce the traffic share, or that counts as evidence against the upstream.
    void sheddingReducesShareOnly()
    {
        Bench bench;
        bench.warmUp();
        bench.run(seconds(3), [] {
            return std::pair(Duration(milliseconds(1)), SampleOutcome::Shed);
        });
        CPPUNIT_ASSERT(bench.table.weight(0, bench.now) <= 0.2F && bench.table.weight(0, bench.now) > 0.0F);
        CPPUNIT_ASSERT(bench.table.evaluations[0].severity < 0.2F);
        CPPUNIT_ASSERT_EQUAL(1.0F, bench.table.weight(0, bench.now + seconds(15)));
    }

    /// Guards against probes that use more than 1% of the slot time, also when they take far longer than expected.
    void probesStayWithinSlotTime()
    {
        for (const int cost : {5, 25, 400}) {
            Bench bench;
            bench.table.evaluations[0].healthState = HealthState::Ejected;
            Duration spent{0};
            for (int tick = 0; tick < 20000; ++tick) {
                bench.now += milliseconds(100);
                for (const std::uint32_t row : bench.probe.tick(bench.now)) {
                    spent += milliseconds(cost);
                    bench.probe.finish(row, false, milliseconds(cost), bench.now);
                }
            }
            CPPUNIT_ASSERT(spent > Duration(0));
            CPPUNIT_ASSERT(std::chrono::duration<double>(spent).count() <= (0.01 * 3 * 2000.0) + (0.01 * 3 * 5.0) + (cost / 1000.0));
        }
    }

    /// Guards against requests that a home accepts or declines wrongly for the health state and rule of the upstream.
    void admissionByTable()
    {
        struct Row
        {
            HealthState healthState;
            UpstreamRule rule;
            bool repeatable;
            bool insist;
            bool admitted;
        };
        const Row rows[] = {
            {HealthState::Serving, UpstreamRule::Judge, false, false, true},
            {HealthState::Cold, UpstreamRule::Judge, false, false, true},
            {HealthState::Ejected, UpstreamRule::Judge, true, false, false},
            {HealthState::Ejected, UpstreamRule::Judge, false, true, true},
            {HealthState::Ejected, UpstreamRule::Trust, false, false, true},
            {HealthState::Trial, UpstreamRule::Judge, true, false, true},
            {HealthState::Trial, UpstreamRule::Judge, false, false, false},
            {HealthState::Leaving, UpstreamRule::Judge, true, true, false},
            {HealthState::Serving, UpstreamRule::Aside, true, false, false},
            {HealthState::Serving, UpstreamRule::Aside, true, true, true},
            {HealthState::Serving, UpstreamRule::Retire, true, true, false},
        };
        for (const Row &row : rows) {
            Bench bench(DetectionProfile::Claims, row.rule);
            bench.table.evaluations[0].healthState = row.healthState;
            CPPUNIT_ASSERT_EQUAL(row.admitted, bench.table.admits(0, row.repeatable, row.insist));
        }
    }

    /// Guards against a new document that resets health evaluations or drops requests in flight.
    void configureKeepsHealthState()
    {
        Document document;
        document.services.push_back({"service", "services", DetectionProfile::Claims, {}, 64});
        document.upstreams.push_back({"a", "upstreams", 0, "vm", "d", 3, UpstreamRule::Judge});
        UpstreamTable table;
        table.configure(document, "vm", TimePoint());
        ObserveSystem(table).start(0, 7, 0, TimePoint());
        table.evaluations[0].ejections = 4;
        document.upstreams.insert(document.upstreams.begin(), {"b", "upstreams", 0, "vm", "d", 3, UpstreamRule::Retire});
        document.upstreams.push_back({"c", "upstreams", 0, "other", "d", 3, UpstreamRule::Judge});
        table.configure(document, "vm", TimePoint());
        CPPUNIT_ASSERT_EQUAL(2U, table.size());
        CPPUNIT_ASSERT(table.evaluations[0].healthState == HealthState::Leaving);
        CPPUNIT_ASSERT_EQUAL(4U, table.evaluations[1].ejections);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.inFlight[1].size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HealthEvaluationSystemTest);
