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

/// Entry of one VM in the VM list.
struct VmEntry
{
    std::string name;
    std::string address; ///< IP address of the node on this VM.
    std::string failureDomain;
    VmState state = VmState::Live;

    bool operator==(const VmEntry &) const = default;
};

/// Parses the value of the key "vms". The list may be out of date, so it is only a hint about which VMs are live.
/// @return the VMs in the order of the list, or ConfigInvalid with the first error
absl::StatusOr<std::vector<VmEntry>> parseVmList(std::string_view json);

} // namespace Galenarack
