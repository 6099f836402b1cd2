#include "configsupport.h"

#include <galenarack/document/documentchecker.h>
#include <galenarack/document/documentdiff.h>
#include <galenarack/document/documentparser.h>

using namespace Galenarack;

namespace {

/// Change of a document and the errors expected, one "section: field" per line; empty when the change is valid.
struct CheckCase
{
    const char *what;
    std::vector<TestSection> sections;
    std::string errors;
};

std::vector<SectionVersions> versionsOf(const std::vector<TestSection> &sections)
{
    std::vector<SectionVersions> versions;
    for (const TestSection &section : sections) {
        const auto parse = [&section](const std::string &text) {
            return text.empty() ? nullptr : DocumentParser::parse(text, section.name);
        };
        versions.push_back({section.name, parse(section.latest), parse(section.previous)});
    }
    return versions;
}

std::string routeText(const char *section, const char *rows)
{
    return sectionText(section, std::string("routes:\n") + rows);
}

std::vector<CheckCase> checkCases()
{
    const std::string s0 = servicesText({2});
    const std::string u10 = upstreamsText("u", "s0", 10);
    const std::string r0 = routesText({"s0"});
    const std::string late = routesText({"s0"}, ", deadline_ms: 20000");
    const std::string empty = sectionText("services", "services: []\n");
    const std::string a1 = "  - {prefix: /a, service: s0, methods: [GET]}\n";
    const std::string a2 = "  - {prefix: /a, service: s0, methods: [POST, GET]}\n";
    const std::string a3 = "  - {prefix: /a, service: s0, methods: [POST]}\n";
    const std::string all = "  - {prefix: /a, service: s0}\n";
    const std::string horizon = sectionText("t", "timings: {retry_horizon_s: 10}\n");
    const std::string share = sectionText("t", "timings: {max_retire_share: 0.5}\n");
    const TestSection services{"services", s0, s0};
    const TestSection upstreams{"u", u10, u10};
    const TestSection routes{"routes", r0, r0};
    std::string otherDomain = upstreamsText("v", "s0", 1);
    otherDomain.replace(otherDomain.find("d0"), 2, "d1");
    return {
        {"valid", {services, upstreams, routes}, ""},
        {"new references to an unknown service",
         {services, {"u", upstreamsText("u", "s1", 2), ""}, {"routes", routesText({"s2"}), ""}},
         "routes: service\nu: service\nu: service\n"},
        {"a service removed while others use it", {{"services", empty, s0}, upstreams, routes}, "services: service\nservices: service\n"},
        {"a section removed while others use it", {{"services", "", s0}, upstreams, routes}, "services: service\nservices: service\n"},
        {"a new use of a service that is removed",
         {{"services", empty, s0}, {"routes", r0, sectionText("routes", "routes: []\n")}},
         "routes: service\n"},
        {"a misspelt field does not make references unknown",
         {{"services", sectionText("services", "services:\n  - {name: s0, flor: 1}\n"), s0}, upstreams, routes},
         "services: floor\nservices: services\n"},
        {"names used twice, in one section and in a new one",
         {services, upstreams, {"w", u10, ""}, {"a", sectionText("a", "accounts: [{name: x}, {name: x}]\n"), ""}},
         "a: account name\n" +
             [] {
                 std::string repeated;
                 for (int i = 0; i < 10; ++i) {
                     repeated += "w: upstream name\n";
                 }
                 return repeated;
             }()
             + "w: section\n"},
        {"routes overlap: in one section", {services, upstreams, {"r", routeText("r", (a1 + a2).c_str()), ""}}, "r: prefix\n"},
        {"routes overlap: all methods after one", {services, upstreams, {"r", routeText("r", (a1 + all).c_str()), ""}}, "r: prefix\n"},
        {"routes overlap: one method after all", {services, upstreams, {"r", routeText("r", (all + a1).c_str()), ""}}, "r: prefix\n"},
        {"routes overlap: the section with the new route is named",
         {services, upstreams, {"r", routeText("r", a1.c_str()), ""}, {"q", routeText("q", a1.c_str()), routeText("q", a1.c_str())}},
         "r: prefix\n"},
        {"the same prefix with different methods", {services, upstreams, {"r", routeText("r", (a1 + a3).c_str()), ""}}, ""},
        {"a VM in two failure domains", {services, upstreams, {"v", otherDomain, ""}}, "v: failure_domain\n"},
        {"a floor raised above the upstreams", {{"services", servicesText({11}), s0}, upstreams, routes}, "services: floor count\n"},
        {"upstreams taken below the floor; also more than the share",
         {{"services", servicesText({8}), servicesText({8})}, {"u", upstreamsText("u", "s0", 10, 4), u10}, routes},
         "u: upstreams of service s0\nu: floor count\n"},
        {"a route to a service without upstreams",
         {services, {"routes", r0, sectionText("routes", "routes: []\n")}},
         "routes: floor count\n"},
        {"a service before its upstreams", {services}, ""},
        {"retiring 3 of 10", {services, {"u", upstreamsText("u", "s0", 10, 3), u10}, routes}, ""},
        {"retiring 4 of 10", {services, {"u", upstreamsText("u", "s0", 10, 4), u10}, routes}, "u: upstreams of service s0\n"},
        {"removing 4 of 10", {services, {"u", upstreamsText("u", "s0", 6), u10}, routes}, "u: upstreams of service s0\n"},
        {"removing the section",
         {services, {"u", "", u10}, {"v", upstreamsText("v", "s0", 9), ""}, routes},
         "u: upstreams of service s0\n"},
        {"retiring 4 of 10 with a share of 0.5", {services, {"u", upstreamsText("u", "s0", 10, 4), u10}, routes, {"t", share, share}}, ""},
        {"retiring 2 and 2 of 10 in two sections",
         {services,
          {"u", upstreamsText("u", "s0", 5, 2), upstreamsText("u", "s0", 5)},
          {"v", upstreamsText("v", "s0", 5, 2), upstreamsText("v", "s0", 5)},
          routes},
         "u: upstreams of service s0\nv: upstreams of service s0\n"},
        {"a service without routes may lose all", {services, {"u", upstreamsText("u", "s0", 10, 10), u10}}, ""},
        {"a deadline above the retry horizon",
         {services, upstreams, {"routes", late, r0}, {"t", horizon, horizon}},
         "routes: deadline_ms\n"},
        {"a retry horizon below a deadline", {services, upstreams, {"routes", late, late}, {"t", horizon, ""}}, "t: retry_horizon_s\n"},
        {"timings twice", {services, {"t", horizon, horizon}, {"t2", sectionText("t2", "timings: {}\n"), ""}}, "t2: timings\n"},
    };
}

} // namespace

class DocumentCheckerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DocumentCheckerTest);
    CPPUNIT_TEST(errorsAreAttributedToTheChangedSection);
    CPPUNIT_TEST(lookupsFollowPrefixAndMethod);
    CPPUNIT_TEST(diffListsEachChangedField);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an error that is not found, or that is attributed to another team's section and holds back its change.
    void errorsAreAttributedToTheChangedSection()
    {
        for (const CheckCase &row : checkCases()) {
            const auto versions = versionsOf(row.sections);
            const auto findings = DocumentChecker(versions).check();
            std::string errors;
            for (const Finding &finding : findings) {
                errors += finding.section + ": " + finding.field + "\n";
                CPPUNIT_ASSERT_MESSAGE(finding.toString(), !finding.owner.empty() && !finding.allowed.empty());
            }
            std::vector<std::string> lines[2];
            for (const auto &[text, target] : {std::pair(errors, &lines[0]), std::pair(row.errors, &lines[1])}) {
                std::istringstream stream(text);
                for (std::string line; std::getline(stream, line);) {
                    target->push_back(line);
                }
                std::ranges::sort(*target);
            }
            CPPUNIT_ASSERT_MESSAGE(std::string(row.what) + "\n" + findingsText(findings), lines[0] == lines[1]);
        }
    }

    /// Guards against a request that is routed by part of a path segment, or to the route of another method.
    void lookupsFollowPrefixAndMethod()
    {
        RouteTable table;
        CPPUNIT_ASSERT(table.find("/a") == nullptr);
        std::vector<RouteRow> rows;
        for (const auto &[prefix, methods] : std::vector<std::pair<std::string, std::vector<std::string>>>{
                 {"/a", {"GET"}}, {"/", {}}, {"/a/b", {}}, {"/a", {"POST", "PUT"}}, {"/a/b/c/d", {}}}) {
            rows.emplace_back();
            rows.back().prefix = prefix;
            rows.back().methods = methods;
        }
        table = RouteTable(rows);
        struct Case
        {
            const char *path;
            const char *method;
            std::size_t row;
        };
        for (const Case &row : {Case{"/a", "GET", 0},
                                {"/a", "PUT", 3},
                                {"/a", "DELETE", 0},
                                {"/a/", "GET", 0},
                                {"/ab", "GET", 1},
                                {"/", "GET", 1},
                                {"", "GET", 1},
                                {"*", "OPTIONS", 1},
                                {"/a/b", "GET", 2},
                                {"/a/b/c", "GET", 2},
                                {"/a/b/c/d", "GET", 4},
                                {"/a/b/c/de", "GET", 2},
                                {"/a/b/c/d/e/f", "GET", 4},
                                {"//a", "GET", 1}}) {
            const RouteRow *found = table.find(row.path, row.method);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.path, row.row, static_cast<std::size_t>(found - table.all().data()));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.path, found->prefix, table.find(row.path)->prefix);
        }
    }

    /// Guards against an audit trail that lacks a change or names the wrong owner.
    void diffListsEachChangedField()
    {
        const auto build = [](const std::vector<TestSection> &sections) {
            return DocumentChecker(versionsOf(sections)).build();
        };
        const Document before = build({{"services", servicesText({2, 1}), ""},
                                       {"u", upstreamsText("u", "s0", 3), ""},
                                       {"routes", routesText({"s0"}), ""},
                                       {"t", sectionText("t", "timings: {retry_horizon_s: 60}\n"), ""}});
        const Document after = build({{"services", servicesText({1}), ""},
                                      {"u", upstreamsText("u", "s0", 4, 1), ""},
                                      {"routes", routesText({"s0"}, ", hedge: true"), ""},
                                      {"a", sectionText("a", "accounts: [{name: x}]\n"), ""}});
        std::string text;
        for (const DocumentChange &change : DocumentDiff::compare(before, after)) {
            text += change.toString() + "\n";
        }
        CPPUNIT_ASSERT_EQUAL(std::string("section a (owner a team): account x added\n"
                                         "section a (owner a team): section a added\n"
                                         "section routes (owner routes team): route /s0 all: hedge from false to true\n"
                                         "section services (owner services team): service s0: floor count from 2 to 1\n"
                                         "section services (owner services team): service s1 removed\n"
                                         "section t (owner t team): section t removed\n"
                                         "section t (owner t team): timings: retry_horizon_s from 60 to 300\n"
                                         "section u (owner u team): upstream u-3 added\n"),
                             text);
        CPPUNIT_ASSERT(DocumentDiff::compare(before, before).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, after.findUpstream("u-3").value());
        CPPUNIT_ASSERT(!after.findService("s1").has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, before.upstreamsOfService(0).size());
        CPPUNIT_ASSERT(before.upstreamSpan(1).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentCheckerTest);
