//===- lib/Gateway/GatewaySettings.cpp - settings of a gateway ------------===//
///
/// \file
/// Parses the settings of a gateway with one function for each section. The range of each
/// key is defined here.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Gateway.h"
#include "pistachioloom/Settings.h"

#include <fstream>
#include <sstream>

namespace pistachioloom {

namespace {

    constexpr milliseconds oneDay { 24LL * 3600 * 1000 };
    constexpr milliseconds oneMinute { 60000 };
    constexpr std::uint64_t maxThreads = 64;
    // The key whose map contains all settings of a gateway except those of its logs.
    constexpr const char* rootKey = "gateway";

    Endpoint endpoint(YamlMap& map, const std::string& key)
    {
        std::string text = map.text(key);
        auto parsed = parseEndpoint(text);
        if (!parsed && !text.empty())
            map.addError(key, "expected IP:PORT, found '" + text + "'");
        return parsed.value_or(Endpoint {});
    }

    void parseListen(YamlMap map, GatewaySettings& settings)
    {
        settings.callers_ = endpoint(map, "callers");
        settings.readiness_ = endpoint(map, "readiness");
        settings.peers_ = endpoint(map, "peers");
        settings.gossip_ = endpoint(map, "gossip");
        settings.metrics_ = endpoint(map, "metrics");
        map.reportUnknownKeys();
    }

    void parseFleet(YamlMap map, FleetSettings& settings)
    {
        settings.margin_ = map.number("margin", 0, 100, settings.margin_);
        settings.growth_ = map.number("growth", 0, 10, settings.growth_);
        settings.targetUtilisation_ = map.number("slots_used", 0.01, 1, settings.targetUtilisation_);
        settings.reclaimableShare_ = map.number("reclaimable_share", 0, 2, settings.reclaimableShare_);
        settings.reserveShare_ = map.number("reserve_share", 0, 1, settings.reserveShare_);
        settings.period_ = map.duration("period", milliseconds(100), oneMinute, settings.period_);
        settings.stabilisationWindow_ = map.duration("hold", milliseconds(0), oneDay, settings.stabilisationWindow_);
        settings.reclaimableStabilisationWindow_ = map.duration("reclaimable_hold", milliseconds(0), oneDay, settings.reclaimableStabilisationWindow_);
        settings.maxShortage_ = map.duration("shortage", milliseconds(0), oneDay, settings.maxShortage_);
        settings.settleTime_ = map.duration("settling", milliseconds(0), oneDay, settings.settleTime_);
        settings.dismissalCooldown_ = map.duration("caution", milliseconds(0), oneDay, settings.dismissalCooldown_);
        settings.repeatInterval_ = map.duration("repeat", milliseconds(100), oneDay, settings.repeatInterval_);
        map.reportUnknownKeys();
    }

    void parseGossip(YamlMap map, GossipSettings& settings)
    {
        settings.period_ = map.duration("period", milliseconds(20), oneMinute, settings.period_);
        settings.fanout_ = map.integer("fanout", 1, 1000, settings.fanout_);
        settings.relays_ = map.integer("relays", 1, 16, settings.relays_);
        settings.unresponsiveAfter_ = map.duration("silence", milliseconds(50), oneMinute, settings.unresponsiveAfter_);
        settings.forgetAfter_ = map.duration("forget", milliseconds(1000), oneDay, settings.forgetAfter_);
        map.reportUnknownKeys();
    }

    void parseChoice(YamlMap map, ChoiceSettings& settings)
    {
        settings.sharesEngineSpeeds_ = map.flag("shared_engine_speeds", settings.sharesEngineSpeeds_);
        map.reportUnknownKeys();
    }

    void parseFeed(YamlMap map, FeedSettings& settings)
    {
        settings.configurationWait_ = map.duration("configuration_wait", milliseconds(50), oneMinute, settings.configurationWait_);
        settings.registryPeriod_ = map.duration("registry_period", milliseconds(20), oneMinute, settings.registryPeriod_);
        settings.registrationGrace_ = map.duration("lapse_grace", milliseconds(0), oneMinute, settings.registrationGrace_);
        settings.readers_ = map.integer("readers", 1, 1000, settings.readers_);
        settings.readerTimeout_ = map.duration("reader_silence", milliseconds(50), oneMinute, settings.readerTimeout_);
        settings.askPeersAfter_ = map.duration("ask_peers_after", milliseconds(100), oneMinute, settings.askPeersAfter_);
        map.reportUnknownKeys();
    }

