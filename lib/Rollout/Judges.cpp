//===- lib/Rollout/Judges.cpp - whether a version is worse than another ----===//
///
/// \file
/// See makeSequentialJudge() and makeThresholdJudge().
//===----------------------------------------------------------------------===//
#include "pistachioloom/Rollout.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>

namespace pistachioloom {

namespace {

    constexpr double memoryMs = 1000;
    constexpr double noMemoryMs = 20;

    /// Part of bad answers among the others, with fading memory.
    class FadingPart {
    public:
        explicit FadingPart(double memory)
            : memory_(memory)
        {
        }

        void observe(const AnswerTally& counted, double passedMs)
        {
            double kept = std::exp(-passedMs / memory_);
            answers_ = answers_ * kept + static_cast<double>(counted.answers_);
            bad_ = bad_ * kept + static_cast<double>(counted.bad_);
        }

        double answers() const { return answers_; }
        double part() const
        {
            // With little seen, a few bad answers are assumed.
            constexpr double assumedBad = 0.4;
            constexpr double assumedAnswers = 20;
            return (bad_ + assumedBad) / (answers_ + assumedAnswers);
        }
        /// The part that few answers may have by chance where so many were seen.
        double upperPart() const
        {
            constexpr double deviations = 1.0;
            return part() + deviations * std::sqrt(part() * (1 - part()) / (answers_ + 1));
        }

    private:
        double memory_;
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

    class SequentialJudge {
    public:
        std::optional<std::string> operator()(const RolloutTally& tally, SteadyTime now)
        {
            RolloutTally counted = tally.since(before_);
            double passed = judgedAt_ == SteadyTime {} ? 0 : passedMs(judgedAt_, now);
            before_ = tally;
            judgedAt_ = now;
            for (const auto& [cell, answers] : counted.cells_) {
                if (cell.first == stableServers)
                    stable_[cell.second].observe(answers, passed);
            }
            std::map<RouteKey, std::uint64_t> ofTarget;
            for (const auto& [cell, answers] : counted.cells_)
                ofTarget[cell.second] += cell.first == stableServers ? 0 : answers.answers_;
            for (const auto& [cell, answers] : counted.cells_) {
                if (cell.first != stableServers && stable_[cell.second].outnumbers(ofTarget[cell.second]))
                    test(cell, answers);
            }
            for (RouteKey route : routesOf(tally)) {
                if (auto why = judge(route))
                    return why;
            }
            return std::nullopt;
        }

    private:
        // Above the others' part of bad answers, what counts as worse.
        static constexpr double worseBy = 0.15;
        static constexpr double mostPart = 0.97;
        // A backend server adds no more than this to the sum: one alone proves nothing.
        static constexpr double mostScore = 6;
        // One bad answer in a dozen raises a score by about 2.
        static constexpr double scoreShown = 1.5;
        static constexpr double scoreToRevert = 12;
        static constexpr double partToRevert = 0.8;
        static constexpr std::uint64_t leastAnswers = 4;
        static constexpr std::size_t leastServers = 3;
        static constexpr double othersForOne = 3;

        struct Recent {
            FadingPart lately_ { memoryMs };
            FadingPart now_ { noMemoryMs };

            void observe(const AnswerTally& counted, double passed)
            {
                lately_.observe(counted, passed);
                now_.observe(counted, passed);
            }
            /// Without many of the others at the same time an answer says nothing of the
            /// version.
            bool outnumbers(std::uint64_t ofTarget) const
            {
                double least = othersForOne * static_cast<double>(ofTarget);
                return lately_.answers() >= least && now_.answers() >= least;
            }
            // A trouble that begins now hardly shows in what was seen lately.
            double part() const { return std::max(lately_.upperPart(), now_.part()); }
        };
        struct Score {
            double value_ = 0;
            std::uint64_t answers_ = 0;
        };

        void test(const std::pair<BackendKey, RouteKey>& cell, const AnswerTally& counted)
        {
            double usual = std::min(mostPart - worseBy / 2, stable_[cell.second].part());
            double worse = std::min(mostPart, usual + worseBy);
            double ofBad = std::log(worse / usual);
            double ofGood = std::log((1 - worse) / (1 - usual));
            Score& score = scores_[cell];
            score.answers_ += counted.answers_;
            auto bad = static_cast<double>(counted.bad_);
            auto good = static_cast<double>(counted.answers_ - counted.bad_);
            score.value_ = std::clamp(score.value_ + bad * ofBad + good * ofGood, 0.0, mostScore);
        }

        std::optional<std::string> judge(RouteKey route) const
        {
            double sum = 0;
            std::size_t judged = 0;
            std::size_t worse = 0;
            for (const auto& [cell, score] : scores_) {
                if (cell.second != route || score.answers_ < leastAnswers)
                    continue;
                ++judged;
                sum += score.value_;
                worse += score.value_ >= scoreShown;
            }
            auto needed = std::max<std::size_t>(std::min<std::size_t>(2, judged), static_cast<std::size_t>(std::ceil(partToRevert * static_cast<double>(judged))));
            bool isJudged = judged && judged >= std::min(leastServers, servers());
            // Few backend servers cannot reach the sum.
            double neededSum = std::min(scoreToRevert, 0.9 * mostScore * static_cast<double>(judged));
            if (!isJudged || worse < needed || sum < neededSum)
                return std::nullopt;
            return std::to_string(worse) + " of " + std::to_string(judged) + " backend servers are worse, by a log likelihood ratio of " + std::to_string(sum);
        }

        /// Backend servers of the target that have answered on any route.
        std::size_t servers() const
        {
            std::set<BackendKey> all;
            for (const auto& [cell, score] : scores_)
                all.insert(cell.first);
            return all.size();
        }

        RolloutTally before_;
        SteadyTime judgedAt_ {};
        std::map<RouteKey, Recent> stable_;
        std::map<std::pair<BackendKey, RouteKey>, Score> scores_;
    };

    class ThresholdJudge {
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
                    AnswerTally& side = cell.first == stableServers ? stable : target;
                    side.answers_ += answers.answers_;
                    side.bad_ += answers.bad_;
                }
                if (target.answers_ >= leastAnswers && partOf(target) > partOf(stable) + worseBy)
                    return std::to_string(target.bad_) + " of " + std::to_string(target.answers_) + " answers are bad, against " + std::to_string(stable.bad_) + " of " + std::to_string(stable.answers_);
            }
            return std::nullopt;
        }

    private:
        static constexpr milliseconds window { 2000 };
        static constexpr std::uint64_t leastAnswers = 20;
        static constexpr double worseBy = 0.1;

        static double partOf(const AnswerTally& tally)
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

RolloutJudge makeSequentialJudge()
{
    return SequentialJudge {};
}

RolloutJudge makeThresholdJudge()
{
    return ThresholdJudge {};
}

} // namespace pistachioloom
