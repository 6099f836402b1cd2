#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace Galenarack {

/// One named value of a log line.
struct LogField
{
    std::string_view key;
    std::variant<std::string_view, std::int64_t, double> value;
};

/// Severity of a log line.
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warn,
    Error,
};

/// Sends all log lines of the process to standard error as JSON lines. Call once, before the first Log.
void configureLogging(LogLevel lowest);

/// Writes JSON log lines for one component through log4cxx.
class Log
{
public:
    /// @param component name in the "logger" member of each line, e.g. "home"
    explicit Log(std::string_view component);

    /// Writes one line; `fields` become members of "context_map".
    void write(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {}) const;

    void info(std::string_view message, std::initializer_list<LogField> fields = {}) const;
    void warn(std::string_view message, std::initializer_list<LogField> fields = {}) const;
    void error(std::string_view message, std::initializer_list<LogField> fields = {}) const;

private:
    std::string component;
};

} // namespace Galenarack
