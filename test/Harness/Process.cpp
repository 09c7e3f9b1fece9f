//===- test/Harness/Process.cpp - child processes of tests ----------------===//
///
/// \file
/// See Process.h.
//===----------------------------------------------------------------------===//
#include "Process.h"

#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace pistachioloom::test {

namespace {

    constexpr milliseconds pollPeriod { 5 };
    constexpr milliseconds freezeTimeout { 1000 };
    constexpr int writeEnd = 1;
    constexpr int readEnd = 0;

    struct Spawned {
        pid_t id_ = -1;
        int output_ = -1;
    };

    /// Starts \p program. Standard output and standard error go to \p file, or to the
    /// pipe if \p file is empty.
    Spawned spawn(const std::string& program, const std::vector<std::string>& arguments, const std::string& file)
    {
        int pipeEnds[2];
        if (pipe2(pipeEnds, O_CLOEXEC))
            throw std::runtime_error("cannot create a pipe");
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        if (file.empty())
            posix_spawn_file_actions_adddup2(&actions, pipeEnds[writeEnd], STDOUT_FILENO);
        else
            posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        // Sockets are inherited otherwise: a proxy that the test closes would go on listening.
        posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
        std::vector<char*> argv { const_cast<char*>(program.c_str()) };
        for (const std::string& argument : arguments)
            argv.push_back(const_cast<char*>(argument.c_str()));
        argv.push_back(nullptr);
        Spawned spawned { -1, pipeEnds[readEnd] };
        int failed = posix_spawn(&spawned.id_, program.c_str(), &actions, nullptr, argv.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        close(pipeEnds[writeEnd]);
        if (!failed)
            return spawned;
        close(pipeEnds[readEnd]);
        throw std::runtime_error("cannot start " + program);
    }

} // namespace

std::string programPath(const std::string& name)
{
    return std::string(PISTACHIOLOOM_PROGRAMS) + "/" + name;
}

/// Returns the line of \p file after offset \p from in which a program reports its ports.
static std::optional<boost::json::object> findPorts(const std::string& file, std::streamoff from)
{
    std::ifstream input(file);
    input.seekg(from);
    std::string line;
    while (std::getline(input, line)) {
        // Log lines are plain text, or JSON objects with a message.
        auto object = parseJsonObject(line);
        if (object && !object->contains("message") && !input.eof())
            return object;
    }
    return std::nullopt;
}

Process::Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile)
{
    std::ifstream existingLog(logFile, std::ios::ate);
    std::streamoff from = existingLog ? static_cast<std::streamoff>(existingLog.tellg()) : 0;
    Spawned spawned = spawn(program, arguments, logFile);
    close(spawned.output_);
    id_ = spawned.id_;
    while (isRunning()) {
        if (auto ports = findPorts(logFile, from)) {
            boundPorts_ = std::move(*ports);
            return;
        }
        std::this_thread::sleep_for(pollPeriod);
    }
    throw std::runtime_error(program + " did not start; see " + logFile);
}

Process::~Process()
{
    if (!hasEnded_)
        kill();
}

void Process::signal(int number) const
{
    if (!hasEnded_)
        ::kill(id_, number);
}

void Process::kill()
{
    signal(SIGKILL);
    wait(milliseconds(10000));
}

/// Whether all threads of \p process are stopped.
static bool isStopped(pid_t process)
{
    std::error_code code;
    for (const auto& task : std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/task", code)) {
        std::ifstream file(task.path() / "stat");
        std::string stat((std::istreambuf_iterator<char>(file)), {});
        // The state follows the name, which is in brackets and may contain any character.
        std::size_t name = stat.rfind(')');
        if (name == std::string::npos || name + 2 >= stat.size() || stat[name + 2] != 'T')
            return false;
    }
    return !code;
}

void Process::freeze() const
{
    signal(SIGSTOP);
    // SIGSTOP takes effect after a short delay, in which the process may still read.
    (void)waitUntil([this] { return isStopped(id_); }, freezeTimeout);
}

void Process::resume() const
{
    signal(SIGCONT);
}

int Process::wait(milliseconds timeout)
{
    auto deadline = steadyNow() + timeout;
    while (!hasEnded_) {
        int status = 0;
        if (waitpid(id_, &status, WNOHANG) == id_) {
            hasEnded_ = true;
            exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
            break;
        }
        if (steadyNow() > deadline)
            break;
        std::this_thread::sleep_for(pollPeriod);
    }
    return exitCode_;
}

bool Process::isRunning()
{
    wait(milliseconds(0));
    return !hasEnded_;
}

std::chrono::microseconds Process::processorTime() const
{
    std::ifstream stat("/proc/" + std::to_string(id_) + "/stat");
    std::string field;
    // Fields 14 and 15 are the user and system time in clock ticks. The name in field
    // 2 has no blanks in this project's programs.
    constexpr int fieldsBefore = 13;
    for (int i = 0; i < fieldsBefore; ++i)
        stat >> field;
    long user = 0;
    long system = 0;
    stat >> user >> system;
    return std::chrono::microseconds((user + system) * 1000000 / sysconf(_SC_CLK_TCK));
}

ByteCount Process::residentMemory() const
{
    std::ifstream statm("/proc/" + std::to_string(id_) + "/statm");
    std::uint64_t all = 0;
    std::uint64_t resident = 0;
    statm >> all >> resident;
    return { resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)) };
}

ByteCount Process::peakMemory() const
{
    std::ifstream status("/proc/" + std::to_string(id_) + "/status");
    const std::string name = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name))
            return { std::stoull(line.substr(name.size())) * 1024 };
    }
    return {};
}

std::pair<int, std::string> runToEnd(const std::string& program, const std::vector<std::string>& arguments)
{
    Spawned spawned = spawn(program, arguments, {});
    std::string output;
    char buffer[4096];
    for (ssize_t count = 0; (count = read(spawned.output_, buffer, sizeof buffer)) > 0;)
        output.append(buffer, static_cast<std::size_t>(count));
    close(spawned.output_);
    int status = 0;
    waitpid(spawned.id_, &status, 0);
    return { WIFEXITED(status) ? WEXITSTATUS(status) : -1, output };
}

} // namespace pistachioloom::test
