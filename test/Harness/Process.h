//===- test/Harness/Process.h - child processes of tests -------------------===//
///
/// \file
/// Starts the project's programs, reads the line in which they tell their
/// ports, and stops, freezes or kills them by id.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Json.h"
#include "pistachioloom/Support.h"

#include <functional>
#include <sys/types.h>

namespace pistachioloom::test {

class Process {
public:
    /// Starts \p program and reads its first line of output, a JSON object.
    /// Standard error goes to \p logFile. \throws std::runtime_error.
    Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    const boost::json::object& boundPorts() const { return boundPorts_; }
    pid_t id() const { return id_; }
    void signal(int number) const;
    void kill();
    void freeze() const;
    void resume() const;
    /// Waits for the end. \returns the exit code, or -1 for a signal or none.
    int wait(milliseconds timeout);
    bool isRunning();
    /// Processor time used so far, and memory held.
    std::chrono::microseconds processorTime() const;
    ByteCount residentMemory() const;

private:
    pid_t id_ = -1;
    bool hasEnded_ = false;
    int exitCode_ = -1;
    boost::json::object boundPorts_;
};

/// Runs \p program to its end. \returns its exit code and output.
std::pair<int, std::string> runToEnd(const std::string& program, const std::vector<std::string>& arguments);

/// The path of one of the project's programs.
std::string programPath(const std::string& name);

/// Waits for \p condition, asking again every few milliseconds.
bool waitUntil(const std::function<bool()>& condition, milliseconds timeout = milliseconds(20000));

} // namespace pistachioloom::test
