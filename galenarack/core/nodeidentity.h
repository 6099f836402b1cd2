#pragma once

#include <galenarack/core/ids.h>

#include <string>

namespace Galenarack {

/// Identity of a node, from its settings and its process start.
struct NodeIdentity
{
    std::string fleet; ///< Name of the fleet; peers of other fleets are refused.
    std::string vm; ///< Name of the node's VM, unique in the fleet.
    std::string failureDomain; ///< Name of the failure domain of the VM.
    Incarnation incarnation; ///< Incarnation generated at process start.
};

} // namespace Galenarack
