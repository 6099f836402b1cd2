#include "diffcommand.h"

#include "documentfiles.h"
#include "texttable.h"

#include <galenarack/document/documentdiff.h>

#include <nlohmann/json.hpp>

#include <ostream>

namespace Galenarack {

namespace {

void printChanges(const CommandContext &context, const std::vector<DocumentChange> &changes)
{
    std::vector<std::vector<std::string>> rows;
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    for (const DocumentChange &change : changes) {
        const std::string action(changeActionName(change.action));
        rows.push_back({change.section, change.owner, change.kind, change.name, action, change.field, change.before, change.after});
        nlohmann::ordered_json element;
        element["section"] = change.section;
        element["owner"] = change.owner;
        element["kind"] = change.kind;
        element["name"] = change.name;
        element["action"] = action;
        element["field"] = change.field;
        element["before"] = change.before;
        element["after"] = change.after;
        list.push_back(std::move(element));
    }
    if (context.isJson) {
        context.out << list.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
    } else if (rows.empty()) {
        context.out << "no difference\n";
    } else {
        printTable(context.out, {"SECTION", "OWNER", "KIND", "NAME", "ACTION", "FIELD", "BEFORE", "AFTER"}, rows);
    }
}

} // namespace

ExitCode runDiff(const CommandContext &context)
{
    if (context.arguments.size() != 2) {
        return usageError(context, "diff needs OLD and NEW, each a file or a folder");
    }
    std::vector<Document> documents;
    for (const std::string &path : context.arguments) {
        const auto sections = readSections({path});
        if (!sections.ok()) {
            return usageError(context, std::string(sections.status().message()));
        }
        // Documents with errors are compared as well, without the rows that cannot be parsed.
        const std::vector<Finding> findings = checkSections(*sections);
        if (!findings.empty()) {
            context.err << path << " has errors; rows that cannot be parsed are left out:\n";
            printFindings(context.err, false, findings, *sections);
        }
        documents.push_back(DocumentChecker(toSectionVersions(*sections)).build());
    }
    const std::vector<DocumentChange> changes = DocumentDiff::compare(documents[0], documents[1]);
    printChanges(context, changes);
    return changes.empty() ? ExitCode::Ok : ExitCode::Findings;
}

} // namespace Galenarack
