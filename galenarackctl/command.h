#pragma once

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// Exit codes of galenarackctl. When several apply, moreSevere() selects one.
enum class ExitCode : int {
    Ok = 0, ///< The command succeeded without findings.
    Findings = 1, ///< The command completed and found errors or differences, or a node reported a failure.
    Usage = 2, ///< The command, an argument or a flag is invalid, or a file cannot be read or written.
    NoAnswer = 3, ///< A node did not answer; the replies of the other nodes are printed.
};

/// Arguments and output streams of a command.
struct CommandContext
{
    std::vector<std::string> arguments; ///< Arguments after the name of the command, without flags.
    bool isJson = false; ///< Whether the output is JSON (--output json) instead of text.
    std::ostream &out;
    std::ostream &err;
};

/// Command of the tool. To add a command, define its function in <name>command.{h,cpp} and add a row to commandTable().
struct Command
{
    std::string_view name;
    std::string_view arguments; ///< Arguments as shown in the usage text, e.g. "FILE...".
    std::string_view summary; ///< Description in the usage text.
    std::span<const std::string_view> flags; ///< Flags that it uses, beside those that all commands use.
    ExitCode (*run)(const CommandContext &context);
};

/// @return all commands, in the order of the usage text
std::span<const Command> commandTable();

/// @param givenFlags names of the flags on the command line
/// @return the first of them that another command uses and this one doesn't; empty when there is none
std::string_view findForeignFlag(const Command &command, std::span<const std::string> givenFlags);

/// Prints `message` to the error stream and returns ExitCode::Usage.
ExitCode usageError(const CommandContext &context, std::string_view message);

} // namespace Galenarack
