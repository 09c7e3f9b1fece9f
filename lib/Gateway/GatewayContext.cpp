//===- lib/Gateway/GatewayContext.cpp - what the parts of a gateway share --===//
///
/// \file
/// See GatewayContext.h.
//===----------------------------------------------------------------------===//
#include "GatewayContext.h"

namespace pistachioloom {

static RetrySettings retrySettings(const GatewaySettings& settings)
{
    RetrySettings retries;
    retries.ratio_ = settings.retryRatio_;
    retries.extra_ = settings.retryExtra_;
    retries.window_ = settings.retryWindow_;
    retries.nodes_ = leastNodesAssumed;
    return retries;
}

static QuotaSettings quotaSettings(const GatewaySettings& settings)
{
    QuotaSettings quotas;
    // Uniform over nodes, and the same after a restart.
    quotas.phase_ = static_cast<double>(stableHash(settings.vm_.value_)) * 0x1p-64;
    return quotas;
}

GatewayContext::GatewayContext(GatewaySettings settings, GatewayPlatform platform)
    : settings_(std::move(settings))
    , platform_(std::move(platform))
    , incarnation_(randomBits())
    , backends_(settings_.dataCentre_, settings_.choice_)
    , quotas_(steadyNow(), quotaSettings(settings_))
    , retries_(retrySettings(settings_))
    , usage_(settings_.usageWindow_)
    , forward_ { platform_.headers_, settings_.forward_, {}, backends_, quotas_, retries_, metrics_, {}, {}, {}, {} }
    , table_(nullptr)
{
    forward_.nodes_ = leastNodesAssumed;
    quotas_.setNodes(unknownFleet);
    forward_.workers_ = settings_.threads_;
    forward_.hooks_.table_ = [this] { return table(); };
    forward_.hooks_.copyStream_ = platform_.copyStream_;
    forward_.hooks_.dropCopy_ = platform_.dropCopy_;
    forward_.hooks_.onBegan_ = [this](const OrganisationId& organisation) { usage_.count(organisation, agreedWallMs()); };
}

std::shared_ptr<const RouteTable> GatewayContext::table() const
{
    return table_.read([](const std::shared_ptr<const RouteTable>& table) { return table; });
}

std::int64_t GatewayContext::ownWallMs() const
{
    auto now = std::chrono::system_clock::now().time_since_epoch() + settings_.clockOffset_;
    return std::chrono::duration_cast<milliseconds>(now).count();
}

std::int64_t GatewayContext::agreedWallMs() const
{
    return ownWallMs() + clocks_.correctionMs(steadyNow());
}

bool GatewayContext::publish(RouteConfiguration configuration, const std::string& source)
{
    std::lock_guard lock(publishing_);
    auto current = table();
    if (current && configuration.version_ <= current->version())
        return false;
    LogLine line("Configuration is in force.");
    line.add("configuration", static_cast<std::int64_t>(configuration.version_)).add("before", current ? static_cast<std::int64_t>(current->version()) : 0).add("from", source);
    line.add("routes", static_cast<std::int64_t>(configuration.routes_.size())).add("organisations", static_cast<std::int64_t>(configuration.organisations_.size()));
    logger_.info(line);
    metrics_.add(Counter::CatalogueRecords);
    table_.publish(RouteTable::build(std::move(configuration)));
    return true;
}

} // namespace pistachioloom
