#include <galenarack/core/log.h>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace Galenarack;

namespace {

constexpr std::chrono::system_clock::time_point sampleTime{std::chrono::milliseconds(1700000000123)};

std::string formatSampleLine(std::string_view message, std::string_view value)
{
    return formatLogLine(LogLevel::Warn, "home", message, {{"request_id", value}, {"count", std::int64_t(3)}}, sampleTime);
}

} // namespace

class LogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogTest);
    CPPUNIT_TEST(lineContainsAllMembers);
    CPPUNIT_TEST(arbitraryBytesGiveOneValidLine);
    CPPUNIT_TEST(valuesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a line that tools cannot filter by level, component, request or error kind.
    void lineContainsAllMembers()
    {
        const std::string expected = R"({"time":"2023-11-14T22:13:20.123Z","level":"warn","component":"home",)"
                                     R"("message":"refused","request_id":"00ff","count":3})";
        CPPUNIT_ASSERT_EQUAL(expected, formatSampleLine("refused", "00ff"));
    }

    /// Guards against callers that forge log lines, or make lines unparsable, through the bytes of a header field.
    void arbitraryBytesGiveOneValidLine()
    {
        CPPUNIT_ASSERT(rc::check("any bytes give one valid JSON line", [](const std::string &message, const std::string &value) {
            const std::string line = formatSampleLine(message, value);
            RC_ASSERT(line.find_first_of("\n\r") == std::string::npos);
            RC_ASSERT(nlohmann::json::parse(line)["level"] == "warn");
        }));
        const std::string allBytes = [] {
            std::string bytes;
            for (int byte = 0; byte < 256; ++byte) {
                bytes.push_back(static_cast<char>(byte));
            }
            return bytes;
        }();
        for (const std::string &value :
             {allBytes, std::string("\xf0\x9f\x92"), std::string("\"},{\"level\":\"error\""), std::string("\xed\xa0\x80")}) {
            const auto line = nlohmann::json::parse(formatSampleLine(value, value));
            CPPUNIT_ASSERT_EQUAL(std::size_t(6), line.size());
        }
        CPPUNIT_ASSERT(nlohmann::json::parse(formatSampleLine("\xc3\xa9", ""))["message"] == "\xc3\xa9");
    }

    /// Guards against a log volume that callers control through long values.
    void valuesAreBounded()
    {
        const std::string longText(100000, '\x01');
        const nlohmann::ordered_json object = {{"evidence", longText}};
        const std::string line = formatLogLine(LogLevel::Info, "audit", longText, {{"text", longText}, {"record", &object}}, sampleTime);
        // A control byte is escaped to six characters; the text of the truncated object is escaped a second time.
        CPPUNIT_ASSERT(line.size() < 2 * 6 * maxLogTextBytes + 2 * maxLogObjectBytes + 512);
        CPPUNIT_ASSERT(nlohmann::json::parse(line).size() == 6);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);
