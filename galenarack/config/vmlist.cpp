#include <galenarack/config/vmlist.h>

#include <galenarack/core/errorkind.h>

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <set>

namespace Galenarack {

namespace {

/// Limits the memory that an invalid list can use; far above the target of 660 nodes.
constexpr std::size_t maxVms = 10'000;

bool isText(const nlohmann::json &object, const char *name)
{
    const auto member = object.find(name);
    return member != object.end() && member->is_string() && !member->get_ref<const std::string &>().empty();
}

/// Reads one element of the list.
/// @return the error; empty when the element is valid
std::string readVm(const nlohmann::json &json, VmEntry &vm)
{
    if (!json.is_object()) {
        return "not an object";
    }
    for (const char *name : {"name", "address", "failure_domain", "state"}) {
        if (!isText(json, name)) {
            return std::string(name) + ": must be a non-empty string";
        }
    }
    vm.name = json["name"];
    vm.address = json["address"];
    vm.failureDomain = json["failure_domain"];
    const std::string state = json["state"];
    boost::system::error_code error;
    boost::asio::ip::make_address(vm.address, error);
    if (error) {
        return "address '" + vm.address + "': not an IP address";
    }
    if (state != "live" && state != "leaving") {
        return "state '" + state + "': allowed: live or leaving";
    }
    vm.state = state == "live" ? VmState::Live : VmState::Leaving;
    return {};
}

} // namespace

absl::StatusOr<std::vector<VmEntry>> parseVmList(std::string_view json)
{
    const nlohmann::json root = nlohmann::json::parse(json, nullptr, false);
    if (!root.is_array() || root.size() > maxVms) {
        return makeError(ErrorKind::ConfigInvalid, "VM list: must be a JSON array of at most 10000 VMs");
    }
    std::vector<VmEntry> vms;
    std::set<std::string> names;
    for (const nlohmann::json &element : root) {
        VmEntry vm;
        std::string error = readVm(element, vm);
        if (error.empty() && !names.insert(vm.name).second) {
            error = "name '" + vm.name + "': given twice";
        }
        if (!error.empty()) {
            return makeError(ErrorKind::ConfigInvalid, "VM list, entry " + std::to_string(vms.size()) + ": " + error);
        }
        vms.push_back(std::move(vm));
    }
    return vms;
}

} // namespace Galenarack
