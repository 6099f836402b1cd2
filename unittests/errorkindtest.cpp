#include <galenarack/core/errorkind.h>
#include <galenarack/core/ids.h>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <set>
#include <vector>

using namespace Galenarack;

namespace {

/// @return the trimmed cells of a row of a Markdown table
std::vector<std::string> tableCells(const std::string &line)
{
    std::vector<std::string> cells;
    std::size_t start = 1;
    for (std::size_t end = 0; (end = line.find('|', start)) != std::string::npos; start = end + 1) {
        const std::string cell = line.substr(start, end - start);
        const std::size_t first = cell.find_first_not_of(' ');
        cells.push_back(first == std::string::npos ? std::string() : cell.substr(first, cell.find_last_not_of(' ') - first + 1));
    }
    return cells;
}

} // namespace

class ErrorKindTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ErrorKindTest);
    CPPUNIT_TEST(namesAreUniqueAndRoundTrip);
    CPPUNIT_TEST(statusCarriesKind);
    CPPUNIT_TEST(problemBodyContainsExecution);
    CPPUNIT_TEST(idsRejectMalformedText);
    CPPUNIT_TEST(callersPageListsEveryKind);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against two kinds with the same name, which readers of logs and peers could not distinguish.
    void namesAreUniqueAndRoundTrip()
    {
        std::set<std::string_view> names;
        for (const ErrorRow &row : errorTable()) {
            CPPUNIT_ASSERT(names.insert(row.name).second);
            CPPUNIT_ASSERT(errorKindFromName(row.name) == row.kind);
        }
    }

    /// Guards against an absl::Status that loses the error kind.
    void statusCarriesKind()
    {
        for (const ErrorRow &row : errorTable()) {
            const absl::Status status = makeError(row.kind, "detail");
            CPPUNIT_ASSERT(!status.ok());
            CPPUNIT_ASSERT(errorKindOf(status) == row.kind);
        }
    }

    /// Guards against an error response without the execution state, also when the detail is not valid UTF-8.
    void problemBodyContainsExecution()
    {
        for (const ErrorRow &row : errorTable()) {
            const auto body = nlohmann::json::parse(problemBody(row.kind, "bad \xff byte", "id"));
            CPPUNIT_ASSERT_EQUAL(std::string(executionName(row.execution)), body["execution"].get<std::string>());
            CPPUNIT_ASSERT_EQUAL(row.httpStatus, body["status"].get<unsigned>());
        }
    }

    /// Guards against an id that is accepted in several spellings or with trailing bytes.
    void idsRejectMalformedText()
    {
        const RequestId id{Incarnation{0xfeed}, 7};
        CPPUNIT_ASSERT(RequestId::fromString(id.toString()) == id);
        for (const char *text :
             {"", "1", "zz", "0000000000000000", "000000000000feed0000000000000007x", "+00000000000feed0000000000000007"}) {
            CPPUNIT_ASSERT(!RequestId::fromString(text));
        }
    }

    /// Guards against a callers' page (docs/callers.md) that lacks a kind, or differs from the code in status or execution.
    void callersPageListsEveryKind()
    {
        std::ifstream page(GALENARACK_SOURCE_DIR "/docs/callers.md");
        CPPUNIT_ASSERT(page.is_open());
        std::string line;
        while (std::getline(page, line) && !line.starts_with("| kind |")) { }
        std::getline(page, line);
        for (const ErrorRow &row : errorTable()) {
            CPPUNIT_ASSERT(std::getline(page, line));
            const std::vector<std::string> cells = tableCells(line);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(line, std::size_t{4}, cells.size());
            CPPUNIT_ASSERT_EQUAL("`" + std::string(row.name) + "`", cells[0]);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(line, std::to_string(row.httpStatus), cells[1]);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(line, std::string(executionName(row.execution)), cells[2]);
            CPPUNIT_ASSERT_MESSAGE(line, !cells[3].empty());
        }
        CPPUNIT_ASSERT_MESSAGE(line, !std::getline(page, line) || !line.starts_with("|"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ErrorKindTest);
