//===- unittests/Gateway/BackgroundExecutorTest.cpp - work off event loops ===//
///
/// \file
/// Tests where work runs and where its caller resumes, the order of work, exceptions, and
/// destruction.
//===----------------------------------------------------------------------===//
#include "BackgroundExecutor.h"

#include <catch2/catch.hpp>

#include <future>
#include <stdexcept>

using namespace pistachioloom;

namespace {

/// Counts its destructions.
struct DestructionCounter {
    explicit DestructionCounter(std::atomic<int>& destroyed)
        : destroyed_(destroyed)
    {
    }
    ~DestructionCounter() { ++destroyed_; }
    DestructionCounter(const DestructionCounter&) = delete;
    DestructionCounter& operator=(const DestructionCounter&) = delete;

    std::atomic<int>& destroyed_;
};

asio::awaitable<void> runWith(BackgroundExecutor& background, std::function<void()> work, std::atomic<int>& destroyed, std::atomic<int>& resumed)
{
    DestructionCounter counter(destroyed);
    co_await background.run(std::move(work));
    ++resumed;
}

} // namespace

TEST_CASE("work runs off the loop, and its caller resumes on the loop", "[background]")
{
    asio::io_context io(1);
    BackgroundExecutor background;
    std::thread::id loop = std::this_thread::get_id();
    std::thread::id worker;
    std::thread::id after;
    RcuCell<int> cell(7);
    int read = 0;
    auto caller = [&]() -> asio::awaitable<void> {
        co_await background.run([&] {
            worker = std::this_thread::get_id();
            read = cell.read([](int value) { return value; });
        });
        after = std::this_thread::get_id();
    };
    asio::co_spawn(io, caller(), asio::detached);
    io.run();
    CHECK(worker != std::thread::id {});
    CHECK(worker != loop);
    CHECK(after == loop);
    CHECK(read == 7);
}

TEST_CASE("the loop continues while work runs", "[background]")
{
    asio::io_context io(1);
    BackgroundExecutor background;
    std::promise<void> release;
    bool isDone = false;
    auto caller = [&]() -> asio::awaitable<void> {
        co_await background.run([&] { release.get_future().wait(); });
        isDone = true;
    };
    asio::co_spawn(io, caller(), asio::detached);
    // The work ends only if the loop runs this coroutine while the work runs.
    auto other = [&]() -> asio::awaitable<void> {
        co_await sleepFor(milliseconds(20));
        CHECK_FALSE(isDone);
        release.set_value();
    };
    asio::co_spawn(io, other(), asio::detached);
    io.run();
    CHECK(isDone);
}

TEST_CASE("work runs one item after another, in order", "[background]")
{
    asio::io_context io(1);
    BackgroundExecutor background;
    constexpr int itemCount = 200;
    std::atomic<int> running { 0 };
    bool hasOverlapped = false;
    std::vector<int> order;
    std::vector<int> expected;
    for (int i = 0; i < itemCount; ++i) {
        expected.push_back(i);
        auto work = [&, i] {
            hasOverlapped |= ++running > 1;
            order.push_back(i);
            --running;
        };
        asio::co_spawn(io, background.run(work), asio::detached);
    }
    io.run();
    CHECK_FALSE(hasOverlapped);
    CHECK(order == expected);
}

TEST_CASE("exceptions of work are rethrown in its caller, and the next work runs", "[background]")
{
    asio::io_context io(1);
    BackgroundExecutor background;
    std::string thrown;
    bool hasRun = false;
    auto caller = [&]() -> asio::awaitable<void> {
        try {
            co_await background.run([] { throw std::runtime_error("work failed"); });
        } catch (const std::runtime_error& error) {
            thrown = error.what();
        }
        co_await background.run([&] { hasRun = true; });
    };
    asio::co_spawn(io, caller(), asio::detached);
    io.run();
    CHECK(thrown == "work failed");
    CHECK(hasRun);
}

TEST_CASE("destruction waits for running work, drops queued work, and leaks no coroutine", "[background]")
{
    // Slow work is still running when the loop is stopped; other work has ended by then.
    auto isSlow = GENERATE(true, false);
    std::atomic<int> destroyed { 0 };
    std::atomic<int> resumed { 0 };
    std::atomic<bool> hasEnded { false };
    std::atomic<bool> hasRunNext { false };
    {
        asio::io_context io(1);
        BackgroundExecutor background;
        std::promise<void> started;
        auto first = [&] {
            started.set_value();
            std::this_thread::sleep_for(milliseconds(isSlow ? 200 : 0));
            hasEnded = true;
        };
        asio::co_spawn(io, runWith(background, first, destroyed, resumed), asio::detached);
        asio::co_spawn(io, runWith(
                               background, [&] { hasRunNext = true; }, destroyed, resumed),
            asio::detached);
        auto stop = [&]() -> asio::awaitable<void> {
            started.get_future().wait();
            if (!isSlow)
                std::this_thread::sleep_for(milliseconds(20));
            io.stop();
            co_return;
        };
        asio::co_spawn(io, stop(), asio::detached);
        io.run();
    }
    CHECK(hasEnded);
    CHECK(hasRunNext != isSlow);
    CHECK(resumed == 0);
    CHECK(destroyed == 2);
}
