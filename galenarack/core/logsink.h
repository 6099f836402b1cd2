#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Galenarack {

/// Limits of the buffer and the rate of a LogSink.
struct LogLimits
{
    std::size_t bufferBytes = 256 * 1024; ///< Maximum size of the lines buffered for a slow reader; further lines are dropped.
    double linesPerSecond = 200; ///< Sustained rate of the lines subject to admit().
    double burst = 400; ///< Number of lines that admit() allows at once after an idle period.
};

/// Writes log lines to a file descriptor without blocking on its reader, and at a limited rate (token bucket).
///
/// Dropped lines are counted by message; the counts are written as one line when the buffer has room again.
class LogSink
{
public:
    using Clock = std::chrono::steady_clock;

    /// @param descriptor file, pipe or terminal; the sink neither closes it nor changes its blocking mode
    LogSink(int descriptor, LogLimits limits);

    /// Applies the rate limit to one line. A line over the limit is counted as dropped.
    /// @return whether the line may be written
    bool admit(std::string_view message, Clock::time_point now);

    /// Buffers one line, and writes as much of the buffer as the reader accepts. Drops the line when the buffer is full.
    /// @param line line without the line feed
    /// @param message key under which the line is counted when it is dropped
    void write(std::string_view line, std::string_view message);

    /// Writes as much of the buffer as the reader accepts.
    void flush();

    /// @return number of lines dropped since the last report
    std::uint64_t droppedCount() const;

private:
    void reportDropped();
    void countDropped(std::string_view message);

    int descriptor;
    LogLimits limits;
    std::string buffer;
    double tokens;
    Clock::time_point lastRefill;
    std::map<std::string, std::uint64_t, std::less<>> dropped; ///< Number of dropped lines by message.
};

} // namespace Galenarack
