//===- test/LeavingTest.cpp - leaving backend servers, graceful stops -----===//
///
/// \file
/// A leaving backend server gets no new work once two seconds have passed since the
/// first notice from any source. A planned stop of an entry VM interrupts no request.
//===----------------------------------------------------------------------===//
#include "Harness/Deployment.h"

#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

constexpr milliseconds maxNoticeDelay { 2000 };
constexpr milliseconds stopTimeout { 30000 };
constexpr milliseconds answerTimeout { 30000 };

DeploymentOptions twoEngines()
{
    DeploymentOptions options;
    options.dataCentres_ = { "caxias-a", "caxias-b" };
    options.nodesPerDataCentre_ = 2;
    options.enginesPerDataCentre_ = { { "planogram", 2 } };
    options.engineArguments_ = { "--decode_us", "2000" };
    options.nodeSettings_ = "drain:\n  balancer_grace: 500ms\n";
    return options;
}

Completion shortQuestion(int number)
{
    return { Deployment::apiKey("rede"), "planogram", "question " + std::to_string(number), 2 };
}

std::uint64_t startedCount(Deployment::Backend& engine)
{
    return numberField(Deployment::control(engine.endpoint_), "started");
}

/// Sends questions through every node in turn until stopped.
class BackgroundLoad {
public:
    explicit BackgroundLoad(const std::vector<Endpoint>& entries)
        : thread_([this, entries] { run(entries); })
    {
    }
    ~BackgroundLoad() { stop(); }

    /// Ends the load. \returns the number of failed questions.
    int stop()
    {
        isStopped_ = true;
        if (thread_.joinable())
            thread_.join();
        return failureCount_;
    }
    int answeredCount() const { return answeredCount_; }

private:
    void run(const std::vector<Endpoint>& entries)
    {
        for (int i = 0; !isStopped_; ++i) {
            Answer answer = streamCompletionBlocking(entries[static_cast<std::size_t>(i) % entries.size()], shortQuestion(i));
            ++(answer.isDone_ ? answeredCount_ : failureCount_);
        }
    }

    std::atomic<bool> isStopped_ { false };
    std::atomic<int> failureCount_ { 0 };
    std::atomic<int> answeredCount_ { 0 };
    std::thread thread_;
};

enum class NoticeSource {
    CloudNotice,
    VmList,
    EngineRejection,
    CloudNoticeWhilePartitioned,
};

} // namespace

TEST_CASE("a leaving engine gets no new work once two seconds have passed since the first notice")
{
    auto source = GENERATE(NoticeSource::CloudNotice, NoticeSource::VmList, NoticeSource::EngineRejection, NoticeSource::CloudNoticeWhilePartitioned);
    INFO("source " << static_cast<int>(source));
    auto options = twoEngines();
    Deployment deployment(options);
    deployment.applyCatalogue(Deployment::standardCatalogue());
    auto& engine = deployment.engine("planogram-caxias-a-1");
    BackgroundLoad load(deployment.callerEndpoints());
    REQUIRE(waitUntil([&] { return startedCount(engine) > 5; }));
    boost::json::object leavingVm { { "id", engine.id_ }, { "kind", "engine" }, { "data_centre", engine.dataCentre_ }, { "host", "127.0.0.1" }, { "port", engine.endpoint_.port_ }, { "serves", boost::json::array { "planogram" } }, { "state", "leaving" } };
    switch (source) {
    case NoticeSource::CloudNoticeWhilePartitioned:
        deployment.controlPlatform({ { "cut_data_centres", boost::json::array { "caxias-a" } } });
        deployment.announceReclaim(engine.id_, milliseconds(60000));
        break;
    case NoticeSource::CloudNotice:
        deployment.announceReclaim(engine.id_, milliseconds(60000));
        break;
    case NoticeSource::VmList:
        deployment.controlPlatform({ { "put_vms", boost::json::array { leavingVm } } });
        break;
    case NoticeSource::EngineRejection:
        Deployment::control(engine.endpoint_, { { "leaving", 1 } });
        break;
    }
    std::this_thread::sleep_for(maxNoticeDelay);
    std::uint64_t started = startedCount(engine);
    std::uint64_t startedWhileLeaving = numberField(Deployment::control(engine.endpoint_), "started_while_leaving");
    int answeredBefore = load.answeredCount();
    REQUIRE(waitUntil([&] { return load.answeredCount() > answeredBefore + 100; }));
    CHECK(startedCount(engine) == started);
    CHECK(numberField(Deployment::control(engine.endpoint_), "started_while_leaving") == startedWhileLeaving);
    CHECK(load.stop() == 0);
}

