#include <galenarack/fleet/fleetview.h>

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace Galenarack;
using namespace std::chrono_literals;

namespace {

UpstreamEntry makeEntry(const std::string &id, const std::string &service, const std::string &vm, std::uint64_t revision)
{
    UpstreamEntry entry;
    entry.id = id;
    entry.service = service;
    entry.address = {boost::asio::ip::make_address(vm), 8000};
    entry.position = {1, revision};
    return entry;
}

/// Entry of the upstream i-1.
UpstreamEntry write(std::uint64_t era, std::uint64_t revision, std::int64_t startTimeMs, std::int64_t sequence, bool draining)
{
    UpstreamEntry entry = makeEntry("i-1", "reports", "10.1.0.8", revision);
    entry.position = {era, revision};
    entry.startTimeMs = startTimeMs;
    entry.sequence = sequence;
    entry.draining = draining;
    return entry;
}

const TimePoint start(std::chrono::hours(1));

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
    CPPUNIT_TEST(restoredRegistryUndoesNoKnownChange);
    CPPUNIT_TEST(entryThatOutlivesItsExpiryIsUsedAgain);
    CPPUNIT_TEST(lastStartedUpstreamOfVmIsItsUpstream);
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
        view.removeEntry("i-1", {1, 4});
        CPPUNIT_ASSERT(view.find("i-1") != nullptr);
        view.removeEntry("i-1", {1, 8});
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
                    view.removeEntry("i-1", {1, 2});
                }
                view.markLeaving("i-1", row.mark);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, isListed, isListed && view.find("i-1")->draining);
                CPPUNIT_ASSERT_MESSAGE(row.name, view.leavingMark("i-1").has_value());
                CPPUNIT_ASSERT_MESSAGE(row.name, view.applyEntry(entryOf(3, row.startTimeMs), NodeClock::now()));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.draining, view.find("i-1")->draining);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.draining, view.leavingMark("i-1").has_value());
            }
        }
    }

    /// Guards against a change that is taken for an old one because the registry came back from a copy and gave out lower revisions
    /// again, and against an old entry of the copy that undoes a change.
    void restoredRegistryUndoesNoKnownChange()
    {
        const struct
        {
            const char *name;
            std::optional<UpstreamEntry> known; ///< Entry before the restore; without one, it was removed at revision 120.
            std::vector<UpstreamEntry> read; ///< Entries after it, in this order.
            const char *expected; ///< State of the upstream.
        } table[] = {
            {"lost change, written again as draining",
             write(1, 120, 10, 7, false),
             {write(2, 90, 10, 5, false), write(2, 105, 10, 8, true)},
             "draining"},
            {"draining was lost", write(1, 120, 10, 7, true), {write(2, 90, 10, 5, false)}, "draining"},
            {"draining was lost, same sequence", write(1, 120, 10, 7, true), {write(2, 90, 10, 7, false)}, "draining"},
            {"written again unchanged", write(1, 120, 10, 7, true), {write(2, 105, 10, 7, true)}, "draining"},
            {"started again since", write(1, 120, 10, 7, true), {write(2, 105, 11, 1, false)}, "ready"},
            {"earlier start in the copy", write(1, 120, 11, 1, false), {write(2, 90, 10, 30, true)}, "ready"},
            {"later write of the era counts",
             write(1, 120, 10, 7, true),
             {write(2, 90, 10, 5, false), write(2, 95, 10, 6, false)},
             "ready"},
            {"late reply of the earlier era", write(2, 90, 10, 7, true), {write(1, 130, 10, 9, false)}, "draining"},
            {"removal was lost", std::nullopt, {write(2, 90, 10, 5, false)}, "removed"},
            {"removal was lost, same sequence", std::nullopt, {write(2, 90, 10, 7, false)}, "removed"},
            {"registered again", std::nullopt, {write(2, 90, 10, 5, false), write(2, 106, 10, 8, false)}, "ready"},
            {"registered again as it was", std::nullopt, {write(2, 90, 10, 7, false), write(2, 106, 10, 7, false)}, "ready"},
            {"started again after its removal", std::nullopt, {write(2, 90, 12, 1, false)}, "ready"},
        };
        for (const auto &row : table) {
            FleetView view;
            view.applyEntry(row.known.value_or(write(1, 110, 10, 7, false)), start);
            if (!row.known) {
                view.removeEntry("i-1", {1, 120});
            }
            for (const UpstreamEntry &entry : row.read) {
                view.applyEntry(entry, start);
            }
            const UpstreamEntry *found = view.find("i-1");
            const char *state = found == nullptr ? "removed" : found->draining ? "draining" : "ready";
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(row.expected), std::string(state));
        }
        FleetView view;
        view.applyEntry(write(1, 120, 10, 7, false), start);
        view.removeEntry("i-1", {2, 90});
        CPPUNIT_ASSERT_MESSAGE("missing in the copy", view.find("i-1") == nullptr);
    }

    /// Guards against a running upstream that is never used again, because its removal was lost with a history of the registry and its
    /// entry does not change.
    void entryThatOutlivesItsExpiryIsUsedAgain()
    {
        const struct
        {
            const char *name;
            std::function<void(FleetView &)> change; ///< What is read meanwhile.
            bool isUsed;
        } table[] = {
            {"stays", [](FleetView &) {}, true},
            {"expires",
             [](FleetView &view) {
                 view.removeEntry("i-1", {2, 130});
             },
             false},
            {"is listed no longer",
             [](FleetView &view) {
                 view.dropReturned({});
             },
             false},
            {"is still listed",
             [](FleetView &view) {
                 const std::string listed[] = {"i-1"};
                 view.dropReturned(listed);
             },
             true},
        };
        for (const auto &row : table) {
            FleetView view;
            view.applyEntry(write(1, 110, 10, 7, false), start);
            view.removeEntry("i-1", {1, 120});
            CPPUNIT_ASSERT(!view.applyEntry(write(2, 90, 10, 7, false), start));
            view.tick(start + 9s);
            CPPUNIT_ASSERT_MESSAGE(row.name, view.find("i-1") == nullptr);
            row.change(view);
            view.tick(start + 11s);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isUsed, view.find("i-1") != nullptr);
        }
    }

    /// Guards against an entry that a copy of the registry brings back and that takes the place of the upstream which has its address by
    /// now.
    void lastStartedUpstreamOfVmIsItsUpstream()
    {
        FleetView view;
        UpstreamEntry present = write(1, 120, 20, 3, false);
        present.id = "i-2";
        view.applyEntry(present, start);
        view.applyEntry(write(2, 90, 10, 7, false), start);
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), view.findOnVm(boost::asio::ip::make_address("10.1.0.8"))->id);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetViewTest);
