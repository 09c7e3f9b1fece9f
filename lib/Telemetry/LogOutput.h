//===- lib/Telemetry/LogOutput.h - layouts and output of log lines ---------===//
///
/// \file
/// Formats log lines as JSON or text, and writes them without blocking when the process
/// that reads the output stalls.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Telemetry.h"

#include <log4cplus/appender.h>
#include <log4cplus/layout.h>

namespace pistachioloom {

/// Separates the message from its values, and values from each other.
inline constexpr char fieldSeparator = '\x1e';
/// Separates the name of a value from the value.
inline constexpr char valueSeparator = '\x1f';

/// Formats an event as one JSON object per line; named values become members.
class JsonLayout : public log4cplus::Layout {
public:
    explicit JsonLayout(std::string node);
    void formatAndAppend(log4cplus::tostream& output, const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    std::string node_;
};

/// Formats an event as "time level node [part] message name=value".
class TextLayout : public log4cplus::Layout {
public:
    explicit TextLayout(std::string node);
    void formatAndAppend(log4cplus::tostream& output, const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    std::string node_;
};

/// Writes a line only if the output is writable and the rate limit permits it; drops and
/// counts it otherwise.
class BoundedAppender : public log4cplus::Appender {
public:
    BoundedAppender(LogOutput output, std::uint64_t linesPerSecond);
    ~BoundedAppender() override;
    void close() override;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    /// Takes one line from the allowance, which warnings and errors may overdraw by the lines
    /// of one second. \returns false if the allowance is used up.
    bool tryConsumeAllowance(const log4cplus::spi::InternalLoggingEvent& event);
    void write(const std::string& line);

    const int descriptor_;
    const double linesPerSecond_;
    /// Number of lines that may be written now; may be negative, see tryConsumeAllowance().
    double allowance_;
    SteadyTime refilledAt_;
};

} // namespace pistachioloom
