//===- test/GenerationsTest.cpp - generations survive failures -----------------===//
///
/// \file
/// Reclaims, kills and freezes the processes that work on an accepted request to
/// generate. The caller still receives the engine's exact sequence.
//===----------------------------------------------------------------------===//
#include "Harness/Deployment.h"

#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

constexpr milliseconds answerTimeout { 40000 };

DeploymentOptions deploymentOptions()
{
    DeploymentOptions options;
    options.nodesPerDataCentre_ = 2;
    options.enginesPerDataCentre_ = { { "planogram", 2 } };
    options.engineArguments_ = { "--decode_us", "8000" };
    options.nodeSettings_ = "replica:\n  takeover_grace: 500ms\n  owner_silence: 1s\nmembership:\n  suspect_after: 1500ms\n";
    return options;
}

/// Running generations. Each caller resumes its answer at other entry VMs.
class RunningGenerations {
public:
    RunningGenerations(Deployment& deployment, std::size_t count, std::uint64_t tokens, const std::string& firstEntry = "caxias-a-1")
    {
        std::vector<Endpoint> entries { deployment.node(firstEntry).callers_ };
        for (auto& node : deployment.nodes()) {
            if (node.id_ != firstEntry)
                entries.push_back(node.callers_);
        }
        for (std::size_t i = 0; i < count; ++i)
            completions_.push_back({ Deployment::apiKey(i % 4 == 3 ? "visitante" : "rede"), "planogram", "draft number " + std::to_string(i), tokens });
        for (const Completion& completion : completions_)
            answers_.push_back(std::async(std::launch::async, [=] { return streamToEndBlocking(entries, completion, answerTimeout); }));
        bool hasStarted = waitUntil([&] { return deployment.metricOfAll("tokens_delivered_total") > static_cast<double>(count * 20); });
        REQUIRE(hasStarted);
    }

    /// Checks that every answer is complete and that no stream was restarted.
    void checkAll()
    {
        for (std::size_t i = 0; i < answers_.size(); ++i) {
            Answer answer = answers_[i].get();
            INFO("generation " << i << (answer.error_ ? ": " + describe(*answer.error_) : std::string()));
            CHECK(answer.isDone_);
            CHECK(answer.restarts_ == 0);
            CHECK(checkAnswer(answer, completions_[i]) == "");
        }
    }

private:
    std::vector<Completion> completions_;
    std::vector<std::future<Answer>> answers_;
};

/// Returns the engine of \p dataCentre with the most active requests, and checks that it has
/// at least one.
Deployment::Backend& busiestEngine(Deployment& deployment, const std::string& dataCentre)
{
    Deployment::Backend* busiest = nullptr;
    std::uint64_t maxActive = 0;
    for (auto& engine : deployment.engines()) {
        std::uint64_t active = numberField(Deployment::control(engine.endpoint_), "active");
        if (engine.dataCentre_ != dataCentre || active < maxActive)
            continue;
        busiest = &engine;
        maxActive = active;
    }
    REQUIRE(maxActive > 0);
    return *busiest;
}

void reclaimEngine(Deployment& deployment, Deployment::Backend& engine, milliseconds notice)
{
    deployment.announceReclaim(engine.id_, notice);
    Deployment::control(engine.endpoint_, { { "leaving", 1 }, { "stop_in_ms", notice.count() } });
}

} // namespace

TEST_CASE("generations survive a reclaim of their engine's VM")
{
    struct Reclaim {
        milliseconds notice_;
        bool rejectsImport_;
        bool mustNotRecompute_;
    };
    auto reclaim = GENERATE(values<Reclaim>({
        { milliseconds(2000), false, true },
        { milliseconds(10000), false, true },
        { milliseconds(30000), false, true },
        { milliseconds(2000), true, false },
        { milliseconds(150), false, false },
    }));
    INFO("notice " << reclaim.notice_.count() << " ms, import rejected " << reclaim.rejectsImport_);
    Deployment deployment(deploymentOptions());
    deployment.applyCatalogue(Deployment::standardCatalogue());
    if (reclaim.rejectsImport_) {
        for (auto& engine : deployment.engines())
            Deployment::control(engine.endpoint_, { { "refuse_import", 1 } });
    }
    RunningGenerations generations(deployment, 8, 600);
    reclaimEngine(deployment, busiestEngine(deployment, "caxias-a"), reclaim.notice_);
    generations.checkAll();
    double recomputed = deployment.metricOfAll("tokens_recomputed_total");
    WARN("notice " << reclaim.notice_.count() << " ms, import rejected " << reclaim.rejectsImport_ << ": " << recomputed << " tokens recomputed");
    if (reclaim.mustNotRecompute_)
        CHECK(recomputed == 0);
}

