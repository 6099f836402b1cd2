#include <galenarack/core/errorkind.h>
#include <galenarack/core/ids.h>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <set>

using namespace Galenarack;

class ErrorKindTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ErrorKindTest);
    CPPUNIT_TEST(namesAreUniqueAndRoundTrip);
    CPPUNIT_TEST(statusCarriesKind);
    CPPUNIT_TEST(problemBodyNamesExecution);
    CPPUNIT_TEST(idsRejectMalformedText);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against two kinds that a log reader or a peer cannot tell apart.
    void namesAreUniqueAndRoundTrip()
    {
        std::set<std::string_view> names;
        for (const ErrorRow &row : errorTable()) {
            CPPUNIT_ASSERT(names.insert(row.name).second);
            CPPUNIT_ASSERT(errorKindFromName(row.name) == row.kind);
        }
    }

    /// Guards against a kind that is lost on its way through absl::Status.
    void statusCarriesKind()
    {
        for (const ErrorRow &row : errorTable()) {
            const absl::Status status = makeError(row.kind, "detail");
            CPPUNIT_ASSERT(!status.ok());
            CPPUNIT_ASSERT(errorKindOf(status) == row.kind);
        }
    }

    /// Guards against an answer that leaves the caller without the execution state.
    void problemBodyNamesExecution()
    {
        for (const ErrorRow &row : errorTable()) {
            const auto body = nlohmann::json::parse(problemBody(row.kind, "bad \xff byte", "id"));
            CPPUNIT_ASSERT_EQUAL(std::string(executionName(row.execution)), body["execution"].get<std::string>());
            CPPUNIT_ASSERT_EQUAL(row.httpStatus, body["status"].get<unsigned>());
        }
    }

    /// Guards against an id that is accepted in two spellings or with trailing bytes.
    void idsRejectMalformedText()
    {
        const RequestId id{Incarnation{0xfeed}, 7};
        CPPUNIT_ASSERT(RequestId::fromString(id.toString()) == id);
        for (const char *text :
             {"", "1", "zz", "0000000000000000", "000000000000feed0000000000000007x", "+00000000000feed0000000000000007"}) {
            CPPUNIT_ASSERT(!RequestId::fromString(text));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ErrorKindTest);
