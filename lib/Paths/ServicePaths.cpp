//===- lib/Paths/ServicePaths.cpp - whether services are reachable --------===//
///
/// \file
/// Implements ServicePaths.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Paths.h"

#include <algorithm>

namespace pistachioloom {

void ServicePaths::noteConnected(const ServiceName& service)
{
    std::lock_guard lock(mutex_);
    paths_[service].failedConnections_ = 0;
}

void ServicePaths::noteConnectionFailed(const ServiceName& service)
{
    std::lock_guard lock(mutex_);
    ++paths_[service].failedConnections_;
}

void ServicePaths::noteSent(const ServiceName& service, SteadyTime sentAt)
{
    std::lock_guard lock(mutex_);
    paths_[service].waiting_.insert(sentAt);
}

void ServicePaths::stopWaiting(Path& path, SteadyTime sentAt)
{
    auto found = path.waiting_.find(sentAt);
    if (found != path.waiting_.end())
        path.waiting_.erase(found);
}

void ServicePaths::noteAnswered(const ServiceName& service, SteadyTime sentAt, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    Path& path = paths_[service];
    path.lastAnswerAt_ = now;
    stopWaiting(path, sentAt);
}

void ServicePaths::noteEnded(const ServiceName& service, SteadyTime sentAt)
{
    std::lock_guard lock(mutex_);
    stopWaiting(paths_[service], sentAt);
}

bool ServicePaths::isSuspect(const Path& path, SteadyTime now) const
{
    if (path.isLost_ || path.isSuspected_ || path.failedRounds_ || path.failedConnections_ >= settings_.failuresToProbe_)
        return true;
    if (path.waiting_.empty())
        return false;
    return now - std::max(path.lastAnswerAt_, *path.waiting_.begin()) >= settings_.silenceToProbe_;
}

std::vector<ServiceName> ServicePaths::takeDue(SteadyTime now)
{
    std::lock_guard lock(mutex_);
    std::vector<ServiceName> due;
    for (auto& [service, path] : paths_) {
        if (path.isBeingProbed_ || now < path.nextProbeAt_ || !isSuspect(path, now))
            continue;
        path.isBeingProbed_ = true;
        due.push_back(service);
    }
    return due;
}

std::size_t ServicePaths::serversToProbe(const ServiceName& service) const
{
    std::lock_guard lock(mutex_);
    auto found = paths_.find(service);
    bool isFirstRound = found == paths_.end() || (!found->second.isLost_ && !found->second.failedRounds_);
    return isFirstRound ? 1 : settings_.serversPerRound_;
}

bool ServicePaths::noteProbed(const ServiceName& service, std::size_t probed, std::size_t answered, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    Path& path = paths_[service];
    path.isBeingProbed_ = false;
    bool wasLost = path.isLost_;
    if (answered || !probed) {
        path.failedRounds_ = 0;
        path.failedConnections_ = 0;
        path.isSuspected_ = false;
        path.isLost_ = false;
        path.nextProbeAt_ = now + settings_.successValidity_;
        return wasLost;
    }
    ++path.failedRounds_;
    path.isLost_ = wasLost || path.failedRounds_ >= settings_.roundsToLose_;
    if (path.isLost_ && !wasLost) {
        ++path.lossCount_;
        // A node that loses its paths to one service has often lost those to the others.
        for (auto& [other, otherPath] : paths_)
            otherPath.isSuspected_ = true;
    }
    path.nextProbeAt_ = now + (path.isLost_ ? settings_.lostProbePeriod_ : settings_.retryDelay_);
    return path.isLost_ != wasLost;
}

bool ServicePaths::isLost(const ServiceName& service) const
{
    std::lock_guard lock(mutex_);
    auto found = paths_.find(service);
    return found != paths_.end() && found->second.isLost_;
}

std::uint64_t ServicePaths::lossCount(const ServiceName& service) const
{
    std::lock_guard lock(mutex_);
    auto found = paths_.find(service);
    return found == paths_.end() ? 0 : found->second.lossCount_;
}

std::vector<ServiceName> ServicePaths::lostServices() const
{
    std::lock_guard lock(mutex_);
    std::vector<ServiceName> lost;
    for (const auto& [service, path] : paths_) {
        if (path.isLost_)
            lost.push_back(service);
    }
    return lost;
}

} // namespace pistachioloom
