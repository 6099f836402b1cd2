#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// State of a VM in the VM list.
enum class VmState : std::uint8_t {
    Live,
    Leaving,
};

/// One VM of the VM list.
struct VmEntry
{
    std::string name;
    std::string address; ///< IP address of its node.
    std::string failureDomain;
    VmState state = VmState::Live;

    bool operator==(const VmEntry &) const = default;
};

/// Parses the value of the key "vms". The list lags behind, so it is a hint and never proof.
/// @return the VMs in the order of the list, or ConfigInvalid with the first error
absl::StatusOr<std::vector<VmEntry>> parseVmList(std::string_view json);

} // namespace Galenarack
