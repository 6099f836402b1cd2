#pragma once

#include <galenarack/core/ids.h>

#include <string>

namespace Galenarack {

/// What a node knows about itself from its settings and its start.
struct NodeIdentity
{
    std::string fleet; ///< Name of the fleet; peers of another fleet are refused.
    std::string vm; ///< Name of its VM, unique in the fleet.
    std::string failureDomain;
    Incarnation incarnation; ///< Made at process start.
};

} // namespace Galenarack
