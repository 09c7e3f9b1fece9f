//===- lib/Telemetry/LogOutput.cpp - layouts and output of log lines -------===//
///
/// \file
/// Implements the layouts and the rate-limited, non-blocking appender.
//===----------------------------------------------------------------------===//
#include "LogOutput.h"

#include <boost/json.hpp>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

namespace pistachioloom {

namespace {

    // A burst may contain as many lines as the rate permits in this many seconds.
    constexpr double burstSeconds = 2;
    // A pipe that polls as writable accepts PIPE_BUF bytes, 4096, without blocking. A longer
    // line is cut to this length.
    constexpr std::size_t maxAtomicWrite = 4096;

    std::atomic<std::uint64_t> droppedLines { 0 };

    struct Field {
        std::string_view name_;
        std::string_view value_;
    };

    std::string_view splitFields(std::string_view message, std::vector<Field>& fields)
    {
        std::string_view sentence = message.substr(0, message.find(fieldSeparator));
        message.remove_prefix(sentence.size());
        while (!message.empty()) {
            message.remove_prefix(1);
            std::string_view field = message.substr(0, message.find(fieldSeparator));
            std::size_t separator = field.find(valueSeparator);
            if (separator != std::string_view::npos)
                fields.push_back({ field.substr(0, separator), field.substr(separator + 1) });
            message.remove_prefix(field.size());
        }
        return sentence;
    }

} // namespace

std::uint64_t droppedLogLines()
{
    return droppedLines;
}

LogLine::LogLine(std::string sentence)
    : encoded_(std::move(sentence))
{
}

LogLine& LogLine::add(std::string_view name, std::string_view value)
{
    encoded_.append(1, fieldSeparator).append(name).append(1, valueSeparator).append(value);
    return *this;
}

LogLine& LogLine::add(std::string_view name, std::int64_t value)
{
    return add(name, std::to_string(value));
}

JsonLayout::JsonLayout(std::string node)
    : node_(std::move(node))
{
}

void JsonLayout::formatAndAppend(log4cplus::tostream& output, const log4cplus::spi::InternalLoggingEvent& event)
{
    auto time = std::chrono::duration_cast<milliseconds>(event.getTimestamp().time_since_epoch());
    std::vector<Field> fields;
    std::string_view sentence = splitFields(event.getMessage(), fields);
    boost::json::object line {
        { "time_ms", time.count() },
        { "node", node_ },
        { "level", log4cplus::getLogLevelManager().toString(event.getLogLevel()) },
        { "part", event.getLoggerName() },
        { "message", boost::json::string_view(sentence.data(), sentence.size()) },
    };
    for (const Field& field : fields)
        line[boost::json::string_view(field.name_.data(), field.name_.size())] = boost::json::string_view(field.value_.data(), field.value_.size());
    output << boost::json::serialize(line) << '\n';
}

TextLayout::TextLayout(std::string node)
    : node_(std::move(node))
{
}

void TextLayout::formatAndAppend(log4cplus::tostream& output, const log4cplus::spi::InternalLoggingEvent& event)
{
    std::vector<Field> fields;
    std::string_view sentence = splitFields(event.getMessage(), fields);
    output << log4cplus::helpers::getFormattedTime("%H:%M:%S.%q", event.getTimestamp(), true) << ' ' << log4cplus::getLogLevelManager().toString(event.getLogLevel())
           << ' ' << node_ << " [" << event.getLoggerName() << "] " << sentence;
    for (const Field& field : fields)
        output << ' ' << field.name_ << '=' << field.value_;
    output << '\n';
}

BoundedAppender::BoundedAppender(LogOutput output, std::uint64_t linesPerSecond)
    : descriptor_(output == LogOutput::StandardOutput ? STDOUT_FILENO : STDERR_FILENO)
    , linesPerSecond_(static_cast<double>(linesPerSecond))
    , allowance_(linesPerSecond_ * burstSeconds)
    , refilledAt_(steadyNow())
{
}

BoundedAppender::~BoundedAppender()
{
    destructorImpl();
}

void BoundedAppender::close()
{
    closed = true;
}

bool BoundedAppender::tryConsumeAllowance(const log4cplus::spi::InternalLoggingEvent& event)
{
    SteadyTime now = steadyNow();
    allowance_ = std::min(linesPerSecond_ * burstSeconds, allowance_ + linesPerSecond_ * std::chrono::duration<double>(now - refilledAt_).count());
    refilledAt_ = now;
    // Warnings and errors may overdraw the allowance by the lines of one second, so that
    // they are still written when other lines have used up the rate.
    double minAllowance = event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL ? -linesPerSecond_ : 0;
    if (allowance_ < minAllowance + 1)
        return false;
    allowance_ -= 1;
    return true;
}

void BoundedAppender::write(const std::string& line)
{
    pollfd ready { descriptor_, POLLOUT, 0 };
    bool isWritable = ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT);
    std::size_t length = std::min(line.size(), maxAtomicWrite);
    if (!isWritable || ::write(descriptor_, line.data(), length) < 0)
        ++droppedLines;
}

// log4cplus calls this function with the appender's lock held.
void BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    if (!tryConsumeAllowance(event)) {
        ++droppedLines;
        return;
    }
    log4cplus::tostringstream text;
    layout->formatAndAppend(text, event);
    write(text.str());
}

} // namespace pistachioloom
