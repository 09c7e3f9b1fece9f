//===- unittests/Quota/QuotaNodes.h - several nodes in one process ---------===//
///
/// \file
/// Simulates several nodes with one limiter each; the tests pass the time in.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Quota.h"

#include <deque>
#include <memory>
#include <random>
#include <set>

namespace pistachioloom::test {

inline const OrganisationId north { "north" };
inline const QuotaLimit limit { 1000, 1000 };
inline const SteadyTime start { milliseconds(1000000) };

/// Nodes that report their counts to each other once per report interval.
struct Nodes {
    Nodes(std::size_t count, milliseconds reportInterval)
        : reportInterval_(reportInterval)
    {
        for (std::size_t i = 0; i < count; ++i)
            limiters_.push_back(std::make_unique<QuotaLimiter>(start));
    }

    void exchange(SteadyTime now)
    {
        for (std::size_t from = 0; from < limiters_.size(); ++from) {
            for (std::size_t to = 0; to < limiters_.size(); ++to) {
                if (from != to && !unresponsive_.contains(from) && !unresponsive_.contains(to))
                    limiters_[to]->setPeer({ std::to_string(from) }, incarnations_[from], limiters_[from]->admitted(), limiters_[from]->levels(), now);
            }
        }
    }

    /// Sends a request of \p cost to each node every millisecond. \returns the cost
    /// admitted.
    double flood(SteadyTime from, milliseconds duration, double cost)
    {
        double admitted = 0;
        for (milliseconds t {}; t < duration; t += milliseconds(1)) {
            if (t.count() % reportInterval_.count() == 0)
                exchange(from + t);
            for (const auto& limiter : limiters_)
                admitted += limiter->take(north, limit, cost, from + t) ? 0 : cost;
        }
        return admitted;
    }

    milliseconds reportInterval_;
    std::vector<std::unique_ptr<QuotaLimiter>> limiters_;
    std::map<std::size_t, std::uint64_t> incarnations_;
    std::set<std::size_t> unresponsive_;
};

/// Nodes that receive the sum of all others with a delay, as through relays.
class DelayedNodes {
public:
    DelayedNodes(std::size_t count, milliseconds lag)
        : lag_(lag)
        , random_(count)
    {
        for (std::size_t i = 0; i < count; ++i)
            limiters_.push_back(std::make_unique<QuotaLimiter>(start, settingsOf(i, count)));
    }

    /// Sends requests of \p cost at \p perSecond, each to a random node.
    void run(SteadyTime from, milliseconds duration, double perSecond, const QuotaLimit& quotaLimit, double cost)
    {
        for (milliseconds t {}; t < duration; t += milliseconds(1)) {
            SteadyTime now = from + t;
            if (t.count() % reportIntervalMs == 0)
                exchange(now);
            if (std::uniform_real_distribution<>(0, 1)(random_) >= perSecond / 1000)
                continue;
            if (!limiters_[random_() % limiters_.size()]->take(north, quotaLimit, cost, now))
                admitted_.emplace_back(now, cost);
        }
    }

    /// Restarts all nodes; none has received a report of another.
    void restart(SteadyTime now)
    {
        reports_.clear();
        startedAt_ = now;
        for (std::size_t i = 0; i < limiters_.size(); ++i) {
            limiters_[i] = std::make_unique<QuotaLimiter>(now, settingsOf(i, limiters_.size()));
            limiters_[i]->setNodes(limiters_.size());
        }
    }

    /// \returns the maximum admitted in any window of \p length.
    double maxAdmitted(milliseconds length) const
    {
        double sum = 0;
        double maxAdmitted = 0;
        auto oldest = admitted_.begin();
        for (const auto& [at, cost] : admitted_) {
            sum += cost;
            for (; at - oldest->first > length; ++oldest)
                sum -= oldest->second;
            maxAdmitted = std::max(maxAdmitted, sum);
        }
        return maxAdmitted;
    }

    double sumSince(SteadyTime from) const
    {
        double sum = 0;
        for (const auto& [at, cost] : admitted_)
            sum += at >= from ? cost : 0;
        return sum;
    }

private:
    static constexpr int reportIntervalMs = 200;

    static QuotaSettings settingsOf(std::size_t i, std::size_t count)
    {
        QuotaSettings settings;
        settings.phase_ = static_cast<double>(i) / static_cast<double>(count);
        return settings;
    }

    void exchange(SteadyTime now)
    {
        std::vector<double> counts;
        for (const auto& limiter : limiters_)
            counts.push_back(limiter->admitted()[north]);
        reports_.emplace_back(now, counts);
        while (reports_.size() > 1 && reports_[1].first + lag_ <= now)
            reports_.pop_front();
        double all = 0;
        for (double count : reports_.front().second)
            all += count;
        for (std::size_t i = 0; i < limiters_.size(); ++i)
            limiters_[i]->setPeer({ "others" }, 1, { { north, all - reports_.front().second[i] } }, {}, now, limiters_.size() - 1, now - startedAt_ < milliseconds(3000));
    }

    milliseconds lag_;
    std::mt19937_64 random_;
    SteadyTime startedAt_ = start;
    std::vector<std::unique_ptr<QuotaLimiter>> limiters_;
    std::deque<std::pair<SteadyTime, std::vector<double>>> reports_;
    std::deque<std::pair<SteadyTime, double>> admitted_;
};

} // namespace pistachioloom::test
