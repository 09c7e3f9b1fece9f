//===- lib/Gateway/ReachabilityProbe.cpp - unreachable data centres -------===//
///
/// \file
/// See ReachabilityProbe.h.
//===----------------------------------------------------------------------===//
#include "ReachabilityProbe.h"

namespace pistachioloom {

namespace {

    // A data centre receives requests within this time and a round trip after it is
    // reachable again.
    constexpr milliseconds probePeriod { 250 };
    // Twenty times the 10 ms that establishing a connection inside a region takes.
    constexpr milliseconds probeTimeout { 200 };

} // namespace

void ReachabilityProbe::logChanges(const std::vector<BackendRecord>& unreachableSample)
{
    std::set<DataCentreId> unreachable;
    for (const BackendRecord& backend : unreachableSample)
        unreachable.insert(backend.dataCentre_);
    for (const DataCentreId& dataCentre : unreachable) {
        if (!unreachable_.contains(dataCentre))
            logger_.info(LogLine("Data centre is unreachable.").add("data_centre", dataCentre.value_));
    }
    for (const DataCentreId& dataCentre : unreachable_) {
        if (!unreachable.contains(dataCentre))
            logger_.info(LogLine("Data centre is reachable again.").add("data_centre", dataCentre.value_));
    }
    unreachable_ = std::move(unreachable);
}

asio::awaitable<void> ReachabilityProbe::probe(BackendRecord backend)
{
    auto failed = co_await tryConnection(backend.endpoint_, probeTimeout);
    if (!failed)
        context_.backends_.noteReachable(backend.id_);
    if (failed == asio::error::invalid_argument)
        logger_.warn("Address of backend server " + backend.id_.value_ + " is invalid: " + backend.endpoint_.host_);
}

asio::awaitable<void> ReachabilityProbe::run()
{
    for (;;) {
        co_await sleepFor(probePeriod);
        std::vector<BackendRecord> unreachableSample = context_.backends_.unreachableSample();
        logChanges(unreachableSample);
        for (const BackendRecord& backend : unreachableSample)
            co_await probe(backend);
    }
}

} // namespace pistachioloom
