//===- test/AnswersTest.cpp - correct and complete answers ----------------===//
///
/// \file
/// Many concurrent streams, callers of other organisations, resumption, invalid
/// requests and readers that disconnect.
//===----------------------------------------------------------------------===//
#include "Harness/Deployment.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

DeploymentOptions answerOptions()
{
    DeploymentOptions options;
    options.dataCentres_ = { "caxias-a", "caxias-b" };
    options.nodesPerDataCentre_ = 2;
    options.enginesPerDataCentre_ = { { "planogram", 2 } };
    options.engineArguments_ = { "--decode_us", "3000", "--slots", "400" };
    options.nodeSettings_ = "callers:\n  reconnect_grace: 1s\n  body: 64KiB\n";
    return options;
}

std::string manyStreamsCatalogue()
{
    std::string text = Deployment::standardCatalogue();
    std::string from = "name: planogram\nkind: engine\nconcurrency: 64";
    text.replace(text.find(from), from.size(), "name: planogram\nkind: engine\nconcurrency: 400");
    return text;
}

struct BadRequest {
    std::string name_;
    HttpRequest request_;
    int status_;
    std::string code_;
};

HttpRequest post(const std::string& target, const std::string& body, const std::string& key = Deployment::apiKey("rede"))
{
    HttpRequest request { "POST", target, {}, body };
    if (!key.empty())
        request.headers_["authorization"] = "Bearer " + key;
    return request;
}

} // namespace

TEST_CASE("each of a thousand concurrent streams gets its own complete answer")
{
    Deployment deployment(answerOptions());
    deployment.applyCatalogue(manyStreamsCatalogue());
    constexpr std::size_t count = 1000;
    std::vector<Completion> completions;
    std::vector<Answer> answers(count);
    for (std::size_t i = 0; i < count; ++i)
        completions.push_back({ Deployment::apiKey(i % 3 ? "rede" : "visitante"), "planogram", "caller " + std::to_string(i), 30 + i % 7 });
    asio::io_context io;
    for (std::size_t i = 0; i < count; ++i) {
        Endpoint entry = deployment.nodes()[i % deployment.nodes().size()].callers_;
        auto task = [&, i, entry]() -> asio::awaitable<void> { answers[i] = co_await streamCompletion(entry, completions[i]); };
        asio::co_spawn(asio::make_strand(io), task, asio::detached);
    }
    io.run();
    std::size_t complete = 0;
    for (std::size_t i = 0; i < count; ++i) {
        INFO("caller " << i << (answers[i].error_ ? ": " + describe(*answers[i].error_) : std::string()));
        CHECK(checkAnswer(answers[i], completions[i]) == "");
        complete += answers[i].isDone_ ? 1 : 0;
    }
    CHECK(complete == count);
}

TEST_CASE("an organisation cannot read another organisation's answer by its request id")
{
    Deployment deployment(answerOptions());
    deployment.applyCatalogue(Deployment::standardCatalogue());
    Completion completion { Deployment::apiKey("rede"), "planogram", "mine", 20 };
    Answer answer = streamCompletionBlocking(deployment.nodes()[0].callers_, completion);
    REQUIRE(answer.isDone_);
    for (auto& node : deployment.nodes()) {
        HttpRequest request { "GET", "/v1/requests/" + answer.requestId_, { { "authorization", "Bearer " + Deployment::apiKey("visitante") } }, {} };
        auto otherOrganisation = callHttpBlocking(node.callers_, request, milliseconds(5000));
        REQUIRE(otherOrganisation);
        CHECK(otherOrganisation.value().status_ == 404);
        request.headers_["authorization"] = "Bearer " + Deployment::apiKey("rede");
        auto owner = callHttpBlocking(node.callers_, request, milliseconds(5000));
        REQUIRE(owner);
        CHECK(owner.value().status_ == 200);
        CHECK(owner.value().body_.find(answer.tokens_.back()) != std::string::npos);
    }
}

