#include <platform/decode.h>

#include <galenarack/core/errorkind.h>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <limits>

using namespace Galenarack;
using Json = nlohmann::json;

namespace {

Json validEntry()
{
    return {{"service", "reports"},
            {"address", "10.1.0.8:8301"},
            {"zone", "a"},
            {"version", "v1"},
            {"slots", 3},
            {"state", "ready"},
            {"cold-remaining-ms", 1200},
            {"sequence", 4},
            {"born", 1'700'000'000'123}};
}

Json validConfig()
{
    const Json rule = {{"name", "r-1"},
                       {"kind", "safe"},
                       {"target-latency-ms", 800},
                       {"priority", 2},
                       {"match", {{"prefix", "/reports/"}}},
                       {"action",
                        {{"weighted-services", {{{"service", "reports"}, {"weight", 90}}, {{"service", "archive"}, {"weight", 10}}}},
                         {"timeout-ms", 1200},
                         {"max-attempts", 2}}}};
    return {{"version", "0000001a"},
            {"limits", {{"max-header-bytes", 16384}, {"max-body-bytes", 1000}, {"header-timeout-ms", 3000}, {"idle-timeout-ms", 15000}}},
            {"listeners", {{{"host", "one.example"}, {"rules", {rule}}}}},
            {"clusters", {{{"name", "reports"}, {"health-path", "/healthz"}, {"max-connections", 390}}}}};
}

struct EntryCase
{
    const char *name;
    std::function<void(Json &)> change;
    bool isValid;
};

struct ConfigCase
{
    const char *name;
    std::function<void(Json &)> change;
    bool isValid;
};

} // namespace

class PlatformDecodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformDecodeTest);
    CPPUNIT_TEST(decodesEntry);
    CPPUNIT_TEST(rejectsMalformedEntries);
    CPPUNIT_TEST(rejectsOddBytes);
    CPPUNIT_TEST(decodesConfig);
    CPPUNIT_TEST(rejectsMalformedConfigs);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a field that is decoded into the wrong member.
    void decodesEntry()
    {
        const auto entry = Platform::decodeEntry("i-1", validEntry().dump(), {1, 42});
        CPPUNIT_ASSERT(entry.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), entry->id);
        CPPUNIT_ASSERT_EQUAL(std::string("reports"), entry->service);
        CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.8"), entry->address.address().to_string());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(8301), entry->address.port());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), entry->failureDomain);
        CPPUNIT_ASSERT_EQUAL(3U, entry->slots);
        CPPUNIT_ASSERT(!entry->draining);
        CPPUNIT_ASSERT(Duration(std::chrono::milliseconds(1200)) == entry->coldRemaining);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1'700'000'000'123), entry->startTimeMs);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(42), entry->position.revision);
    }

    /// Guards against a malformed entry that registers an upstream which does not exist.
    void rejectsMalformedEntries()
    {
        const EntryCase cases[] = {
            {"state draining",
             [](Json &entry) {
                 entry["state"] = "draining";
             },
             true},
            {"no born",
             [](Json &entry) {
                 entry.erase("born");
             },
             true},
            {"unknown field",
             [](Json &entry) {
                 entry["new"] = 1;
             },
             true},
            {"unknown state",
             [](Json &entry) {
                 entry["state"] = "resting";
             },
             false},
            {"state of another type",
             [](Json &entry) {
                 entry["state"] = 1;
             },
             false},
            {"no version of its software",
             [](Json &entry) {
                 entry.erase("version");
             },
             false},
            {"version of its software of another type",
             [](Json &entry) {
                 entry["version"] = 1;
             },
             false},
            {"no service",
             [](Json &entry) {
                 entry.erase("service");
             },
             false},
            {"empty service",
             [](Json &entry) {
                 entry["service"] = "";
             },
             false},
            {"no address",
             [](Json &entry) {
                 entry.erase("address");
             },
             false},
            {"address without a port",
             [](Json &entry) {
                 entry["address"] = "10.1.0.8";
             },
             false},
            {"address with a name",
             [](Json &entry) {
                 entry["address"] = "host:80";
             },
             false},
            {"address with port 0",
             [](Json &entry) {
                 entry["address"] = "10.1.0.8:0";
             },
             false},
            {"slots as text",
             [](Json &entry) {
                 entry["slots"] = "3";
             },
             false},
            {"zero slots",
             [](Json &entry) {
                 entry["slots"] = 0;
             },
             false},
            {"fractional slots",
             [](Json &entry) {
                 entry["slots"] = 2.5;
             },
             false},
            {"negative cold-remaining-ms",
             [](Json &entry) {
                 entry["cold-remaining-ms"] = -1;
             },
             false},
            {"no sequence",
             [](Json &entry) {
                 entry.erase("sequence");
             },
             false},
            {"fractional born",
             [](Json &entry) {
                 entry["born"] = 1.5;
             },
             false},
            {"entry is a list",
             [](Json &entry) {
                 entry = Json::array({1});
             },
             false},
            {"port out of range",
             [](Json &entry) {
                 entry["address"] = "10.1.0.8:65536";
             },
             false},
            {"negative port",
             [](Json &entry) {
                 entry["address"] = "10.1.0.8:-1";
             },
             false},
            {"number above 64 bits",
             [](Json &entry) {
                 entry["slots"] = 1e300;
             },
             false},
            {"largest unsigned number",
             [](Json &entry) {
                 entry["sequence"] = std::numeric_limits<std::uint64_t>::max();
             },
             false},
            {"field nested too deep",
             [](Json &entry) {
                 for (int i = 0; i < 40; ++i) {
                     entry["extra"] = Json::array({entry["extra"]});
                 }
             },
             false},
        };
        for (const EntryCase &row : cases) {
            Json entry = validEntry();
            row.change(entry);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isValid, Platform::decodeEntry("i-1", entry.dump(), {1, 1}).ok());
        }
        CPPUNIT_ASSERT(!Platform::decodeEntry("i-1", "\xff\x00{", {1, 1}).ok());
        for (const char *id : {"", "i 1", "i\n1", "i\r\nx: 1", "\xc3\xbc"}) {
            CPPUNIT_ASSERT_MESSAGE(id, !Platform::decodeEntry(id, validEntry().dump(), {1, 1}).ok());
        }
    }

    /// Guards against a value of another writer that ends the process or occupies a multiple of its size in memory.
    void rejectsOddBytes()
    {
        constexpr std::size_t maxValueBytes = 1024 * 1024;
        const struct
        {
            const char *name;
            std::string value;
        } table[] = {
            {"nested lists", std::string(maxValueBytes, '[')},
            {"nested lists, closed", std::string(maxValueBytes / 2, '[') + std::string(maxValueBytes / 2, ']')},
            {"brackets in text", "\"" + std::string(100, '[') + "\\\"["},
            {"number above the range of a double", R"({"slots":1e999})"},
            {"digits without end", R"({"slots":)" + std::string(1000, '9') + "}"},
            {"lone surrogate", R"({"service":"\ud800"})"},
            {"zero bytes", std::string(1000, '\0')},
        };
        for (const auto &row : table) {
            CPPUNIT_ASSERT_MESSAGE(row.name, !Platform::decodeEntry("i-1", row.value, {1, 1}).ok());
            CPPUNIT_ASSERT_MESSAGE(row.name, !Platform::decodeConfig(row.value).ok());
        }
        // Brackets in text are no nesting.
        Json entry = validEntry();
        entry["extra"] = std::string(100, '[') + "\"" + std::string(100, '{');
        CPPUNIT_ASSERT(Platform::decodeEntry("i-1", entry.dump(), {1, 1}).ok());
    }

    /// Guards against routes whose matching or weights differ from the operators' configuration.
    void decodesConfig()
    {
        const auto config = Platform::decodeConfig(validConfig().dump());
        CPPUNIT_ASSERT(config.ok());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(26), config->version);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1000), config->limits.bodyBytes);
        const TrafficRoute *route = config->find("ONE.example:80", "/reports/7?x=1");
        CPPUNIT_ASSERT(route != nullptr);
        CPPUNIT_ASSERT(route->idempotent);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), route->destinations.size());
        CPPUNIT_ASSERT_EQUAL(10U, route->destinations[1].weight);
        CPPUNIT_ASSERT_EQUAL(2U, route->maxAttempts);
        CPPUNIT_ASSERT(Duration(std::chrono::milliseconds(1200)) == route->timeout);
    }

    /// Guards against a malformed configuration that replaces a valid one.
    void rejectsMalformedConfigs()
    {
        const ConfigCase cases[] = {
            {"unsafe kind",
             [](Json &config) {
                 config["listeners"][0]["rules"][0]["kind"] = "unsafe";
             },
             true},
            {"no version",
             [](Json &config) {
                 config.erase("version");
             },
             false},
            {"version that is not a number",
             [](Json &config) {
                 config["version"] = "xyz";
             },
             false},
            {"no limits",
             [](Json &config) {
                 config.erase("limits");
             },
             false},
            {"prefix without slashes",
             [](Json &config) {
                 config["listeners"][0]["rules"][0]["match"]["prefix"] = "reports";
             },
             false},
            {"zero attempts",
             [](Json &config) {
                 config["listeners"][0]["rules"][0]["action"]["max-attempts"] = 0;
             },
             false},
            {"no timeout",
             [](Json &config) {
                 config["listeners"][0]["rules"][0]["action"].erase("timeout-ms");
             },
             false},
            {"no weight",
             [](Json &config) {
                 config["listeners"][0]["rules"][0]["action"]["weighted-services"][0].erase("weight");
             },
             false},
            {"weights of 0",
             [](Json &config) {
                 for (Json &part : config["listeners"][0]["rules"][0]["action"]["weighted-services"]) {
                     part["weight"] = 0;
                 }
             },
             true},
            {"largest weight",
             [](Json &config) {
                 config["listeners"][0]["rules"][0]["action"]["weighted-services"][0]["weight"] = 4'294'967'295;
             },
             true},
            {"negative weight",
             [](Json &config) {
                 config["listeners"][0]["rules"][0]["action"]["weighted-services"][0]["weight"] = -1;
             },
             false},
            {"no host",
             [](Json &config) {
                 config["listeners"][0].erase("host");
             },
             false},
        };
        for (const ConfigCase &row : cases) {
            Json config = validConfig();
            row.change(config);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isValid, Platform::decodeConfig(config.dump()).ok());
        }
        CPPUNIT_ASSERT(!Platform::decodeConfig("{\"version\":").ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformDecodeTest);