// Guards against the loss of an exported KV cache when the engine that is tried first
// rejects the stream, as the leaving engine does while the owner does not know that it is
// leaving.
TEST_CASE("generations keep their exported KV cache when engines reject them")
{
    Deployment deployment(deploymentOptions());
    deployment.applyCatalogue(Deployment::standardCatalogue());
    RunningGenerations generations(deployment, 8, 600);
    auto& reclaimed = busiestEngine(deployment, "caxias-a");
    auto& accepting = *std::find_if(deployment.engines().begin(), deployment.engines().end(), [](auto& engine) { return engine.dataCentre_ != "caxias-a"; });
    // No notice announces that these engines are leaving, so nodes learn it from the rejections.
    std::vector<Endpoint> rejecting;
    for (auto& engine : deployment.engines()) {
        if (engine.id_ == reclaimed.id_ || engine.id_ == accepting.id_)
            continue;
        Deployment::control(engine.endpoint_, { { "leaving", 1 } });
        rejecting.push_back(engine.endpoint_);
    }
    reclaimEngine(deployment, reclaimed, milliseconds(2000));
    generations.checkAll();
    std::uint64_t rejections = 0;
    for (const Endpoint& engine : rejecting)
        rejections += numberField(Deployment::control(engine), "started_while_leaving");
    CHECK(rejections > 0);
    CHECK(deployment.metricOfAll("tokens_recomputed_total") == 0);
}

TEST_CASE("generations survive a crash of their engine")
{
    Deployment deployment(deploymentOptions());
    deployment.applyCatalogue(Deployment::standardCatalogue());
    RunningGenerations generations(deployment, 6, 300);
    busiestEngine(deployment, "caxias-a").process_->kill();
    generations.checkAll();
}

TEST_CASE("generations survive the loss of a node in any role")
{
    enum class Victim {
        Dispatcher,
        Entry,
        FrozenEntry,
    };
    auto victim = GENERATE(Victim::Dispatcher, Victim::Entry, Victim::FrozenEntry);
    INFO("victim " << static_cast<int>(victim));
    Deployment deployment(deploymentOptions());
    deployment.applyCatalogue(Deployment::standardCatalogue());
    RunningGenerations generations(deployment, 6, 400);
    Deployment::NodeProcess* node = &deployment.node("caxias-a-1");
    if (victim == Victim::Dispatcher) {
        node = &deployment.node("caxias-a-2");
        REQUIRE(waitUntil([&] { return deployment.metric(*node, "streams_homed") > 0; }));
    }
    if (victim == Victim::FrozenEntry) {
        node->process_->freeze();
        // The node resumes after its replicas have taken over; its callers still read
        // from it.
        CHECK(waitUntil([&] {
            double takeovers = 0;
            for (auto& other : deployment.nodes())
                takeovers += other.id_ == node->id_ ? 0 : std::max(0.0, deployment.metric(other, "takeovers_total"));
            return takeovers >= 6;
        }));
        node->process_->resume();
    } else {
        node->process_->kill();
    }
    generations.checkAll();
    if (victim != Victim::FrozenEntry)
        CHECK(deployment.metricOfAll("tokens_recomputed_total") == 0);
}

TEST_CASE("generations survive the simultaneous reclaim of a complete data centre")
{
    bool isAnnounced = GENERATE(true, false);
    Deployment deployment(deploymentOptions());
    deployment.applyCatalogue(Deployment::standardCatalogue());
    RunningGenerations generations(deployment, 8, 500);
    constexpr milliseconds notice { 2500 };
    for (auto& engine : deployment.engines()) {
        if (engine.dataCentre_ != "caxias-a")
            continue;
        if (isAnnounced)
            reclaimEngine(deployment, engine, notice);
        else
            engine.process_->kill();
    }
    for (auto& node : deployment.nodes()) {
        if (node.dataCentre_ != "caxias-a")
            continue;
        if (isAnnounced)
            deployment.announceReclaim(node.id_, notice);
        else
            node.process_->kill();
    }
    generations.checkAll();
    WARN((isAnnounced ? "announced: " : "sudden: ") << deployment.metricOfAll("tokens_recomputed_total") << " tokens recomputed");
}