TEST_CASE("a caller resumes its answer at any entry VM after any event")
{
    Deployment deployment(answerOptions());
    deployment.applyCatalogue(Deployment::standardCatalogue());
    Completion completion { Deployment::apiKey("rede"), "planogram", "resume me", 40 };
    Answer complete = streamCompletionBlocking(deployment.nodes()[0].callers_, completion);
    REQUIRE(complete.isDone_);
    std::size_t received = GENERATE(std::size_t { 0 }, std::size_t { 1 }, std::size_t { 25 }, std::size_t { 40 });
    Answer partial;
    partial.requestId_ = complete.requestId_;
    partial.tokens_.assign(complete.tokens_.begin(), complete.tokens_.begin() + static_cast<std::ptrdiff_t>(received));
    std::uint64_t hash = 0;
    for (const std::string& token : partial.tokens_)
        hash = stableHash(token, hash);
    char id[64];
    std::snprintf(id, sizeof id, "%zu-%lx", received, static_cast<unsigned long>(hash));
    if (received)
        partial.lastEventId_ = id;
    for (auto& node : deployment.nodes()) {
        asio::io_context io;
        Answer resumed;
        auto task = [&]() -> asio::awaitable<void> { resumed = co_await resumeAnswer(node.callers_, completion.apiKey_, partial); };
        asio::co_spawn(io, task, asio::detached);
        io.run();
        CHECK(resumed.isDone_);
        CHECK(resumed.restarts_ == 0);
        CHECK(checkAnswer(resumed, completion) == "");
    }
    // An event id whose hash does not match this answer's text restarts the stream.
    partial.lastEventId_ = "5-123";
    asio::io_context io;
    Answer restarted;
    auto task = [&]() -> asio::awaitable<void> { restarted = co_await resumeAnswer(deployment.nodes()[1].callers_, completion.apiKey_, partial); };
    asio::co_spawn(io, task, asio::detached);
    io.run();
    CHECK(restarted.restarts_ == 1);
    CHECK(checkAnswer(restarted, completion) == "");
}

TEST_CASE("an engine stops working for a caller that does not return")
{
    Deployment deployment(answerOptions());
    deployment.applyCatalogue(Deployment::standardCatalogue());
    {
        asio::io_context io;
        Completion completion { Deployment::apiKey("rede"), "planogram", "gone", 5000 };
        auto task = [&]() -> asio::awaitable<void> { co_await streamCompletion(deployment.nodes()[0].callers_, completion); };
        asio::co_spawn(io, task, asio::detached);
        io.run_for(milliseconds(500));
        // The destructor of the context closes the caller's connection.
    }
    CHECK(waitUntil([&] {
        std::uint64_t active = 0;
        for (auto& engine : deployment.engines())
            active += numberField(Deployment::control(engine.endpoint_), "active");
        return !active && deployment.metricOfAll("requests_failed_total") > 0;
    }));
}

TEST_CASE("invalid requests get the right status and the common error body")
{
    Deployment deployment(answerOptions());
    deployment.applyCatalogue(Deployment::standardCatalogue());
    std::vector<BadRequest> requests {
        { "no key", post("/v1/completions", "{}", ""), 401, "unauthorised" },
        { "unknown key", post("/v1/completions", "{}", "nobody"), 401, "unauthorised" },
        { "malformed JSON", post("/v1/completions", "{\"model\":"), 400, "invalid_input" },
        { "not a JSON object", post("/v1/completions", "[1,2]"), 400, "invalid_input" },
        { "no model", post("/v1/completions", "{}"), 400, "invalid_input" },
        { "unknown model", post("/v1/completions", R"({"model":"x","prompt":"p"})"), 404, "not_found" },
        { "no prompt", post("/v1/completions", R"({"model":"planogram"})"), 400, "invalid_input" },
        { "prompt of wrong type", post("/v1/completions", R"({"model":"planogram","prompt":7})"), 400, "invalid_input" },
        { "too many tokens", post("/v1/completions", R"({"model":"planogram","prompt":"p","max_tokens":999999999})"), 400, "invalid_input" },
        { "negative tokens", post("/v1/completions", R"({"model":"planogram","prompt":"p","max_tokens":-1})"), 400, "invalid_input" },
        { "no messages", post("/v1/chat/completions", R"({"model":"planogram","messages":[]})"), 400, "invalid_input" },
        { "messages without role", post("/v1/chat/completions", R"({"model":"planogram","messages":[{"content":"x"}]})"), 400, "invalid_input" },
        { "oversized body", post("/v1/completions", std::string(100UL * 1024, 'x')), 413, "too_large" },
        { "wrong method", { "GET", "/v1/completions", {}, {} }, 405, "method_not_allowed" },
        { "unknown path", post("/v2/other", "{}"), 404, "not_found" },
        { "unknown service", post("/services/x/y", "{}"), 404, "not_found" },
        { "no idempotency key", post("/services/labels/confirm", "{}"), 400, "invalid_input" },
        { "unknown request", { "GET", "/v1/requests/none", { { "authorization", "Bearer " + Deployment::apiKey("rede") } }, {} }, 404, "not_found" },
    };
    for (const BadRequest& bad : requests) {
        INFO(bad.name_);
        auto response = callHttpBlocking(deployment.nodes()[0].callers_, bad.request_, milliseconds(5000));
        REQUIRE(response);
        CHECK(response.value().status_ == bad.status_);
        auto body = parseJsonObject(response.value().body_);
        REQUIRE(body);
        REQUIRE(body->contains("error"));
        const auto& error = body->at("error").as_object();
        CHECK(textField(error, "code") == bad.code_);
        for (const char* field : { "message", "step", "peer", "ran", "retry_after_ms" })
            CHECK(error.contains(field));
    }
    // The node still serves valid requests.
    Completion completion { Deployment::apiKey("rede"), "planogram", "still here", 5 };
    CHECK(streamCompletionBlocking(deployment.nodes()[0].callers_, completion).isDone_);
}

