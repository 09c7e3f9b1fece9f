//===- lib/Node/CallerApi.h - HTTP interface for callers ------------------===//
///
/// \file
/// Serves completions, chat completions, finished and running answers, models,
/// plain services, health and metrics. See docs/API.md.
//===----------------------------------------------------------------------===//
#pragma once

#include "AnswerFinder.h"
#include "LimitClient.h"
#include "ServiceRouter.h"

namespace pistachioloom {

/// Handles the requests of callers.
class CallerApi {
public:
    /// Returns the gauges for `/metrics`, by name.
    using GaugesHook = std::function<std::map<std::string, double>()>;

    CallerApi(NodeContext& context, GenerationOwner& owner, AnswerFinder& finder, LimitClient& limits, ServiceRouter& services, GaugesHook gauges);

    asio::awaitable<void> handle(HttpExchange& exchange);
    /// Number of requests that are being handled.
    std::size_t running() const { return running_; }

private:
    using EntryPtr = std::shared_ptr<const CatalogueEntry>;
    struct CompletionRequest;

    asio::awaitable<Result<void>> route(HttpExchange& exchange);
    asio::awaitable<Result<void>> complete(HttpExchange& exchange, EntryPtr entry, bool isChat);
    asio::awaitable<Result<void>> fetchAnswer(HttpExchange& exchange, EntryPtr entry);
    asio::awaitable<Result<void>> callService(HttpExchange& exchange, EntryPtr entry);
    asio::awaitable<Result<void>> sendEvents(HttpExchange& exchange, AnswerSource source);
    asio::awaitable<Result<void>> sendFullAnswer(HttpExchange& exchange, AnswerSource source);
    HttpResponse listModels(const CatalogueEntry& entry) const;
    Result<EntryPtr> authenticate(const HttpRequest& request) const;
    Result<CompletionRequest> parseCompletion(const HttpRequest& request, const CatalogueEntry& entry, bool isChat) const;
    milliseconds deadlineOf(const HttpRequest& request, const CatalogueEntry& entry) const;

    NodeContext& context_;
    GenerationOwner& owner_;
    AnswerFinder& finder_;
    LimitClient& limits_;
    ServiceRouter& services_;
    GaugesHook gauges_;
    Logger logger_;
    std::atomic<std::size_t> running_ { 0 };
};

} // namespace pistachioloom
