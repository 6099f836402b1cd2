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

/// Named value of a log line. Common keys: "request_id", "error_kind", "upstream", "service", "node".
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

/// Maximum length of a message or text value in bytes; longer texts are truncated.
inline constexpr std::size_t maxLogTextBytes = 1024;

/// Maximum length of a JSON value in bytes; a longer value is written as truncated text.
inline constexpr std::size_t maxLogObjectBytes = 16384;

/// Sends all log lines of the process to standard output as JSON lines, through a LogSink. Must be called once, before the first
/// Log is created.
/// @param lowest lowest level that is written
/// @param linesPerSecond rate limit of debug and info lines; bursts of twice as many lines are allowed
void configureLogging(LogLevel lowest, double linesPerSecond);

/// Writes buffered lines that a slow reader has not accepted yet. Must be called periodically and before the process exits.
void flushLogs();

/// Formats one log line without the line feed: a JSON object with "time", "level", "component", "message" and the fields. The
/// line is ASCII: other characters are escaped and bytes that are not valid UTF-8 are replaced by U+FFFD.
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

    /// Writes one line with `fields` as further members of the JSON object.
    void write(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {}) const;

    void info(std::string_view message, std::initializer_list<LogField> fields = {}) const;
    void warn(std::string_view message, std::initializer_list<LogField> fields = {}) const;
    void error(std::string_view message, std::initializer_list<LogField> fields = {}) const;

private:
    std::string component;
};

} // namespace Galenarack
