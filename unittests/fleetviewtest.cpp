#include <galenarack/fleet/fleetview.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Galenarack;

namespace {

UpstreamEntry makeEntry(const std::string &id, const std::string &service, const std::string &vm, std::uint64_t revision)
{
    UpstreamEntry entry;
    entry.id = id;
    entry.service = service;
    entry.address = {boost::asio::ip::make_address(vm), 8000};
    entry.revision = revision;
    return entry;
}

std::shared_ptr<const TrafficConfig> makeConfig(std::uint64_t version, const std::vector<std::string> &services)
{
    auto config = std::make_shared<TrafficConfig>();
    config->version = version;
    for (const std::string &service : services) {
        config->services.push_back({service, "/healthz", 100});
    }
    return config;
}

} // namespace

class FleetViewTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetViewTest);
    CPPUNIT_TEST(upstreamOfVmIsOfNamedService);
    CPPUNIT_TEST(viewNeverGoesBack);
    CPPUNIT_TEST(leavingHoldsUntilTheNextStart);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an entry of another writer, whose service no configuration names, that takes the place of the upstream at its
    /// address, and against an upstream that isn't found after its address was used by another service.
    void upstreamOfVmIsOfNamedService()
    {
        const std::string vm = "10.1.0.8";
        const struct
        {
            const char *name;
            std::vector<UpstreamEntry> entries;
            std::vector<std::string> services; ///< Services of the configuration; without any, there is no configuration yet.
            const char *expected; ///< Id of the upstream of the VM.
        } table[] = {
            {"newer entry of an unknown service",
             {makeEntry("i-1", "reports", vm, 5), makeEntry("odd", "nosuch", vm, 9)},
             {"reports"},
             "i-1"},
            {"older entry of an unknown service",
             {makeEntry("odd", "nosuch", vm, 3), makeEntry("i-1", "reports", vm, 5)},
             {"reports"},
             "i-1"},
            {"address used again", {makeEntry("i-1", "reports", vm, 5), makeEntry("i-2", "archive", vm, 9)}, {"reports", "archive"}, "i-2"},
            {"no configuration", {makeEntry("i-1", "reports", vm, 5), makeEntry("i-2", "archive", vm, 9)}, {}, "i-2"},
            {"only unknown services", {makeEntry("i-1", "nosuch", vm, 5)}, {"reports"}, "i-1"},
            {"another VM", {makeEntry("i-1", "reports", vm, 5), makeEntry("i-2", "reports", "10.1.0.9", 9)}, {"reports"}, "i-1"},
        };
        for (const auto &row : table) {
            FleetView view;
            for (const UpstreamEntry &entry : row.entries) {
                view.applyEntry(entry, NodeClock::now());
            }
            if (!row.services.empty()) {
                const std::uint64_t before = view.generation();
                view.applyConfig(makeConfig(1, row.services));
                CPPUNIT_ASSERT_MESSAGE(row.name, view.generation() > before);
            }
            const UpstreamEntry *found = view.findOnVm(boost::asio::ip::make_address(vm));
            CPPUNIT_ASSERT_MESSAGE(row.name, found != nullptr);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(row.expected), found->id);
        }
    }

    /// Guards against an older configuration or entry, or an entry from before its removal, that comes back into use.
    void viewNeverGoesBack()
    {
        FleetView view;
        CPPUNIT_ASSERT(view.applyConfig(makeConfig(7, {"reports"})));
        CPPUNIT_ASSERT(!view.applyConfig(makeConfig(6, {"reports"})));
        CPPUNIT_ASSERT(view.applyEntry(makeEntry("i-1", "reports", "10.1.0.8", 5), NodeClock::now()));
        CPPUNIT_ASSERT(!view.applyEntry(makeEntry("i-1", "reports", "10.1.0.8", 5), NodeClock::now()));
        view.removeEntry("i-1", 4);
        CPPUNIT_ASSERT(view.find("i-1") != nullptr);
        view.removeEntry("i-1", 8);
        CPPUNIT_ASSERT(view.find("i-1") == nullptr);
        CPPUNIT_ASSERT(!view.applyEntry(makeEntry("i-1", "reports", "10.1.0.8", 8), NodeClock::now()));
        CPPUNIT_ASSERT(view.applyEntry(makeEntry("i-1", "reports", "10.1.0.8", 9), NodeClock::now()));
    }

    /// Guards against an upstream that has said that it leaves and is used again because of an entry, and against one that is not used
    /// although it has started again.
    void leavingHoldsUntilTheNextStart()
    {
        const auto entryOf = [](std::uint64_t revision, std::int64_t startTimeMs) {
            UpstreamEntry entry = makeEntry("i-1", "reports", "10.1.0.8", revision);
            entry.startTimeMs = startTimeMs;
            return entry;
        };
        const struct
        {
            const char *name;
            LeavingMark mark;
            std::int64_t startTimeMs; ///< Start time in the next entry.
            bool draining; ///< Expected state of the upstream.
        } table[] = {{"same start", {1000, 5000}, 1000, true},
                     {"next start", {1000, 5000}, 6000, false},
                     {"start that was not heard of before it left", {500, 5000}, 4000, true},
                     {"earlier start", {1000, 5000}, 900, true}};
        for (const auto &row : table) {
            for (const bool isListed : {true, false}) {
                FleetView view;
                CPPUNIT_ASSERT(view.applyEntry(entryOf(1, row.mark.startTimeMs), NodeClock::now()));
                if (!isListed) {
                    view.removeEntry("i-1", 2);
                }
                view.markLeaving("i-1", row.mark);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, isListed, isListed && view.find("i-1")->draining);
                CPPUNIT_ASSERT_MESSAGE(row.name, view.applyEntry(entryOf(3, row.startTimeMs), NodeClock::now()));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.draining, view.find("i-1")->draining);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.draining, view.leavingMark("i-1").has_value());
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetViewTest);
