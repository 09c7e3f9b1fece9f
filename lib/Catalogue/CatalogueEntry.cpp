//===- lib/Catalogue/CatalogueEntry.cpp - parsing of catalogue entries -----===//
///
/// \file
/// The only parser of entries. The command-line tool uses it to check an edit
/// before sending it, and every node uses it to apply one.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Catalogue.h"

namespace pistachioloom {

namespace {

    constexpr std::uint64_t maxRequests = 1000000;
    constexpr std::uint64_t maxTokensPerSecond = EntryLimits::maxTokensPerSecond;
    constexpr std::uint64_t maxWeight = 1000;
    constexpr std::uint64_t maxPriority = 9;
    constexpr std::uint64_t maxConcurrency = 4096;
    constexpr std::uint64_t maxLoading = 1000;
    constexpr std::size_t maxNameLength = 64;
    constexpr std::size_t hashLength = 64;
    constexpr milliseconds minDeadline { 10 };
    constexpr milliseconds maxDeadline { 24LL * 3600 * 1000 };
    constexpr milliseconds defaultDeadline { 600000 };
    constexpr milliseconds defaultLatencyTarget { 720 };

    bool isName(const std::string& text)
    {
        constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
        return !text.empty() && text.size() <= maxNameLength && text.find_first_not_of(allowed) == std::string::npos;
    }

    EntryLimits parseLimits(YamlMap map)
    {
        EntryLimits limits;
        limits.requestsInProgress_ = map.integer("requests_in_progress", 1, maxRequests);
        limits.tokensPerSecond_ = map.integer("tokens_per_second", 1, maxTokensPerSecond, maxTokensPerSecond);
        limits.burst_ = map.integer("burst", 1, maxTokensPerSecond, limits.tokensPerSecond_);
        limits.queueBound_ = map.integer("queue_bound", 0, maxRequests, 0);
        limits.deadline_ = map.duration("deadline", minDeadline, maxDeadline, defaultDeadline);
        limits.latencyTarget_ = map.duration("latency_target", milliseconds(1), maxDeadline, defaultLatencyTarget);
        map.reportUnknownKeys();
        return limits;
    }

    Workload parseWorkload(YamlMap& map)
    {
        Workload workload;
        workload.owner_ = { map.text("owner") };
        workload.class_ = static_cast<ServiceClass>(map.choice("class", { "paid", "trial" }));
        workload.apiKeyHash_ = map.text("api_key_sha256");
        if (workload.apiKeyHash_.size() != hashLength || workload.apiKeyHash_.find_first_not_of("0123456789abcdef") != std::string::npos)
            map.addError("api_key_sha256", "expected 64 lower-case hexadecimal digits");
        workload.models_ = map.list("models");
        workload.services_ = map.list("services");
        if (workload.models_.empty() && workload.services_.empty())
            map.addError("models", "expected at least one model or service");
        if (auto limits = map.map("limits", true))
            workload.limits_ = parseLimits(std::move(*limits));
        workload.weight_ = map.integer("weight", 1, maxWeight, 1);
        workload.priority_ = map.integer("priority", 0, maxPriority, 0);
        return workload;
    }

    void parseEngine(YamlMap& map, Backend& backend)
    {
        backend.honoursFencing_ = map.flag("honours_fencing", false);
        backend.paidReserve_ = map.integer("paid_reserve", 0, maxConcurrency, 0);
        if (backend.paidReserve_ && backend.paidReserve_ >= backend.concurrency_)
            map.addError("paid_reserve", "expected less than 'concurrency'");
        backend.maxLoading_ = map.integer("most_loading", 1, maxLoading, 1);
        EngineConfiguration configuration { map.text("version", ""), map.list("adapters"), map.text("role", "") };
        if (!configuration.version_.empty())
            backend.configuration_ = std::move(configuration);
        else if (!configuration.adapters_.empty() || !configuration.role_.empty())
            map.addError("version", "expected the version that goes with 'adapters' and 'role'");
    }

    Backend parseBackend(YamlMap& map, Backend::Kind kind)
    {
        Backend backend;
        backend.kind_ = kind;
        backend.concurrency_ = map.integer("concurrency", 1, maxConcurrency);
        if (kind == Backend::Kind::Service)
            backend.isRepeatable_ = map.flag("repeatable");
        else
            parseEngine(map, backend);
        return backend;
    }

} // namespace

std::string_view toString(ServiceClass serviceClass)
{
    return serviceClass == ServiceClass::Paid ? "paid" : "trial";
}

std::optional<CatalogueEntry> parseEntry(const std::string& text, const std::string& file, InputErrors& errors)
{
    std::size_t before = errors.size();
    auto map = YamlMap::parse(text, file, errors);
    if (!map)
        return std::nullopt;
    CatalogueEntry entry;
    entry.text_ = text;
    entry.name_ = { map->text("name") };
    if (!isName(entry.name_.value_))
        map->addError("name", "expected 1 to 64 letters, digits, '-', '_' or '.'");
    std::size_t kind = map->choice("kind", { "workload", "engine", "service" });
    if (!kind)
        entry.workload_ = parseWorkload(*map);
    else
        entry.backend_ = parseBackend(*map, kind == 1 ? Backend::Kind::ModelEngine : Backend::Kind::Service);
    map->reportUnknownKeys();
    if (errors.size() != before)
        return std::nullopt;
    return entry;
}

} // namespace pistachioloom
