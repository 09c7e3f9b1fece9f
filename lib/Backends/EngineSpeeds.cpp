//===- lib/Backends/EngineSpeeds.cpp - engine speeds over all nodes --------===//
///
/// \file
/// Finds the engines of a service that are much slower than the others. One node among many sees
/// too few answers of each engine; the samples of all nodes together are enough.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Backends.h"

#include <algorithm>
#include <cmath>

namespace pistachioloom {

// Count and sum of the samples halve in this time.
static constexpr milliseconds sampleHalfLife { 10000 };
// Ratios are clamped to these bounds, so that one stalled answer does not decide the mean.
static constexpr double minRatio = 0.25;
static constexpr double maxRatio = 8;
// Scales of BackendLoad::waitSamples_ and BackendLoad::waitRatios_.
static constexpr double sampleScale = 100;
static constexpr double ratioScale = 1000;
// Fewer samples are not reported. A single sample takes 43 s to decay to this; if all were reported
// until they round to zero, a node would report each engine that it used in the last 76 s.
static constexpr double minReportedSamples = 0.05;
// Samples of an engine from which its mean ratio is used.
static constexpr double minSamples = 8;
// Engines with minSamples from which a median is used.
static constexpr std::size_t minEngines = 5;
// Engines with a mean ratio above this multiple of the median are slow. Engines of the same kind
// differed by a factor of 1.3 at most.
static constexpr double slowThreshold = 1.6;
// Interval at which slowdowns are computed. Peers report as often.
static constexpr milliseconds speedInterval { 200 };

void WaitSamples::observe(double ratio, SteadyTime now)
{
    *this = at(now);
    count_ += 1;
    ratioSum_ += std::clamp(ratio, minRatio, maxRatio);
}

WaitSamples WaitSamples::at(SteadyTime now) const
{
    // Answers on several threads may be noted out of order.
    if (now <= updatedAt_)
        return *this;
    double decay = std::exp2(-std::chrono::duration<double>(now - updatedAt_) / sampleHalfLife);
    return { count_ * decay, ratioSum_ * decay, now };
}

void WaitSamples::addReported(const BackendLoad& load)
{
    count_ += load.waitSamples_ / sampleScale;
    ratioSum_ += load.waitRatios_ / ratioScale;
}

void WaitSamples::putInto(BackendLoad& load) const
{
    bool isReported = count_ >= minReportedSamples;
    load.waitSamples_ = isReported ? static_cast<std::uint32_t>(std::lround(count_ * sampleScale)) : 0;
    load.waitRatios_ = isReported ? static_cast<std::uint32_t>(std::lround(ratioSum_ * ratioScale)) : 0;
}

EngineSpeeds::EngineSpeeds(const std::vector<WaitSamples>& engines)
{
    std::vector<double> means;
    for (const WaitSamples& samples : engines) {
        if (samples.count_ >= minSamples)
            means.push_back(samples.ratioSum_ / samples.count_);
    }
    if (means.size() < minEngines)
        return;
    auto middle = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
    std::nth_element(means.begin(), middle, means.end());
    median_ = means.size() % 2 ? *middle : (*middle + *std::max_element(means.begin(), middle)) / 2;
}

std::optional<double> EngineSpeeds::slowdownOf(const WaitSamples& samples) const
{
    if (!median_ || samples.count_ < minSamples)
        return std::nullopt;
    double ratio = samples.ratioSum_ / samples.count_ / *median_;
    return ratio > slowThreshold ? ratio : 1;
}

std::optional<double> BackendTable::slowdownOf(const BackendId& id) const
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    return found == backends_.end() ? std::nullopt : found->second.slowdown_;
}

void BackendTable::updateSpeeds(SteadyTime now)
{
    if (!settings_.sharesEngineSpeeds_ || now - speedsUpdatedAt_ < speedInterval)
        return;
    speedsUpdatedAt_ = now;
    bool hasPeers = now - peerLoadsAt_ <= settings_.peerLoadValidity_;
    std::map<ServiceName, std::vector<std::pair<Backend*, WaitSamples>>> services;
    // In smaller services each node compares all engines and sees each of them often.
    std::map<ServiceName, std::size_t> registered;
    for (auto& [id, backend] : backends_) {
        backend.slowdown_.reset();
        ++registered[backend.record_.service_];
        WaitSamples samples = backend.waits_.at(now);
        if (hasPeers)
            samples.addReported(backend.peerLoad_);
        if (samples.count_ >= minSamples)
            services[backend.record_.service_].emplace_back(&backend, samples);
    }
    for (const auto& [service, engines] : services) {
        if (registered[service] <= settings_.samplingThreshold_)
            continue;
        std::vector<WaitSamples> samples;
        for (const auto& [backend, ofBackend] : engines)
            samples.push_back(ofBackend);
        EngineSpeeds speeds(samples);
        for (const auto& [backend, ofBackend] : engines)
            backend->slowdown_ = speeds.slowdownOf(ofBackend);
    }
}

} // namespace pistachioloom
