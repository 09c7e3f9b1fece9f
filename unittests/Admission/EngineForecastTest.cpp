//===- unittests/Admission/EngineForecastTest.cpp - returns to new engines ===//
///
/// \file
/// Tests when callers return that are refused after a loss of engines. The load is that of a
/// played day: all reclaimable engines are lost at 6.5, 9.2 and 9.9 s.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Admission.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <numeric>
#include <random>

using namespace pistachioloom;

namespace {

constexpr milliseconds bootTime { 4000 };
constexpr milliseconds reviewInterval { 500 };
constexpr double tokensPerMs = 40;
/// A delay without a forecast.
constexpr milliseconds usualDelay { 300 };
/// Objective of a route whose callers wait for a result.
constexpr milliseconds resultObjective { 2500 };
const SteadyTime start = SteadyTime {} + std::chrono::hours(1);
const ServiceName service { "s" };

/// The engines that remain after each of the three losses, and those that register when the engines
/// ordered because of the last one have booted.
struct Loss {
    const char* name_;
    std::uint64_t before_;
    std::array<std::uint64_t, 3> remaining_;
    std::uint64_t booted_;
};

struct Replay {
    int returns_ = 0;
    int servedReturns_ = 0;
    int served_ = 0;
    int requests_ = 0;
    /// The largest number of returns in 0.1 s as a multiple of the mean over that second.
    double peak_ = 0;
    /// The longest delay as a part of the time left, among callers who are told to wait for engines.
    double longestPart_ = 0;
    std::vector<milliseconds> delays_ {};
};

struct Caller {
    bool isLong_ = false;
    bool hasReturned_ = false;
};

/// Replays the loss with 60 nodes and 436 requests a second, half of them with 15 s and half with 3 s
/// left, whose callers return once. The engines share one queue.
class LossReplay {
public:
    LossReplay(const Loss& loss, std::optional<milliseconds> bootTimeKnown, unsigned seed)
        : loss_(loss)
        , bootTimeKnown_(bootTimeKnown)
        , random_(seed)
    {
    }

    Replay run()
    {
        for (int ms = 0; ms < 25000; ++ms) {
            setEngines(ms);
            backlog_ -= std::min(backlog_, static_cast<double>(engines_) * tokensPerMs);
            auto [first, last] = returning_.equal_range(ms);
            for (auto entry = first; entry != last; ++entry)
                arrive(entry->second, ms);
            if (draw() < 0.436)
                arrive({ draw() < 0.5, false }, ms);
        }
        for (std::size_t bin = 0; bin + 10 <= returnsIn_.size(); bin += 10) {
            auto second = returnsIn_.begin() + static_cast<std::ptrdiff_t>(bin);
            int sum = std::accumulate(second, second + 10, 0);
            // Ratios of small numbers say nothing.
            if (sum >= 200)
                result_.peak_ = std::max(result_.peak_, *std::max_element(second, second + 10) * 10.0 / sum);
        }
        return result_;
    }

private:
    double draw() { return std::uniform_real_distribution<>(0, 1)(random_); }

    void setEngines(int ms)
    {
        constexpr std::array<int, 3> lostAt { 6500, 9200, 9900 };
        std::uint64_t before = engines_;
        for (std::size_t i = 0; i < lostAt.size(); ++i) {
            if (ms == lostAt[i])
                engines_ = loss_.remaining_[i];
        }
        // The registrations of the engines arrive over 0.3 s.
        int bootedFor = ms - lostAt.back() - static_cast<int>((bootTime + reviewInterval).count());
        if (bootedFor >= 0 && loss_.booted_ > engines_)
            engines_ = std::max(engines_, loss_.booted_ * static_cast<std::uint64_t>(std::min(300, bootedFor)) / 300);
        // What was queued at lost engines is not refused, and not followed here.
        if (engines_ < before)
            backlog_ *= static_cast<double>(engines_) / static_cast<double>(before);
        for (std::size_t i = 0; bootTimeKnown_ && i < nodes_.size(); ++i) {
            if (ms % 250 == static_cast<int>(i * 250 / nodes_.size()))
                nodes_[i].observe(service, { engines_, *bootTimeKnown_, reviewInterval, tokensPerMs }, start + milliseconds(ms));
        }
    }

