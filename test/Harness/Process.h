//===- test/Harness/Process.h - child processes of tests ------------------===//
///
/// \file
/// Starts the project's programs, reads the line in which they report their
/// ports, and stops, freezes or kills them by process id.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Json.h"
#include "pistachioloom/Support.h"

#include <functional>
#include <sys/types.h>

namespace pistachioloom::test {

/// A child process; killed on destruction if it still runs.
class Process {
public:
    /// Starts \p program with its output appended to \p logFile, and waits until it
    /// reports its ports there. \throws std::runtime_error if it exits earlier.
    Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /// The ports that the program has bound, by name.
    const boost::json::object& boundPorts() const { return boundPorts_; }
    pid_t id() const { return id_; }
    void signal(int number) const;
    void kill();
    /// Stops all threads of the process until resume().
    void freeze() const;
    void resume() const;
    /// Waits for the process to end. \returns its exit code, or -1 if a signal ended
    /// it or it still runs after \p timeout.
    int wait(milliseconds timeout);
    bool isRunning();
    /// Processor time that the process has used.
    std::chrono::microseconds processorTime() const;
    /// Resident memory of the process.
    ByteCount residentMemory() const;
    /// The largest resident memory of the process so far; 0 if it has ended.
    ByteCount peakMemory() const;

private:
    pid_t id_ = -1;
    bool hasEnded_ = false;
    int exitCode_ = -1;
    boost::json::object boundPorts_;
};

/// Runs \p program until it ends. \returns its exit code and output.
std::pair<int, std::string> runToEnd(const std::string& program, const std::vector<std::string>& arguments);

/// The path of one of the project's programs.
std::string programPath(const std::string& name);

/// Polls \p condition every few milliseconds. \returns false if it does not hold
/// within \p timeout.
bool waitUntil(const std::function<bool()>& condition, milliseconds timeout = milliseconds(20000));

} // namespace pistachioloom::test