TEST_CASE("a planned stop of an entry VM under load interrupts no request")
{
    auto options = twoEngines();
    options.servicesPerDataCentre_ = 1;
    Deployment deployment(options);
    deployment.applyCatalogue(Deployment::standardCatalogue());
    auto& leaving = deployment.node("caxias-a-1");
    bool isStoppedByTool = GENERATE(true, false);
    for (auto& service : deployment.services())
        Deployment::control(service.endpoint_, { { "delay_ms", 300 } });

    // Long streams through the leaving node and through others (whose engines it may
    // dispatch to), and service calls in flight.
    std::vector<std::future<Answer>> streams;
    std::vector<Completion> completions;
    for (int i = 0; i < 24; ++i)
        completions.push_back({ Deployment::apiKey("rede"), "planogram", "draft " + std::to_string(i), 800 });
    for (std::size_t i = 0; i < completions.size(); ++i) {
        Endpoint entry = deployment.nodes()[i % 2 ? 0 : i / 2 % 4].callers_;
        streams.push_back(std::async(std::launch::async, [=, &completions] { return streamCompletionBlocking(entry, completions[i]); }));
    }
    REQUIRE(waitUntil([&] { return deployment.metricOfAll("generations_running") >= 24; }));
    std::vector<std::future<ServiceCallResult>> calls;
    for (int i = 0; i < 8; ++i) {
        calls.push_back(std::async(std::launch::async, [&, i] {
            return callService(leaving.callers_, Deployment::apiKey("rede"), "labels/confirm", "stop-" + std::to_string(i), "{}");
        }));
    }
    REQUIRE(waitUntil([&] { return deployment.metricOfAll("service_calls_total") > 0; }));
    BackgroundLoad load({ deployment.node("caxias-a-2").callers_, deployment.node("caxias-b-1").callers_ });

    if (isStoppedByTool)
        CHECK(deployment.runTool(leaving, { "drain" }).first == 0);
    else
        leaving.process_->signal(SIGTERM);
    // The node first reports that it is not ready, and still serves callers that the load
    // balancer sends to it.
    HttpRequest ready { "GET", "/readyz", {}, {} };
    CHECK(waitUntil([&] {
        auto response = callHttpBlocking(leaving.callers_, ready, milliseconds(1000));
        return response && response.value().status_ == 503;
    }));
    CHECK(streamCompletionBlocking(leaving.callers_, shortQuestion(0)).isDone_);

    for (std::size_t i = 0; i < streams.size(); ++i) {
        Answer answer = streams[i].get();
        CHECK(answer.isDone_);
        CHECK(checkAnswer(answer, completions[i]) == "");
    }
    for (auto& call : calls)
        CHECK(call.get().status_ == 200);
    CHECK(leaving.process_->wait(stopTimeout) == 0);
    CHECK(load.stop() == 0);
}

TEST_CASE("a request that is handed over does not release capacity that it did not take")
{
    DeploymentOptions options;
    options.dataCentres_ = { "caxias-a", "caxias-b" };
    options.nodesPerDataCentre_ = 1;
    options.engineArguments_ = { "--decode_us", "5000" };
    options.nodeSettings_ = "drain:\n  balancer_grace: 50ms\n  handover_margin: 400ms\n";
    Deployment deployment(options);
    deployment.applyCatalogue(Deployment::standardCatalogue());
    auto& leaving = deployment.node("caxias-a-1");
    auto& successor = deployment.node("caxias-b-1");
    Completion handedOver { Deployment::apiKey("rede"), "planogram", "handed over", 400 };
    Completion successorStream { Deployment::apiKey("rede"), "planogram", "stays", 1600 };
    std::vector<Endpoint> entries { leaving.callers_, successor.callers_ };
    auto first = std::async(std::launch::async, [=] { return streamToEndBlocking(entries, handedOver, answerTimeout); });
    auto second = std::async(std::launch::async, [=] { return streamCompletionBlocking(entries[1], successorStream); });
    REQUIRE(waitUntil([&] { return deployment.metric(leaving, "generations_running") == 1 && deployment.metric(successor, "generations_running") == 1; }));
    deployment.announceReclaim(leaving.id_, milliseconds(800));
    Answer answer = first.get();
    CHECK(answer.isDone_);
    CHECK(checkAnswer(answer, handedOver) == "");
    auto limits = deployment.query(successor, "/limits");
    std::uint64_t inProgress = 0;
    for (const auto& line : objectsField(limits.as_object(), "entries"))
        inProgress += numberField(line, "in_progress");
    CHECK(inProgress == 1);
    CHECK(second.get().isDone_);
}

TEST_CASE("a stop with less time than its streams need hands them over completely")
{
    // A successor may attach to the engine long after the old owner has released it.
    auto attachDelay = GENERATE(milliseconds(0), milliseconds(300));
    INFO("attaching takes " << attachDelay.count() << " ms more");
    auto options = twoEngines();
    options.engineArguments_ = { "--decode_us", "10000" };
    options.nodeSettings_ = "drain:\n  balancer_grace: 200ms\n  handover_margin: 800ms\n";
    Deployment deployment(options);
    deployment.applyCatalogue(Deployment::standardCatalogue());
    auto& leaving = deployment.node("caxias-a-1");
    std::vector<Endpoint> entries { leaving.callers_, deployment.node("caxias-a-2").callers_, deployment.node("caxias-b-1").callers_ };
    std::vector<Completion> completions;
    std::vector<std::future<Answer>> streams;
    for (int i = 0; i < 8; ++i)
        completions.push_back({ Deployment::apiKey("rede"), "planogram", "long draft " + std::to_string(i), 500 });
    for (const Completion& completion : completions)
        streams.push_back(std::async(std::launch::async, [=] { return streamToEndBlocking(entries, completion, answerTimeout); }));
    REQUIRE(waitUntil([&] { return deployment.metric(leaving, "generations_running") >= 8; }));
    for (auto& engine : deployment.engines())
        Deployment::control(engine.endpoint_, { { "attach_delay_ms", attachDelay.count() } });
    deployment.announceReclaim(leaving.id_, milliseconds(2000));
    CHECK(leaving.process_->wait(milliseconds(6000)) == 0);
    deployment.removeVm(leaving.id_);
    for (std::size_t i = 0; i < streams.size(); ++i) {
        Answer answer = streams[i].get();
        CHECK(answer.isDone_);
        CHECK(answer.restarts_ == 0);
        CHECK(checkAnswer(answer, completions[i]) == "");
    }
    // All streams were handed over, so no replica took one over after the loss of its
    // owner. The engines' streams continued under their new dispatchers.
    CHECK(deployment.metricOfAll("takeovers_total") == 0);
    CHECK(deployment.metricOfAll("tokens_recomputed_total") == 0);
}