    void arrive(Caller caller, int ms)
    {
        const double tokens = caller.isLong_ ? 6000 : 1200;
        const milliseconds timeLeft { caller.isLong_ ? 15000 : 3000 };
        result_.requests_ += !caller.hasReturned_;
        result_.returns_ += caller.hasReturned_;
        if (caller.hasReturned_)
            ++returnsIn_[static_cast<std::size_t>(ms / 100)];
        std::optional<milliseconds> retryAfter { 150 };
        if (engines_)
            retryAfter = retryAfterIfRejected({ true, false, milliseconds(static_cast<std::int64_t>(backlog_ / (static_cast<double>(engines_) * tokensPerMs))), milliseconds(800) }, {});
        if (!retryAfter) {
            backlog_ += tokens;
            ++result_.served_;
            result_.servedReturns_ += caller.hasReturned_;
            return;
        }
        if (caller.hasReturned_)
            return;
        EngineForecast& node = nodes_[static_cast<std::size_t>(draw() * static_cast<double>(nodes_.size()))];
        node.noteRefused(service, static_cast<std::uint64_t>(tokens));
        const double returnDraw = draw();
        if (auto expected = node.expected(service, nodes_.size(), start + milliseconds(ms))) {
            if (auto delay = returnWithEngines(*expected, { *retryAfter, false, resultObjective, timeLeft, returnDraw })) {
                retryAfter = delay;
                result_.longestPart_ = std::max(result_.longestPart_, static_cast<double>(delay->count()) / static_cast<double>(timeLeft.count()));
            }
        }
        result_.delays_.push_back(*retryAfter);
        returning_.emplace(ms + std::max(1, static_cast<int>(retryAfter->count())), Caller { caller.isLong_, true });
    }

    const Loss& loss_;
    /// nullopt if the nodes observe no engines.
    std::optional<milliseconds> bootTimeKnown_;
    std::mt19937_64 random_;
    std::array<EngineForecast, 60> nodes_;
    std::uint64_t engines_ = loss_.before_;
    double backlog_ = 0;
    std::multimap<int, Caller> returning_;
    std::array<int, 250> returnsIn_ {};
    Replay result_;
};

} // namespace

// Guards against callers who are told to return before the engines that are ordered after a loss have
// booted, and against returns that all come at the moment when they register.
TEST_CASE("callers who are refused after a loss return when its engines have booted", "[admission][forecast]")
{
    struct Row {
        Loss loss_;
        /// Bounds of the share of returns that are served, without and with the forecast.
        double maxServedBefore_;
        double minServed_;
        double maxPeak_;
    };
    auto row = GENERATE(values<Row>({
        { { "21 of 60 engines remain", 60, { 47, 34, 21 }, 60 }, 0.45, 0.6, 3 },
        { { "none of 117 remains", 117, { 78, 39, 0 }, 60 }, 0.1, 0.25, 3 },
    }));
    auto seed = GENERATE(range(1U, 6U));
    Replay before = LossReplay(row.loss_, std::nullopt, seed).run();
    Replay after = LossReplay(row.loss_, bootTime, seed).run();
    double servedBefore = static_cast<double>(before.servedReturns_) / before.returns_;
    double served = static_cast<double>(after.servedReturns_) / after.returns_;
    CAPTURE(row.loss_.name_, seed, servedBefore, served, before.peak_, after.peak_, before.served_, after.served_);
    CHECK(servedBefore <= row.maxServedBefore_);
    CHECK(served >= row.minServed_);
    CHECK(after.served_ > before.served_);
    CHECK(after.peak_ <= row.maxPeak_);
    CHECK(after.longestPart_ > 0);
    CHECK(after.longestPart_ <= 1.0 / 3);
}

// Guards against a forecast that costs requests if the platform has no engines, and against changed
// delays in services without scaling.
TEST_CASE("if no engines come, no fewer requests are served", "[admission][forecast]")
{
    const Loss withoutOthers { "the platform has none", 60, { 47, 34, 21 }, 0 };
    auto seed = GENERATE(range(1U, 6U));
    Replay before = LossReplay(withoutOthers, std::nullopt, seed).run();
    Replay after = LossReplay(withoutOthers, bootTime, seed).run();
    CAPTURE(seed, before.served_, after.served_);
    CHECK(after.served_ >= 0.98 * before.served_);
    CHECK(LossReplay(withoutOthers, milliseconds(0), seed).run().delays_ == before.delays_);
}

