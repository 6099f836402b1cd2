#include "configsupport.h"

#include <galenarack/document/documentparser.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace Galenarack;

namespace {

/// Section text and its only error; the field is null when the text is valid.
struct ParseCase
{
    const char *list;
    unsigned line; ///< Lines 1 to 4 are the header of sectionText().
    const char *field;
    const char *value;
    const char *allowed; ///< Part of the text of Finding::allowed.
};

const ParseCase parseCases[] = {
    {"services:\n  - {name: a, floor: {count: 1}}\n", 0, nullptr, "", ""},
    {"services: []\n", 0, nullptr, "", ""},
    {"services:\n  - {name: a b, floor: {count: 1}}\n", 6, "name", "a b", "letters, digits"},
    {"services:\n  - name: a\n    floor: {count: 1}\n    queue: -1\n", 8, "queue", "-1", "0 to 10000, in requests"},
    {"services:\n  - {name: a, floor: {count: 1}, queue: 0x10}\n", 6, "queue", "0x10", "whole number"},
    {"services:\n  - {name: a, floor: {count: 1}, queue: 12.5}\n", 6, "queue", "12.5", "whole number"},
    {"services:\n  - {name: a, floor: {count: 1}, queue: 99999999999999999999}\n", 6, "queue", "99999999999999999999", "whole number"},
    {"services:\n  - {name: a}\n", 6, "floor", "", "count, share, per_failure_domain"},
    {"services:\n  - {name: a, floor: {share: 70%}}\n", 6, "share", "70%", "0.01 to 1, in share"},
    {"services:\n  - {name: a, floor: {share: nan}}\n", 6, "share", "nan", "0.01 to 1"},
    {"services:\n  - {name: a, floor: {share: 1.5}}\n", 6, "share", "1.5", "0.01 to 1"},
    {"services:\n  - {name: a, floor: {share: 0.5, count: 2}}\n", 6, "floor", "count and share", "count or share"},
    {"services:\n  - {name: a, floor: {count: 1}, profile: strict}\n", 6, "profile", "strict", "claims|authority"},
    {"services:\n  - {name: a, floor: {count: 1}, size: 1}\n", 6, "services", "size", "name, profile, floor, queue"},
    {"services:\n  - {name: a, name: b, floor: {count: 1}}\n", 6, "name", "b", "one value"},
    {"services: 3\n", 5, "", "3", "list of rows"},
    {"services:\n  - text\n", 6, "services", "text", "map with name"},
    {"upstreams:\n  - {name: a, service: s, vm: vm.1, failure_domain: d, slots: 3}\n", 6, "vm", "vm.1", "digits, '-' or '_'"},
    {"upstreams:\n  - {name: a, service: s, vm: v, failure_domain: d, slots: 0}\n", 6, "slots", "0", "1 to 10000"},
    {"upstreams:\n  - {name: a, service: s, vm: v, failure_domain: d, slots: 1, rule: drop}\n", 6, "rule", "drop", "judge|trust"},
    {"routes:\n  - {prefix: claims, service: s}\n", 6, "prefix", "claims", "whole path segments"},
    {"routes:\n  - {prefix: /claims/, service: s}\n", 6, "prefix", "/claims/", "without a '/' at the end"},
    {"routes:\n  - {prefix: /a/../b, service: s}\n", 6, "prefix", "/a/../b", "whole path segments"},
    {"routes:\n  - {prefix: /a, service: s, methods: [get]}\n", 6, "methods", "get", "in capitals"},
    {"routes:\n  - {prefix: /a, service: s, methods: [GET, GET]}\n", 6, "methods", "GET", "different"},
    {"routes:\n  - {prefix: /a, service: s, repeatable: yes}\n", 6, "repeatable", "yes", "true or false"},
    {"routes:\n  - {prefix: /a, service: s, deadline_ms: 5s}\n", 6, "deadline_ms", "5s", "10 to 300000, in milliseconds"},
    {"routes:\n  - {prefix: /a, service: s, deadline_s: 5}\n", 6, "routes", "deadline_s", "deadline_ms"},
    {"routes:\n  - {prefix: /a, service: s, repeatable: false, hedge: true}\n", 6, "hedge", "true", "repeatable: true"},
    {"accounts:\n  - {name: a, rate_per_s: -0.5}\n", 6, "rate_per_s", "-0.5", "0 to 1000000, in requests a second"},
    {"timings: {max_retire_share: 34}\n", 5, "max_retire_share", "34", "0 to 1, in share"},
    {"timings: {ejection_base_s: 20, ejection_max_s: 10}\n", 5, "ejection_max_s", "", "at least 20"},
    {"accounts: []\nroutes: []\n", 6, "", "routes", "one of services"},
    {"volumes: []\naccounts: []\n", 5, "", "volumes", "one of services"},
    {"", 1, "", "", "one of services"},
    {"accounts:\n  - &a {name: a}\n  - *a\n", 7, "", "", "one YAML map"},
    {"accounts: [\n", 6, "", "", "one YAML map"},
    {"accounts: []\n---\naccounts: []\n", 7, "", "", "one YAML map"},
};

} // namespace

class DocumentParserTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DocumentParserTest);
    CPPUNIT_TEST(errorsNameLineValueAndAllowedValues);
    CPPUNIT_TEST(allErrorsAreReportedAtOnce);
    CPPUNIT_TEST(malformedInputIsReportedWithoutCrash);
    CPPUNIT_TEST(demonstrationDocumentIsValid);
    CPPUNIT_TEST(fieldPageMatchesTheTable);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an invalid value that is accepted, or reported with the wrong line, field or allowed values.
    void errorsNameLineValueAndAllowedValues()
    {
        for (const ParseCase &row : parseCases) {
            const auto section = DocumentParser::parse(sectionText("x", row.list), "x");
            const std::string shown = std::string(row.list) + findingsText(section->findings);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, row.field == nullptr ? std::size_t{0} : std::size_t{1}, section->findings.size());
            if (row.field == nullptr) {
                continue;
            }
            const Finding &finding = section->findings.front();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, row.line, finding.line);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, std::string(row.field), finding.field);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, std::string(row.value), finding.value);
            CPPUNIT_ASSERT_MESSAGE(shown, finding.allowed.find(row.allowed) != std::string::npos);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, std::string("x"), finding.section);
        }
    }

    /// Guards against errors that are reported one at a time, so that the owner needs a revision to find each of them.
    void allErrorsAreReportedAtOnce()
    {
        const auto section
            = DocumentParser::parse("section: y\nowner: o\npurpose: p\naccounts:\n  - {name: '', rate_per_s: x}\n  - {}\n", "x", 11);
        const std::vector<std::pair<unsigned, std::string>> expected
            = {{0, "section"}, {11, "contact"}, {15, "name"}, {15, "rate_per_s"}, {16, "name"}};
        CPPUNIT_ASSERT_EQUAL_MESSAGE(findingsText(section->findings), expected.size(), section->findings.size());
        for (std::size_t i = 0; i < expected.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(expected[i].first, section->findings[i].line);
            CPPUNIT_ASSERT_EQUAL(expected[i].second, section->findings[i].field);
            CPPUNIT_ASSERT_EQUAL(std::string("o"), section->findings[i].owner);
        }
    }

    /// Guards against a value that crashes the daemon or exhausts its memory: deep nesting, binary bytes, an empty or oversized value, an
    /// error in each of 5,000 lines.
    void malformedInputIsReportedWithoutCrash()
    {
        const std::string texts[] = {"",
                                     std::string(3, '\0') + "\xff\xfe",
                                     "text",
                                     "- 1",
                                     "{",
                                     std::string(100'000, '['),
                                     std::string(100'000, '{'),
                                     std::string(maxSectionBytes + 1, ' '),
                                     "%YAML 9.9\n---\n",
                                     "? [a, b]\n: c\n",
                                     sectionText("x", "accounts:\n") + std::string(3'000, '\t')};
        for (const std::string &text : texts) {
            CPPUNIT_ASSERT(!DocumentParser::parse(text, "x")->findings.empty());
        }
        std::string keys;
        for (int i = 0; i < 5'000; ++i) {
            keys += "k" + std::to_string(i) + ": 1\n";
        }
        const auto section = DocumentParser::parse(keys, "x");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1'001}, section->findings.size());
        CPPUNIT_ASSERT_EQUAL(std::string("errors that are not listed: 4005"), section->findings.front().problem);
    }

    /// Guards against an example that the daemon would refuse, and against comments in it that no longer match its content.
    void demonstrationDocumentIsValid()
    {
        SectionCache cache;
        std::vector<TestSection> sections;
        for (const auto &file : std::filesystem::directory_iterator(GALENARACK_SOURCE_DIR "/docs/examples/claims")) {
            std::ostringstream text;
            text << std::ifstream(file.path()).rdbuf();
            sections.push_back({DocumentParser::parse(text.str())->info.name, text.str(), ""});
        }
        const Acceptance acceptance = acceptRevision(makeManifest(1, sections, cache), cache);
        CPPUNIT_ASSERT_EQUAL(std::string(), findingsText(acceptance.findings));
        const Document &document = *acceptance.document;
        CPPUNIT_ASSERT_EQUAL(std::size_t{24}, document.upstreams.size());
        CPPUNIT_ASSERT(!document.routes.find("/claims/7", "POST")->isRepeatable("POST"));
        CPPUNIT_ASSERT_EQUAL(document.findService("receipts").value(), document.routes.find("/claims/7", "GET")->service);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, document.upstreamSpan(*document.findService("donor-records")).size());
    }

    /// Guards against a field whose unit, range or default differs between docs/document.md and the parser.
    void fieldPageMatchesTheTable()
    {
        std::ostringstream page;
        page << std::ifstream(GALENARACK_SOURCE_DIR "/docs/document.md").rdbuf();
        for (const FieldSpec &spec : fieldTable()) {
            std::string allowed = allowedText(spec);
            for (std::size_t bar = allowed.find('|'); bar != std::string::npos; bar = allowed.find('|', bar + 2)) {
                allowed.replace(bar, 1, "\\|"); // A bar in a Markdown table is escaped.
            }
            const std::string row = "| `" + std::string(spec.name) + "` | " + allowed + " | "
                                    + (spec.required ? "required" : "`" + std::string(spec.defaultText) + "`") + " |";
            CPPUNIT_ASSERT_MESSAGE("docs/document.md lacks: " + row, page.str().find(row) != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentParserTest);
