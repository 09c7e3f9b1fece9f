//===- unittests/Telemetry/CrashReporterTest.cpp - report of a signal ------===//
///
/// \file
/// Guards against a process that a fault ends without a line that names the fault.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Telemetry.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <sys/wait.h>
#include <unistd.h>

using namespace pistachioloom;

namespace {

struct ChildEnd {
    int status_ = 0;
    std::string standardError_;
};

/// Runs \p fault in a child process that reports crashes.
ChildEnd runChild(const std::function<void()>& fault)
{
    std::array<int, 2> pipe {};
    REQUIRE(::pipe(pipe.data()) == 0);
    pid_t child = ::fork();
    REQUIRE(child >= 0);
    if (!child) {
        ::dup2(pipe[1], STDERR_FILENO);
        installCrashReporter("node-1");
        fault();
        ::_exit(0);
    }
    ::close(pipe[1]);
    ChildEnd end;
    std::array<char, 4096> buffer {};
    for (ssize_t count = 0; (count = ::read(pipe[0], buffer.data(), buffer.size())) > 0;)
        end.standardError_.append(buffer.data(), static_cast<std::size_t>(count));
    ::close(pipe[0]);
    ::waitpid(child, &end.status_, 0);
    return end;
}

// The volatile pointer keeps the compiler from removing the write.
void writeToAddressOne()
{
    auto* volatile address = reinterpret_cast<char*>(1); // NOLINT(performance-no-int-to-ptr)
    *address = 'x';
}

} // namespace

TEST_CASE("a fault leaves a line with its signal, address and stack, and still ends the process", "[telemetry]")
{
    struct Row {
        const char* name_;
        int signal_;
        std::function<void()> fault_;
        const char* address_;
    };
    const std::array rows {
        Row { "invalid write", SIGSEGV, writeToAddressOne, "0x1" },
        Row { "failed assertion", SIGABRT, [] { std::abort(); }, nullptr },
    };
    for (const Row& row : rows) {
        INFO(row.name_);
        ChildEnd end = runChild(row.fault_);
        REQUIRE(WIFSIGNALED(end.status_));
        CHECK(WTERMSIG(end.status_) == row.signal_);
        INFO(end.standardError_);
        auto line = boost::json::parse(end.standardError_.substr(0, end.standardError_.find('\n'))).as_object();
        CHECK(line["node"] == "node-1");
        CHECK(line["level"] == "FATAL");
        CHECK(line["signal"] == std::to_string(row.signal_).c_str());
        if (row.address_)
            CHECK(line["address"] == row.address_);
        // The frames of the handler and the fault at least.
        CHECK(std::count(line["stack"].as_string().begin(), line["stack"].as_string().end(), ' ') >= 2);
    }
}

TEST_CASE("a process without a fault writes no crash line", "[telemetry]")
{
    ChildEnd end = runChild([] {});
    CHECK(WIFEXITED(end.status_));
    CHECK(end.standardError_.empty());
}
