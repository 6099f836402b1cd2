#include "tracecommand.h"

#include "requesttrace.h"
#include "texttable.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>

namespace Galenarack {

namespace {

/// @return the fields of a line that have no column of their own
std::string detailText(const TraceLine &line)
{
    constexpr std::array<std::string_view, 5> columns = {"time", "level", "component", "message", "request_id"};
    std::string text;
    for (const auto &[name, value] : line.fields.items()) {
        if (std::ranges::find(columns, name) == columns.end()) {
            text.append(text.empty() ? "" : ", ").append(name).append(" ").append(line.text(name));
        }
    }
    return text;
}

void printText(const CommandContext &context, RequestTrace &trace)
{
    std::vector<std::vector<std::string>> rows;
    for (const TraceLine &line : trace.orderedLines()) {
        const std::int64_t skew = trace.skewMs(line);
        rows.push_back({line.text("time"),
                        skew == 0 ? "" : "+" + std::to_string(skew) + " ms",
                        line.log,
                        line.text("component"),
                        line.text("message"),
                        detailText(line)});
    }
    printTable(context.out, {"TIME", "CLOCK AHEAD", "LOG", "COMPONENT", "DECISION", "INPUTS"}, rows);
    context.out << "cause: " << trace.cause() << '\n';
}

void printJson(const CommandContext &context, RequestTrace &trace)
{
    nlohmann::ordered_json result = {{"lines", nlohmann::ordered_json::array()}, {"cause", trace.cause()}};
    for (const TraceLine &line : trace.orderedLines()) {
        result["lines"].push_back({{"log", line.log}, {"clock_ahead_ms", trace.skewMs(line)}, {"line", line.fields}});
    }
    context.out << result.dump(2) << '\n';
}

} // namespace

ExitCode runTrace(const CommandContext &context)
{
    if (context.arguments.size() < 2) {
        return usageError(context, "trace needs a request id and at least one log file");
    }
    RequestTrace trace(context.arguments.front());
    for (std::size_t i = 1; i < context.arguments.size(); ++i) {
        const std::string &name = context.arguments[i];
        std::ifstream file;
        if (name != "-") {
            file.open(name);
            if (!file) {
                return usageError(context, name + ": cannot be read");
            }
        }
        trace.read(name, name == "-" ? std::cin : file);
    }
    if (context.isJson) {
        printJson(context, trace);
    } else {
        printText(context, trace);
    }
    return trace.orderedLines().empty() ? ExitCode::Findings : ExitCode::Ok;
}

} // namespace Galenarack
