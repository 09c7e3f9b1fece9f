//===- lib/Telemetry/LogOutput.h - layouts and output of log lines ---------===//
///
/// \file
/// Log lines as JSON or text, written without ever waiting for a reader.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Telemetry.h"

#include <log4cplus/appender.h>
#include <log4cplus/layout.h>

namespace pistachioloom {

/// Separates a sentence from its values, and values from each other.
inline constexpr char fieldSeparator = '\x1e';
/// Separates a value's name from the value.
inline constexpr char valueSeparator = '\x1f';

/// One JSON object a line; named values become members.
class JsonLayout : public log4cplus::Layout {
public:
    explicit JsonLayout(std::string node);
    void formatAndAppend(log4cplus::tostream& output, const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    std::string node_;
};

/// "time level node [part] sentence name=value".
class TextLayout : public log4cplus::Layout {
public:
    explicit TextLayout(std::string node);
    void formatAndAppend(log4cplus::tostream& output, const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    std::string node_;
};

/// Writes a line only if the reader has room for it and the rate allows it.
class BoundedAppender : public log4cplus::Appender {
public:
    BoundedAppender(LogOutput output, std::uint64_t linesPerSecond);
    ~BoundedAppender() override;
    void close() override;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    bool tryConsumeAllowance(const log4cplus::spi::InternalLoggingEvent& event);
    void write(const std::string& line);

    const int descriptor_;
    const double linesPerSecond_;
    double allowance_;
    SteadyTime refilledAt_;
};

} // namespace pistachioloom
