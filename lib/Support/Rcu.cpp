//===- lib/Support/Rcu.cpp - read-copy-update over liburcu -----------------===//
///
/// \file
/// Implements RcuPointer with liburcu's memb flavour. ThreadSanitizer cannot see
/// liburcu's grace periods and would report false races. Its build therefore uses a
/// reader-writer lock with the same interface, so that it still checks all code
/// outside this file.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Support.h"

#ifdef PISTACHIOLOOM_TSAN
#include <shared_mutex>
#else
#include <urcu/urcu-memb.h>
#endif

namespace pistachioloom {

#ifdef PISTACHIOLOOM_TSAN

static std::shared_mutex rcuLock;

RcuThread::RcuThread() = default;
RcuThread::~RcuThread() = default;

void RcuPointer::publish(void* value)
{
    void* old = nullptr;
    {
        std::unique_lock lock(rcuLock);
        old = std::exchange(value_, value);
    }
    if (old)
        destroy_(old);
}

void RcuPointer::read(const std::function<void(const void*)>& section) const
{
    std::shared_lock lock(rcuLock);
    section(value_);
}

#else

RcuThread::RcuThread()
{
    urcu_memb_register_thread();
}
RcuThread::~RcuThread() { urcu_memb_unregister_thread(); }

void RcuPointer::publish(void* value)
{
    void* old = rcu_xchg_pointer(&value_, value);
    if (!old)
        return;
    urcu_memb_synchronize_rcu();
    destroy_(old);
}

void RcuPointer::read(const std::function<void(const void*)>& section) const
{
    urcu_memb_read_lock();
    section(rcu_dereference(value_));
    urcu_memb_read_unlock();
}

#endif

RcuPointer::RcuPointer(std::function<void(void*)> destroy)
    : destroy_(std::move(destroy))
{
}

RcuPointer::~RcuPointer()
{
    if (value_)
        destroy_(value_);
}

} // namespace pistachioloom
