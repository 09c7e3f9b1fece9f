//===- unittests/Routes/RoutesTest.cpp - which request goes where ----------===//
///
/// \file
/// Routes by host and prefix, credentials, and splits.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Routes.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

static Route routeOf(std::string name, std::string host, std::string prefix)
{
    Route route;
    route.name_ = std::move(name);
    route.host_ = std::move(host);
    route.pathPrefix_ = std::move(prefix);
    route.split_ = { { { "a" }, 1 } };
    return route;
}

static std::shared_ptr<const RouteTable> tableOf(std::vector<Route> routes)
{
    RouteConfiguration configuration;
    configuration.version_ = 7;
    configuration.routes_ = std::move(routes);
    configuration.organisations_ = { { { "north" }, { "key-1", "key-2" }, 3U, true, 200, 10, 10 } };
    return RouteTable::build(std::move(configuration));
}

TEST_CASE("a request takes the longest prefix of its host", "[routes]")
{
    auto table = tableOf({ routeOf("short", "one.example", "/a/"), routeOf("long", "one.example", "/a/b/"), routeOf("other", "two.example", "/a/b/c/") });
    struct Row {
        const char* host_;
        const char* path_;
        const char* route_;
    };
    auto row = GENERATE(values<Row>({
        { "one.example", "/a/x", "short" },
        { "one.example", "/a/b/x", "long" },
        { "ONE.example:8080", "/a/b/c/x", "long" },
        { "two.example", "/a/b/c/x", "other" },
        { "two.example", "/a/b/x", nullptr },
        { "one.example", "/a", nullptr },
        { "one.example", "/ab/x", nullptr },
        { "three.example", "/a/x", nullptr },
    }));
    const Route* route = table->findRoute(row.host_, row.path_);
    CAPTURE(row.host_, row.path_);
    REQUIRE((route != nullptr) == (row.route_ != nullptr));
    if (route)
        CHECK(route->name_ == row.route_);
}

TEST_CASE("a credential names its organisation, and no other text does", "[routes]")
{
    auto table = tableOf({});
    REQUIRE(table->findOrganisation(std::string("key-2")));
    CHECK(table->findOrganisation(std::string("key-2"))->name_.value_ == "north");
    CHECK_FALSE(table->findOrganisation(std::string("key-")));
    CHECK_FALSE(table->findOrganisation(std::string()));
}

TEST_CASE("a split follows its weights", "[routes]")
{
    Route route = routeOf("split", "h", "/");
    route.split_ = { { { "a" }, 90 }, { { "b" }, 10 } };
    int toB = 0;
    constexpr int draws = 10000;
    for (int i = 0; i < draws; ++i)
        toB += pickService(route, stableHash(std::to_string(i))) == ServiceName { "b" };
    CHECK(toB > draws / 10 - 150);
    CHECK(toB < draws / 10 + 150);
    CHECK(pickService(route, 0).value_ == "a");
    CHECK(pickService(route, ~0ULL).value_ == "b");
}

TEST_CASE("only idempotent work may be repeated", "[routes]")
{
    Route route;
    CHECK_FALSE(route.mayRepeat());
    route.isIdempotent_ = true;
    CHECK(route.mayRepeat());
    route.isStream_ = true;
    CHECK_FALSE(route.mayRepeat());
    route.isResumable_ = true;
    CHECK(route.mayRepeat());
}

TEST_CASE("what a route admits follows from its objective and more urgent ones", "[routes]")
{
    Route urgent = routeOf("urgent", "h", "/u/");
    urgent.objective_ = milliseconds(400);
    Route plan = routeOf("plan", "h", "/p/");
    plan.objective_ = milliseconds(1000);
    plan.priority_ = 1;
    Route elsewhere = plan;
    elsewhere.name_ = "elsewhere";
    elsewhere.split_ = { { { "b" }, 1 } };
    auto table = tableOf({ urgent, plan, elsewhere });
    const auto& routes = table->configuration().routes_;
    CHECK(routes[0].admittedWait_ == milliseconds(400));
    CHECK(routes[1].admittedWait_ == milliseconds(800));
    CHECK(routes[2].admittedWait_ == milliseconds(1000));
}
