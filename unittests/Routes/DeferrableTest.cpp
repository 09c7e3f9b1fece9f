//===- unittests/Routes/DeferrableTest.cpp - deferrable routes -------------===//
///
/// \file
/// Tests which routes leave capacity to more urgent ones.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Routes.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

Route routeOf(unsigned priority, const std::vector<std::string>& services)
{
    Route route;
    route.priority_ = priority;
    for (const std::string& service : services)
        route.split_.push_back({ { service }, 1 });
    return route;
}

} // namespace

// Guards against requests that are deferred although no route of their service is more urgent by
// two priorities, and against urgent routes of another service having an influence.
TEST_CASE("a route is deferrable if its service has a route that is more urgent by two or more", "[routes]")
{
    struct Row {
        const char* name_;
        std::vector<Route> routes_;
        std::vector<bool> isDeferrable_;
    };
    auto row = GENERATE(values<Row>({
        { "no route", {}, {} },
        { "one route of low priority", { routeOf(7, { "a" }) }, { false } },
        { "equal priorities", { routeOf(2, { "a" }), routeOf(2, { "a" }) }, { false, false } },
        { "a difference of 1", { routeOf(0, { "a" }), routeOf(1, { "a" }) }, { false, false } },
        { "a difference of 2", { routeOf(2, { "a" }), routeOf(0, { "a" }) }, { true, false } },
        { "three priorities", { routeOf(1, { "a" }), routeOf(2, { "a" }), routeOf(3, { "a" }) }, { false, false, true } },
        { "other services", { routeOf(0, { "a" }), routeOf(5, { "b" }) }, { false, false } },
        { "one service of a split", { routeOf(0, { "a" }), routeOf(4, { "b", "a" }), routeOf(3, { "b" }) }, { false, true, false } },
        { "no service", { routeOf(0, { "a" }), routeOf(4, {}) }, { false, false } },
    }));
    CAPTURE(row.name_);
    RouteConfiguration configuration;
    configuration.routes_ = row.routes_;
    auto table = RouteTable::build(std::move(configuration));
    std::vector<bool> isDeferrable;
    for (const Route& route : table->configuration().routes_)
        isDeferrable.push_back(route.isDeferrable_);
    CHECK(isDeferrable == row.isDeferrable_);
}
