//===- lib/Rollout/Evaluators.cpp - whether a version is worse ------------===//
///
/// \file
/// See makeSequentialEvaluator() and makeThresholdEvaluator().
//===----------------------------------------------------------------------===//
#include "pistachioloom/Rollout.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>
#include <set>

namespace pistachioloom {

namespace {

    std::set<RouteKey> routesOf(const RolloutTally& tally)
    {
        std::set<RouteKey> routes;
        for (const auto& [cell, counted] : tally.cells_)
            routes.insert(cell.second);
        return routes;
    }

    class SequentialEvaluator {
    public:
        RolloutEvaluation operator()(const RolloutTally& tally, SteadyTime)
        {
            RolloutTally counted = tally.since(previousTally_);
            previousTally_ = tally;
            for (const auto& [cell, answers] : counted.cells_) {
                if (cell.first == stableBackendKey)
                    continue;
                auto stable = counted.cells_.find({ stableBackendKey, cell.second });
                if (stable != counted.cells_.end())
                    updateScores(cell, answers, stable->second);
            }
            RolloutEvaluation evaluation;
            for (const auto& [route, scores] : scores_) {
                evaluation.isSuspect_ |= sumOfLowest(scores) >= suspectScore;
                if (!evaluation.worse_)
                    evaluation.worse_ = evaluate(scores);
            }
            evaluation.isSound_ = isSound();
            return evaluation;
        }

    private:
        // The target is suspect if the lowest scores of this fraction of its backend servers
        // sum up to this. Servers that fail by themselves do not raise the lowest scores.
        static constexpr double suspectFraction = 0.6;
        static constexpr double suspectScore = 2.5;
        // The target is not sound if the log ratios of its backend servers since the order, each
        // limited to `maxTotal`, sum up to this.
        static constexpr double maxTotal = 2;
        static constexpr double unsoundTotal = 4;
        // Logarithm of the odds ratio of a bad answer, of the target against the other
        // versions, that counts as worse.
        static constexpr double degradation = 1.0;
        // Limit of one backend server's score: a single server is no evidence against the
        // version.
        static constexpr double maxScore = 5;
        // A backend server counts as degraded from this score on. One bad answer in a dozen
        // raises a score by about 2.
        static constexpr double degradedScore = 1.5;
        // The target is worse only if the scores of its backend servers sum up to this, and
        // this fraction of them is degraded.
        static constexpr double scoreToRevert = 13;
        static constexpr double fractionToRevert = 0.8;
        // Backend servers with fewer answers are left out.
        static constexpr std::uint64_t minAnswers = 4;
        // Backend servers with enough answers that are required, or all if there are fewer.
        static constexpr std::size_t minServers = 3;

        struct Score {
            /// The cumulative sum, which never falls below 0.
            double value_ = 0;
            /// The sum since the order.
            double total_ = 0;
            std::uint64_t answers_ = 0;

            void add(double logRatio, std::uint64_t answers)
            {
                answers_ += answers;
                total_ += logRatio;
                value_ = std::clamp(value_ + logRatio, 0.0, maxScore);
            }
        };
        using Scores = std::map<BackendKey, Score>;

        /// Adds the answers of one backend server of the target. Given the number of bad
        /// answers of both sides at the same time on the same route, the number that are the
        /// target's depends on the odds ratio only, and not on the rate that both have (Cox,
        /// 1958). The log likelihood ratio is approximated to second order.
        void updateScores(const std::pair<BackendKey, RouteKey>& cell, const AnswerTally& target, const AnswerTally& stable)
        {
            auto ofTarget = static_cast<double>(target.answers_);
            auto ofStable = static_cast<double>(stable.answers_);
            double all = ofTarget + ofStable;
            if (!target.answers_ || !stable.answers_)
                return;
            auto bad = static_cast<double>(target.bad_ + stable.bad_);
            double expected = ofTarget * bad / all;
            double variance = expected * (ofStable / all) * (all - bad) / (all - 1);
            double logRatio = degradation * (static_cast<double>(target.bad_) - expected) - degradation * degradation / 2 * variance;
            scores_[cell.second][cell.first].add(logRatio, target.answers_);
            scores_[std::nullopt][cell.first].add(logRatio, target.answers_);
        }

