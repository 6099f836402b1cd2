#pragma once

#include <galenarack/document/document.h>
#include <galenarack/operators/nodestatus.h>
#include <galenarack/operators/operatorserver.h>

#include <span>

namespace Galenarack {

/// Describes what the document in force specifies for a route, service, upstream or account, the section and owner that
/// specify it, and the current state of the upstreams concerned as seen by this node.
/// @param document document in force; null before the first revision
/// @param upstreams state of all upstreams as seen by this node
/// @return the description; 404 when the subject or the name is unknown, 400 when a parameter is
OperatorReply explain(const Document *document, std::span<const UpstreamStatus> upstreams, const ExplainQuery &query);

} // namespace Galenarack
