//===- lib/Gateway/GatewayContext.cpp - shared state of a gateway ---------===//
///
/// \file
/// See GatewayContext.h.
//===----------------------------------------------------------------------===//
#include "GatewayContext.h"

#include <limits>
#include <sys/resource.h>

namespace pistachioloom {

// Upper bound on a configuration's size: four times the largest record that the
// platform stores.
static constexpr ByteCount maxConfigurationSize { 16UL * 1024 * 1024 };

// Descriptors for connections to peers and the platform, and for files.
static constexpr std::size_t otherDescriptors = 256;
static constexpr std::size_t minCallerConnections = 64;

static milliseconds elapsedSince(SteadyTime startedAt)
{
    return std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt);
}

static RetrySettings retrySettings(const GatewaySettings& settings)
{
    RetrySettings retries;
    retries.ratio_ = settings.retryRatio_;
    retries.extraRetries_ = settings.retryExtra_;
    retries.window_ = settings.retryWindow_;
    retries.nodes_ = minNodesAssumed;
    return retries;
}

static QuotaSettings quotaSettings(const GatewaySettings& settings)
{
    QuotaSettings quotas;
    // The phases of the nodes are uniformly distributed, and a restart does not change them.
    quotas.phase_ = static_cast<double>(stableHash(settings.vm_.value_)) * 0x1p-64;
    return quotas;
}

/// Returns the number of callers' connections that leaves as many descriptors for connections to
/// backend servers.
static std::size_t maxCallerConnections()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur == RLIM_INFINITY)
        return std::numeric_limits<std::size_t>::max();
    return std::max(minCallerConnections, (limit.rlim_cur - std::min<rlim_t>(limit.rlim_cur, otherDescriptors)) / 2);
}

static void logCondemned(const Condemnation& condemnation)
{
    static const Logger logger("quarantine");
    const Suspect& suspect = condemnation.suspect_;
    SteadyTime now = steadyNow();
    std::string crashes;
    for (const Crash& crash : suspect.crashes_) {
        if (!crash.isCleared_)
            crashes += (crashes.empty() ? "" : " ") + std::to_string(crash.backend_.value_) + ":" + std::to_string(std::chrono::duration_cast<milliseconds>(now - crash.at_).count());
    }
    LogLine line("Attribute of requests is condemned.");
    line.add("kind", toString(suspect.attribute_.kind_)).add("request", toString(suspect.attribute_.key_)).add("crashes", static_cast<std::int64_t>(suspect.activeCrashes()));
    line.add("sound", static_cast<std::int64_t>(suspect.soundAnswers())).add("evidence", std::to_string(condemnation.evidence_)).add("backends_and_ages_ms", crashes);
    logger.info(line);
}

GatewayContext::GatewayContext(GatewaySettings settings, GatewayPlatform platform)
    : settings_(std::move(settings))
    , platform_(std::move(platform))
    , incarnation_(randomBits())
    , backends_(settings_.dataCentre_, settings_.choice_)
    , quotas_(steadyNow(), quotaSettings(settings_))
    , retries_(retrySettings(settings_))
    , quarantine_(settings_.quarantine_, { static_cast<std::uint32_t>(stableHash(settings_.vm_.value_, incarnation_)) })
    , crashes_(quarantine_)
    , rollouts_(settings_.rollout_)
    , usage_(settings_.usageWindow_)
    , forward_ { platform_.headers_, settings_.forward_, {}, settings_.peerCredential_, backends_, paths_, quotas_, retries_, quarantine_, crashes_, rollouts_, metrics_, {}, {}, {}, {} }
    , table_(nullptr)
{
    forward_.nodes_ = minNodesAssumed;
    quotas_.setNodes(nodesAssumedAtStart);
    forward_.workers_ = settings_.threads_;
    forward_.settings_.maxCallerConnections_ = maxCallerConnections();
    quarantine_.setCondemnedHook([](const Condemnation& condemnation) { logCondemned(condemnation); });
    forward_.hooks_.table_ = [this] { return table(); };
    forward_.hooks_.copyStream_ = platform_.copyStream_;
    forward_.hooks_.dropCopy_ = platform_.dropCopy_;
    forward_.hooks_.onStarted_ = [this](const OrganisationId& organisation) { usage_.count(organisation, agreedWallMs()); };
}

