#include <galenarack/node/explain.h>

#include <algorithm>
#include <optional>
#include <string_view>

namespace Galenarack {

namespace {

using Json = nlohmann::ordered_json;

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

void addSection(Json &body, const Document &document, std::string_view name)
{
    body["section"] = name;
    const auto section = std::ranges::find(document.sections, name, &SectionInfo::name);
    if (section != document.sections.end()) {
        body["owner"] = section->owner;
        body["contact"] = section->contact;
    }
}

std::string floorText(const FloorRule &floor)
{
    std::string text = floor.count > 0 ? "at least " + std::to_string(floor.count) + " upstreams"
                                       : "at least a share of " + std::to_string(floor.share) + " of the reachable upstreams";
    if (floor.perFailureDomain > 0) {
        text += ", and " + std::to_string(floor.perFailureDomain) + " in each failure domain";
    }
    return text;
}

std::string_view ruleText(UpstreamRule rule)
{
    switch (rule) {
    case UpstreamRule::Judge:
        return "judge: its home may eject it, based on its requests";
    case UpstreamRule::Trust:
        return "trust: never ejected";
    case UpstreamRule::Aside:
        return "aside: ejected by the document";
    case UpstreamRule::Retire:
        return "retire: gets no new work";
    }
    return "";
}

Json explainService(const Document &document, std::span<const UpstreamStatus> upstreams, const ServiceRow &service)
{
    Json body;
    body["service"] = service.name;
    body["profile"]
        = service.profile == DetectionProfile::Claims ? "claims: prefers early detection" : "authority: prefers few false ejections";
    body["floor"] = floorText(service.floor);
    body["queue"] = service.queueLimit;
    addSection(body, document, service.section);
    Json &rows = body["upstreams"] = Json::object();
    for (const UpstreamStatus &upstream : upstreams) {
        if (upstream.service == service.name) {
            rows[upstream.name] = upstream.state + " (" + upstream.reason + ")";
        }
    }
    return body;
}

Json explainUpstream(const Document &document, std::span<const UpstreamStatus> upstreams, const UpstreamRow &row)
{
    Json body;
    body["upstream"] = row.name;
    body["service"] = document.services[row.service].name;
    body["vm"] = row.vm;
    body["failure_domain"] = row.failureDomain;
    body["slots"] = row.slots;
    body["rule"] = ruleText(row.rule);
    addSection(body, document, row.section);
    const auto status = std::ranges::find(upstreams, row.name, &UpstreamStatus::name);
    if (status != upstreams.end()) {
        body["now"] = toJson(*status);
    }
    return body;
}

Json explainRoute(const Document &document, const RouteRow &route, std::string_view method)
{
    Json body;
    body["route"] = route.prefix;
    body["methods"] = route.methods;
    body["service"] = document.services[route.service].name;
    body["deadline_ms"] = toMs(route.deadline);
    body["hedge"] = route.hedge;
    if (route.repeatable) {
        body["repeatable"] = *route.repeatable ? "yes, by the document" : "no, by the document: runs at most once";
    } else if (!method.empty()) {
        body["repeatable"] = route.isRepeatable(method) ? "yes, by the method" : "no, by the method: runs at most once";
    } else {
        body["repeatable"] = "by the method";
    }
    addSection(body, document, route.section);
    return body;
}

Json explainAccount(const Document &document, const AccountRow &account)
{
    Json body;
    body["account"] = account.name;
    body["max_in_flight"] = account.maxInFlight;
    body["rate_per_s"] = account.ratePerSecond;
    body["scope"] = "per node that receives requests of the account; 0 means no limit";
    addSection(body, document, account.section);
    return body;
}

std::optional<Json> explainName(const Document &document, std::span<const UpstreamStatus> upstreams, const ExplainQuery &query)
{
    if (query.subject == "service") {
        const auto index = document.findService(query.name);
        return index ? std::optional(explainService(document, upstreams, document.services[*index])) : std::nullopt;
    }
    if (query.subject == "upstream") {
        const auto index = document.findUpstream(query.name);
        return index ? std::optional(explainUpstream(document, upstreams, document.upstreams[*index])) : std::nullopt;
    }
    if (query.subject == "account") {
        const AccountRow *account = document.accounts.find(query.name);
        return account != nullptr ? std::optional(explainAccount(document, *account)) : std::nullopt;
    }
    if (query.subject == "route") {
        const auto parameter = query.parameters.find("method");
        const std::string method = parameter == query.parameters.end() ? std::string() : parameter->second;
        const RouteRow *route = method.empty() ? document.routes.find("/" + query.name) : document.routes.find("/" + query.name, method);
        return route != nullptr ? std::optional(explainRoute(document, *route, method)) : std::nullopt;
    }
    return std::nullopt;
}

/// @return name of the first parameter that the subject does not use; empty when there is none
std::string_view findUnusedParameter(const ExplainQuery &query)
{
    const auto unused = std::ranges::find_if(query.parameters, [&query](const auto &parameter) {
        return query.subject != "route" || parameter.first != "method";
    });
    return unused == query.parameters.end() ? std::string_view() : unused->first;
}

} // namespace

OperatorReply explain(const Document *document, std::span<const UpstreamStatus> upstreams, const ExplainQuery &query)
{
    constexpr unsigned badRequest = 400;
    constexpr unsigned notFound = 404;
    if (document == nullptr) {
        return {notFound, {{"detail", "no document is in force"}}};
    }
    if (const std::string_view unused = findUnusedParameter(query); !unused.empty()) {
        return {badRequest, {{"detail", "unknown parameter '" + std::string(unused) + "': expected none, or method for a route"}}};
    }
    if (auto body = explainName(*document, upstreams, query)) {
        (*body)["revision"] = document->revision;
        return {200, std::move(*body)};
    }
    return {notFound,
            {{"detail", "unknown subject or name: expected service, upstream, account or route, and a name in the document in force"}}};
}

} // namespace Galenarack
