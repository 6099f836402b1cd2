#include <galenarack/fleet/fleetview.h>
#include <galenarack/fleet/trafficconfig.h>
#include <galenarack/policy/weightedsplit.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Galenarack;

namespace {

TrafficRoute makeRoute(std::string prefix)
{
    TrafficRoute route;
    route.name = prefix;
    route.prefix = std::move(prefix);
    return route;
}

UpstreamEntry makeEntry(std::string id, const std::string &vm, std::uint64_t revision)
{
    UpstreamEntry entry;
    entry.id = std::move(id);
    entry.address = {boost::asio::ip::make_address(vm), 80};
    entry.position = {1, revision};
    return entry;
}

struct MatchCase
{
    const char *host;
    const char *target;
    const char *expected; ///< Prefix of the expected route; empty for none.
};

struct SplitCase
{
    std::vector<std::uint32_t> weights;
    unsigned requests;
};

} // namespace

class TrafficConfigTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TrafficConfigTest);
    CPPUNIT_TEST(findsLongestPrefix);
    CPPUNIT_TEST(distributesByWeight);
    CPPUNIT_TEST(ignoresOlderVersions);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a request that is sent to a service that is no destination of its route.
    void findsLongestPrefix()
    {
        TrafficConfig config;
        config.addRoute("one.example", makeRoute("/a/"));
        config.addRoute("one.example", makeRoute("/a/b/"));
        config.addRoute("two.example", makeRoute("/"));
        config.sortRoutes();
        const MatchCase cases[] = {
            {"one.example", "/a/x", "/a/"},
            {"one.example", "/a/b/x", "/a/b/"},
            {"one.example", "/a/bx", "/a/"},
            {"one.example", "/a", ""},
            {"one.example", "/b/?path=/a/", ""},
            {"One.Example:8080", "/a/?q", "/a/"},
            {"two.example", "/a/", "/"},
            {"three.example", "/a/", ""},
            {"", "/a/", ""},
        };
        for (const MatchCase &row : cases) {
            const TrafficRoute *route = config.find(row.host, row.target);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.target, std::string(row.expected), route == nullptr ? std::string() : route->prefix);
        }
    }

    /// Guards against shares that deviate from the weights over a small number of requests.
    void distributesByWeight()
    {
        const SplitCase cases[] = {{{90, 10}, 200}, {{1, 1, 1}, 30}, {{7, 0, 3}, 100}, {{5}, 10}};
        for (std::uint32_t offset = 0; offset < 40; offset += 13) {
            for (const SplitCase &row : cases) {
                std::vector<WeightedService> services;
                std::uint32_t total = 0;
                for (const std::uint32_t weight : row.weights) {
                    services.push_back({"s", weight});
                    total += weight;
                }
                WeightedSplit split(offset);
                std::vector<unsigned> counts(row.weights.size());
                for (unsigned i = 0; i < row.requests; ++i) {
                    ++counts[split.next(services).value()];
                }
                for (std::size_t i = 0; i < counts.size(); ++i) {
                    const double share = static_cast<double>(row.requests) * row.weights[i] / total;
                    CPPUNIT_ASSERT_DOUBLES_EQUAL(share, counts[i], 1.01);
                }
            }
        }
    }

    /// Guards against an older configuration, entry or removal that arrives late and is applied.
    void ignoresOlderVersions()
    {
        FleetView view;
        const auto config = [](std::uint64_t version) {
            auto created = std::make_shared<TrafficConfig>();
            created->version = version;
            return created;
        };
        CPPUNIT_ASSERT(view.applyConfig(config(7)));
        CPPUNIT_ASSERT(!view.applyConfig(config(7)));
        CPPUNIT_ASSERT(!view.applyConfig(config(6)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), view.config()->version);

        CPPUNIT_ASSERT(view.applyEntry(makeEntry("a", "10.0.0.1", 5), TimePoint()));
        CPPUNIT_ASSERT(!view.applyEntry(makeEntry("a", "10.0.0.2", 4), TimePoint()));
        view.removeEntry("a", {1, 4});
        CPPUNIT_ASSERT(view.find("a") != nullptr);
        view.removeEntry("a", {1, 9});
        CPPUNIT_ASSERT(view.find("a") == nullptr);
        CPPUNIT_ASSERT(!view.applyEntry(makeEntry("a", "10.0.0.1", 8), TimePoint()));
        CPPUNIT_ASSERT(view.applyEntry(makeEntry("a", "10.0.0.1", 10), TimePoint()));

        // An address that is used by two entries belongs to the one with the higher revision.
        CPPUNIT_ASSERT(view.applyEntry(makeEntry("b", "10.0.0.1", 12), TimePoint()));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), view.findOnVm(boost::asio::ip::make_address("10.0.0.1"))->id);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TrafficConfigTest);
