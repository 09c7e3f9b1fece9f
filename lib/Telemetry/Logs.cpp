//===- lib/Telemetry/Logs.cpp - log lines through log4cplus ----------------===//
///
/// \file
/// One log4cplus logger per part, all writing to standard error: an entry VM
/// has no disk.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Telemetry.h"

#include <boost/json.hpp>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

namespace pistachioloom {

namespace {

    log4cplus::LogLevel toLog4cplus(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return log4cplus::DEBUG_LOG_LEVEL;
        case LogLevel::Info:
            return log4cplus::INFO_LOG_LEVEL;
        case LogLevel::Warn:
            return log4cplus::WARN_LOG_LEVEL;
        case LogLevel::Error:
            return log4cplus::ERROR_LOG_LEVEL;
        }
        return log4cplus::INFO_LOG_LEVEL;
    }

    class JsonLayout : public log4cplus::Layout {
    public:
        explicit JsonLayout(std::string node)
            : node_(std::move(node))
        {
        }

        void formatAndAppend(log4cplus::tostream& output, const log4cplus::spi::InternalLoggingEvent& event) override
        {
            auto time = std::chrono::duration_cast<milliseconds>(event.getTimestamp().time_since_epoch());
            boost::json::object line {
                { "time_ms", time.count() },
                { "node", node_ },
                { "level", log4cplus::getLogLevelManager().toString(event.getLogLevel()) },
                { "part", event.getLoggerName() },
                { "message", event.getMessage() },
            };
            output << boost::json::serialize(line) << '\n';
        }

    private:
        std::string node_;
    };

    log4cplus::Logger loggerOf(const std::string& part)
    {
        return log4cplus::Logger::getInstance(part);
    }

} // namespace

void initialiseLogging(const LogSettings& settings, const std::string& node)
{
    static log4cplus::Initializer initializer;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    if (settings.isJson_)
        appender->setLayout(std::make_unique<JsonLayout>(node));
    else
        appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%H:%M:%S.%q} %-5p " + node + " [%c] %m%n"));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(toLog4cplus(settings.level_));
    for (const auto& [part, level] : settings.parts_)
        loggerOf(part).setLogLevel(toLog4cplus(level));
}

Logger::Logger(std::string part)
    : part_(std::move(part))
{
}

void Logger::debug(const std::string& sentence) const
{
    LOG4CPLUS_DEBUG(loggerOf(part_), sentence);
}

void Logger::info(const std::string& sentence) const
{
    LOG4CPLUS_INFO(loggerOf(part_), sentence);
}

void Logger::warn(const std::string& sentence) const
{
    LOG4CPLUS_WARN(loggerOf(part_), sentence);
}

void Logger::error(const std::string& sentence) const
{
    LOG4CPLUS_ERROR(loggerOf(part_), sentence);
}

} // namespace pistachioloom
