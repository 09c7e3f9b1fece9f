//===- lib/Gateway/BackendNotices.cpp - backend servers to tell peers about ===//
///
/// \file
/// See BackendNotices.h.
//===----------------------------------------------------------------------===//
#include "BackendNotices.h"

#include <algorithm>

namespace pistachioloom {

// Time for which an id is not told again. Nodes repeat what others tell, and would go on doing so in turn
// if each forgot the id before the last of the others has told it.
static constexpr milliseconds memory { 60000 };

BackendNotices::BackendNotices(milliseconds duration)
    : duration_(duration)
{
}

bool BackendNotices::add(const BackendId& id, SteadyTime now)
{
    if (toldIds_.contains(id) || !ids_.insert(id).second)
        return false;
    added_.emplace_back(now, id);
    return true;
}

bool BackendNotices::contains(const BackendId& id) const
{
    return ids_.contains(id);
}

std::vector<BackendId> BackendNotices::select(SteadyTime now)
{
    while (!added_.empty() && now - added_.front().first > duration_) {
        ids_.erase(added_.front().second);
        toldIds_.insert(added_.front().second);
        told_.push_back(std::move(added_.front()));
        added_.pop_front();
    }
    while (!told_.empty() && now - told_.front().first > memory) {
        toldIds_.erase(told_.front().second);
        told_.pop_front();
    }
    std::vector<BackendId> selected;
    std::size_t newest = std::min(added_.size(), maxNotices / 2);
    for (std::size_t i = added_.size() - newest; i < added_.size(); ++i)
        selected.push_back(added_[i].second);
    std::size_t older = added_.size() - newest;
    std::size_t taken = std::min(older, maxNotices - newest);
    for (std::size_t i = 0; i < taken; ++i)
        selected.push_back(added_[cursor_++ % older].second);
    return selected;
}

} // namespace pistachioloom
