//===- lib/Telemetry/Logs.cpp - log lines through log4cplus ----------------===//
///
/// \file
/// One log4cplus logger for each component. All write to standard output or standard
/// error, because an entry VM has no disk.
//===----------------------------------------------------------------------===//
#include "LogOutput.h"

#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

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

    log4cplus::Logger loggerOf(const std::string& part)
    {
        return log4cplus::Logger::getInstance(part);
    }

} // namespace

void initialiseLogging(const LogSettings& settings, const std::string& node)
{
    static log4cplus::Initializer initializer;
    log4cplus::SharedAppenderPtr appender(new BoundedAppender(settings.output_, settings.linesPerSecond_));
    if (settings.isJson_)
        appender->setLayout(std::make_unique<JsonLayout>(node));
    else
        appender->setLayout(std::make_unique<TextLayout>(node));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(toLog4cplus(settings.level_));
    for (const auto& [part, level] : settings.levelByPart_)
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
