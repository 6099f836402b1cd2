#include "support/fleetfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

using namespace Galenarack;
using namespace std::chrono_literals;

/// Distribution of a new revision while the configuration service has faults (P7).
class RevisionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RevisionTest);
    CPPUNIT_TEST(revisionIsInForceEverywhereAndStays);
    CPPUNIT_TEST(unansweredWatchDoesNotBlockLaterRevisions);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a node that misses a revision because it cannot read it from the configuration service, and against a node
    /// that returns to an older revision.
    void revisionIsInForceEverywhereAndStays()
    {
        struct Row
        {
            unsigned nodes;
            const char *mode; ///< Mode of the configuration service for all nodes except node 0, which can read the new revision.
        };
        const Row rows[] = {{3, "normal"}, {3, "frozen"}, {3, "down"}, {3, "stale"}, {6, "normal"}, {6, "frozen"}, {6, "stale"}};
        for (const Row &row : rows) {
            FleetOptions options;
            options.nodes = row.nodes;
            options.failureDomains = 3;
            FleetFixture fleet(options);
            const std::string context = std::to_string(row.nodes) + " nodes, " + row.mode;
            for (unsigned node = 1; node < row.nodes; ++node) {
                fleet.setConfigServiceMode(node, row.mode);
            }
            fleet.setSection("accounts", "accounts:\n  - {name: charity}\n  - {name: second}\n");
            const auto published = std::chrono::steady_clock::now();
            const std::uint64_t revision = fleet.publish();
            for (unsigned node = 0; node < row.nodes; ++node) {
                const auto remaining = published + inForceBound - std::chrono::steady_clock::now();
                const bool inForce = waitFor(std::chrono::duration_cast<std::chrono::milliseconds>(remaining), [&] {
                    return fleet.revision(node) == revision;
                });
                CPPUNIT_ASSERT_MESSAGE(context + ", node " + std::to_string(node) + ": " + fleet.status(node).dump(), inForce);
            }
            fleet.publishManifest(revision - 1);
            for (unsigned node = 0; node < row.nodes; ++node) {
                fleet.setConfigServiceMode(node, "normal");
            }
            fleet.node(row.nodes - 1).kill();
            fleet.startNode(row.nodes - 1);
            CPPUNIT_ASSERT_MESSAGE(context, fleet.waitUntilReady(row.nodes - 1, 10s));
            const bool wentBack = waitFor(2s, [&] {
                for (unsigned node = 0; node < row.nodes; ++node) {
                    if (fleet.revision(node) != revision) {
                        return true;
                    }
                }
                return false;
            });
            CPPUNIT_ASSERT_MESSAGE(context + ": a node returned to the older revision of the configuration service", !wentBack);
        }
    }

    /// Guards against nodes that wait for the answer to a watch that the configuration service never sends, and follow no change
    /// meanwhile, although it answers all new calls.
    void unansweredWatchDoesNotBlockLaterRevisions()
    {
        FleetOptions options;
        options.nodes = 3;
        options.failureDomains = 3;
        FleetFixture fleet(options);
        for (const char *mode : {"silent", "normal"}) {
            for (unsigned node = 0; node < options.nodes; ++node) {
                fleet.setConfigServiceMode(node, mode);
            }
        }
        fleet.setSection("accounts", "accounts:\n  - {name: charity}\n  - {name: second}\n");
        const std::uint64_t revision = fleet.publish();
        const bool inForce = waitFor(inForceBound, [&] {
            for (unsigned node = 0; node < options.nodes; ++node) {
                if (fleet.revision(node) != revision) {
                    return false;
                }
            }
            return true;
        });
        CPPUNIT_ASSERT(inForce);
    }

private:
    /// Longest time until a revision is in force at all nodes, at the present fleet sizes (P7).
    static constexpr std::chrono::milliseconds inForceBound{5000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RevisionTest);
