#include <galenarack/core/log.h>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

#include <memory>
#include <vector>

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

std::string fieldText(const LogField &field)
{
    struct Visitor
    {
        std::string operator()(std::string_view text) const
        {
            return std::string(text);
        }
        std::string operator()(std::int64_t number) const
        {
            return std::to_string(number);
        }
        std::string operator()(double number) const
        {
            return std::to_string(number);
        }
    };
    return std::visit(Visitor(), field.value);
}

} // namespace

void configureLogging(LogLevel lowest)
{
    const auto layout = std::make_shared<log4cxx::JSONLayout>();
    layout->setLocationInfo(false);
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(toLog4cxxLevel(lowest));
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
    for (const LogField &field : fields) {
        log4cxx::MDC::put(std::string(field.key), fieldText(field));
    }
    logger->forcedLog(log4cxxLevel, std::string(message));
    for (const LogField &field : fields) {
        log4cxx::MDC::remove(std::string(field.key));
    }
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
