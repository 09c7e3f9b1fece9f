//===- unittests/Node/SlotTableTest.cpp - slots of a backend server -------===//
///
/// \file
/// Tests which requests get a slot, wait or are rejected, and when a trial request
/// has to yield.
//===----------------------------------------------------------------------===//
#include "SlotTable.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

const VmId server { "engine" };

struct Fixture {
    /// Starts to acquire a slot and runs all handlers that are ready.
    void startAcquire(const std::string& name, ServiceClass serviceClass, bool mayQueue, std::uint64_t queueBound = 10)
    {
        SlotRequest request;
        request.server_ = server;
        request.capacity_ = 3;
        request.paidReserve_ = reserve_;
        request.entry_ = { name };
        request.class_ = serviceClass;
        request.mayQueue_ = mayQueue;
        request.queueBound_ = queueBound;
        request.waitLimit_ = milliseconds(60000);
        auto task = [this, name, request]() -> asio::awaitable<void> {
            auto slot = co_await table_.acquire(request);
            if (slot)
                slots_[name] = std::move(slot.value());
            else
                rejected_.insert(name);
        };
        asio::co_spawn(io_, task, asio::detached);
        runReady();
    }

    void release(const std::string& name)
    {
        slots_.erase(name);
        runReady();
    }

    void runReady()
    {
        io_.restart();
        io_.poll();
    }

    std::uint64_t reserve_ = 0;
    asio::io_context io_;
    int yields_ = 0;
    SlotTable table_ { [this](const VmId&) { ++yields_; } };
    std::map<std::string, Slot> slots_;
    std::set<std::string> rejected_;
};

} // namespace

TEST_CASE("paid requests preempt running trial requests and precede waiting ones")
{
    Fixture fixture;
    for (const char* name : { "t1", "t2", "t3" })
        fixture.startAcquire(name, ServiceClass::Trial, false);
    CHECK(fixture.slots_.size() == 3);
    CHECK(fixture.table_.load(server, 3).trialSlots_ == 3);
    fixture.startAcquire("t4", ServiceClass::Trial, true);
    // A paid request that may not queue is admitted, since a trial request yields to it.
    fixture.startAcquire("p1", ServiceClass::Paid, false);
    CHECK(fixture.yields_ == 1);
    CHECK_FALSE(fixture.rejected_.contains("p1"));
    fixture.release("t2");
    CHECK(fixture.slots_.contains("p1"));
    CHECK_FALSE(fixture.slots_.contains("t4"));
    fixture.startAcquire("p2", ServiceClass::Paid, false);
    fixture.startAcquire("p3", ServiceClass::Paid, false);
    // A paid request already waits for each running trial request, so a further paid
    // request would have to queue.
    fixture.startAcquire("p4", ServiceClass::Paid, false);
    CHECK(fixture.rejected_.contains("p4"));
    fixture.release("t1");
    fixture.release("t3");
    CHECK(fixture.slots_.size() == 3);
    CHECK(fixture.table_.load(server, 3).trialSlots_ == 0);
    fixture.release("p1");
    CHECK(fixture.slots_.contains("t4"));
}

TEST_CASE("trial requests leave the paid reserve free and yield to restore it")
{
    Fixture fixture;
    fixture.reserve_ = 1;
    for (const char* name : { "t1", "t2", "t3" })
        fixture.startAcquire(name, ServiceClass::Trial, true);
    CHECK(fixture.slots_.size() == 2);
    fixture.startAcquire("p1", ServiceClass::Paid, false);
    CHECK(fixture.slots_.contains("p1"));
    // The paid reserve is used up, so a trial request has to yield to restore it.
    CHECK(fixture.yields_ == 1);
    fixture.release("t1");
    CHECK_FALSE(fixture.slots_.contains("t3"));
    fixture.startAcquire("p2", ServiceClass::Paid, false);
    CHECK(fixture.slots_.contains("p2"));
    fixture.release("p1");
    fixture.release("p2");
    CHECK(fixture.slots_.contains("t3"));
    CHECK(fixture.table_.active(server) == 2);
}

TEST_CASE("queued trial requests do not count against the queue bound of paid requests")
{
    Fixture fixture;
    for (const char* name : { "p1", "p2", "p3" })
        fixture.startAcquire(name, ServiceClass::Paid, false);
    for (const char* name : { "t1", "t2", "t3" })
        fixture.startAcquire(name, ServiceClass::Trial, true, 2);
    CHECK(fixture.rejected_ == std::set<std::string> { "t3" });
    fixture.startAcquire("p4", ServiceClass::Paid, true, 1);
    fixture.startAcquire("p5", ServiceClass::Paid, true, 1);
    CHECK(fixture.rejected_ == std::set<std::string> { "p5", "t3" });
    fixture.release("p1");
    CHECK(fixture.slots_.contains("p4"));
}
