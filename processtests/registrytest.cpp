#include "support/platformfleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace Galenarack;
using namespace std::chrono_literals;

namespace {

constexpr unsigned nodeCount = 4;

/// Longest time that the platform allows until a change of the registry is in force.
constexpr auto applyTime = 2000ms;

/// Time after a fault of the registry from which that bound holds again.
constexpr auto settleTime = 3000ms;

} // namespace

/// How nodes follow the registry: changes, faults of the registry, and entries of other writers.
class RegistryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RegistryTest);
    CPPUNIT_TEST(appliesRegistryChanges);
    CPPUNIT_TEST(followsChangesAfterUnansweredWatches);
    CPPUNIT_TEST(followsChangesJustAfterFaults);
    CPPUNIT_TEST(removesUpstreamsWhileWatchesAreCut);
    CPPUNIT_TEST(keepsUpstreamsThatExpireInAnOutage);
    CPPUNIT_TEST(followsRegistryBesideOddEntries);
    CPPUNIT_TEST(entryOfUnknownServiceTakesNoHome);
    CPPUNIT_TEST(entryThatBecomesInvalidNamesNoUpstream);
    CPPUNIT_TEST(limitsCallsForFrequentChanges);
    CPPUNIT_TEST(forgetsUpstreamThatLeftAcrossRestart);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a change in the registry that does not take effect, and against a node that answers 404 or stops serving
    /// because the registry is unreachable.
    void appliesRegistryChanges()
    {
        PlatformFleet fleet(nodeCount);
        CPPUNIT_ASSERT(fleet.startAll());
        fleet.publishConfig("/seek/");
        fleet.publishEntry(1, "draining");
        fleet.runFor(2s);
        CPPUNIT_ASSERT_EQUAL(404U, fleet.sendAndWait(0, "GET", "/read/x", "c1").status);
        CPPUNIT_ASSERT_EQUAL(200U, fleet.sendAndWait(0, "GET", "/seek/x", "c2").status);
        for (int i = 0; i < 6; ++i) {
            fleet.sendAndWait(0, "GET", "/seek/x", "d" + std::to_string(i));
        }
        CPPUNIT_ASSERT(fleet.upstreams[1]->runs.empty());

        fleet.registry.setReachable(false);
        fleet.runFor(1500ms);
        CPPUNIT_ASSERT_EQUAL(200U, fleet.sendAndWait(0, "GET", "/seek/x", "o1").status);
        CPPUNIT_ASSERT_EQUAL(503U, fleet.sendAndWait(0, "GET", "/new/x", "o2").status);
        fleet.publishConfig("/new/");
        fleet.registry.setReachable(true);
        fleet.runFor(3s);
        CPPUNIT_ASSERT_EQUAL(200U, fleet.sendAndWait(0, "GET", "/new/x", "o3").status);
    }

    /// Guards against nodes that wait for the answer to a watch which the registry never sends, and meanwhile use an upstream that
    /// leaves and an old configuration, although the registry answers all new calls.
    void followsChangesAfterUnansweredWatches()
    {
        const struct
        {
            const char *name;
            void (*disrupt)(PlatformFleet &);
            void (*leave)(PlatformFleet &);
        } table[] = {
            {"replies lost, upstream drains",
             [](PlatformFleet &fleet) {
                 fleet.registry.loseWatchReplies(nodeCount);
                 fleet.publishConfig("/lost/");
                 fleet.runFor(100ms);
                 fleet.registry.loseWatchReplies(0);
             },
             [](PlatformFleet &fleet) {
                 fleet.publishEntry(1, "draining");
             }},
            {"registry silent, entry removed",
             [](PlatformFleet &fleet) {
                 fleet.registry.setSilent(true);
                 fleet.runFor(100ms);
                 fleet.registry.setSilent(false);
             },
             [](PlatformFleet &fleet) {
                 fleet.registry.remove("servers/" + fleet.upstreams[1]->id);
             }},
        };
        for (const auto &row : table) {
            PlatformFleet fleet(nodeCount);
            CPPUNIT_ASSERT(fleet.startAll());
            row.disrupt(fleet);
            // From now on the registry has no fault; after this time the bound for changes holds again.
            fleet.runFor(settleTime);
            row.leave(fleet);
            fleet.publishConfig("/next/");
            fleet.runFor(applyTime);
            fleet.upstreams[1]->runs.clear();
            for (unsigned node = 0; node < nodeCount; ++node) {
                const std::string id = "n" + std::to_string(node);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 200U, fleet.sendAndWait(node, "GET", "/next/x", id).status);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 200U, fleet.sendAndWait(node, "POST", "/write/x", id + "w").status);
            }
            CPPUNIT_ASSERT_MESSAGE(row.name, fleet.upstreams[1]->runs.empty());
        }
    }

    /// Guards against nodes that follow a change too late which was made just after a fault of the registry: the replies to their
    /// watches were lost in the fault. The change must be in force as soon as the bounds hold again.
    void followsChangesJustAfterFaults()
    {
        const struct
        {
            const char *name;
            void (*disrupt)(PlatformFleet &);
        } table[] = {
            {"reply of one watch lost",
             [](PlatformFleet &fleet) {
                 fleet.registry.loseWatchReplies(1);
                 fleet.publishConfig("/lost/");
                 fleet.runFor(100ms);
                 fleet.registry.loseWatchReplies(0);
             }},
            {"replies of all watches lost",
             [](PlatformFleet &fleet) {
                 fleet.registry.loseWatchReplies(nodeCount);
                 fleet.publishConfig("/lost/");
                 fleet.runFor(100ms);
                 fleet.registry.loseWatchReplies(0);
             }},
            {"silent since a change",
             [](PlatformFleet &fleet) {
                 fleet.publishConfig("/lost/");
                 fleet.runFor(100ms);
                 fleet.registry.setSilent(true);
                 fleet.runFor(1500ms);
                 fleet.registry.setSilent(false);
             }},
            {"late since a change",
             [](PlatformFleet &fleet) {
                 fleet.publishConfig("/lost/");
                 fleet.runFor(100ms);
                 fleet.registry.setReplyDelay(3s);
                 fleet.runFor(2s);
                 fleet.registry.setReplyDelay(0ms);
             }},
        };
        constexpr auto pause = 500ms;
        for (const auto &row : table) {
            PlatformFleet fleet(nodeCount);
            CPPUNIT_ASSERT(fleet.startAll());
            row.disrupt(fleet);
            fleet.runFor(pause);
            fleet.publishConfig("/next/");
            fleet.runFor(settleTime - pause);
            for (unsigned node = 0; node < nodeCount; ++node) {
                const CallResult result = fleet.sendAndWait(node, "GET", "/next/x", "n" + std::to_string(node));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 200U, result.status);
            }
        }
    }

    /// Guards against removed upstreams that stay in use while the registry cuts waiting watches, as when its processes are
    /// restarted one after the other, although it answers all calls.
    void removesUpstreamsWhileWatchesAreCut()
    {
        PlatformFleet fleet(nodeCount);
        CPPUNIT_ASSERT(fleet.startAll());
        fleet.runFor(1s);
        const auto start = std::chrono::steady_clock::now();
        auto removed = start;
        for (int cut = 0; cut < 5; ++cut) {
            fleet.registry.cutWatches();
            fleet.runFor(100ms);
            if (cut == 0) {
                fleet.registry.remove("servers/" + fleet.upstreams[1]->id);
                removed = std::chrono::steady_clock::now();
            }
            fleet.runFor(700ms);
            if (std::chrono::steady_clock::now() - removed > applyTime) {
                fleet.upstreams[1]->runs.clear();
                fleet.sendAndWait(0, "POST", "/write/x", "w" + std::to_string(cut));
                CPPUNIT_ASSERT(fleet.upstreams[1]->runs.empty());
            }
        }
    }

    /// Guards against upstreams that run, but are dropped by all nodes since their entries expired while the registry was
    /// unavailable, until the entries are written again.
    void keepsUpstreamsThatExpireInAnOutage()
    {
        const struct
        {
            const char *name;
            void (*begin)(PlatformFleet &);
            void (*end)(PlatformFleet &);
        } table[] = {
            {"refuses connections",
             [](PlatformFleet &fleet) {
                 fleet.registry.setReachable(false);
             },
             [](PlatformFleet &fleet) {
                 fleet.registry.setReachable(true);
             }},
            {"silent",
             [](PlatformFleet &fleet) {
                 fleet.registry.setSilent(true);
             },
             [](PlatformFleet &fleet) {
                 fleet.registry.setSilent(false);
             }},
            {"rejects calls",
             [](PlatformFleet &fleet) {
                 fleet.registry.setRejection(503);
                 fleet.registry.cutWatches();
             },
             [](PlatformFleet &fleet) {
                 fleet.registry.setRejection(0);
             }},
            {"cuts off single nodes",
             [](PlatformFleet &fleet) {
                 for (unsigned node = 0; node < nodeCount; ++node) {
                     fleet.setPathFault(node, PlatformFleet::Path::Registry, {true, true, 0us}, false);
                 }
             },
             [](PlatformFleet &fleet) {
                 for (unsigned node = 0; node < nodeCount; ++node) {
                     fleet.setPathFault(node, PlatformFleet::Path::Registry, {}, false);
                 }
             }},
        };
        for (const auto &row : table) {
            PlatformFleet fleet(nodeCount);
            CPPUNIT_ASSERT(fleet.startAll());
            row.begin(fleet);
            fleet.runFor(4500ms);
            for (const unsigned node : fleet.backNodes()) {
                fleet.registry.remove("servers/" + fleet.upstreams[node]->id);
            }
            row.end(fleet);
            for (int i = 0; i < 14; ++i) {
                const CallResult result = fleet.sendAndWait(0, "POST", "/write/x", "e" + std::to_string(i));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 200U, result.status);
                fleet.runFor(100ms);
            }
            for (const unsigned node : fleet.backNodes()) {
                fleet.publishEntry(node, "ready");
            }
            fleet.runFor(1s);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 200U, fleet.sendAndWait(0, "POST", "/write/x", "last").status);
        }
    }

    /// Guards against nodes that end, that never get the list or that stop following it, because another writer left an odd entry
    /// among those of the upstreams. With pages of one entry, each key ends a page. The
    /// odd keys come before those of the upstreams, so that further pages follow.
    void followsRegistryBesideOddEntries()
    {
        constexpr std::size_t maxValueBytes = 1024 * 1024;
        const std::string valid = R"({"service":"back","address":"127.0.1.9:1","zone":"a","version":"v1","slots":4,"state":"ready",)"
                                  R"("cold-remaining-ms":0,"sequence":1})";
        const auto with = [&valid](const std::string &field, const std::string &value) {
            const std::size_t start = valid.find("\"" + field + "\":") + field.size() + 3;
            return valid.substr(0, start) + value + valid.substr(valid.find_first_of(",}", start));
        };
        const struct
        {
            const char *name;
            std::string key;
            std::string value;
        } table[] = {
            {"nested lists", "odd", std::string(maxValueBytes, '[')},
            {"nested objects",
             "odd",
             with("zone",
                  [] {
                      std::string nested;
                      for (int i = 0; i < 50'000; ++i) {
                          nested += R"({"a":)";
                      }
                      return nested + "1" + std::string(50'000, '}');
                  }())},
            {"number too large", "odd", with("slots", "1e999")},
            {"digits without end", "odd", with("sequence", std::string(100'000, '9'))},
            {"port out of range", "odd", with("address", "\"127.0.1.1:99999\"")},
            {"largest value", "odd", std::string(maxValueBytes, 'x')},
            {"no value", "odd", ""},
            {"bytes that are no text", "odd", "\xff\xfe\x80{"},
            {"empty id", "", valid},
            {"key with a space", "a key", valid},
            {"key with a line end", "a\r\nX-Odd: 1", valid},
            {"key with reserved characters", "a&prefix=op/#%zz+", valid},
            {"key beyond ASCII", "a\xc3\xa9", valid},
        };
        for (const std::size_t pageSize : {std::size_t(500), std::size_t(1)}) {
            PlatformFleet fleet(nodeCount);
            fleet.registry.setPageSize(pageSize);
            for (const auto &row : table) {
                // Found by a node that starts, by nodes that follow the list, and by nodes that read it again.
                const std::string context = std::string(row.name) + ", pages of " + std::to_string(pageSize);
                const std::string key = "servers/" + row.key;
                for (unsigned node = 1; node < nodeCount; ++node) {
                    if (!fleet.processes[node]) {
                        fleet.startNode(node);
                    }
                }
                fleet.registry.put(key, row.value);
                fleet.startNode(0);
                for (unsigned node = 0; node < nodeCount; ++node) {
                    CPPUNIT_ASSERT_MESSAGE(context, fleet.waitUntilReady(node));
                }
                fleet.registry.cutWatches();
                const std::string prefix = "/p" + std::to_string(&row - table) + "/";
                fleet.publishConfig(prefix);
                for (unsigned node = 0; node < nodeCount; ++node) {
                    CPPUNIT_ASSERT_MESSAGE(context, fleet.isServedWithin(node, prefix, applyTime));
                    const std::string id = prefix + std::to_string(node);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 200U, fleet.sendAndWait(node, "POST", "/write/x", id).status);
                    CPPUNIT_ASSERT_MESSAGE(context, fleet.processes[node]->isRunning());
                }
                fleet.registry.remove(key);
            }
        }
    }

    /// Guards against an entry of another writer that takes the place of a VM's upstream at its home and at the ingresses: its
    /// service is named by no configuration, and its address is that of the VM.
    void entryOfUnknownServiceTakesNoHome()
    {
        PlatformFleet fleet(nodeCount);
        CPPUNIT_ASSERT(fleet.startAll());
        for (const unsigned node : fleet.backNodes()) {
            const std::string address = fleet.upstreams[node]->address();
            fleet.registry.put("servers/odd-" + std::to_string(node),
                               R"({"service":"nosuch","address":")" + address.substr(0, address.find(':'))
                                   + R"(:9","zone":"a","version":"v1","slots":4,"state":"ready","cold-remaining-ms":0,"sequence":1})");
        }
        fleet.runFor(1s);
        for (const bool restarted : {false, true}) {
            for (unsigned node = 0; node < nodeCount; ++node) {
                const std::string id = std::string(restarted ? "r" : "f") + std::to_string(node);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 200U, fleet.sendAndWait(node, "POST", "/write/x", id).status);
            }
            for (unsigned node = 0; node < nodeCount && !restarted; ++node) {
                fleet.startNode(node);
                CPPUNIT_ASSERT(fleet.waitUntilReady(node));
            }
        }
    }

    /// Guards against an upstream that stays in use although its entry has become invalid, while a node that starts later does not
    /// use it.
    void entryThatBecomesInvalidNamesNoUpstream()
    {
        PlatformFleet fleet(nodeCount);
        CPPUNIT_ASSERT(fleet.startAll());
        fleet.publishEntry(1, "resting");
        fleet.runFor(1s);
        for (const bool restarted : {false, true}) {
            for (unsigned node = 0; node < nodeCount; ++node) {
                const std::string id = std::string(restarted ? "r" : "f") + std::to_string(node);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 200U, fleet.sendAndWait(node, "POST", "/write/x", id).status);
            }
            CPPUNIT_ASSERT(fleet.upstreams[1]->runs.empty());
            fleet.startNode(0);
            CPPUNIT_ASSERT(fleet.waitUntilReady(0));
        }
    }

    /// Guards against nodes that call the registry once for each change, which exceeds its rate limit in a large fleet, and
    /// against pauses between calls that delay a configuration change too long. An entry changes every 50 ms.
    void limitsCallsForFrequentChanges()
    {
        PlatformFleet fleet(nodeCount);
        CPPUNIT_ASSERT(fleet.startAll());
        // Waits until the watches from the start of the nodes have ended.
        fleet.runFor(2s);
        const unsigned before = fleet.registry.callCount();
        for (int i = 0; i < 80; ++i) {
            fleet.publishEntry(0, "ready");
            fleet.runFor(50ms);
        }
        // In 4 s, a node makes one call per 0.9 s and two more because its first pauses are shorter.
        CPPUNIT_ASSERT(fleet.registry.callCount() - before <= 7 * nodeCount);
        fleet.publishConfig("/read-next/");
        fleet.runFor(1200ms);
        for (unsigned node = 0; node < nodeCount; ++node) {
            CPPUNIT_ASSERT_EQUAL(200U, fleet.sendAndWait(node, "GET", "/read-next/x", "d" + std::to_string(node)).status);
        }
    }

    /// Guards against an upstream that has left and is used again after a node was restarted, also when the node can't reach the
    /// registry after its start.
    void forgetsUpstreamThatLeftAcrossRestart()
    {
        PlatformFleet fleet(nodeCount);
        CPPUNIT_ASSERT(fleet.startAll());
        CPPUNIT_ASSERT_EQUAL(200U, fleet.sendAndWait(0, "GET", "/read/x", "b1").status);
        fleet.registry.remove("servers/" + fleet.upstreams[1]->id);
        fleet.runFor(1500ms);
        const std::size_t before = fleet.upstreams[1]->runs.size();
        for (const unsigned node : {0U, 1U}) {
            fleet.startNode(node);
            CPPUNIT_ASSERT(fleet.waitUntilReady(node));
        }
        for (int i = 0; i < 6; ++i) {
            CPPUNIT_ASSERT_EQUAL(200U, fleet.sendAndWait(0, "GET", "/read/x", "r" + std::to_string(i)).status);
        }
        fleet.registry.setReachable(false);
        fleet.startNode(0);
        fleet.runFor(1s);
        CPPUNIT_ASSERT_EQUAL(503U, fleet.sendAndWait(0, "GET", "/read/x", "u1").status);
        CPPUNIT_ASSERT_EQUAL(before, fleet.upstreams[1]->runs.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistryTest);
