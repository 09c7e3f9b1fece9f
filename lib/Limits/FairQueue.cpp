//===- lib/Limits/FairQueue.cpp - order of waiting requests ----------------===//
///
/// \file
/// Weighted fair queueing by virtual finish times inside a class; paid requests
/// precede trial requests.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Limits.h"

#include <algorithm>

namespace pistachioloom {

void FairQueue::push(Waiter waiter)
{
    double& last = lastVirtualFinish_[waiter.entry_];
    double start = std::max(virtualTime_, last);
    double finish = start + static_cast<double>(waiter.cost_) / static_cast<double>(std::max<std::uint64_t>(1, waiter.weight_));
    last = finish;
    waiting_.push_back({ std::move(waiter), finish, sequence_++ });
}

std::optional<FairQueue::Waiter> FairQueue::pop()
{
    auto isBefore = [](const Queued& left, const Queued& right) {
        if (left.waiter_.class_ != right.waiter_.class_)
            return left.waiter_.class_ == ServiceClass::Paid;
        return std::pair(left.virtualFinish_, left.sequence_) < std::pair(right.virtualFinish_, right.sequence_);
    };
    auto best = std::min_element(waiting_.begin(), waiting_.end(), isBefore);
    if (best == waiting_.end())
        return std::nullopt;
    Waiter waiter = std::move(best->waiter_);
    virtualTime_ = std::max(virtualTime_, best->virtualFinish_ - static_cast<double>(waiter.cost_) / static_cast<double>(std::max<std::uint64_t>(1, waiter.weight_)));
    waiting_.erase(best);
    if (waiting_.empty())
        lastVirtualFinish_.clear();
    return waiter;
}

bool FairQueue::remove(std::uint64_t id)
{
    return std::erase_if(waiting_, [&](const Queued& item) { return item.waiter_.id_ == id; }) > 0;
}

std::size_t FairQueue::ahead(ServiceClass serviceClass) const
{
    if (serviceClass == ServiceClass::Trial)
        return waiting_.size();
    return static_cast<std::size_t>(std::count_if(waiting_.begin(), waiting_.end(), [](const Queued& item) { return item.waiter_.class_ == ServiceClass::Paid; }));
}

} // namespace pistachioloom
