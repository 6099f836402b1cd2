#include "support/platformfleet.h"

#include <galenarack/core/scopeguard.h>

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <cstdlib>

using namespace Galenarack;
using namespace std::chrono_literals;

/// Settings that a node is given and doesn't use.
class UnusedSettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnusedSettingsTest);
    CPPUNIT_TEST(unusedEnvironmentVariablesAreLogged);
    CPPUNIT_TEST(reloadSignalIsLogged);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a misspelt environment variable that nobody notices.
    void unusedEnvironmentVariablesAreLogged()
    {
        setenv("GALENARACK_MEMORY_GB", "1", 1); // NOLINT(concurrency-mt-unsafe): no other thread uses the environment
        setenv("GALENARACK_MEMORY_MB", "300", 1); // NOLINT(concurrency-mt-unsafe)
        const ScopeGuard restored([] {
            unsetenv("GALENARACK_MEMORY_GB"); // NOLINT(concurrency-mt-unsafe)
            unsetenv("GALENARACK_MEMORY_MB"); // NOLINT(concurrency-mt-unsafe)
        });
        PlatformFleet fleet(2);
        fleet.startNode(0);
        const std::string line = findLine(*fleet.processes[0], "environment variables not used");
        CPPUNIT_ASSERT_MESSAGE(line, line.find("\"GALENARACK_MEMORY_GB\"") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(line, line.find("\"GALENARACK_MEMORY_MB\"") == std::string::npos);
    }

    /// Guards against a node that ends on SIGHUP, or that keeps its settings without a word.
    void reloadSignalIsLogged()
    {
        PlatformFleet fleet(2);
        CPPUNIT_ASSERT(fleet.startAll());
        for (int i = 0; i < 2; ++i) {
            fleet.processes[0]->signal(SIGHUP);
            const std::string line = findLine(*fleet.processes[0], "settings not read again");
            CPPUNIT_ASSERT_MESSAGE(std::to_string(i), !line.empty());
        }
        CPPUNIT_ASSERT(fleet.waitUntilReady(0));
        CPPUNIT_ASSERT(fleet.isServedWithin(0, "/read/", 5s));
    }

private:
    /// @return the next log line of a node with this message; empty when there is none in time
    static std::string findLine(ChildProcess &node, const std::string &message)
    {
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (std::chrono::steady_clock::now() < end) {
            const auto line = node.readLine(100ms);
            if (line && line->find("\"" + message + "\"") != std::string::npos) {
                return *line;
            }
        }
        return {};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnusedSettingsTest);
