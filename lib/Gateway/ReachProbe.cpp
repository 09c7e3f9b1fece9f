//===- lib/Gateway/ReachProbe.cpp - data centres that are not reached ------===//
///
/// \file
/// See ReachProbe.h.
//===----------------------------------------------------------------------===//
#include "ReachProbe.h"

#include <boost/asio.hpp>

namespace pistachioloom {

namespace {

    // A data centre that is back gets requests within this and a round trip.
    constexpr milliseconds probePeriod { 250 };
    // A connection inside a region is there within 10 ms.
    constexpr milliseconds probePatience { 200 };

} // namespace

void ReachProbe::logChanges(const std::vector<BackendRecord>& unreached)
{
    std::set<DataCentreId> lost;
    for (const BackendRecord& backend : unreached)
        lost.insert(backend.dataCentre_);
    for (const DataCentreId& dataCentre : lost) {
        if (!lost_.contains(dataCentre))
            logger_.info(LogLine("Data centre is not reached.").add("data_centre", dataCentre.value_));
    }
    for (const DataCentreId& dataCentre : lost_) {
        if (!lost.contains(dataCentre))
            logger_.info(LogLine("Data centre is reached again.").add("data_centre", dataCentre.value_));
    }
    lost_ = std::move(lost);
}

asio::awaitable<void> ReachProbe::probe(BackendRecord backend)
{
    boost::system::error_code invalid;
    asio::ip::tcp::endpoint address(asio::ip::make_address(backend.endpoint_.host_, invalid), backend.endpoint_.port_);
    if (invalid) {
        logger_.warn("Address of backend server " + backend.id_.value_ + " cannot be read: " + backend.endpoint_.host_);
        co_return;
    }
    auto executor = co_await asio::this_coro::executor;
    asio::ip::tcp::socket socket(executor);
    SteadyTimer timer(executor, probePatience);
    timer.async_wait([&socket](const boost::system::error_code& code) {
        boost::system::error_code ignored;
        if (!code)
            socket.close(ignored);
    });
    auto [failed] = co_await socket.async_connect(address, asio::as_tuple(asio::use_awaitable));
    timer.cancel();
    if (!failed)
        context_.backends_.noteReached(backend.id_);
}

asio::awaitable<void> ReachProbe::run()
{
    for (;;) {
        co_await sleepFor(probePeriod);
        std::vector<BackendRecord> unreached = context_.backends_.unreached();
        logChanges(unreached);
        for (const BackendRecord& backend : unreached)
            co_await probe(backend);
    }
}

} // namespace pistachioloom
