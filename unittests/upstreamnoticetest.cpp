#include <galenarack/proxy/upstreamnotice.h>
#include <platform/dialect.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Galenarack;

class UpstreamNoticeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamNoticeTest);
    CPPUNIT_TEST(readsLimits);
    CPPUNIT_TEST(readsLeaving);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a limit that is read from a value that is no decimal number, or not read from one that is.
    void readsLimits()
    {
        const struct
        {
            std::vector<const char *> values;
            std::optional<double> limit;
        } table[] = {{{}, std::nullopt},
                     {{"2.5"}, 2.5},
                     {{" 3 "}, 3.0},
                     {{"0"}, 0.0},
                     {{"0.05"}, 0.05},
                     {{"2", "2"}, 2.0},
                     {{"2", "3"}, std::nullopt},
                     {{"2, 2"}, std::nullopt},
                     {{"-1"}, std::nullopt},
                     {{"+1"}, std::nullopt},
                     {{""}, std::nullopt},
                     {{"."}, std::nullopt},
                     {{"1."}, std::nullopt},
                     {{"1e3"}, std::nullopt},
                     {{"0x10"}, std::nullopt},
                     {{"inf"}, std::nullopt},
                     {{"nan"}, std::nullopt},
                     {{"1.2.3"}, std::nullopt},
                     {{"99999999999999999999"}, std::nullopt}};
        for (const auto &row : table) {
            HeaderList headers;
            std::string name;
            for (const char *value : row.values) {
                headers.add(Platform::dialect().requestLimit, value);
                name += std::string(value) + "|";
            }
            CPPUNIT_ASSERT_MESSAGE(name, UpstreamNotice::fromHeaders(headers, Platform::dialect()).limit == row.limit);
        }
    }

    /// Guards against an upstream that is taken for leaving because of another value.
    void readsLeaving()
    {
        const struct
        {
            const char *value;
            bool leaving;
        } table[] = {{"1", true}, {" 1", true}, {"0", false}, {"", false}, {"11", false}, {"true", false}};
        for (const auto &row : table) {
            HeaderList headers;
            headers.add(Platform::dialect().leaving, row.value);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.value, row.leaving, UpstreamNotice::fromHeaders(headers, Platform::dialect()).leaving);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamNoticeTest);
