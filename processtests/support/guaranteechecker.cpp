#include "guaranteechecker.h"

namespace Galenarack {

void Promises::addReply(const TestReply &reply, const std::string &key)
{
    if (reply.end == StandIns::ExchangeEnd::ResponseCut) {
        ++this->cut;
    }
    if (reply.execution() == "not-run") {
        this->notRunRequestIds.push_back(StandIns::jsonStringMember(reply.body, "request_id"));
    }
    if (reply.status == 200 && !key.empty()) {
        this->answeredKeys.push_back(key);
    }
}

void Promises::addLoad(const nlohmann::json &report)
{
    this->mismatched += report.at("mismatched").get<std::uint64_t>();
    this->cut += report.at("errors").value("response-cut", std::uint64_t(0));
    for (const auto &id : report.at("not_run_request_ids")) {
        this->notRunRequestIds.push_back(id);
    }
    for (const auto &key : report.at("ok_keys")) {
        this->answeredKeys.push_back(key);
    }
}

std::string Promises::broken(const nlohmann::json &runs) const
{
    std::string broken;
    if (this->mismatched + this->cut > 0) {
        broken += "P2: " + std::to_string(this->mismatched) + " mismatched and " + std::to_string(this->cut) + " cut responses\n";
    }
    for (const std::string &id : this->notRunRequestIds) {
        if (id.empty() || runs["request_ids"].contains(id)) {
            broken += "P3: request '" + id + "' was reported as not run and has a run\n";
        }
    }
    for (const auto &[key, count] : runs["keys"].items()) {
        if (count.get<int>() > 1) {
            broken += "P4: key " + key + " ran " + count.dump() + " times\n";
        }
    }
    for (const std::string &key : this->answeredKeys) {
        if (runs["keys"].value(key, 0) != 1) {
            broken += "P2: key " + key + " was answered with 200 without a run\n";
        }
    }
    return broken;
}

} // namespace Galenarack
