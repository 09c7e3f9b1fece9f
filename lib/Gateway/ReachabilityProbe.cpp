//===- lib/Gateway/ReachabilityProbe.cpp - unreachable data centres -------===//
///
/// \file
/// See ReachabilityProbe.h.
//===----------------------------------------------------------------------===//
#include "ReachabilityProbe.h"

#include <boost/asio.hpp>

namespace pistachioloom {

namespace {

    // A data centre receives requests within this time and a round trip after it is
    // reachable again.
    constexpr milliseconds probePeriod { 250 };
    // Twenty times the 10 ms that establishing a connection inside a region takes.
    constexpr milliseconds probeTimeout { 200 };
    // Interval at which the services are checked for signs of lost paths.
    constexpr milliseconds watchPeriod { 50 };
    // Interval at which a round of probes is checked for its end.
    constexpr milliseconds probeCheckPeriod { 10 };

    /// A round of concurrent connection attempts.
    struct ProbeRound {
        std::size_t answered_ = 0;
        std::size_t ended_ = 0;
    };

    asio::awaitable<void> probeForRound(BackendRecord backend, std::shared_ptr<ProbeRound> round)
    {
        auto failed = co_await tryConnection(backend.endpoint_, probeTimeout);
        round->answered_ += !failed;
        ++round->ended_;
    }

} // namespace

/// The attempts run on the event loop of this coroutine, so that the round needs no lock.
asio::awaitable<void> ReachabilityProbe::probeService(ServiceName service)
{
    std::vector<BackendRecord> sample = context_.backends_.sampleOf(service, context_.paths_.serversToProbe(service));
    auto round = std::make_shared<ProbeRound>();
    auto executor = co_await asio::this_coro::executor;
    for (const BackendRecord& backend : sample)
        asio::co_spawn(executor, probeForRound(backend, round), asio::detached);
    SteadyTime deadline = steadyNow() + 2 * probeTimeout;
    while (!round->answered_ && round->ended_ < sample.size() && steadyNow() < deadline)
        co_await sleepFor(probeCheckPeriod);
    bool isChanged = context_.paths_.noteProbed(service, sample.size(), round->answered_, steadyNow());
    if (!isChanged)
        co_return;
    bool isLost = context_.paths_.isLost(service);
    if (isLost)
        context_.backends_.forgetFailures(service, steadyNow());
    logger_.info(LogLine(isLost ? "No backend server of the service is reachable from this node." : "Backend servers of the service are reachable again.").add("service", service.value_).add("probed", static_cast<std::int64_t>(sample.size())));
}

asio::awaitable<void> ReachabilityProbe::watchServices()
{
    auto executor = co_await asio::this_coro::executor;
    for (;;) {
        co_await sleepFor(watchPeriod);
        for (ServiceName& service : context_.paths_.takeDue(steadyNow()))
            asio::co_spawn(executor, probeService(std::move(service)), asio::detached);
    }
}

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
