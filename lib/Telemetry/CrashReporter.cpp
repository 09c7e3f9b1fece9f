//===- lib/Telemetry/CrashReporter.cpp - report of a fatal signal ----------===//
///
/// \file
/// Writes one JSON line when a fault ends the process. The signal handler calls only
/// functions that are async-signal-safe, and backtrace(), which allocates on its first
/// call only.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Telemetry.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstring>
#include <ctime>
#include <execinfo.h>
#include <link.h>
#include <unistd.h>

namespace pistachioloom {

namespace {

    constexpr std::array fatalSignals { SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT };
    constexpr std::size_t maxFrames = 48;
    constexpr std::size_t maxLine = 2048;
    constexpr std::size_t maxNode = 256;
    constexpr std::size_t signalStackSize = 64UL * 1024;

    std::array<char, signalStackSize> signalStack;
    std::array<char, maxNode> nodeName {};
    std::uintptr_t loadAddress = 0;
    std::uintptr_t loadEnd = 0;

    /// Text of a fixed size; what does not fit is dropped.
    class FixedText {
    public:
        void append(const char* text)
        {
            while (*text && size_ < bytes_.size())
                bytes_[size_++] = *text++;
        }

        void appendNumber(std::uint64_t number, unsigned base)
        {
            std::array<char, 24> digits {};
            std::size_t first = digits.size() - 1;
            do {
                digits[--first] = "0123456789abcdef"[number % base];
                number /= base;
            } while (number);
            append(&digits[first]);
        }

        void writeTo(int descriptor) const
        {
            if (::write(descriptor, bytes_.data(), size_) < 0)
                return;
        }

    private:
        std::array<char, maxLine> bytes_ {};
        std::size_t size_ = 0;
    };

    /// Appends an address of the program as an offset that symbolizers take, and another one as
    /// it is.
    void appendAddress(FixedText& line, std::uintptr_t address)
    {
        bool isInProgram = address >= loadAddress && address < loadEnd;
        line.append(isInProgram ? "+0x" : "0x");
        line.appendNumber(isInProgram ? address - loadAddress : address, 16);
    }

    void reportCrash(int signal, siginfo_t* info, void* /*context*/)
    {
        timespec now {};
        ::clock_gettime(CLOCK_REALTIME, &now);
        FixedText line;
        line.append("{\"time_ms\":");
        line.appendNumber(static_cast<std::uint64_t>(now.tv_sec) * 1000 + static_cast<std::uint64_t>(now.tv_nsec) / 1000000, 10);
        line.append(",\"node\":\"");
        line.append(nodeName.data());
        line.append(R"(","level":"FATAL","part":"crash","message":"A signal ends the process.","signal":")");
        line.appendNumber(static_cast<std::uint64_t>(signal), 10);
        line.append(R"(","address":"0x)");
        line.appendNumber(reinterpret_cast<std::uintptr_t>(info->si_addr), 16);
        line.append("\",\"stack\":\"");
        std::array<void*, maxFrames> frames {};
        int count = ::backtrace(frames.data(), static_cast<int>(frames.size()));
        for (int i = 0; i < count; ++i) {
            line.append(i ? " " : "");
            appendAddress(line, reinterpret_cast<std::uintptr_t>(frames[static_cast<std::size_t>(i)]));
        }
        line.append("\"}\n");
        line.writeTo(STDERR_FILENO);
        // The disposition is the default again (SA_RESETHAND), so that this ends the process.
        ::raise(signal);
    }

    /// Finds the addresses of the program itself, which dl_iterate_phdr() reports first.
    int findProgram(dl_phdr_info* info, std::size_t /*size*/, void* /*data*/)
    {
        loadAddress = info->dlpi_addr;
        for (int i = 0; i < info->dlpi_phnum; ++i) {
            const auto& segment = info->dlpi_phdr[i];
            if (segment.p_type == PT_LOAD)
                loadEnd = std::max(loadEnd, loadAddress + segment.p_vaddr + segment.p_memsz);
        }
        return 1;
    }

} // namespace

void installCrashReporter(const std::string& node)
{
#ifdef __SANITIZE_ADDRESS__
    // AddressSanitizer reports these signals in more detail.
    return;
#endif
    std::strncpy(nodeName.data(), node.c_str(), nodeName.size() - 1);
    ::dl_iterate_phdr(findProgram, nullptr);
    // Loads the unwinder, so that the handler does not have to.
    std::array<void*, 1> frame {};
    ::backtrace(frame.data(), 1);
    stack_t stack {};
    stack.ss_sp = signalStack.data();
    stack.ss_size = signalStack.size();
    ::sigaltstack(&stack, nullptr);
    struct sigaction action { };
    action.sa_sigaction = reportCrash;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_RESETHAND;
    ::sigemptyset(&action.sa_mask);
    for (int signal : fatalSignals)
        ::sigaction(signal, &action, nullptr);
}

} // namespace pistachioloom
