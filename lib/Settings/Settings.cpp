//===- lib/Settings/Settings.cpp - parsing of a daemon's settings ---------===//
///
/// \file
/// Parses each section in a function of its own, which states the range of every key.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Settings.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <fstream>
#include <sstream>

namespace pistachioloom {

namespace {

    constexpr milliseconds oneDay { 24LL * 3600 * 1000 };
    constexpr std::uint64_t maxThreads = 256;
    constexpr std::uint64_t maxShards = 1024;
    constexpr std::size_t minCredentialLength = 16;

    Endpoint endpoint(YamlMap& map, const std::string& key)
    {
        std::string text = map.text(key);
        auto parsed = parseEndpoint(text);
        if (!parsed && !text.empty())
            map.addError(key, "expected IP:PORT, found '" + text + "'");
        return parsed.value_or(Endpoint {});
    }

    std::string credential(YamlMap& map, const std::string& key)
    {
        std::string text = map.text(key);
        if (!text.empty() && text.size() < minCredentialLength)
            map.addError(key, "expected at least 16 characters");
        return text;
    }

    void parseNode(YamlMap map, Settings& settings)
    {
        settings.vm_ = { map.text("vm") };
        settings.dataCentre_ = { map.text("data_centre") };
        settings.region_ = { map.text("region", "") };
        settings.threads_ = map.integer("threads", 1, maxThreads, settings.threads_);
        map.reportUnknownKeys();
    }

    void parseListen(YamlMap map, Settings& settings)
    {
        settings.callers_ = endpoint(map, "callers");
        settings.peers_ = endpoint(map, "peers");
        settings.operators_ = endpoint(map, "operators");
        map.reportUnknownKeys();
    }

    void parsePlatform(YamlMap map, Settings& settings)
    {
        settings.log_ = endpoint(map, "log");
        settings.vmList_ = endpoint(map, "vm_list");
        map.reportUnknownKeys();
    }

    void parseCredentials(YamlMap map, Settings& settings)
    {
        settings.peerCredential_ = credential(map, "peers");
        settings.operatorCredential_ = credential(map, "operators");
        map.reportUnknownKeys();
    }

    void parseMembership(YamlMap map, MembershipSettings& settings)
    {
        settings.heartbeat_ = map.duration("heartbeat", milliseconds(20), milliseconds(60000), settings.heartbeat_);
        settings.suspectAfter_ = map.duration("suspect_after", milliseconds(100), milliseconds(600000), settings.suspectAfter_);
        settings.fanout_ = map.integer("fanout", 1, 16, settings.fanout_);
        settings.relayFanout_ = map.integer("relay_fanout", 1, 64, settings.relayFanout_);
        settings.vmListPollInterval_ = map.duration("vm_list_poll", milliseconds(50), milliseconds(60000), settings.vmListPollInterval_);
        settings.defaultNotice_ = map.duration("default_notice", milliseconds(100), oneDay, settings.defaultNotice_);
        if (settings.suspectAfter_ < 2 * settings.heartbeat_)
            map.addError("suspect_after", "expected at least twice the heartbeat");
        map.reportUnknownKeys();
    }

    void parseLedger(YamlMap map, LedgerSettings& settings)
    {
        settings.shards_ = map.integer("shards", 1, maxShards, settings.shards_);
        settings.maxDispatchDelay_ = map.duration("dispatch_guard", milliseconds(100), milliseconds(60000), settings.maxDispatchDelay_);
        settings.appendsPerSecond_ = map.integer("appends_per_second", 1, 100000, settings.appendsPerSecond_);
        settings.appendTimeout_ = map.duration("append_timeout", milliseconds(10), milliseconds(60000), settings.appendTimeout_);
        settings.appendWaitLimit_ = map.duration("append_patience", milliseconds(10), milliseconds(60000), settings.appendWaitLimit_);
        map.reportUnknownKeys();
    }

    void parseCatalogue(YamlMap map, CatalogueSettings& settings)
    {
        settings.snapshotInterval_ = map.duration("snapshot_interval", milliseconds(100), oneDay, settings.snapshotInterval_);
        settings.editWaitLimit_ = map.duration("edit_patience", milliseconds(100), milliseconds(60000), settings.editWaitLimit_);
        map.reportUnknownKeys();
    }

    void parseCallers(YamlMap map, CallerSettings& settings)
    {
        settings.bounds_.header_ = map.size("header", { 1024 }, { 1024UL * 1024 }, settings.bounds_.header_);
        settings.bounds_.body_ = map.size("body", { 1024 }, { 64UL * 1024 * 1024 }, settings.bounds_.body_);
        settings.bounds_.idleTimeout_ = map.duration("idle", milliseconds(100), milliseconds(3600000), settings.bounds_.idleTimeout_);
        settings.reconnectGrace_ = map.duration("reconnect_grace", milliseconds(0), oneDay, settings.reconnectGrace_);
        settings.answerRetention_ = map.duration("answers_kept", milliseconds(100), oneDay, settings.answerRetention_);
        settings.maxTokens_ = map.integer("most_tokens", 1, 1000000, settings.maxTokens_);
        map.reportUnknownKeys();
    }

    void parseDrain(YamlMap map, DrainSettings& settings)
    {
        settings.balancerGrace_ = map.duration("balancer_grace", milliseconds(0), milliseconds(600000), settings.balancerGrace_);
        settings.timeout_ = map.duration("timeout", milliseconds(100), oneDay, settings.timeout_);
        settings.handoverMargin_ = map.duration("handover_margin", milliseconds(50), milliseconds(600000), settings.handoverMargin_);
        map.reportUnknownKeys();
    }

