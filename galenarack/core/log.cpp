#include <galenarack/core/log.h>

#include <galenarack/core/logsink.h>

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/logger.h>
#include <log4cxx/spi/loggingevent.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <ctime>
#include <memory>

#include <unistd.h>

namespace Galenarack {

namespace {

log4cxx::LevelPtr toLog4cxxLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warn:
        return "warn";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

/// Process-wide sink; null before configureLogging().
std::unique_ptr<LogSink> processSink;

/// Forwards log4cxx events to the process-wide sink.
class SinkAppender : public log4cxx::AppenderSkeleton
{
public:
    void close() override
    {
    }

    bool requiresLayout() const override
    {
        return false;
    }

protected:
    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &) override
    {
        // The message is the complete formatted line, and the name of the logger is the component.
        processSink->write(event->getMessage(), event->getLoggerName());
    }
};

/// Formats a UTC time as in RFC 3339 with milliseconds.
std::string timeText(std::chrono::system_clock::time_point time)
{
    const std::int64_t total = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    const std::time_t seconds = total / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 64> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + length, text.size() - length, ".%03dZ", static_cast<int>(total % 1000));
    return text.data();
}

std::string truncatedText(std::string_view text, std::size_t limit)
{
    if (text.size() <= limit) {
        return std::string(text);
    }
    return std::string(text.substr(0, limit)) + "...";
}

std::string dumpAscii(const nlohmann::ordered_json &value)
{
    return value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

/// Visitor that converts the value of a field to JSON and limits its length.
struct FieldToJson
{
    nlohmann::ordered_json operator()(std::string_view text) const
    {
        return truncatedText(text, maxLogTextBytes);
    }
    nlohmann::ordered_json operator()(std::int64_t number) const
    {
        return number;
    }
    nlohmann::ordered_json operator()(double number) const
    {
        return number;
    }
    nlohmann::ordered_json operator()(const nlohmann::ordered_json *object) const
    {
        const std::string text = dumpAscii(*object);
        return text.size() <= maxLogObjectBytes ? *object : nlohmann::ordered_json(truncatedText(text, maxLogObjectBytes));
    }
};

} // namespace

std::string formatLogLine(LogLevel level,
                          std::string_view component,
                          std::string_view message,
                          std::initializer_list<LogField> fields,
                          std::chrono::system_clock::time_point time)
{
    nlohmann::ordered_json line;
    line["time"] = timeText(time);
    line["level"] = levelName(level);
    line["component"] = component;
    line["message"] = truncatedText(message, maxLogTextBytes);
    for (const LogField &field : fields) {
        line[std::string(field.key)] = std::visit(FieldToJson(), field.value);
    }
    return dumpAscii(line);
}

void configureLogging(LogLevel lowest, double linesPerSecond)
{
    LogLimits limits;
    limits.linesPerSecond = linesPerSecond;
    limits.burst = 2 * linesPerSecond;
    processSink = std::make_unique<LogSink>(STDOUT_FILENO, limits);
    log4cxx::BasicConfigurator::configure(std::make_shared<SinkAppender>());
    log4cxx::Logger::getRootLogger()->setLevel(toLog4cxxLevel(lowest));
}

void flushLogs()
{
    if (processSink) {
        processSink->flush();
    }
}

Log::Log(std::string_view component)
    : component(component)
{
}

void Log::write(LogLevel level, std::string_view message, std::initializer_list<LogField> fields) const
{
    const auto logger = log4cxx::Logger::getLogger(this->component);
    const auto log4cxxLevel = toLog4cxxLevel(level);
    if (!logger->isEnabledFor(log4cxxLevel)) {
        return;
    }
    // Warnings and errors are rare and not rate-limited.
    const bool isRateLimited = level == LogLevel::Debug || level == LogLevel::Info;
    if (isRateLimited && processSink && !processSink->admit(message, LogSink::Clock::now())) {
        return;
    }
    logger->forcedLog(log4cxxLevel, formatLogLine(level, this->component, message, fields, std::chrono::system_clock::now()));
}

void Log::info(std::string_view message, std::initializer_list<LogField> fields) const
{
    this->write(LogLevel::Info, message, fields);
}

void Log::warn(std::string_view message, std::initializer_list<LogField> fields) const
{
    this->write(LogLevel::Warn, message, fields);
}

void Log::error(std::string_view message, std::initializer_list<LogField> fields) const
{
    this->write(LogLevel::Error, message, fields);
}

} // namespace Galenarack
