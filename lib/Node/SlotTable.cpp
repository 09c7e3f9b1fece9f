//===- lib/Node/SlotTable.cpp - concurrency of backend servers ------------===//
///
/// \file
/// See SlotTable.h.
//===----------------------------------------------------------------------===//
#include "SlotTable.h"

#include <boost/asio.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>

namespace pistachioloom {

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    // The newest sample contributes one eighth to the mean hold time of a slot.
    constexpr int meanWeightDivisor = 8;
    constexpr milliseconds minRetryAfter { 50 };

    using Signal = asio::experimental::concurrent_channel<void(boost::system::error_code)>;

} // namespace

struct SlotTable::PendingRequest {
    PendingRequest(std::uint64_t id, ServiceClass serviceClass, const asio::any_io_executor& executor)
        : id_(id)
        , class_(serviceClass)
        , granted_(executor, 1)
    {
    }

    std::uint64_t id_;
    ServiceClass class_;
    Signal granted_;
    bool isGranted_ = false;
};

Slot::Slot(SlotTable* table, VmId server, ServiceClass serviceClass)
    : table_(table)
    , server_(std::move(server))
    , class_(serviceClass)
    , startedAt_(steadyNow())
{
}

Slot::~Slot()
{
    if (table_)
        table_->release(server_, class_, std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt_));
}

Slot::Slot(Slot&& other) noexcept
    : table_(std::exchange(other.table_, nullptr))
    , server_(std::move(other.server_))
    , class_(other.class_)
    , startedAt_(other.startedAt_)
{
}

Slot& Slot::operator=(Slot&& other) noexcept
{
    std::swap(table_, other.table_);
    std::swap(server_, other.server_);
    std::swap(class_, other.class_);
    std::swap(startedAt_, other.startedAt_);
    return *this;
}

SlotTable::SlotTable(PreemptHook preempt)
    : preempt_(std::move(preempt))
{
}

milliseconds SlotTable::estimateWait(const Server& server, std::uint64_t capacity, ServiceClass serviceClass)
{
    auto ahead = static_cast<std::int64_t>(server.queue_.ahead(serviceClass) + 1);
    return server.meanHoldTime_ * ahead / static_cast<std::int64_t>(std::max<std::uint64_t>(1, capacity));
}

bool SlotTable::hasCapacity(const Server& server, ServiceClass serviceClass)
{
    std::uint64_t reserved = serviceClass == ServiceClass::Trial ? server.paidReserve_ : 0;
    return server.active_ + reserved < server.capacity_;
}

bool SlotTable::needsPreemption(const Server& server)
{
    return server.trialActive_ && server.active_ + server.paidReserve_ > server.capacity_;
}

void SlotTable::occupySlot(Server& server, ServiceClass serviceClass)
{
    ++server.active_;
    server.trialActive_ += serviceClass == ServiceClass::Trial ? 1 : 0;
}

bool SlotTable::isRejected(const Server& server, const SlotRequest& request, milliseconds wait)
{
    std::size_t ahead = server.queue_.ahead(request.class_);
    // One trial request yields to each waiting paid request.
    bool canPreempt = request.class_ == ServiceClass::Paid && server.trialActive_ > ahead;
    if (canPreempt)
        return false;
    return !request.mayQueue_ || ahead >= request.queueBound_ || wait > request.waitLimit_;
}

asio::awaitable<Result<Slot>> SlotTable::acquire(SlotRequest request)
{
    auto executor = co_await asio::this_coro::executor;
    std::shared_ptr<PendingRequest> pending;
    bool shouldPreempt = false;
    {
        std::lock_guard lock(mutex_);
        Server& server = servers_[request.server_];
        server.capacity_ = request.capacity_;
        server.paidReserve_ = std::min(request.paidReserve_, request.capacity_ - 1);
        bool isAdmitted = hasCapacity(server, request.class_) && !server.queue_.ahead(request.class_);
        milliseconds wait = estimateWait(server, request.capacity_, request.class_);
        if (!isAdmitted && isRejected(server, request, wait))
            co_return Error { Errc::Overloaded, "admit at home", request.server_.value_, "the backend server is full", Ran::No, std::max(minRetryAfter, wait) };
        if (isAdmitted) {
            occupySlot(server, request.class_);
        } else {
            pending = std::make_shared<PendingRequest>(nextId_++, request.class_, executor);
            server.pending_[pending->id_] = pending;
            server.queue_.push({ pending->id_, request.entry_, request.class_, request.weight_, request.cost_ });
        }
        shouldPreempt = request.class_ == ServiceClass::Paid && (pending || needsPreemption(server));
    }
    if (shouldPreempt)
        preempt_(request.server_);
    if (!pending)
        co_return Slot(this, request.server_, request.class_);
    SteadyTimer timer(executor, request.waitLimit_);
    timer.async_wait([pending](boost::system::error_code code) {
        if (!code)
            pending->granted_.close();
    });
    co_await pending->granted_.async_receive(asTuple);
    timer.cancel();
    std::lock_guard lock(mutex_);
    if (pending->isGranted_)
        co_return Slot(this, request.server_, request.class_);
    Server& server = servers_[request.server_];
    server.pending_.erase(pending->id_);
    server.queue_.remove(pending->id_);
    co_return Error { Errc::Overloaded, "wait at home", request.server_.value_, "no slot became free in time", Ran::No, std::max(minRetryAfter, server.meanHoldTime_) };
}

void SlotTable::release(const VmId& serverId, ServiceClass serviceClass, milliseconds holdTime)
{
    std::lock_guard lock(mutex_);
    Server& server = servers_[serverId];
    server.meanHoldTime_ += (holdTime - server.meanHoldTime_) / meanWeightDivisor;
    --server.active_;
    server.trialActive_ -= serviceClass == ServiceClass::Trial ? 1 : 0;
    grantNext(server);
}

void SlotTable::grantNext(Server& server)
{
    for (;;) {
        bool isPaidNext = server.queue_.ahead(ServiceClass::Paid) > 0;
        if (!server.queue_.size() || !hasCapacity(server, isPaidNext ? ServiceClass::Paid : ServiceClass::Trial))
            return;
        auto found = server.pending_.find(server.queue_.pop()->id_);
        if (found == server.pending_.end())
            continue;
        occupySlot(server, found->second->class_);
        found->second->isGranted_ = true;
        found->second->granted_.try_send(boost::system::error_code {});
        server.pending_.erase(found);
    }
}

ModelLoad SlotTable::load(const VmId& serverId, std::uint64_t capacity) const
{
    std::lock_guard lock(mutex_);
    auto found = servers_.find(serverId);
    if (found == servers_.end())
        return { static_cast<std::uint32_t>(capacity), 0, {} };
    const Server& server = found->second;
    ModelLoad load;
    load.freeSlots_ = server.active_ < capacity ? static_cast<std::uint32_t>(capacity - server.active_) : 0;
    load.queued_ = static_cast<std::uint32_t>(server.queue_.size());
    load.trialSlots_ = static_cast<std::uint32_t>(server.trialActive_);
    if (!load.freeSlots_)
        load.wait_ = estimateWait(server, capacity, ServiceClass::Trial);
    return load;
}

std::uint64_t SlotTable::active(const VmId& serverId) const
{
    std::lock_guard lock(mutex_);
    auto found = servers_.find(serverId);
    return found == servers_.end() ? 0 : found->second.active_;
}

} // namespace pistachioloom
