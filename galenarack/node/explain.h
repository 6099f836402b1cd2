#pragma once

#include <galenarack/document/document.h>
#include <galenarack/operators/nodestatus.h>
#include <galenarack/operators/operatorserver.h>

#include <span>

namespace Galenarack {

/// Says what the document in force orders for a route, service, upstream or account, which section and owner it comes from,
/// and how this node sees the upstreams concerned now.
/// @param document may be null before the first revision
/// @return 404 when the subject or the name is not known
OperatorReply explain(const Document *document, std::span<const UpstreamStatus> upstreams, const ExplainQuery &query);

} // namespace Galenarack