TEST_CASE("bytes that are not the peer protocol do not affect other requests")
{
    Deployment deployment(answerOptions());
    deployment.applyCatalogue(Deployment::standardCatalogue());
    auto garbage = GENERATE(values<std::string>({
        "GET / HTTP/1.1\r\n\r\n",
        std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n") + std::string(3, '\xff'),
        std::string(100000, 'A'),
        std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n") + std::string("\x00\x00\x00\x04\x00\x00\x00\x00\x00", 9) + std::string("\xff\xff\xff\x00\x00\x00\x00\x00\x01", 9),
    }));
    for (auto& node : deployment.nodes()) {
        asio::io_context io;
        asio::ip::tcp::socket socket(io);
        socket.connect({ asio::ip::make_address("127.0.0.1"), node.peers_.port_ });
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(garbage), ignored);
        socket.close(ignored);
    }
    Completion completion { Deployment::apiKey("rede"), "planogram", "still here", 5 };
    for (auto& node : deployment.nodes())
        CHECK(streamCompletionBlocking(node.callers_, completion).isDone_);
}

TEST_CASE("two nodes that both dispatch to one engine waste work but answer correctly")
{
    auto options = answerOptions();
    options.dataCentres_ = { "caxias-a", "caxias-b" };
    options.nodesPerDataCentre_ = 3;
    options.enginesPerDataCentre_ = { { "planogram", 1 } };
    Deployment deployment(options);
    constexpr std::uint64_t concurrency = 4;
    std::string catalogue = manyStreamsCatalogue();
    std::string from = "concurrency: 400";
    catalogue.replace(catalogue.find(from), from.size(), "concurrency: " + std::to_string(concurrency));
    deployment.applyCatalogue(catalogue);
    auto& engine = deployment.engine("planogram-caxias-a-1");
    Deployment::NodeProcess* dispatcher = nullptr;
    REQUIRE(waitUntil([&] { return (dispatcher = deployment.dispatcherOf(engine.id_)); }));
    std::vector<Endpoint> entries;
    for (auto& node : deployment.nodes()) {
        if (&node != dispatcher)
            entries.push_back(node.callers_);
    }
    // The callers send more requests than both engines accept, and each reads its answer to
    // the end.
    std::vector<Completion> completions;
    for (int i = 0; i < 40; ++i)
        completions.push_back({ Deployment::apiKey("rede"), "planogram", "two dispatchers " + std::to_string(i), 500 });
    asio::io_context io;
    std::vector<Answer> answers(completions.size());
    for (std::size_t i = 0; i < completions.size(); ++i) {
        auto task = [&, i]() -> asio::awaitable<void> { answers[i] = co_await streamToEnd(entries, completions[i], milliseconds(60000)); };
        asio::co_spawn(io, task, asio::detached);
    }
    std::thread callers([&] { io.run(); });
    REQUIRE(waitUntil([&] { return numberField(Deployment::control(engine.endpoint_), "active") == concurrency; }));
    dispatcher->process_->freeze();
    // The successor dispatches while the frozen dispatcher still holds its streams.
    bool hasTwoDispatchers = waitUntil([&] { return numberField(Deployment::control(engine.endpoint_), "started") > concurrency; });
    dispatcher->process_->resume();
    callers.join();
    CHECK(hasTwoDispatchers);
    for (std::size_t i = 0; i < answers.size(); ++i) {
        INFO("caller " << i << (answers[i].error_ ? ": " + describe(*answers[i].error_) : std::string()));
        CHECK(answers[i].isDone_);
        CHECK(checkAnswer(answers[i], completions[i]) == "");
    }
    CHECK(numberField(Deployment::control(engine.endpoint_), "most_active") <= 2 * concurrency);
}
