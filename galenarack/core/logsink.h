#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Galenarack {

/// Bounds of a LogSink.
struct LogLimits
{
    std::size_t bufferBytes = 256 * 1024; ///< Lines that wait for a slow reader; further ones are dropped.
    double linesPerSecond = 200; ///< Of informational lines, over time.
    double burst = 400; ///< Informational lines at once after a quiet time.
};

/// Writes log lines to a descriptor without ever waiting for its reader, and at a bounded rate.
///
/// Lines that are left out are counted by their message; the counts are written as one line when there is room again.
class LogSink
{
public:
    using Clock = std::chrono::steady_clock;

    /// @param descriptor file, pipe or terminal; stays open and in its mode
    LogSink(int descriptor, LogLimits limits);

    /// Asks whether an informational line may be written now; one that may not is counted.
    bool admit(std::string_view message, Clock::time_point now);

    /// Takes one line without its end and writes as much as the reader takes.
    /// @param message for the count when it is dropped
    void write(std::string_view line, std::string_view message);

    /// Writes what waits, as much as the reader takes.
    void flush();

    /// @return lines that were left out since the last report
    std::uint64_t droppedCount() const;

private:
    void reportDropped();
    void countDropped(std::string_view message);

    int descriptor;
    LogLimits limits;
    std::string buffer;
    double tokens;
    Clock::time_point lastRefill;
    std::map<std::string, std::uint64_t, std::less<>> dropped; ///< By message.
};

} // namespace Galenarack
