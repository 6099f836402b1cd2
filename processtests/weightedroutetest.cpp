#include "support/platformfleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

using namespace Galenarack;
using namespace std::chrono_literals;

namespace {

constexpr unsigned nodeCount = 4;

constexpr std::uint32_t largest = std::numeric_limits<std::uint32_t>::max();

/// @return number of requests of the prefix that the upstreams of a service ran
unsigned runsOf(const PlatformFleet &fleet, const std::string &service, const std::string &idPrefix)
{
    unsigned count = 0;
    for (unsigned node = 0; node < nodeCount; ++node) {
        if (PlatformFleet::serviceOf(node) != service) {
            continue;
        }
        for (const auto &[id, runs] : fleet.upstreams[node]->runs) {
            count += id.starts_with(idPrefix) ? 1 : 0;
        }
    }
    return count;
}

} // namespace

/// Routes whose requests are distributed by weights.
class WeightedRouteTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WeightedRouteTest);
    CPPUNIT_TEST(runsNothingAtServicesWithoutShare);
    CPPUNIT_TEST(movesNothingToOtherServices);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests that a service without a share runs, at nodes that follow a change and at nodes that have just started,
    /// and against a configuration that is dropped because of its weights.
    void runsNothingAtServicesWithoutShare()
    {
        const struct
        {
            const char *name;
            std::vector<std::uint32_t> weights; ///< Of `back` and `front`.
            unsigned status; ///< Expected for all requests.
        } table[] = {
            {"first without share", {0, 100}, 200},
            {"second without share", {100, 0}, 200},
            {"largest weight", {0, largest}, 200},
            {"all without share", {0, 0}, 503},
        };
        PlatformFleet fleet(nodeCount);
        CPPUNIT_ASSERT(fleet.startAll());
        const ConfiguredRoute even[] = {{"/split/", {"back", "front"}}};
        for (const auto &row : table) {
            const std::string rowId = "r" + std::to_string(&row - table);
            fleet.publishRoutes(even);
            fleet.runFor(1s);
            ConfiguredRoute route = even[0];
            route.weights = row.weights;
            fleet.publishRoutes(std::span(&route, 1));
            fleet.runFor(2s);
            for (const bool restarted : {false, true}) {
                for (unsigned node = 0; node < nodeCount; ++node) {
                    if (restarted) {
                        fleet.startNode(node);
                        CPPUNIT_ASSERT_MESSAGE(row.name, fleet.waitUntilReady(node));
                    }
                }
                for (unsigned i = 0; i < 3 * nodeCount; ++i) {
                    const std::string id = rowId + (restarted ? "s" : "f") + std::to_string(i);
                    const CallResult result = fleet.sendAndWait(i % nodeCount, "GET", "/split/x", id);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.status, result.status);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.status == 503, !result.retryAfter.empty());
                }
            }
            CPPUNIT_ASSERT_MESSAGE(row.name, row.weights[0] > 0 || runsOf(fleet, "back", rowId) == 0);
            CPPUNIT_ASSERT_MESSAGE(row.name, row.weights[1] > 0 || runsOf(fleet, "front", rowId) == 0);
        }
    }

    /// Guards against requests that are moved to another service of their route because their own has no upstream.
    void movesNothingToOtherServices()
    {
        PlatformFleet fleet(nodeCount);
        CPPUNIT_ASSERT(fleet.startAll());
        const ConfiguredRoute route = {"/split/", {"back", "front"}};
        fleet.publishRoutes(std::span(&route, 1));
        for (const unsigned node : fleet.backNodes()) {
            fleet.registry.remove("servers/" + fleet.upstreams[node]->id);
        }
        fleet.runFor(2s);
        constexpr unsigned requestsPerNode = 10;
        for (unsigned i = 0; i < requestsPerNode * nodeCount; ++i) {
            const CallResult result = fleet.sendAndWait(i % nodeCount, "GET", "/split/x", "m" + std::to_string(i));
            CPPUNIT_ASSERT(result.status == 200 || result.status == 503);
        }
        CPPUNIT_ASSERT_EQUAL(0U, runsOf(fleet, "back", "m"));
        // Each node is within one request of the share of its service.
        const unsigned share = requestsPerNode * nodeCount / 2;
        const unsigned moved = runsOf(fleet, "front", "m");
        CPPUNIT_ASSERT_MESSAGE(std::to_string(moved), moved >= share - nodeCount && moved <= share + nodeCount);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WeightedRouteTest);
