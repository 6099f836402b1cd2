#pragma once

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// Exit codes of galenarackctl.
enum class ExitCode : int {
    Ok = 0,
    Findings = 1, ///< The command worked and found errors or differences, or the node reported a failure.
    Usage = 2, ///< Wrong command, argument or flag, or a file that cannot be read or written.
    NoAnswer = 3, ///< A node did not answer; what the others said is printed.
};

/// What a command gets to run with.
struct CommandContext
{
    std::vector<std::string> arguments; ///< After the command's name, without flags.
    bool isJson = false; ///< --output json
    std::ostream &out;
    std::ostream &err;
};

/// One command of the tool. A new one is a function in <name>command.{h,cpp} and a row in commandTable().
struct Command
{
    std::string_view name;
    std::string_view arguments; ///< For the usage text, e.g. "FILE..."
    std::string_view summary;
    ExitCode (*run)(const CommandContext &context);
};

/// @return all commands, in the order of the usage text
std::span<const Command> commandTable();

/// Prints `message` and returns ExitCode::Usage.
ExitCode usageError(const CommandContext &context, std::string_view message);

} // namespace Galenarack