TEST_CASE("a dispatcher that is killed during its handover loses no generation")
{
    Deployment deployment(deploymentOptions());
    deployment.applyCatalogue(Deployment::standardCatalogue());
    RunningGenerations generations(deployment, 8, 500);
    auto& dispatcher = deployment.node("caxias-a-2");
    REQUIRE(waitUntil([&] { return deployment.metric(dispatcher, "streams_homed") > 0; }));
    for (auto& engine : deployment.engines()) {
        if (engine.dataCentre_ == "caxias-a")
            reclaimEngine(deployment, engine, milliseconds(3000));
    }
    REQUIRE(waitUntil([&] {
        auto view = deployment.query(dispatcher, "/engines");
        return view.is_object() && objectsField(view.as_object(), "engines").empty();
    }));
    dispatcher.process_->kill();
    generations.checkAll();
}

TEST_CASE("a caller that does not stream fetches its answer after its entry VM is lost")
{
    Deployment deployment(deploymentOptions());
    deployment.applyCatalogue(Deployment::standardCatalogue());
    auto& entry = deployment.node("caxias-a-1");
    Completion completion { Deployment::apiKey("rede"), "planogram", "no stream", 200 };
    auto pending = std::async(std::launch::async, [&] {
        HttpRequest request { "POST", "/v1/completions", { { "authorization", "Bearer " + completion.apiKey_ } }, completionBody(completion, false) };
        return callHttpBlocking(entry.callers_, request, answerTimeout);
    });
    std::string requestId;
    REQUIRE(waitUntil([&] {
        auto listed = deployment.query(entry, "/requests");
        auto requests = listed.is_object() ? objectsField(listed.as_object(), "requests") : std::vector<boost::json::object> {};
        if (requests.empty() || numberField(requests.front(), "tokens") < 20)
            return false;
        requestId = textField(requests.front(), "request");
        return true;
    }));
    entry.process_->kill();
    CHECK_FALSE(pending.get());
    HttpRequest fetch { "GET", "/v1/requests/" + requestId, { { "authorization", "Bearer " + completion.apiKey_ } }, {} };
    Answer answer;
    REQUIRE(waitUntil([&] {
        auto response = callHttpBlocking(deployment.node("bento-c-2").callers_, fetch, answerTimeout);
        if (!response || response.value().status_ != 200)
            return false;
        auto body = parseJsonObject(response.value().body_).value_or(boost::json::object {});
        std::string text = textField(objectsField(body, "choices").front(), "text");
        for (std::size_t begin = 0; begin < text.size();) {
            std::size_t end = text.find(' ', begin) + 1;
            answer.tokens_.push_back(text.substr(begin, end - begin));
            begin = end;
        }
        return true;
    },
        answerTimeout));
    CHECK(checkAnswer(answer, completion) == "");
}

TEST_CASE("a delayed cancel does not end a newer attempt")
{
    DeploymentOptions options;
    options.dataCentres_ = { "caxias-a" };
    options.nodesPerDataCentre_ = 1;
    options.engineArguments_ = { "--decode_us", "5000" };
    Deployment deployment(options);
    std::string catalogue = Deployment::standardCatalogue();
    std::string many = "name: planogram\nkind: engine\nconcurrency: 64";
    catalogue.replace(catalogue.find(many), many.size(), "name: planogram\nkind: engine\nconcurrency: 1");
    deployment.applyCatalogue(catalogue);
    auto& engine = deployment.engines().front();
    Endpoint entry = deployment.nodes().front().callers_;
    Completion trial { Deployment::apiKey("visitante"), "planogram", "trial draft", 600 };
    Completion paid { Deployment::apiKey("rede"), "planogram", "question", 5 };
    auto trialAnswer = std::async(std::launch::async, [=] { return streamCompletionBlocking(entry, trial); });
    REQUIRE(waitUntil([&] { return deployment.metricOfAll("tokens_delivered_total") > 10; }));
    // The delay exceeds the time that a dispatcher waits for the engine's answer to a
    // cancel.
    Deployment::control(engine.endpoint_, { { "cancel_delay_ms", 2500 } });
    CHECK(streamCompletionBlocking(entry, paid).isDone_);
    Answer answer = trialAnswer.get();
    CHECK(answer.isDone_);
    CHECK(checkAnswer(answer, trial) == "");
    auto state = Deployment::control(engine.endpoint_);
    CHECK(numberField(state, "started") == 3);
    CHECK(numberField(state, "cancelled") == 0);
}
