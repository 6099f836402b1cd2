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

/// Address of a node's operators' port.
struct NodeAddress
{
    std::string host; ///< IP address.
    std::string port;

    /// @return "IP:PORT", with brackets around an IPv6 address
    std::string toString() const;
};

/// What one node answered.
struct NodeReply
{
    std::string node; ///< "IP:PORT" as in --nodes.
    unsigned status = 0; ///< HTTP status; 0 without an answer.
    nlohmann::ordered_json body;
    std::string failure; ///< Why there is no answer; empty when there is one.
};

/// Parses "IP:PORT,IP:PORT,..."; IPv6 addresses are in brackets.
/// @return SettingInvalid with the part that is wrong
absl::StatusOr<std::vector<NodeAddress>> parseNodes(std::string_view text);

/// Asks all nodes at the same time for one target and waits for each at most requestTimeout.
/// @return one reply a node, in the order of `nodes`
std::vector<NodeReply> queryNodes(std::span<const NodeAddress> nodes, std::string_view target);

/// Asks the nodes of --nodes, and prints what to do about those that did not answer.
/// @param [out] replies answers with a status below 500, and 503; empty when the flag is wrong
/// @return Usage for a wrong flag, NoAnswer when a node did not answer, else Ok
ExitCode queryConfiguredNodes(const CommandContext &context, std::string_view target, std::vector<NodeReply> &replies);

/// Prints all replies as one JSON array with the members "node", "status", "body" and "failure".
void printJson(const CommandContext &context, const std::vector<NodeReply> &replies);

/// @return the graver of two exit codes: Usage, NoAnswer, Findings, Ok
ExitCode moreSevere(ExitCode first, ExitCode second);

/// @return one JSON value as a cell of a table; objects and arrays in compact form
std::string cellText(const nlohmann::ordered_json &value);

/// @return the member of an object as a cell; empty when `value` is no object or has no such member
std::string memberText(const nlohmann::ordered_json &value, const char *key);

/// @return the member of an object as a number; 0 when it is missing or no number
std::int64_t memberNumber(const nlohmann::ordered_json &value, const char *key);

/// @return `text` with every byte outside of A-Z a-z 0-9 - . _ ~ percent-encoded
std::string percentEncode(std::string_view text);

} // namespace Galenarack
