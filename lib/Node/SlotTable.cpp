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
    Waiting(std::uint64_t id, ServiceClass serviceClass, const asio::any_io_executor& executor)
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
    , began_(steadyNow())
{
}

Slot::~Slot()
{
    if (table_)
        table_->release(server_, class_, std::chrono::duration_cast<milliseconds>(steadyNow() - began_));
}

Slot::Slot(Slot&& other) noexcept
    : table_(std::exchange(other.table_, nullptr))
    , server_(std::move(other.server_))
    , class_(other.class_)
    , began_(other.began_)
{
}

Slot& Slot::operator=(Slot&& other) noexcept
{
    std::swap(table_, other.table_);
    std::swap(server_, other.server_);
    std::swap(class_, other.class_);
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

bool SlotTable::hasRoom(const Server& server, ServiceClass serviceClass)
{
    std::uint64_t kept = serviceClass == ServiceClass::Trial ? server.paidReserve_ : 0;
    return server.active_ + kept < server.capacity_;
}

bool SlotTable::needsRoom(const Server& server)
{
    return server.trialActive_ && server.active_ + server.paidReserve_ > server.capacity_;
}

void SlotTable::start(Server& server, ServiceClass serviceClass)
{
    ++server.active_;
    server.trialActive_ += serviceClass == ServiceClass::Trial ? 1 : 0;
}

bool SlotTable::isRefused(const Server& server, const SlotRequest& request, milliseconds wait)
{
    std::size_t ahead = server.queue_.ahead(request.class_);
    // Each paid request that waits has a trial yield to it.
    bool canPreempt = request.class_ == ServiceClass::Paid && server.trialActive_ > ahead;
    if (canPreempt)
        return false;
    return !request.mayQueue_ || ahead >= request.queueBound_ || wait > request.patience_;
}

asio::awaitable<Result<Slot>> SlotTable::acquire(SlotRequest request)
{
    auto executor = co_await asio::this_coro::executor;
    std::shared_ptr<Waiting> waiting;
    bool shallPreempt = false;
    {
        std::lock_guard lock(mutex_);
        Server& server = servers_[request.server_];
        server.capacity_ = request.capacity_;
        server.paidReserve_ = std::min(request.paidReserve_, request.capacity_ - 1);
        bool hasStarted = hasRoom(server, request.class_) && !server.queue_.ahead(request.class_);
        milliseconds wait = estimateWait(server, request.capacity_, request.class_);
        if (!hasStarted && isRefused(server, request, wait))
            co_return Error { Errc::Overloaded, "admit at home", request.server_.value_, "the backend server is full", Ran::No, std::max(leastRetry, wait) };
        if (hasStarted) {
            start(server, request.class_);
        } else {
            waiting = std::make_shared<Waiting>(nextId_++, request.class_, executor);
            server.waiting_[waiting->id_] = waiting;
            server.queue_.push({ waiting->id_, request.entry_, request.class_, request.weight_, request.cost_ });
        }
        shallPreempt = request.class_ == ServiceClass::Paid && (waiting || needsRoom(server));
    }
    if (shallPreempt)
        preempt_(request.server_);
    if (!waiting)
        co_return Slot(this, request.server_, request.class_);
    SteadyTimer timer(executor, request.patience_);
    timer.async_wait([waiting](boost::system::error_code code) {
        if (!code)
            waiting->granted_.close();
    });
    co_await waiting->granted_.async_receive(tokenOf);
    timer.cancel();
    std::lock_guard lock(mutex_);
    if (waiting->isGranted_)
        co_return Slot(this, request.server_, request.class_);
    Server& server = servers_[request.server_];
    server.waiting_.erase(waiting->id_);
    server.queue_.remove(waiting->id_);
    co_return Error { Errc::Overloaded, "wait at home", request.server_.value_, "no slot became free in time", Ran::No, std::max(leastRetry, server.held_) };
}

void SlotTable::release(const VmId& serverId, ServiceClass serviceClass, milliseconds held)
{
    std::lock_guard lock(mutex_);
    Server& server = servers_[serverId];
    server.held_ += (held - server.held_) / meanShift;
    --server.active_;
    server.trialActive_ -= serviceClass == ServiceClass::Trial ? 1 : 0;
    startNext(server);
}

void SlotTable::startNext(Server& server)
{
    for (;;) {
        bool isPaidNext = server.queue_.ahead(ServiceClass::Paid) > 0;
        if (!server.queue_.size() || !hasRoom(server, isPaidNext ? ServiceClass::Paid : ServiceClass::Trial))
            return;
        auto found = server.waiting_.find(server.queue_.pop()->id_);
        if (found == server.waiting_.end())
            continue;
        start(server, found->second->class_);
        found->second->isGranted_ = true;
        found->second->granted_.try_send(boost::system::error_code {});
        server.waiting_.erase(found);
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
