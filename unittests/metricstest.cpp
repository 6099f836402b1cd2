#include <galenarack/operators/audittrail.h>
#include <galenarack/operators/metrics.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Galenarack;

namespace {

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

const std::vector<std::string> services = {"licensing"};
const std::vector<std::string> upstreams = {"licensing-1", "licensing-2"};

} // namespace

class MetricsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MetricsTest);
    CPPUNIT_TEST(textHasEveryMetric);
    CPPUNIT_TEST(seriesAreBoundedByTheDocument);
    CPPUNIT_TEST(auditRecordsContainTheirMembers);
    CPPUNIT_TEST(auditRingIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a metric that is counted but not exposed, or exposed with the wrong labels.
    void textHasEveryMetric()
    {
        Metrics metrics;
        metrics.setLabels(services, upstreams);
        metrics.countRequest("licensing", "licensing-1", std::nullopt, std::chrono::milliseconds(3));
        metrics.countRequest("licensing", "", ErrorKind::NoUpstream, std::chrono::milliseconds(1));
        metrics.countHomeRequest("licensing-1", ErrorKind::Timeout, std::chrono::seconds(20));
        metrics.setHomeLoad("licensing-1", HomeLoad{2, 1, 7});
        metrics.countRetry("licensing");
        metrics.countHedge("licensing");
        metrics.countEjection("licensing-2");
        metrics.countReinstatement("licensing-2");
        metrics.countFloorHit("licensing");
        metrics.countUncertainOutcome(Execution::NotRun);
        metrics.setRevision(7, 8);
        metrics.setMembers(MemberCounts{3, 1, 0, 2});
        metrics.setLedger(5, 1000);
        metrics.setReady(true);
        const std::string text = metrics.text();
        for (const char *line : {R"(galenarack_requests_total{outcome="ok",service="licensing",upstream="licensing-1"} 1)",
                                 R"(galenarack_requests_total{outcome="no-upstream",service="licensing"} 1)",
                                 R"(galenarack_request_seconds_bucket{service="licensing",le="0.005"} 2)",
                                 R"(galenarack_home_requests_total{outcome="timeout",upstream="licensing-1"} 1)",
                                 R"(galenarack_home_request_seconds_bucket{upstream="licensing-1",le="+Inf"} 1)",
                                 R"(galenarack_upstream_in_flight{upstream="licensing-1"} 2)",
                                 R"(galenarack_upstream_queued{upstream="licensing-1"} 1)",
                                 R"(galenarack_upstream_slots{upstream="licensing-1"} 7)",
                                 R"(galenarack_retries_total{service="licensing"} 1)",
                                 R"(galenarack_hedges_total{service="licensing"} 1)",
                                 R"(galenarack_ejections_total{upstream="licensing-2"} 1)",
                                 R"(galenarack_reinstatements_total{upstream="licensing-2"} 1)",
                                 R"(galenarack_floor_hits_total{service="licensing"} 1)",
                                 R"(galenarack_uncertain_outcomes_total{outcome="not-run"} 1)",
                                 "galenarack_config_revision 7",
                                 "galenarack_config_revision_heard 8",
                                 R"(galenarack_members{state="unknown"} 2)",
                                 "galenarack_ledger_entries 5",
                                 "galenarack_ledger_response_bytes 1000",
                                 "galenarack_ready 1"}) {
            CPPUNIT_ASSERT_MESSAGE(std::string(line) + "\n" + text, contains(text, line));
        }
    }

    /// Guards against memory use and scrape size that grow with the names in requests or with each revision.
    void seriesAreBoundedByTheDocument()
    {
        Metrics metrics;
        metrics.setLabels(services, upstreams);
        metrics.countRequest("licensing", "licensing-1", std::nullopt, Duration(1));
        metrics.countRequest("x", "x", std::nullopt, Duration(1));
        const std::size_t bound = metrics.seriesCount();
        for (int i = 0; i < 1000; ++i) {
            const std::string name = "unknown-" + std::to_string(i);
            metrics.countRequest(name, name, std::nullopt, Duration(1));
        }
        CPPUNIT_ASSERT_EQUAL(bound, metrics.seriesCount());
        CPPUNIT_ASSERT(contains(metrics.text(), R"({outcome="ok",service="other",upstream="other"} 1001)"));

        // Each revision renames all upstreams, so the series of the previous names must be removed.
        for (int revision = 0; revision < 100; ++revision) {
            const std::vector<std::string> renamed = {"licensing-r" + std::to_string(revision)};
            metrics.setLabels(services, renamed);
            metrics.countRequest("licensing", renamed[0], std::nullopt, Duration(1));
        }
        CPPUNIT_ASSERT_EQUAL(bound, metrics.seriesCount());
        CPPUNIT_ASSERT(!contains(metrics.text(), "licensing-r98"));
    }

    /// Guards against an audit record that lacks a member, such as its evidence, in the JSON output.
    void auditRecordsContainTheirMembers()
    {
        struct Row
        {
            AuditRecord record;
            const char *json;
        };
        const AuditSection section{"routes", "payments", "line 3: 'x' is no service", true};
        const Row rows[] = {
            {RevisionAccepted{8, 7, "ab", "vm-2", {section}},
             R"("kind":"revision-accepted","revision":8,"previous":7,"digest":"ab","source":"vm-2","changes":[{"section":"routes","owner":"payments","detail":"line 3: 'x' is no service","held_back":true}])"},
            {RevisionRefused{6, 7, "config-stale", "vm-2", {}},
             R"("kind":"revision-refused","revision":6,"in_force":7,"error_kind":"config-stale","source":"vm-2","errors":[])"},
            {UpstreamEjected{"licensing-1", "licensing", "latency", "cusum 5", 9, 8, 10000},
             R"("kind":"ejection","upstream":"licensing-1","service":"licensing","reason":"latency","evidence":"cusum 5","kept":9,"floor":8,"duration_ms":10000)"},
            {UpstreamReinstated{"licensing-1", "licensing", "20 probes"},
             R"("kind":"reinstatement","upstream":"licensing-1","service":"licensing","evidence":"20 probes")"},
            {DrainStarted{"vm-1", "SIGTERM", 3}, R"("kind":"drain","subject":"vm-1","signal":"SIGTERM","in_flight":3)"},
            {FloorHit{"licensing", "licensing-1", "kl-a", 8, 8, "cusum 5"},
             R"("kind":"floor-hit","service":"licensing","upstream":"licensing-1","failure_domain":"kl-a","kept":8,"floor":8,"evidence":"cusum 5")"},
            {MembershipChanged{"vm-2", "live", "gone", "suspicion not refuted"},
             R"("kind":"membership","node":"vm-2","before":"live","after":"gone","evidence":"suspicion not refuted")"},
        };
        for (const Row &row : rows) {
            const AuditEntry entry{4, std::chrono::system_clock::time_point(std::chrono::milliseconds(5)), row.record};
            CPPUNIT_ASSERT_EQUAL(R"({"number":4,"time_ms":5,)" + std::string(row.json) + "}", toJson(entry).dump());
        }
    }

    /// Guards against an audit trail that grows without bound, and against removed records that a reader cannot notice.
    void auditRingIsBounded()
    {
        AuditTrail trail;
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"last":0,"missed":0,"records":[]})"), trail.page(0).dump());
        for (std::size_t i = 0; i < AuditTrail::capacity + 10; ++i) {
            trail.append(DrainStarted{}, {});
        }
        CPPUNIT_ASSERT_EQUAL(AuditTrail::capacity, trail.after(0).size());
        CPPUNIT_ASSERT_EQUAL(10, trail.page(0)["missed"].get<int>());
        CPPUNIT_ASSERT_EQUAL(9, trail.page(1)["missed"].get<int>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), trail.after(trail.lastNumber() - 1).size());
        CPPUNIT_ASSERT(trail.after(trail.lastNumber() + 5).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);
