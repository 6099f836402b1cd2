#include <galenarack/core/logsink.h>

#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace Galenarack {

namespace {

/// Maximum number of messages with a count of their own; further messages are counted together as "other".
constexpr std::size_t maxCountedMessages = 64;

/// Fill level of the buffer, as a fraction of its size, below which dropped lines are reported.
constexpr double maxReportFillRatio = 0.5;

} // namespace

LogSink::LogSink(int descriptor, LogLimits limits)
    : descriptor(descriptor)
    , limits(limits)
    , tokens(limits.burst)
    , lastRefill(Clock::now())
{
}

bool LogSink::admit(std::string_view message, Clock::time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - this->lastRefill).count();
    this->lastRefill = now;
    this->tokens = std::min(this->limits.burst, this->tokens + std::max(elapsed, 0.0) * this->limits.linesPerSecond);
    if (this->tokens < 1) {
        this->countDropped(message);
        return false;
    }
    this->tokens -= 1;
    return true;
}

void LogSink::countDropped(std::string_view message)
{
    const auto known = this->dropped.find(message);
    if (known != this->dropped.end()) {
        ++known->second;
    } else {
        ++this->dropped[this->dropped.size() < maxCountedMessages ? std::string(message) : std::string("other")];
    }
}

std::uint64_t LogSink::droppedCount() const
{
    std::uint64_t count = 0;
    for (const auto &[message, number] : this->dropped) {
        count += number;
    }
    return count;
}

void LogSink::write(std::string_view line, std::string_view message)
{
    if (this->buffer.size() + line.size() + 1 > this->limits.bufferBytes) {
        this->countDropped(message);
    } else {
        this->buffer.append(line);
        this->buffer.push_back('\n');
    }
    this->flush();
}

void LogSink::flush()
{
    std::size_t written = 0;
    while (written < this->buffer.size()) {
        pollfd ready{this->descriptor, POLLOUT, 0};
        // A pipe that is ready for writing accepts PIPE_BUF bytes without blocking.
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
            break;
        }
        const std::size_t length = std::min<std::size_t>(this->buffer.size() - written, PIPE_BUF);
        const ssize_t bytesWritten = ::write(this->descriptor, this->buffer.data() + written, length);
        if (bytesWritten <= 0) {
            break;
        }
        written += static_cast<std::size_t>(bytesWritten);
    }
    this->buffer.erase(0, written);
    const bool hasRoom = static_cast<double>(this->buffer.size()) < maxReportFillRatio * static_cast<double>(this->limits.bufferBytes);
    if (!this->dropped.empty() && hasRoom && this->tokens >= 1) {
        this->reportDropped();
    }
}

void LogSink::reportDropped()
{
    nlohmann::ordered_json line;
    line["level"] = "warn";
    line["component"] = "log";
    line["message"] = "lines left out";
    line["counts"] = this->dropped;
    this->dropped.clear();
    this->buffer.append(line.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace));
    this->buffer.push_back('\n');
}

} // namespace Galenarack
