//===- lib/Speed/SpeedMoments.cpp - least-squares fit over many nodes -----===//
///
/// \file
/// See SpeedMoments.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Speed.h"

#include <algorithm>

namespace pistachioloom {

// The speed of a service is learnt from a few hundred requests of each node.
static constexpr double learningRate = 0.005;
static constexpr double minWeight = 12;
// A learnt rate differs from the configured one by at most this factor.
static constexpr double maxFallbackRatio = 8;
// Upper bound in ms of the time to the first event without prefill, which is 15 ms and
// the time of a few batch steps.
static constexpr double maxOverheadMs = 150;

void SpeedMoments::observe(double tokens, double waitMs)
{
    // The first observations have equal weights.
    weight_ = std::min(weight_ + 1, 1 / learningRate);
    double share = 1 / weight_;
    meanTokens_ += share * (tokens - meanTokens_);
    meanWaitMs_ += share * (waitMs - meanWaitMs_);
    meanSquaredTokens_ += share * (tokens * tokens - meanSquaredTokens_);
    meanTokensTimesWait_ += share * (tokens * waitMs - meanTokensTimesWait_);
}

void SpeedMoments::add(const SpeedMoments& other)
{
    double sum = weight_ + other.weight_;
    if (sum <= 0)
        return;
    double share = other.weight_ / sum;
    weight_ = sum;
    meanTokens_ += share * (other.meanTokens_ - meanTokens_);
    meanWaitMs_ += share * (other.meanWaitMs_ - meanWaitMs_);
    meanSquaredTokens_ += share * (other.meanSquaredTokens_ - meanSquaredTokens_);
    meanTokensTimesWait_ += share * (other.meanTokensTimesWait_ - meanTokensTimesWait_);
}

void SpeedMoments::remove(const SpeedMoments& other)
{
    // A remainder of less than one observation is a rounding error.
    if (weight_ - other.weight_ < 1) {
        *this = {};
        return;
    }
    SpeedMoments negative = other;
    negative.weight_ = -other.weight_;
    add(negative);
}

bool SpeedMoments::isSufficient() const
{
    return weight_ >= minWeight;
}

double SpeedMoments::varianceOfTokens() const
{
    return meanSquaredTokens_ - meanTokens_ * meanTokens_;
}

double SpeedMoments::covariance() const
{
    return meanTokensTimesWait_ - meanTokens_ * meanWaitMs_;
}

bool SpeedMoments::hasRate() const
{
    return isSufficient() && varianceOfTokens() > 0 && covariance() > 0;
}

double SpeedMoments::prefillPerMs(double fallback) const
{
    if (!hasRate())
        return fallback;
    return std::clamp(varianceOfTokens() / covariance(), fallback / maxFallbackRatio, fallback * maxFallbackRatio);
}

double SpeedMoments::overheadMs(double prefillPerMs, double fallback) const
{
    if (!isSufficient())
        return fallback;
    return std::clamp(meanWaitMs_ - meanTokens_ / prefillPerMs, 0.0, maxOverheadMs);
}

} // namespace pistachioloom
