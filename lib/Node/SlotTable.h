//===- lib/Node/SlotTable.h - exact concurrency of backend servers ---------===//
///
/// \file
/// The home of a backend server counts what runs there and queues the rest:
/// paid before trial, fair among entries, refused early when the wait would
/// outlast the caller's patience.
//===----------------------------------------------------------------------===//
#pragma once

#include "NodeContext.h"
#include "pistachioloom/Limits.h"

#include <mutex>

namespace pistachioloom {

class SlotTable;

/// A place on a backend server; given back when destroyed.
class Slot {
public:
    Slot() = default;
    Slot(SlotTable* table, VmId server, ServiceClass serviceClass);
    ~Slot();
    Slot(Slot&& other) noexcept;
    Slot& operator=(Slot&& other) noexcept;
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;

private:
    SlotTable* table_ = nullptr;
    VmId server_;
    ServiceClass class_ = ServiceClass::Paid;
    SteadyTime startedAt_;
};

struct SlotRequest {
    VmId server_;
    std::uint64_t capacity_ = 1;
    /// Slots that trial work leaves free, so that paid work need not wait until
    /// a trial has yielded.
    std::uint64_t paidReserve_ = 0;
    EntryName entry_;
    ServiceClass class_ = ServiceClass::Paid;
    std::uint64_t weight_ = 1;
    std::uint64_t cost_ = 1;
    bool mayQueue_ = false;
    std::uint64_t queueBound_ = 0;
    milliseconds waitLimit_ {};
};

class SlotTable {
public:
    /// Asked to make room on a full server for paid work.
    using PreemptHook = std::function<void(const VmId& server)>;

    explicit SlotTable(PreemptHook preempt);

    /// Errors: Overloaded with the estimated wait as its retry delay, `ran_` No.
    asio::awaitable<Result<Slot>> acquire(SlotRequest request);
    /// Load of \p server for digests.
    ModelLoad load(const VmId& server, std::uint64_t capacity) const;
    std::uint64_t active(const VmId& server) const;

private:
    friend class Slot;
    struct Waiter;
    struct Server {
        std::uint64_t active_ = 0;
        std::uint64_t trialActive_ = 0;
        std::uint64_t capacity_ = 1;
        std::uint64_t paidReserve_ = 0;
        FairQueue queue_;
        std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters_;
        /// Mean time a slot is held, over the last few.
        milliseconds meanHoldTime_ { 200 };
    };

    void release(const VmId& server, ServiceClass serviceClass, milliseconds holdTime);
    static bool hasCapacity(const Server& server, ServiceClass serviceClass);
    static void occupySlot(Server& server, ServiceClass serviceClass);
    static void grantNext(Server& server);
    /// Whether a trial should yield so that the next paid request finds room.
    static bool needsPreemption(const Server& server);
    static bool isRejected(const Server& server, const SlotRequest& request, milliseconds wait);
    static milliseconds estimateWait(const Server& server, std::uint64_t capacity, ServiceClass serviceClass);

    PreemptHook preempt_;
    mutable std::mutex mutex_;
    std::map<VmId, Server> servers_;
    std::uint64_t nextId_ = 1;
};

} // namespace pistachioloom