    void parseForward(YamlMap map, ForwardSettings& settings)
    {
        settings.connectTimeout_ = map.duration("connect_timeout", milliseconds(10), oneMinute, settings.connectTimeout_);
        settings.streamStallTimeout_ = map.duration("stream_silence", milliseconds(50), oneDay, settings.streamStallTimeout_);
        settings.admission_.queueWaitFactor_ = map.number("admitted_share", 0.01, 100, settings.admission_.queueWaitFactor_);
        settings.waitLimitShare_ = map.number("patience_share", 0.01, 1, settings.waitLimitShare_);
        settings.defaultIdleTimeout_ = map.duration("default_idle", milliseconds(0), oneDay, settings.defaultIdleTimeout_);
        settings.accept_.targetDelay_ = map.duration("accept_delay", milliseconds(1), oneMinute, settings.accept_.targetDelay_);
        settings.accept_.interval_ = map.duration("accept_interval", milliseconds(1), oneMinute, settings.accept_.interval_);
        map.reportUnknownKeys();
    }

    void parseRetries(YamlMap map, GatewaySettings& settings)
    {
        settings.retryRatio_ = map.number("ratio", 0, 10, settings.retryRatio_);
        settings.retryExtra_ = map.number("extra", 0, 1000000, settings.retryExtra_);
        settings.retryWindow_ = map.duration("window", milliseconds(100), oneDay, settings.retryWindow_);
        map.reportUnknownKeys();
    }

    void parseQuarantine(YamlMap map, QuarantineSettings& settings)
    {
        settings.crashesToQuarantine_ = map.integer("crashes", 1, 12, settings.crashesToQuarantine_);
        settings.evidenceToQuarantine_ = map.number("evidence", 1, 100, settings.evidenceToQuarantine_);
        settings.initialDuration_ = map.duration("first", milliseconds(1000), oneDay, settings.initialDuration_);
        settings.maxDuration_ = map.duration("longest", milliseconds(1000), 30 * oneDay, settings.maxDuration_);
        settings.retention_ = map.duration("memory", milliseconds(1000), oneDay, settings.retention_);
        settings.capacity_ = map.integer("capacity", 1, 1'000'000, settings.capacity_);
        settings.organisationCapacity_ = map.integer("organisation_capacity", 1, 1'000'000, settings.organisationCapacity_);
        map.reportUnknownKeys();
    }

    void parseRollout(YamlMap map, RolloutSettings& settings)
    {
        settings.trialShare_ = map.number("trial_share", 0, 1, settings.trialShare_);
        settings.exposedShare_ = map.number("exposed_share", 0, 1, settings.exposedShare_);
        settings.exposedExtra_ = map.number("exposed_extra", 0, 1'000'000, settings.exposedExtra_);
        settings.trialFraction_ = map.number("trial_part", 0, 1, settings.trialFraction_);
        settings.decisionFraction_ = map.number("verdict_part", 0, 1, settings.decisionFraction_);
        settings.shiftStepFraction_ = map.number("shift_step", 0, 1, settings.shiftStepFraction_);
        settings.validity_ = map.duration("validity", milliseconds(200), oneMinute, settings.validity_);
        settings.toleratedBad_ = map.integer("tolerated_bad", 1, 1'000'000, settings.toleratedBad_);
        settings.rollbackTime_ = map.duration("rollback_time", milliseconds(500), oneMinute, settings.rollbackTime_);
        settings.minAnswers_ = map.integer("least_answers", 1, 1'000'000, settings.minAnswers_);
        // A version on trial may be bad, so the share of a trial must not exceed the
        // share of the requests to which a bad version may be exposed.
        settings.trialShare_ = std::min(settings.trialShare_, settings.exposedShare_);
        if (settings.trialFraction_ >= settings.decisionFraction_)
            map.addError("trial_part", "expected less than verdict_part");
        map.reportUnknownKeys();
    }

