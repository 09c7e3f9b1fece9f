//===- lib/Node/OperatorApi.cpp - HTTP interface for operators ------------===//
///
/// \file
/// See OperatorApi.h.
//===----------------------------------------------------------------------===//
#include "OperatorApi.h"

#include "generated/Peer.pb.h"
#include "pistachioloom/Json.h"

namespace pistachioloom {

namespace json = boost::json;

namespace {

    constexpr std::string_view cataloguePath = "/catalogue/";
    constexpr std::string_view explainPath = "/explain/";
    constexpr std::string_view tracesPath = "/traces/";

    HttpResponse ok(const json::value& value)
    {
        return jsonResponse(200, json::serialize(value));
    }

    std::string_view kindName(const CatalogueEntry& entry)
    {
        if (entry.workload_)
            return "workload";
        return entry.backend_->kind_ == Backend::Kind::ModelEngine ? "engine" : "service";
    }

} // namespace

OperatorApi::OperatorApi(NodeContext& context, ControlPlane& control, BackendDispatcher& dispatcher, EngineOrders& orders, GenerationOwner& owner, LimitClient& limits, EngineRouter& router, DrainHook drain, CallerApi::GaugesHook gauges)
    : context_(context)
    , control_(control)
    , dispatcher_(dispatcher)
    , orders_(orders)
    , owner_(owner)
    , limits_(limits)
    , router_(router)
    , drain_(std::move(drain))
    , gauges_(std::move(gauges))
{
}

asio::awaitable<void> OperatorApi::handle(HttpExchange& exchange)
{
    const HttpRequest& request = exchange.request();
    std::string expected = "Bearer " + context_.settings_.operatorCredential_;
    if (!equalInConstantTime(request.header("authorization"), expected)) {
        Error error { Errc::Unauthorised, "authenticate", {}, "wrong operator credential", Ran::No, {} };
        (void)co_await exchange.respond(errorResponse(error));
        co_return;
    }
    auto routed = co_await route(request);
    HttpResponse response;
    if (routed)
        response = std::move(routed.value());
    else
        response = errorResponse(routed.error());
    (void)co_await exchange.respond(std::move(response));
}

asio::awaitable<Result<HttpResponse>> OperatorApi::route(const HttpRequest& request)
{
    std::string path = request.path();
    bool isGet = request.method_ == "GET";
    if (path == "/drain" && request.method_ == "POST") {
        auto remaining = parseDuration(request.query("notice"));
        drain_(remaining);
        co_return ok(json::object { { "draining", context_.self().value_ } });
    }
    if (path.starts_with(cataloguePath) && request.method_ == "PUT")
        co_return co_await editEntry(request, path.substr(cataloguePath.size()));
    if (!isGet)
        co_return Error { Errc::MethodNotAllowed, "route", {}, "wrong method for this resource", Ran::No, {} };
    if (path == "/catalogue")
        co_return listCatalogue();
    if (path == "/history")
        co_return listHistory();
    if (path == "/nodes")
        co_return listNodes();
    if (path == "/engines")
        co_return listEngines();
    if (path == "/requests")
        co_return listRequests();
    if (path == "/limits")
        co_return listLimits();
    if (path == "/metrics")
        co_return HttpResponse { 200, { { "content-type", "text/plain; version=0.0.4" } }, context_.metrics_.render(gauges_()) };
    if (path.starts_with(cataloguePath))
        co_return getEntry(path.substr(cataloguePath.size()));
    if (path.starts_with(tracesPath))
        co_return HttpResponse { 200, { { "content-type", "application/x-ndjson" } }, context_.tracer_.spansOf(path.substr(tracesPath.size())) };
    if (path.starts_with(explainPath)) {
        std::string explanation = router_.explain(path.substr(explainPath.size()));
        if (!explanation.empty())
            co_return jsonResponse(200, explanation);
    }
    co_return Error { Errc::NotFound, "route", {}, "no such resource here", Ran::No, {} };
}

asio::awaitable<Result<HttpResponse>> OperatorApi::editEntry(const HttpRequest& request, const std::string& name)
{
    auto body = parseJsonObject(request.body_);
    if (!body || textField(*body, "edit").empty())
        co_return Error { Errc::InvalidInput, "read edit", {}, "expected edit, base and body", Ran::No, {} };
    CatalogueEdit edit { { textField(*body, "edit") }, { name }, { numberField(*body, "base") }, textField(*body, "body") };
    InputErrors errors;
    if (!edit.body_.empty()) {
        auto parsed = parseEntry(edit.body_, name, errors);
        if (parsed && parsed->name_.value_ != name)
            errors.push_back({ name, 1, "name", "expected '" + name + "'" });
    }
    if (!errors.empty())
        co_return Error { Errc::InvalidInput, "read entry", name, errors.front().toString(), Ran::No, {} };
    auto outcome = co_await control_.edit(edit);
    if (!outcome)
        co_return outcome.error();
    json::object answer { { "accepted", outcome.value().isAccepted_ }, { "version", outcome.value().currentVersion_.value_ } };
    co_return jsonResponse(outcome.value().isAccepted_ ? 200 : 409, json::serialize(answer));
}

HttpResponse OperatorApi::listCatalogue() const
{
    auto catalogue = context_.catalogue();
    json::array entries;
    for (const auto& [name, entry] : catalogue->entries_) {
        json::object item { { "name", name.value_ }, { "kind", kindName(*entry) }, { "version", entry->version_.value_ } };
        if (entry->workload_) {
            item["owner"] = entry->workload_->owner_.value_;
            item["class"] = toString(entry->workload_->class_);
        }
        entries.push_back(std::move(item));
    }
    return ok(json::object { { "offset", catalogue->nextOffset_.value_ }, { "age_ms", control_.catalogueAge().count() }, { "entries", std::move(entries) } });
}

Result<HttpResponse> OperatorApi::getEntry(const std::string& name) const
{
    auto entry = context_.catalogue()->findEntry({ name });
    if (!entry)
        return Error { Errc::NotFound, "find entry", name, "no such entry", Ran::No, {} };
    return ok(json::object { { "name", name }, { "version", entry->version_.value_ }, { "body", entry->text_ } });
}

HttpResponse OperatorApi::listHistory() const
{
    json::array changes;
    for (const CatalogueChange& change : control_.history())
        changes.push_back(json::object { { "entry", change.entry_.value_ }, { "version", change.version_.value_ }, { "edit", change.edit_.value_ }, { "removed", change.isRemoval_ } });
    return ok(changes);
}

HttpResponse OperatorApi::listNodes() const
{
    auto view = context_.membership();
    json::array nodes;
    for (const auto& [dataCentre, ids] : view->index_->entryVms_) {
        for (const VmId& id : ids) {
            const Vm* vm = view->find(id);
            json::object item { { "node", id.value_ }, { "data_centre", dataCentre.value_ }, { "leaving", view->isLeaving(id) } };
            item["operator"] = vm->host_ + ":" + std::to_string(vm->operatorPort_);
            bool isLive = std::binary_search(view->localNodes_.begin(), view->localNodes_.end(), id);
            bool isLocal = dataCentre == view->dataCentre_;
            item["state"] = isLocal ? (isLive ? "live" : "out") : "remote";
            if (auto digest = view->digests_.find(id); digest != view->digests_.end())
                item["catalogue_offset"] = digest->second.catalogueOffset_.value_;
            nodes.push_back(std::move(item));
        }
    }
    return ok(json::object { { "self", context_.self().value_ }, { "relay", control_.isRelay() }, { "catalogue_offset", context_.catalogue()->nextOffset_.value_ }, { "nodes", std::move(nodes) } });
}

HttpResponse OperatorApi::listEngines() const
{
    json::array engines;
    auto view = context_.membership();
    for (const auto& load : dispatcher_.engineLoads()) {
        const Vm* vm = view->find(load.engine_);
        auto status = orders_.statusOf(load.engine_).value_or(EngineOrders::Status {});
        engines.push_back(json::object {
            { "engine", load.engine_.value_ },
            { "data_centre", vm ? vm->dataCentre_.value_ : std::string() },
            { "active", load.active_ },
            { "free_slots", load.load_.freeSlots_ },
            { "queued", load.load_.queued_ },
            { "wait_ms", load.load_.wait_.count() },
            { "version", status.version_ },
            { "wanted", status.wantedVersion_ },
            { "order", status.wantedVersion_.empty() ? "" : toString(status.step_) },
        });
    }
    return ok(json::object { { "home", context_.self().value_ }, { "engines", std::move(engines) } });
}

HttpResponse OperatorApi::listRequests() const
{
    json::array requests;
    for (const GenerationPtr& generation : owner_.all()) {
        requests.push_back(json::object {
            { "request", generation->id() },
            { "entry", generation->entry() },
            { "model", generation->model() },
            { "engine", generation->engine() },
            { "replica", generation->replica() },
            { "tokens", generation->tokenCount() },
            { "over", generation->hasEnded() },
        });
    }
    return ok(json::object { { "owner", context_.self().value_ }, { "requests", std::move(requests) } });
}

HttpResponse OperatorApi::listLimits() const
{
    json::array entries;
    for (const auto& use : limits_.uses()) {
        entries.push_back(json::object {
            { "entry", use.entry_.value_ },
            { "in_progress", use.inProgress_ },
            { "held", use.held_ },
            { "share_of_data_centre", use.share_ },
            { "keeper", use.coordinator_.value_ },
        });
    }
    return ok(json::object { { "node", context_.self().value_ }, { "entries", std::move(entries) } });
}

} // namespace pistachioloom
