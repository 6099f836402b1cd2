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
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetViewTest);
