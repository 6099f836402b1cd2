#pragma once

#include "command.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// Address of the operators' port of a node.
struct NodeAddress
{
    std::string host; ///< IP address.
    std::string port; ///< Port number, 1 to 65535.

    /// @return "IP:PORT", with brackets around an IPv6 address
    std::string toString() const;
};

/// Reply of one node.
struct NodeReply
{
    std::string node; ///< Address "IP:PORT" of the node, as in --nodes.
    unsigned status = 0; ///< HTTP status; 0 when no response was received.
    nlohmann::ordered_json body; ///< JSON body of the response.
    std::string failure; ///< Description of the error; empty when a valid response was received.
};

/// Parses "IP:PORT,IP:PORT,..."; IPv6 addresses are in brackets.
/// @return SettingInvalid with the invalid address, or when there is none
absl::StatusOr<std::vector<NodeAddress>> parseNodes(std::string_view text);

/// Sends a GET request for `target` to all nodes concurrently, and waits at most requestTimeout for each response.
/// @return one reply for each node, in the order of `nodes`
std::vector<NodeReply> queryNodes(std::span<const NodeAddress> nodes, std::string_view target);

/// Queries the nodes of --nodes, and prints an error for each node that did not answer.
/// @param [out] replies replies of all nodes, including those with a failure; empty when the flag is invalid
/// @return Usage for an invalid flag, NoAnswer when a node did not answer, otherwise Ok
ExitCode queryConfiguredNodes(const CommandContext &context, std::string_view target, std::vector<NodeReply> &replies);

/// Prints all replies as a JSON array of objects with the members "node", "status", "body" and "failure".
void printJson(const CommandContext &context, const std::vector<NodeReply> &replies);

/// @return the more severe of two exit codes, in the descending order Usage, NoAnswer, Findings, Ok
ExitCode moreSevere(ExitCode first, ExitCode second);

/// @return a JSON value as the text of a table cell: strings without quotes, null as empty, others as compact JSON
std::string cellText(const nlohmann::ordered_json &value);

/// @return a member of an object as the text of a table cell; empty when `value` is not an object or has no such member
std::string memberText(const nlohmann::ordered_json &value, const char *key);

/// @return a member of an object as an integer; 0 when it is missing or not an integer
std::int64_t memberNumber(const nlohmann::ordered_json &value, const char *key);

/// @return `text` with all bytes other than A-Z a-z 0-9 - . _ ~ percent-encoded
std::string percentEncode(std::string_view text);

} // namespace Galenarack
