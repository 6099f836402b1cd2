#pragma once

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace Galenarack {

/// One named value of a log line. Usual keys: "request_id", "error_kind", "upstream", "service", "node".
struct LogField
{
    std::string_view key;
    std::variant<std::string_view, std::int64_t, double, const nlohmann::ordered_json *> value;
};

/// Severity of a log line.
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warn,
    Error,
};

/// Longest text of a message or value in bytes; the rest is cut off.
inline constexpr std::size_t maxLogTextBytes = 1024;

/// Longest JSON value in bytes. A longer one is written as text that is cut off.
inline constexpr std::size_t maxLogObjectBytes = 16384;

/// Sends all log lines of the process to standard output as JSON lines, through a LogSink. Call once, before the first Log.
/// @param linesPerSecond bound on informational lines
void configureLogging(LogLevel lowest, double linesPerSecond);

/// Writes lines that wait for a slow reader. Call it from time to time and before the end of the process.
void flushLogs();

/// Builds one line without the line feed: a JSON object with "time", "level", "component", "message" and the fields. It is
/// ASCII: other characters are escaped and bytes that are not UTF-8 become U+FFFD.
std::string formatLogLine(LogLevel level,
                          std::string_view component,
                          std::string_view message,
                          std::initializer_list<LogField> fields,
                          std::chrono::system_clock::time_point time);

/// Writes JSON log lines for one component through log4cxx.
class Log
{
public:
    /// @param component value of the "component" member of each line, e.g. "home"
    explicit Log(std::string_view component);

    /// Writes one line; `fields` become its members.
    void write(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {}) const;

    void info(std::string_view message, std::initializer_list<LogField> fields = {}) const;
    void warn(std::string_view message, std::initializer_list<LogField> fields = {}) const;
    void error(std::string_view message, std::initializer_list<LogField> fields = {}) const;

private:
    std::string component;
};

} // namespace Galenarack
