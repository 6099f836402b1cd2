#include "guaranteechecker.h"

namespace Galenarack {

void GuaranteeChecker::addReply(const TestReply &reply, const std::string &key)
{
    if (reply.end == StandIns::ExchangeEnd::ResponseCut) {
        ++this->cutResponses;
    }
    if (reply.execution() == "not-run") {
        this->notRunRequestIds.push_back(StandIns::jsonStringMember(reply.body, "request_id"));
    }
    if (reply.status == 200 && !key.empty()) {
        this->answeredKeys.push_back(key);
    }
}

void GuaranteeChecker::addLoadReport(const nlohmann::json &report)
{
    this->mismatchedResponses += report.at("mismatched").get<std::uint64_t>();
    this->cutResponses += report.at("errors").value("response-cut", std::uint64_t(0));
    for (const auto &id : report.at("not_run_request_ids")) {
        this->notRunRequestIds.push_back(id);
    }
    for (const auto &key : report.at("ok_keys")) {
        this->answeredKeys.push_back(key);
    }
}

std::string GuaranteeChecker::violations(const nlohmann::json &runs) const
{
    std::string violations;
    if (this->mismatchedResponses + this->cutResponses > 0) {
        violations += "P2: " + std::to_string(this->mismatchedResponses) + " mismatched and " + std::to_string(this->cutResponses)
                      + " cut responses\n";
    }
    for (const std::string &id : this->notRunRequestIds) {
        if (id.empty() || runs["request_ids"].contains(id)) {
            violations += "P3: request '" + id + "' was reported as not run, but an upstream ran it\n";
        }
    }
    for (const auto &[key, count] : runs["keys"].items()) {
        if (count.get<int>() > 1) {
            violations += "P4: key " + key + " ran " + count.dump() + " times\n";
        }
    }
    for (const std::string &key : this->answeredKeys) {
        if (runs["keys"].value(key, 0) != 1) {
            violations += "P2: key " + key + " was answered with status 200, but did not run exactly once\n";
        }
    }
    return violations;
}

} // namespace Galenarack
