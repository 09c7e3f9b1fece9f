//===- lib/Node/SlotTable.h - concurrency of backend servers --------------===//
///
/// \file
/// The dispatcher of a backend server counts the requests that run on it and queues
/// the others. Paid requests precede trial requests, and entries share the slots
/// fairly. A request is rejected immediately if its estimated wait exceeds its wait
/// limit.
//===----------------------------------------------------------------------===//
#pragma once

#include "NodeContext.h"
#include "pistachioloom/Limits.h"

#include <mutex>

namespace pistachioloom {

class SlotTable;

/// A concurrency slot of a backend server, which the destructor releases.
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

/// Parameters of a request for a slot.
struct SlotRequest {
    VmId server_;
    std::uint64_t capacity_ = 1;
    /// Slots that trial requests leave free, so that paid requests need not wait until
    /// a trial request has yielded.
    std::uint64_t paidReserve_ = 0;
    EntryName entry_;
    ServiceClass class_ = ServiceClass::Paid;
    std::uint64_t weight_ = 1;
    /// Cost in fair queueing: the tokens of the prompt and the maximum of the answer,
    /// or 1 for a service call.
    std::uint64_t cost_ = 1;
    bool mayQueue_ = false;
    /// The request is rejected if at least this many requests are queued ahead of it.
    std::uint64_t queueBound_ = 0;
    /// Maximum time in the queue, estimated or elapsed.
    milliseconds waitLimit_ {};
};

/// Grants the slots of backend servers.
class SlotTable {
public:
    /// Called to make a trial request on \p server yield its slot to a paid one.
    using PreemptHook = std::function<void(const VmId& server)>;

    explicit SlotTable(PreemptHook preempt);

    /// Waits for a slot. Errors: Overloaded, with `ran_` No. The retry delay is the
    /// estimated wait, or the mean hold time of a slot if the wait limit has passed.
    asio::awaitable<Result<Slot>> acquire(SlotRequest request);
    /// \returns the load of \p server for digests.
    ModelLoad load(const VmId& server, std::uint64_t capacity) const;
    /// \returns the number of requests that run on \p server.
    std::uint64_t active(const VmId& server) const;

private:
    friend class Slot;
    struct PendingRequest;
    struct Server {
        std::uint64_t active_ = 0;
        /// Number of trial requests among the active_ ones.
        std::uint64_t trialActive_ = 0;
        std::uint64_t capacity_ = 1;
        std::uint64_t paidReserve_ = 0;
        FairQueue queue_;
        std::map<std::uint64_t, std::shared_ptr<PendingRequest>> pending_;
        /// Moving average of the time for which a slot is held.
        milliseconds meanHoldTime_ { 200 };
    };

    void release(const VmId& server, ServiceClass serviceClass, milliseconds holdTime);
    static bool hasCapacity(const Server& server, ServiceClass serviceClass);
    static void occupySlot(Server& server, ServiceClass serviceClass);
    static void grantNext(Server& server);
    /// \returns whether a trial request should yield to restore the paid reserve, so
    /// that the next paid request finds a free slot.
    static bool needsPreemption(const Server& server);
    static bool isRejected(const Server& server, const SlotRequest& request, milliseconds wait);
    static milliseconds estimateWait(const Server& server, std::uint64_t capacity, ServiceClass serviceClass);

    PreemptHook preempt_;
    mutable std::mutex mutex_;
    std::map<VmId, Server> servers_;
    std::uint64_t nextId_ = 1;
};

} // namespace pistachioloom