    void parseDuties(YamlMap map, GatewaySettings& settings)
    {
        settings.duties_ = endpoint(map, "address");
        settings.dutyLease_ = map.duration("lease", milliseconds(300), oneDay, settings.dutyLease_);
        settings.usageWindow_ = map.duration("usage_window", milliseconds(100), oneDay, settings.usageWindow_);
        settings.usageTiming_.maxDelay_ = map.duration("usage_delay", milliseconds(0), oneDay, settings.usageTiming_.maxDelay_);
        settings.usageTiming_.minDelay_ = map.duration("usage_settled", milliseconds(0), oneDay, settings.usageTiming_.minDelay_);
        map.reportUnknownKeys();
    }

    void parseStopping(YamlMap map, GatewaySettings& settings)
    {
        settings.grace_ = map.duration("grace", milliseconds(1000), oneDay, settings.grace_);
        settings.balancerGrace_ = map.duration("balancer_grace", milliseconds(0), oneDay, settings.balancerGrace_);
        map.reportUnknownKeys();
    }

    void parseSeeds(YamlMap& map, GatewaySettings& settings)
    {
        for (const std::string& text : map.list("seeds")) {
            auto parsed = parseEndpoint(text);
            if (parsed)
                settings.seeds_.push_back(*parsed);
            else
                map.addError("seeds", "expected IP:PORT, found '" + text + "'");
        }
    }

    void parseGateway(YamlMap map, GatewaySettings& settings)
    {
        settings.vm_ = { map.text("vm") };
        settings.dataCentre_ = { map.text("data_centre") };
        settings.cores_ = map.number("cores", 0.001, 1000, settings.cores_);
        settings.threads_ = map.integer("threads", 1, maxThreads, settings.threads_);
        settings.clockOffset_ = map.duration("clock_offset", milliseconds(0), oneDay, settings.clockOffset_);
        settings.peerCredential_ = map.text("peer_credential");
        settings.store_ = endpoint(map, "store");
        parseSeeds(map, settings);
        if (auto section = map.map("listen", true))
            parseListen(std::move(*section), settings);
        if (auto section = map.map("duties", true))
            parseDuties(std::move(*section), settings);
        if (auto section = map.map("stopping"))
            parseStopping(std::move(*section), settings);
        if (auto section = map.map("retries"))
            parseRetries(std::move(*section), settings);
        if (auto section = map.map("rollout"))
            parseRollout(std::move(*section), settings.rollout_);
        if (auto section = map.map("quarantine"))
            parseQuarantine(std::move(*section), settings.quarantine_);
        if (auto section = map.map("gossip"))
            parseGossip(std::move(*section), settings.gossipSettings_);
        if (auto section = map.map("feed"))
            parseFeed(std::move(*section), settings.feed_);
        if (auto section = map.map("fleet"))
            parseFleet(std::move(*section), settings.fleet_);
        if (auto section = map.map("choice"))
            parseChoice(std::move(*section), settings.choice_);
        if (auto section = map.map("forward"))
            parseForward(std::move(*section), settings.forward_);
        map.reportUnknownKeys();
    }

    std::optional<std::string> readFile(const std::string& file)
    {
        std::ifstream input(file);
        if (!input)
            return std::nullopt;
        std::ostringstream text;
        text << input.rdbuf();
        return text.str();
    }

} // namespace

bool isGatewayFile(const std::string& file)
{
    auto text = readFile(file);
    InputErrors ignored;
    auto root = text ? YamlMap::parse(*text, file, ignored) : std::nullopt;
    return root && root->has(rootKey);
}

std::optional<GatewaySettings> parseGatewaySettings(const std::string& text, const std::string& file, InputErrors& errors)
{
    std::size_t before = errors.size();
    auto root = YamlMap::parse(text, file, errors);
    if (!root)
        return std::nullopt;
    GatewaySettings settings;
    if (auto map = root->map(rootKey, true))
        parseGateway(std::move(*map), settings);
    if (auto map = root->map("logs"))
        parseLogSettings(std::move(*map), settings.logs_);
    root->reportUnknownKeys();
    if (errors.size() != before)
        return std::nullopt;
    return settings;
}

std::optional<GatewaySettings> loadGatewaySettings(const std::string& file, InputErrors& errors)
{
    auto text = readFile(file);
    if (text)
        return parseGatewaySettings(*text, file, errors);
    errors.push_back({ file, 0, "(file)", "cannot be read" });
    return std::nullopt;
}

} // namespace pistachioloom
