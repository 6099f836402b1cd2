#include "command.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

DEFINE_string(output, "text", "output format: text or json");

using namespace Galenarack;

namespace {

std::string usageText()
{
    std::string text
        = "command-line tool for operators of galenarack\n\n  galenarackctl COMMAND [--output text|json] [FLAG...] ARGUMENT...\n\n";
    for (const Command &command : commandTable()) {
        text += "  " + std::string(command.name) + " " + std::string(command.arguments) + "\n      " + std::string(command.summary) + "\n";
    }
    return text
           + "\nExit code: 0 ok, 1 findings, 2 usage, 3 a node did not answer. Each flag can also be set by the environment variable "
             "GALENARACK_ followed by its name in upper case.";
}

/// Sets flags from environment variables. Flags on the command line take precedence.
/// @return an error message; empty on success
std::string readEnvironment()
{
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (const gflags::CommandLineFlagInfo &flag : flags) {
        std::string variable = "GALENARACK_" + flag.name;
        std::ranges::transform(variable, variable.begin(), [](char c) {
            return c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c;
        });
        const char *value = std::getenv(variable.c_str());
        if (value != nullptr && gflags::SetCommandLineOption(flag.name.c_str(), value).empty()) {
            return variable + ": not a valid value: '" + value + "'";
        }
    }
    return {};
}

/// Sets flags from the command line. ParseCommandLineFlags() of gflags is not used, because it exits with 1 for an invalid flag, and
/// 1 is ExitCode::Findings.
/// @param [in,out] arguments all arguments; reduced to those that are not flags
/// @param [out] names names of the flags, in the order given
/// @return an error message; empty on success
std::string readFlags(std::vector<std::string> &arguments, std::vector<std::string> &names)
{
    std::vector<std::string> positional;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        const std::string &argument = arguments[i];
        if (!argument.starts_with("--")) {
            positional.push_back(argument);
            continue;
        }
        const std::size_t equals = argument.find('=');
        const std::string name = argument.substr(2, equals == std::string::npos ? equals : equals - 2);
        gflags::CommandLineFlagInfo flag;
        if (!gflags::GetCommandLineFlagInfo(name.c_str(), &flag)) {
            return "unknown flag " + argument;
        }
        names.push_back(flag.name);
        std::string value = "true";
        if (equals != std::string::npos) {
            value = argument.substr(equals + 1);
        } else if (flag.type != "bool") {
            if (++i == arguments.size()) {
                return argument + " needs a value";
            }
            value = arguments[i];
        }
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
            return std::string(argument).append(": not a valid value: '").append(value).append("'");
        }
    }
    arguments = std::move(positional);
    return {};
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    if (std::ranges::find(arguments, "--help") != arguments.end()) {
        std::cout << usageText() << '\n';
        return static_cast<int>(ExitCode::Ok);
    }
    std::string error = readEnvironment();
    std::vector<std::string> flags;
    error += error.empty() ? readFlags(arguments, flags) : "";
    const std::string name = arguments.empty() ? std::string() : arguments.front();
    const auto command = std::ranges::find(commandTable(), name, &Command::name);
    if (error.empty() && command == commandTable().end()) {
        error = name.empty() ? "a command is needed" : "unknown command " + name;
    }
    if (error.empty()) {
        const std::string_view foreign = findForeignFlag(*command, flags);
        error = foreign.empty() ? "" : name + " does not use --" + std::string(foreign);
    }
    if (error.empty() && FLAGS_output != "text" && FLAGS_output != "json") {
        error = "--output: allowed: text or json";
    }
    if (!error.empty()) {
        std::cerr << "galenarackctl: " << error << "\n\n" << usageText() << '\n';
        return static_cast<int>(ExitCode::Usage);
    }
    arguments.erase(arguments.begin());
    const CommandContext context{std::move(arguments), FLAGS_output == "json", std::cout, std::cerr};
    return static_cast<int>(command->run(context));
}
