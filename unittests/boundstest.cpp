#include <galenarack/core/errorkind.h>
#include <platform/bounds.h>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace Galenarack;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::ordered_json;

/// The bounds in the form in which the platform puts them on the command line.
constexpr std::string_view table
    = R"({"seed-lag-s":3,"reuse-after-s":2,"stable-window-ms":4000,"ack-ms":5000,"catch-up-s":6,"drain-ms":3000,"grace-s":10,)"
      R"("loss-slack-ms":200,"config-apply-ms":3500,"rollback-slack-ms":250,"max-skew-ms":6000,"retry-budget-ratio":0.25,)"
      R"("budget-window-s":8,"budget-slack":230,"recovery-s":15,"probes-per-s":3,"floor-share":0.7,"revoke-strict":false})";

/// The same as texts.
constexpr std::string_view list
    = "seed-lag-s=3,reuse-after-s=2,stable-window-ms=4000,ack-ms=5000,catch-up-s=6,drain-ms=3000,grace-s=10,loss-slack-ms=200,"
      "config-apply-ms=3500,rollback-slack-ms=250,max-skew-ms=6000,retry-budget-ratio=0.25,budget-window-s=8,budget-slack=230,"
      "recovery-s=15,probes-per-s=3,floor-share=0.7,revoke-strict=false";

/// @return the table with one value replaced, or removed when the new value is null
std::string withValue(const std::string &name, const Json &value)
{
    Json bounds = Json::parse(table);
    if (value.is_null()) {
        bounds.erase(name);
    } else {
        bounds[name] = value;
    }
    return bounds.dump();
}

} // namespace

class BoundsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BoundsTest);
    CPPUNIT_TEST(platformFormsAreRead);
    CPPUNIT_TEST(unreadableBoundsAreErrors);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against bounds that are given in a form of the platform and of which the node uses none.
    void platformFormsAreRead()
    {
        const std::string listOfTexts = [] {
            const Json bounds = Json::parse(table);
            Json texts = Json::array();
            for (const auto &[name, value] : bounds.items()) {
                texts.push_back(name + "=" + value.dump());
            }
            return texts.dump();
        }();
        const struct
        {
            const char *name;
            std::string text;
        } rows[] = {{"table", std::string(table)}, {"list", std::string(list)}, {"list of texts", listOfTexts}};
        for (const auto &row : rows) {
            const auto bounds = Platform::decodeBounds(row.text);
            CPPUNIT_ASSERT_MESSAGE(row.name, bounds.ok());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 0.25, bounds->retry.ratio);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 230.0, bounds->retry.slack);
            CPPUNIT_ASSERT_MESSAGE(row.name, bounds->retry.window == 8s);
            CPPUNIT_ASSERT_MESSAGE(row.name, bounds->terminationGrace == 10s);
            CPPUNIT_ASSERT_MESSAGE(row.name, bounds->registry.drainTime == 3s);
            CPPUNIT_ASSERT_MESSAGE(row.name, bounds->registry.configTime == 3500ms);
            CPPUNIT_ASSERT_MESSAGE(row.name, bounds->registry.settleTime == 4s);
            std::string inForce;
            for (const Platform::NamedBound &bound : bounds->inForce) {
                inForce += bound.name + "=" + Json(bound.value).dump() + " ";
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name,
                                         std::string("stable-window-ms=4000.0 drain-ms=3000.0 grace-s=10.0 config-apply-ms=3500.0 "
                                                     "retry-budget-ratio=0.25 budget-window-s=8.0 budget-slack=230.0 "),
                                         inForce);
            std::string unused;
            for (const std::string &name : bounds->unused) {
                unused += name + " ";
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name,
                                         std::string("seed-lag-s reuse-after-s ack-ms catch-up-s loss-slack-ms rollback-slack-ms "
                                                     "max-skew-ms recovery-s probes-per-s floor-share revoke-strict "),
                                         unused);
        }
    }

    /// Guards against a node that starts with defaults in place of bounds that it could not read.
    void unreadableBoundsAreErrors()
    {
        const struct
        {
            const char *name;
            std::string text;
            const char *error; ///< Part of the error.
        } rows[] = {
            {"nothing", "", "NAME=NUMBER"},
            {"table that breaks off", std::string(table.substr(0, table.size() / 2)), "JSON object"},
            {"text after the table", std::string(table) + ",grace-s=10", "JSON object"},
            {"list of numbers", "[1,2]", "JSON object"},
            {"words", "grace-s 10", "NAME=NUMBER"},
            {"part without a value", std::string(list) + ",grace", "grace: expected NAME=NUMBER"},
            {"value without a name", std::string(list) + ",=3", "NAME=NUMBER"},
            {"empty part", std::string(list) + ",", "NAME=NUMBER"},
            {"other separator", "grace-s:10,budget-slack:62", "NAME=NUMBER"},
            {"nested", R"({"bounds":)" + std::string(table) + "}", "is missing"},
            {"name twice in a list", std::string(list) + ",grace-s=10", "grace-s: expected each name once"},
            {"name twice in a table", R"({"grace-s":6,)" + std::string(table.substr(1)), "grace-s: expected each name once"},
            {"ratio missing", withValue("retry-budget-ratio", nullptr), "retry-budget-ratio: expected a value, but it is missing"},
            {"slack missing", withValue("budget-slack", nullptr), "budget-slack: expected a value, but it is missing"},
            {"window missing", withValue("budget-window-s", nullptr), "budget-window-s: expected a value, but it is missing"},
            {"grace time missing", withValue("grace-s", nullptr), "grace-s: expected a value, but it is missing"},
            {"drain time missing", withValue("drain-ms", nullptr), "drain-ms: expected a value, but it is missing"},
            {"apply time missing", withValue("config-apply-ms", nullptr), "config-apply-ms: expected a value, but it is missing"},
            {"settle time missing", withValue("stable-window-ms", nullptr), "stable-window-ms: expected a value, but it is missing"},
            {"text for a number", withValue("grace-s", "10"), "grace-s="},
            {"truth value", withValue("grace-s", true), "grace-s=true: expected a number"},
            {"list for a number", withValue("grace-s", {10}), "grace-s=[10]: expected a number"},
            {"negative", withValue("budget-slack", -1), "budget-slack=-1: expected a number from 0"},
            {"no number", "budget-slack=many," + std::string(list), "budget-slack=many: expected a number"},
            {"infinite", "grace-s=inf," + std::string(list), "grace-s=inf: expected a number"},
            {"not a number", "grace-s=nan," + std::string(list), "grace-s=nan: expected a number"},
            {"empty value", "drain-ms=," + std::string(list), "drain-ms=: expected a number"},
            {"window of no length", withValue("budget-window-s", 0), "budget-window-s=0: expected a number"},
            {"no time to apply", withValue("config-apply-ms", 0), "config-apply-ms=0: expected a number"},
            {"longer than a day", withValue("grace-s", 100'000), "grace-s=100000: expected a number"},
        };
        for (const auto &row : rows) {
            const auto bounds = Platform::decodeBounds(row.text);
            CPPUNIT_ASSERT_MESSAGE(std::string("accepted: ") + row.name, !bounds.ok());
            CPPUNIT_ASSERT_MESSAGE(row.name, errorKindOf(bounds.status()) == ErrorKind::SettingInvalid);
            const std::string message = messageOf(bounds.status());
            CPPUNIT_ASSERT_MESSAGE(std::string(row.name) + ": " + message,
                                   message.starts_with("--bounds: ") && message.find(row.error) != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundsTest);
