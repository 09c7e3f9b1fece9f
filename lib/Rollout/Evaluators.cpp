//===- lib/Rollout/Evaluators.cpp - whether a version is worse ------------===//
///
/// \file
/// See makeSequentialEvaluator() and makeThresholdEvaluator().
//===----------------------------------------------------------------------===//
#include "pistachioloom/Rollout.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>

namespace pistachioloom {

namespace {

    // Time constants of the exponential decay of the stable version's long-term and
    // short-term rates of bad answers, in ms.
    constexpr double longDecayMs = 1000;
    constexpr double shortDecayMs = 20;

    /// Rate of bad answers of the stable version, with exponential decay.
    class DecayingRate {
    public:
        explicit DecayingRate(double decayMs)
            : decayMs_(decayMs)
        {
        }

        void observe(const AnswerTally& counted, double passedMs)
        {
            double remaining = std::exp(-passedMs / decayMs_);
            answers_ = answers_ * remaining + static_cast<double>(counted.answers_);
            bad_ = bad_ * remaining + static_cast<double>(counted.bad_);
        }

        double answers() const { return answers_; }
        double rate() const
        {
            // While there are few answers, a small rate of bad ones is assumed.
            constexpr double assumedBad = 0.4;
            constexpr double assumedAnswers = 20;
            return (bad_ + assumedBad) / (answers_ + assumedAnswers);
        }
        /// Upper bound of the rate: the rate plus its standard error, by which the rate of
        /// so few answers may be higher by chance.
        double upperRate() const
        {
            constexpr double deviations = 1.0;
            return rate() + deviations * std::sqrt(rate() * (1 - rate()) / (answers_ + 1));
        }

    private:
        double decayMs_;
        double answers_ = 0;
        double bad_ = 0;
    };

    double passedMs(SteadyTime from, SteadyTime until)
    {
        return std::chrono::duration<double, std::milli>(until - from).count();
    }

    std::set<RouteKey> routesOf(const RolloutTally& tally)
    {
        std::set<RouteKey> routes;
        for (const auto& [cell, counted] : tally.cells_)
            routes.insert(cell.second);
        return routes;
    }

    class SequentialEvaluator {
    public:
        std::optional<std::string> operator()(const RolloutTally& tally, SteadyTime now)
        {
            RolloutTally counted = tally.since(previousTally_);
            double passed = evaluatedAt_ == SteadyTime {} ? 0 : passedMs(evaluatedAt_, now);
            previousTally_ = tally;
            evaluatedAt_ = now;
            for (const auto& [cell, answers] : counted.cells_) {
                if (cell.first == stableBackendKey)
                    stableRates_[cell.second].observe(answers, passed);
            }
            std::map<RouteKey, std::uint64_t> ofTarget;
            for (const auto& [cell, answers] : counted.cells_)
                ofTarget[cell.second] += cell.first == stableBackendKey ? 0 : answers.answers_;
            for (const auto& [cell, answers] : counted.cells_) {
                if (cell.first != stableBackendKey && stableRates_[cell.second].outnumbers(ofTarget[cell.second]))
                    updateScore(cell, answers);
            }
            for (RouteKey route : routesOf(tally)) {
                if (auto why = evaluate(route))
                    return why;
            }
            return std::nullopt;
        }

    private:
        // A rate of bad answers that exceeds the baseline by this much counts as worse.
        static constexpr double degradation = 0.15;
        // Upper bound of the degraded rate, so that the logarithms in the ratios are finite.
        static constexpr double maxRate = 0.97;
        // Limit of one backend server's score on one route: a single server is no evidence
        // against the version.
        static constexpr double maxScore = 6;
        // A backend server counts as degraded from this score on. One bad answer in a dozen
        // raises a score by about 2.
        static constexpr double degradedScore = 1.5;
        // The target is worse only if the scores of its backend servers on one route sum up
        // to this, and this fraction of them is degraded.
        static constexpr double scoreToRevert = 12;
        static constexpr double fractionToRevert = 0.8;
        // Backend servers with fewer answers on the route are left out.
        static constexpr std::uint64_t minAnswers = 4;
        // Backend servers with enough answers that are required, or all if there are fewer.
        static constexpr std::size_t minServers = 3;
        // Answers of the stable version that are required for each answer of the target at the
        // same time. With fewer, the target's answers are no evidence about its version.
        static constexpr double minStablePerTarget = 3;

        struct StableRates {
            DecayingRate longTerm_ { longDecayMs };
            DecayingRate shortTerm_ { shortDecayMs };

            void observe(const AnswerTally& counted, double passed)
            {
                longTerm_.observe(counted, passed);
                shortTerm_.observe(counted, passed);
            }
            /// Whether the stable version has enough recent answers to compare with \p ofTarget
            /// answers of the target.
            bool outnumbers(std::uint64_t ofTarget) const
            {
                double required = minStablePerTarget * static_cast<double>(ofTarget);
                return longTerm_.answers() >= required && shortTerm_.answers() >= required;
            }
            // The higher of both rates, since the long-term rate hardly shows a fault that has
            // just started.
            double rate() const { return std::max(longTerm_.upperRate(), shortTerm_.rate()); }
        };
        struct Score {
            double value_ = 0;
            std::uint64_t answers_ = 0;
        };

        void updateScore(const std::pair<BackendKey, RouteKey>& cell, const AnswerTally& counted)
        {
            double baseline = std::min(maxRate - degradation / 2, stableRates_[cell.second].rate());
            double degraded = std::min(maxRate, baseline + degradation);
            double badLogRatio = std::log(degraded / baseline);
            double goodLogRatio = std::log((1 - degraded) / (1 - baseline));
            Score& score = scores_[cell];
            score.answers_ += counted.answers_;
            auto bad = static_cast<double>(counted.bad_);
            auto good = static_cast<double>(counted.answers_ - counted.bad_);
            score.value_ = std::clamp(score.value_ + bad * badLogRatio + good * goodLogRatio, 0.0, maxScore);
        }

        std::optional<std::string> evaluate(RouteKey route) const
        {
            double sum = 0;
            std::size_t evaluated = 0;
            std::size_t degraded = 0;
            for (const auto& [cell, score] : scores_) {
                if (cell.second != route || score.answers_ < minAnswers)
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
            std::set<BackendKey> all;
            for (const auto& [cell, score] : scores_)
                all.insert(cell.first);
            return all.size();
        }

        RolloutTally previousTally_;
        SteadyTime evaluatedAt_ {};
        std::map<RouteKey, StableRates> stableRates_;
        std::map<std::pair<BackendKey, RouteKey>, Score> scores_;
    };

    class ThresholdEvaluator {
    public:
        std::optional<std::string> operator()(const RolloutTally& tally, SteadyTime now)
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
                    return std::to_string(target.bad_) + " of " + std::to_string(target.answers_) + " answers are bad, against " + std::to_string(stable.bad_) + " of " + std::to_string(stable.answers_);
            }
            return std::nullopt;
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