    void parseReplica(YamlMap map, ReplicaSettings& settings)
    {
        settings.copyTimeout_ = map.duration("copy_timeout", milliseconds(10), milliseconds(60000), settings.copyTimeout_);
        settings.takeoverGrace_ = map.duration("takeover_grace", milliseconds(10), milliseconds(600000), settings.takeoverGrace_);
        settings.ownerUpdateTimeout_ = map.duration("owner_silence", milliseconds(10), milliseconds(600000), settings.ownerUpdateTimeout_);
        map.reportUnknownKeys();
    }

    void parseLimits(YamlMap map, LimitSettings& settings)
    {
        settings.grantValidity_ = map.duration("grant_validity", milliseconds(100), milliseconds(600000), settings.grantValidity_);
        settings.grantReserve_ = map.integer("grant_ahead", 0, 10000, settings.grantReserve_);
        map.reportUnknownKeys();
    }

    void parseOrders(YamlMap map, OrderSettings& settings)
    {
        OrderTiming& timing = settings.timing_;
        settings.period_ = map.duration("period", milliseconds(20), milliseconds(60000), settings.period_);
        timing.claimValidity_ = map.duration("claim_validity", milliseconds(100), milliseconds(600000), timing.claimValidity_);
        timing.maxPause_ = map.duration("pause_bound", milliseconds(100), milliseconds(3600000), timing.maxPause_);
        timing.loadWaitLimit_ = map.duration("load_patience", milliseconds(100), oneDay, timing.loadWaitLimit_);
        map.reportUnknownKeys();
    }

    void parsePeers(YamlMap map, PeerSettings& settings)
    {
        settings.keepAlive_ = map.duration("keep_alive", milliseconds(20), milliseconds(60000), settings.keepAlive_);
        settings.closeIdleAfter_ = map.duration("dead_after", milliseconds(40), milliseconds(600000), settings.closeIdleAfter_);
        if (settings.closeIdleAfter_ < 2 * settings.keepAlive_)
            map.addError("dead_after", "expected at least twice keep_alive");
        map.reportUnknownKeys();
    }

} // namespace

void parseLogSettings(YamlMap map, LogSettings& settings)
{
    const std::vector<std::string> levels { "debug", "info", "warn", "error" };
    settings.level_ = static_cast<LogLevel>(map.choice("level", levels, static_cast<std::size_t>(settings.level_)));
    settings.isJson_ = map.flag("json", settings.isJson_);
    const std::vector<std::string> outputs { "stdout", "stderr" };
    settings.output_ = static_cast<LogOutput>(map.choice("output", outputs, static_cast<std::size_t>(settings.output_)));
    settings.linesPerSecond_ = map.integer("lines_per_second", 1, 1000000, settings.linesPerSecond_);
    for (const auto& [part, level] : map.pairs("parts")) {
        auto found = std::find(levels.begin(), levels.end(), level);
        if (found == levels.end())
            map.addError("parts", "expected one of debug info warn error for part '" + part + "'");
        else
            settings.levelByPart_[part] = static_cast<LogLevel>(found - levels.begin());
    }
    map.reportUnknownKeys();
}

std::optional<Endpoint> parseEndpoint(const std::string& text)
{
    std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    Endpoint endpoint { text.substr(0, colon), 0 };
    boost::system::error_code code;
    boost::asio::ip::make_address(endpoint.host_, code);
    const char* begin = text.data() + colon + 1;
    const char* end = text.data() + text.size();
    auto [rest, error] = std::from_chars(begin, end, endpoint.port_);
    if (code || error != std::errc {} || rest != end)
        return std::nullopt;
    return endpoint;
}

std::optional<Settings> parseSettings(const std::string& text, const std::string& file, InputErrors& errors)
{
    std::size_t initialErrorCount = errors.size();
    auto root = YamlMap::parse(text, file, errors);
    if (!root)
        return std::nullopt;
    Settings settings;
    if (auto map = root->map("node", true))
        parseNode(std::move(*map), settings);
    if (auto map = root->map("listen", true))
        parseListen(std::move(*map), settings);
    if (auto map = root->map("platform", true))
        parsePlatform(std::move(*map), settings);
    if (auto map = root->map("credentials", true))
        parseCredentials(std::move(*map), settings);
    if (auto map = root->map("membership"))
        parseMembership(std::move(*map), settings.membership_);
    if (auto map = root->map("ledger"))
        parseLedger(std::move(*map), settings.ledger_);
    if (auto map = root->map("catalogue"))
        parseCatalogue(std::move(*map), settings.catalogue_);
    if (auto map = root->map("callers"))
        parseCallers(std::move(*map), settings.caller_);
    if (auto map = root->map("drain"))
        parseDrain(std::move(*map), settings.drain_);
    if (auto map = root->map("replica"))
        parseReplica(std::move(*map), settings.replica_);
    if (auto map = root->map("limits"))
        parseLimits(std::move(*map), settings.limits_);
    if (auto map = root->map("orders"))
        parseOrders(std::move(*map), settings.orders_);
    if (auto map = root->map("peers"))
        parsePeers(std::move(*map), settings.peerLinks_);
    if (auto map = root->map("logs"))
        parseLogSettings(std::move(*map), settings.logs_);
    settings.maxSpans_ = root->integer("spans_kept", 1, 1000000, settings.maxSpans_);
    root->reportUnknownKeys();
    if (errors.size() != initialErrorCount)
        return std::nullopt;
    return settings;
}

std::optional<Settings> loadSettings(const std::string& file, InputErrors& errors)
{
    std::ifstream input(file);
    if (!input) {
        errors.push_back({ file, 0, "(file)", "cannot be read" });
        return std::nullopt;
    }
    std::ostringstream text;
    text << input.rdbuf();
    return parseSettings(text.str(), file, errors);
}

} // namespace pistachioloom
