#include <galenarack/node/explain.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Galenarack;

class ExplainTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExplainTest);
    CPPUNIT_TEST(unusedParametersAreErrors);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an answer that leaves out what was asked, because the parameter's name was misspelt.
    void unusedParametersAreErrors()
    {
        const struct
        {
            ExplainQuery query;
            unsigned status;
            const char *detail; ///< Part of the detail.
        } rows[] = {
            {{"route", "claims", {{"method", "POST"}}}, 404, "unknown subject or name"},
            {{"route", "claims", {{"metod", "POST"}}}, 400, "'metod'"},
            {{"route", "claims", {{"account", "x"}, {"method", "POST"}}}, 400, "'account'"},
            {{"service", "donors", {{"method", "POST"}}}, 400, "'method'"},
            {{"service", "donors", {}}, 404, "unknown subject or name"},
        };
        const Document document;
        for (const auto &row : rows) {
            const OperatorReply reply = explain(&document, {}, row.query);
            const std::string text = reply.body.dump();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, row.status, reply.status);
            CPPUNIT_ASSERT_MESSAGE(text, text.find(row.detail) != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplainTest);