        static double sumOfLowest(const Scores& scores)
        {
            std::vector<double> values;
            for (const auto& [backend, score] : scores)
                values.push_back(score.value_);
            std::sort(values.begin(), values.end());
            values.resize(static_cast<std::size_t>(std::ceil(suspectFraction * static_cast<double>(values.size()))));
            return std::accumulate(values.begin(), values.end(), 0.0);
        }

        /// Whether neither a route nor all of them together are evidence against the target.
        bool isSound() const
        {
            return std::all_of(scores_.begin(), scores_.end(), [](const auto& entry) {
                double total = 0;
                for (const auto& [backend, score] : entry.second)
                    total += std::min(score.total_, maxTotal);
                return total < unsoundTotal;
            });
        }

        std::optional<std::string> evaluate(const Scores& scores) const
        {
            double sum = 0;
            std::size_t evaluated = 0;
            std::size_t degraded = 0;
            for (const auto& [backend, score] : scores) {
                if (score.answers_ < minAnswers)
                    continue;
                ++evaluated;
                sum += score.value_;
                degraded += score.value_ >= degradedScore;
            }
            auto needed = std::max<std::size_t>(std::min<std::size_t>(2, evaluated), static_cast<std::size_t>(std::ceil(fractionToRevert * static_cast<double>(evaluated))));
            bool hasEnoughServers = evaluated && evaluated >= std::min(minServers, servers());
            // A few backend servers cannot reach the full sum, since each score is limited.
            double neededSum = std::min(scoreToRevert, 0.9 * maxScore * static_cast<double>(evaluated));
            if (!hasEnoughServers || degraded < needed || sum < neededSum)
                return std::nullopt;
            return std::to_string(degraded) + " of " + std::to_string(evaluated) + " backend servers are worse, by a log likelihood ratio of " + std::to_string(sum);
        }

        /// Backend servers of the target that have answered on any route.
        std::size_t servers() const
        {
            auto all = scores_.find(std::nullopt);
            return all == scores_.end() ? 0 : all->second.size();
        }

        RolloutTally previousTally_;
        /// By route, and of all routes together under nullopt.
        std::map<std::optional<RouteKey>, Scores> scores_;
    };

    class ThresholdEvaluator {
    public:
        RolloutEvaluation operator()(const RolloutTally& tally, SteadyTime now)
        {
            recent_.push_back({ now, tally });
            while (now - recent_.front().at_ > window)
                recent_.pop_front();
            RolloutTally counted = tally.since(recent_.front().tally_);
            for (RouteKey route : routesOf(counted)) {
                AnswerTally stable;
                AnswerTally target;
                for (const auto& [cell, answers] : counted.cells_) {
                    if (cell.second != route)
                        continue;
                    AnswerTally& side = cell.first == stableBackendKey ? stable : target;
                    side.answers_ += answers.answers_;
                    side.bad_ += answers.bad_;
                }
                if (target.answers_ >= minAnswers && badRateOf(target) > badRateOf(stable) + degradation)
                    return { std::to_string(target.bad_) + " of " + std::to_string(target.answers_) + " answers are bad, against " + std::to_string(stable.bad_) + " of " + std::to_string(stable.answers_), true, false };
            }
            return {};
        }

    private:
        // Answers within this time are compared.
        static constexpr milliseconds window { 2000 };
        // Answers of the target that are required on a route.
        static constexpr std::uint64_t minAnswers = 20;
        // Tolerated difference between the rates of bad answers.
        static constexpr double degradation = 0.1;

        static double badRateOf(const AnswerTally& tally)
        {
            return tally.answers_ ? static_cast<double>(tally.bad_) / static_cast<double>(tally.answers_) : 0;
        }

        struct Reading {
            SteadyTime at_ {};
            RolloutTally tally_;
        };
        std::deque<Reading> recent_;
    };

} // namespace

RolloutEvaluator makeSequentialEvaluator()
{
    return SequentialEvaluator {};
}

RolloutEvaluator makeThresholdEvaluator()
{
    return ThresholdEvaluator {};
}

} // namespace pistachioloom