std::shared_ptr<const RouteTable> GatewayContext::table() const
{
    return table_.read([](const std::shared_ptr<const RouteTable>& table) { return table; });
}

std::int64_t GatewayContext::localWallMs() const
{
    auto now = std::chrono::system_clock::now().time_since_epoch() + settings_.clockOffset_;
    return std::chrono::duration_cast<milliseconds>(now).count();
}

std::int64_t GatewayContext::agreedWallMs() const
{
    return localWallMs() + clocks_.correctionMs(steadyNow());
}

std::optional<GatewayContext::DecodedConfiguration> GatewayContext::decode(const std::string& source, const std::string& from) const
{
    SteadyTime startedAt = steadyNow();
    auto decoded = platform_.decodeConfiguration_(source);
    if (decoded)
        return DecodedConfiguration { std::move(decoded.value()), from, { source.size() }, elapsedSince(startedAt) };
    logger_.error("Configuration from " + from + " is invalid, the previous one stays in force: " + describe(decoded.error()));
    return std::nullopt;
}

bool GatewayContext::isNewer(const RouteConfiguration& configuration) const
{
    auto current = table();
    return !current || configuration.version_ > current->version();
}

void GatewayContext::applyConfiguration(const std::vector<std::string>& sources, const std::string& from)
{
    for (auto source = sources.rbegin(); source != sources.rend(); ++source) {
        auto decoded = decode(*source, from);
        if (!decoded)
            continue;
        // The source is compressed only if it will be published: a node that reads the
        // newest state again receives the version that it already has.
        if (isNewer(decoded->configuration_))
            decoded->configuration_.compressedSource_ = compress(*source);
        return publish(std::move(*decoded));
    }
}

void GatewayContext::applyCompressed(std::string bytes, const std::string& from)
{
    auto source = decompress(bytes, maxConfigurationSize);
    if (!source) {
        logger_.warn("Configuration from peer " + from + " cannot be decompressed: " + describe(source.error()));
        return;
    }
    auto decoded = decode(source.value(), from);
    if (!decoded)
        return;
    // The received bytes are kept for other peers: compressing the source again would take
    // half as long as decoding it.
    decoded->configuration_.compressedSource_ = std::move(bytes);
    publish(std::move(*decoded));
}

void GatewayContext::publish(DecodedConfiguration decoded)
{
    std::lock_guard lock(publishMutex_);
    auto current = table();
    if (!isNewer(decoded.configuration_))
        return;
    SteadyTime startedAt = steadyNow();
    auto next = RouteTable::build(std::move(decoded.configuration_));
    LogLine line("Configuration is in force.");
    line.add("configuration", static_cast<std::int64_t>(next->version())).add("before", current ? static_cast<std::int64_t>(current->version()) : 0).add("from", decoded.from_);
    line.add("routes", static_cast<std::int64_t>(next->configuration().routes_.size())).add("organisations", static_cast<std::int64_t>(next->configuration().organisations_.size()));
    line.add("bytes", static_cast<std::int64_t>(decoded.size_.value_)).add("decoding_ms", decoded.decodingTime_.count()).add("building_ms", elapsedSince(startedAt).count());
    ConfigurationProgress::Summary progress = configurationProgress_.noteInForce(next->version(), steadyNow());
    if (progress.reportedFor_)
        line.add("reported_by", progress.reportedBy_.value_).add("reported_for_ms", progress.reportedFor_->count());
    if (progress.attempts_)
        line.add("attempts", static_cast<std::int64_t>(progress.attempts_)).add("attempts_made", progress.attemptsText_);
    metrics_.add(Counter::CatalogueRecords);
    table_.publish(std::move(next));
    logger_.info(line);
}

} // namespace pistachioloom
