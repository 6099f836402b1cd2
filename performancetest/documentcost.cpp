#include "targetdocument.h"

#include <galenarack/config/acceptance.h>
#include <galenarack/document/documentdiff.h>

#include <malloc.h>

#include <cstdio>
#include <ctime>
#include <string_view>

using namespace Galenarack;

namespace {

/// Maximum processor time, in seconds, to accept one changed section at the target size.
constexpr double maxAcceptSeconds = 1.0;

/// Maximum control overhead of a node as a share of a core (section 1), and the number of configuration changes per day. Accepting these
/// changes must not take more than the whole share.
constexpr double maxControlShare = 0.028;
constexpr double changesPerDay = 950.0;
constexpr double secondsPerDay = 86'400.0;

/// Maximum memory of a node in bytes. A document may use at most half of it, because two documents exist during a change.
constexpr double maxNodeBytes = 256.0 * 1024 * 1024;
constexpr double maxDocumentBytes = maxNodeBytes / 2;

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Cost of a document of one size.
struct Cost
{
    std::size_t rows = 0;
    double bytes = 0; ///< Total size of the section values in bytes.
    double firstSeconds = 0; ///< Processor time to accept the first revision, for which all sections are parsed.
    double changeSeconds = 0; ///< Mean processor time to accept a revision with one changed section.
    double slowestSeconds = 0; ///< Longest processor time to accept a revision with one changed section.
    double diffSeconds = 0; ///< Longest processor time to compare two documents that differ in one section.
    double heldBytes = 0; ///< Heap used by section values, parsed sections and the document in force.
};

std::size_t rowsOf(const Document &document)
{
    return document.services.size() + document.upstreams.size() + document.routes.all().size() + document.accounts.all().size();
}

/// Accepts the revision, or exits with status 1 if it has errors.
/// @return the accepted document
std::shared_ptr<const Document> acceptOrExit(const Manifest &manifest, SectionCache &cache)
{
    const Acceptance acceptance = acceptRevision(manifest, cache);
    if (!acceptance.findings.empty()) {
        std::fprintf(stderr, "the target document has errors: %s\n", acceptance.findings.front().toString().c_str());
        std::exit(1);
    }
    return acceptance.document;
}

Cost measure(double scale, unsigned rowsPerSection = usualRows)
{
    Cost cost;
    std::vector<TargetSection> sections = makeTarget(scale, rowsPerSection);
    const double heapBefore = heapBytes();
    SectionCache cache;
    Manifest manifest = publishTarget(sections, cache);
    double start = processorSeconds();
    std::shared_ptr<const Document> document = acceptOrExit(manifest, cache);
    cost.firstSeconds = processorSeconds() - start;
    cost.heldBytes = heapBytes() - heapBefore;
    cost.rows = rowsOf(*document);
    cost.bytes = static_cast<double>(cache.totalBytes());

    for (TargetSection &section : sections) {
        section.text += "# one line more\n";
        const Manifest next = publishTarget(sections, cache, &manifest);
        start = processorSeconds();
        const auto changed = acceptOrExit(next, cache);
        const double seconds = processorSeconds() - start;
        cost.changeSeconds += seconds / static_cast<double>(sections.size());
        cost.slowestSeconds = std::max(cost.slowestSeconds, seconds);
        start = processorSeconds();
        DocumentDiff::compare(*document, *changed);
        cost.diffSeconds = std::max(cost.diffSeconds, processorSeconds() - start);
        document = changed;
        manifest = next;
    }
    return cost;
}

void print(const char *name, const Cost &cost)
{
    std::printf("%-24s %6zu rows %6.2f MB   first %7.1f ms   one section changed: mean %6.1f ms, slowest %6.1f ms   diff %6.1f ms   held "
                "%6.1f MB\n",
                name,
                cost.rows,
                cost.bytes / 1e6,
                cost.firstSeconds * 1e3,
                cost.changeSeconds * 1e3,
                cost.slowestSeconds * 1e3,
                cost.diffSeconds * 1e3,
                cost.heldBytes / 1e6);
}

void printSlope(const char *name, const Cost &from, const Cost &to)
{
    const auto rows = static_cast<double>(to.rows - from.rows);
    std::printf("slope %-18s first %6.2f us a row   one section changed %6.2f us a row   held %6.0f bytes a row\n",
                name,
                (to.firstSeconds - from.firstSeconds) * 1e6 / rows,
                (to.changeSeconds - from.changeSeconds) * 1e6 / rows,
                (to.heldBytes - from.heldBytes) / rows);
}

bool isWithin(const char *what, double value, double bound, const char *unit)
{
    const bool isOk = value <= bound;
    std::printf("%-58s %9.4f %s, bound %9.4f: %s\n", what, value, unit, bound, isOk ? "ok" : "BROKEN");
    return isOk;
}

} // namespace

int main(int argc, char **argv)
{
    const Cost tenth = measure(0.1);
    const Cost half = measure(0.5);
    const Cost whole = measure(1.0);
    print("tenth", tenth);
    print("half", half);
    print("target", whole);
    const Cost largest = measure(1.0, largestRows);
    print("target, sections of 1 MB", largest);
    printSlope("tenth to half", tenth, half);
    printSlope("half to target", half, whole);

    // Each change is accepted, and compared with the previous document for the audit trail.
    const double share = (whole.changeSeconds + whole.diffSeconds) * changesPerDay / secondsPerDay;
    bool isOk = isWithin("one changed section of 2,500 rows at the target, slowest", whole.slowestSeconds, maxAcceptSeconds, "s");
    isOk = isWithin("one changed section of 1 MB at the target, slowest", largest.slowestSeconds, maxAcceptSeconds, "s") && isOk;
    isOk = isWithin("950 changes a day, of a core", share, maxControlShare, "") && isOk;
    isOk = isWithin("document at the target", whole.heldBytes / 1e6, maxDocumentBytes / 1e6, "MB") && isOk;
    std::printf("950 changes a day use %.1f%% of the 2.8%% of a core\n", share / maxControlShare * 100);
    const bool isCheck = argc > 1 && std::string_view(argv[1]) == "--check";
    return isCheck && !isOk ? 1 : 0;
}
