//===- lib/Node/SlotTable.cpp - exact concurrency of backend servers -------===//
///
/// \file
/// See SlotTable.h.
//===----------------------------------------------------------------------===//
#include "SlotTable.h"

#include <boost/asio.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>

namespace pistachioloom {

namespace {

    constexpr auto tokenOf = asio::as_tuple(asio::use_awaitable);
    // Weight of the newest sample in the mean time a slot is held, one in eight.
    constexpr int meanShift = 8;
    constexpr milliseconds leastRetry { 50 };

    using Signal = asio::experimental::concurrent_channel<void(boost::system::error_code)>;

} // namespace

struct SlotTable::Waiting {
    Waiting(std::uint64_t id, const asio::any_io_executor& executor)
        : id_(id)
        , granted_(executor, 1)
    {
    }

    std::uint64_t id_;
    Signal granted_;
    bool isGranted_ = false;
};

Slot::Slot(SlotTable* table, VmId server)
    : table_(table)
    , server_(std::move(server))
    , began_(steadyNow())
{
}

Slot::~Slot()
{
    if (table_)
        table_->release(server_, std::chrono::duration_cast<milliseconds>(steadyNow() - began_));
}

Slot::Slot(Slot&& other) noexcept
    : table_(std::exchange(other.table_, nullptr))
    , server_(std::move(other.server_))
    , began_(other.began_)
{
}

Slot& Slot::operator=(Slot&& other) noexcept
{
    std::swap(table_, other.table_);
    std::swap(server_, other.server_);
    std::swap(began_, other.began_);
    return *this;
}

SlotTable::SlotTable(PreemptHook preempt)
    : preempt_(std::move(preempt))
{
}

milliseconds SlotTable::estimateWait(const Server& server, std::uint64_t capacity, ServiceClass serviceClass)
{
    auto ahead = static_cast<std::int64_t>(server.queue_.ahead(serviceClass) + 1);
    return server.held_ * ahead / static_cast<std::int64_t>(std::max<std::uint64_t>(1, capacity));
}

asio::awaitable<Result<Slot>> SlotTable::acquire(SlotRequest request)
{
    auto executor = co_await asio::this_coro::executor;
    std::shared_ptr<Waiting> waiting;
    {
        std::lock_guard lock(mutex_);
        Server& server = servers_[request.server_];
        if (server.active_ < request.capacity_ && !server.queue_.size()) {
            ++server.active_;
            co_return Slot(this, request.server_);
        }
        milliseconds wait = estimateWait(server, request.capacity_, request.class_);
        bool isRefused = !request.mayQueue_ || server.queue_.size() >= request.queueBound_ || wait > request.patience_;
        if (isRefused)
            co_return Error { Errc::Overloaded, "admit at home", request.server_.value_, "the backend server is full", Ran::No, std::max(leastRetry, wait) };
        waiting = std::make_shared<Waiting>(nextId_++, executor);
        server.waiting_[waiting->id_] = waiting;
        server.queue_.push({ waiting->id_, request.entry_, request.class_, request.weight_, request.cost_ });
    }
    if (request.class_ == ServiceClass::Paid)
        preempt_(request.server_);
    asio::steady_timer timer(executor, request.patience_);
    timer.async_wait([waiting](boost::system::error_code code) {
        if (!code)
            waiting->granted_.close();
    });
    co_await waiting->granted_.async_receive(tokenOf);
    timer.cancel();
    std::lock_guard lock(mutex_);
    if (waiting->isGranted_)
        co_return Slot(this, request.server_);
    Server& server = servers_[request.server_];
    server.waiting_.erase(waiting->id_);
    server.queue_.remove(waiting->id_);
    co_return Error { Errc::Overloaded, "wait at home", request.server_.value_, "no slot became free in time", Ran::No, std::max(leastRetry, server.held_) };
}

void SlotTable::release(const VmId& serverId, milliseconds held)
{
    std::lock_guard lock(mutex_);
    Server& server = servers_[serverId];
    server.held_ += (held - server.held_) / meanShift;
    while (auto next = server.queue_.pop()) {
        auto found = server.waiting_.find(next->id_);
        if (found == server.waiting_.end())
            continue;
        // The slot passes on, so the count of active ones stays.
        found->second->isGranted_ = true;
        found->second->granted_.try_send(boost::system::error_code {});
        server.waiting_.erase(found);
        return;
    }
    --server.active_;
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