// Guards against losses that are taken for others, last too long or are forgotten too early.
TEST_CASE("a loss lasts until engines have registered or are overdue", "[admission][forecast]")
{
    struct Step {
        int atMs_;
        std::uint64_t engines_;
        /// Time until engines are expected; -1 if none are.
        int expectedInMs_;
        bool isPlatformAvailable_ = true;
        std::uint64_t refusedTokens_ = 0;
        int spreadMs_ = 500;
    };
    struct Row {
        const char* name_;
        std::vector<Step> steps_;
    };
    auto row = GENERATE(values<Row>({
        { "a node that has just started", { { 0, 0, -1 }, { 250, 20, -1 }, { 500, 60, -1 } } },
        { "less than a half", { { 0, 60, -1 }, { 250, 31, -1 } } },
        { "a half at once", { { 0, 60, -1 }, { 250, 30, 4500 }, { 1250, 30, 3500 }, { 4800, 30, 0 } } },
        { "a half within a boot time", { { 0, 60, -1 }, { 3000, 40, -1 }, { 4000, 30, 4500 } } },
        { "a half in more than a boot time", { { 0, 60, -1 }, { 2000, 45, -1 }, { 6100, 30, -1 } } },
        { "a second loss", { { 0, 60, -1 }, { 250, 30, 4500 }, { 2250, 15, 4500 }, { 6300, 30, 450 } } },
        { "engines that leave during a loss", { { 0, 60, -1 }, { 250, 30, 4500 }, { 2250, 20, 2500 } } },
        { "three quarters return", { { 0, 60, -1 }, { 250, 21, 4500 }, { 4750, 44, 0 }, { 5000, 45, -1 }, { 5250, 44, -1 } } },
        { "overdue", { { 0, 60, -1 }, { 250, 21, 4500 }, { 6200, 21, 0 }, { 6250, 21, -1 } } },
        { "some engines register", { { 0, 60, -1 }, { 250, 21, 4500 }, { 6000, 30, 0 }, { 11900, 30, 0 }, { 12000, 30, -1 } } },
        { "engines come and go without end", { { 0, 60, -1 }, { 250, 20, 4500 }, { 4000, 21, 750 }, { 8000, 20, 0 }, { 12000, 21, 0 }, { 12250, 20, -1 } } },
        { "the platform is unavailable", { { 0, 60, -1 }, { 250, 0, -1, false }, { 500, 0, -1 }, { 750, 60, -1 } } },
        { "the platform becomes unavailable", { { 0, 60, -1 }, { 250, 0, 4500 }, { 500, 0, -1, false }, { 750, 0, -1 } } },
        { "refused tokens add up", { { 0, 60, -1 }, { 250, 20, 4500, true, 160000, 1000 }, { 1250, 20, 3500, true, 0, 1000 }, { 1250, 20, 3500, true, 80000, 1500 }, { 1250, 20, 3500, true, 1600000, 2000 } } },
    }));
    CAPTURE(row.name_);
    EngineForecast forecast;
    for (const Step& step : row.steps_) {
        CAPTURE(step.atMs_);
        SteadyTime now = start + milliseconds(step.atMs_);
        forecast.observe(service, { step.engines_, bootTime, reviewInterval, tokensPerMs, step.isPlatformAvailable_ }, now);
        forecast.noteRefused(service, step.refusedTokens_);
        auto expected = step.expectedInMs_ < 0 ? std::nullopt : std::optional(ExpectedEngines { milliseconds(step.expectedInMs_), milliseconds(step.spreadMs_) });
        CHECK(forecast.expected(service, 10, now) == expected);
    }
}

// Guards against delays beyond a third of the time left, and against a wait for engines that come too
// late for the caller.
TEST_CASE("a caller returns to expected engines if it can wait for them", "[admission][forecast]")
{
    struct Row {
        const char* name_;
        ExpectedEngines expected_;
        ReturnView view_;
        std::optional<milliseconds> delay_;
    };
    auto row = GENERATE(values<Row>({
        { "no draw", { milliseconds(3000), milliseconds(1000) }, { usualDelay, false, resultObjective, milliseconds(15000), 0 }, milliseconds(3000) },
        { "half of the spread", { milliseconds(3000), milliseconds(1000) }, { usualDelay, false, resultObjective, milliseconds(15000), 0.5 }, milliseconds(3500) },
        { "cut to a third", { milliseconds(4500), milliseconds(2000) }, { usualDelay, false, resultObjective, milliseconds(15000), 1 }, milliseconds(5000) },
        { "just in time", { milliseconds(1000), milliseconds(500) }, { usualDelay, false, resultObjective, milliseconds(3000), 1 }, milliseconds(1000) },
        { "too late", { milliseconds(1001), milliseconds(500) }, { usualDelay, false, resultObjective, milliseconds(3000), 0 }, std::nullopt },
        { "overdue", { milliseconds(0), milliseconds(500) }, { usualDelay, false, resultObjective, milliseconds(15000), 0 }, usualDelay },
        { "deferrable, longer before", { milliseconds(1000), milliseconds(500) }, { milliseconds(2500), true, resultObjective, milliseconds(15000), 0 }, milliseconds(2500) },
        { "deferrable, shorter before", { milliseconds(3000), milliseconds(500) }, { milliseconds(2500), true, resultObjective, milliseconds(15000), 0 }, milliseconds(3000) },
        { "deferrable, cut to a third", { milliseconds(1000), milliseconds(500) }, { milliseconds(2500), true, resultObjective, milliseconds(6000), 0 }, milliseconds(2000) },
        { "no time left", { milliseconds(0), milliseconds(500) }, { usualDelay, false, resultObjective, milliseconds(0), 0 }, std::nullopt },
        { "an objective of a second", { milliseconds(3000), milliseconds(1000) }, { usualDelay, false, milliseconds(1000), milliseconds(15000), 0 }, std::nullopt },
        { "no deadline", { milliseconds(4500), milliseconds(2000) }, { usualDelay, false, resultObjective }, milliseconds(4500) },
    }));
    CAPTURE(row.name_);
    CHECK(returnWithEngines(row.expected_, row.view_) == row.delay_);
}
