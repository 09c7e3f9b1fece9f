//===- pistachioloom/Speed.h - reading speed of model engines -------------===//
///
/// \file
/// Fits the time to the first event against the prompt tokens that an engine has to read.
/// Nodes exchange the moments from which the fit follows instead of their own fits: a mean of
/// rates grows with the noise of the waits, because a rate is the reciprocal of a slope.
//===----------------------------------------------------------------------===//
#pragma once

#include <cstdint>

namespace pistachioloom {

/// Weighted moments of observed waits. Values of several nodes can be added. The code does no
/// I/O and is not thread-safe.
struct SpeedMoments {
    /// Number of observations, older ones with less weight.
    double weight_ = 0;
    double meanTokens_ = 0;
    double meanWaitMs_ = 0;
    double meanSquaredTokens_ = 0;
    double meanTokensTimesWait_ = 0;

    /// Adds the wait in ms for the first event of a request with \p tokens tokens to read.
    void observe(double tokens, double waitMs);
    /// Adds the observations of another node.
    void add(const SpeedMoments& other);
    /// Removes observations that were added before.
    void remove(const SpeedMoments& other);
    /// Whether there are enough observations for a fit.
    bool isSufficient() const;
    /// Whether the waits determine a rate: there are enough, and they grow with the tokens.
    bool hasRate() const;
    /// Tokens that an engine reads in a millisecond: the reciprocal of the slope of the
    /// least-squares line, within a factor of 8 of \p fallback. Returns \p fallback if there
    /// are too few observations, or if waits do not grow with the tokens.
    double prefillPerMs(double fallback) const;
    /// The part of the wait that does not depend on the tokens, in ms; \p fallback if there
    /// are too few observations.
    double overheadMs(double prefillPerMs, double fallback) const;

private:
    double varianceOfTokens() const;
    double covariance() const;
};

} // namespace pistachioloom
