//===- unittests/Routes/RoutesTest.cpp - route lookup and indices ----------===//
///
/// \file
/// Tests the lookup of routes and credentials, splits, and the bounds on queueing delays.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Routes.h"

#include <catch2/catch.hpp>
#include <ctime>
#include <random>

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

TEST_CASE("a request matches the longest prefix of its host", "[routes]")
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

TEST_CASE("only a complete credential identifies its organisation", "[routes]")
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

TEST_CASE("only idempotent requests and resumable streams may be repeated", "[routes]")
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

TEST_CASE("the maximum queueing delay follows from the objective and more urgent routes", "[routes]")
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
    CHECK(routes[0].maxQueueWait_ == milliseconds(400));
    CHECK(routes[1].maxQueueWait_ == milliseconds(800));
    CHECK(routes[2].maxQueueWait_ == milliseconds(1000));
}

namespace {

/// Computes Route::maxQueueWait_ by its definition: the minimum of the route's objective
/// and twice the objective of each more urgent route to one of its services.
milliseconds maxQueueWaitByDefinition(const Route& route, const std::vector<Route>& routes)
{
    milliseconds minimum = route.objective_;
    for (const Route& other : routes) {
        bool shares = false;
        for (const SplitShare& share : route.split_) {
            for (const SplitShare& otherShare : other.split_)
                shares = shares || share.service_ == otherShare.service_;
        }
        if (shares && other.priority_ < route.priority_)
            minimum = std::min(minimum, 2 * other.objective_);
    }
    return minimum;
}

/// Parameters of random routes. Small numbers produce ties and shared services.
struct RouteMix {
    unsigned routes_;
    unsigned services_;
    unsigned priorities_;
    unsigned maxShares_;
};

std::vector<Route> randomRoutes(const RouteMix& mix, unsigned seed)
{
    std::mt19937 random(seed);
    std::vector<Route> routes;
    for (unsigned i = 0; i < mix.routes_; ++i) {
        Route route = routeOf("r" + std::to_string(i), "h" + std::to_string(i % 16), "/" + std::to_string(i) + "/");
        route.objective_ = milliseconds(random() % 2000);
        route.priority_ = random() % mix.priorities_;
        route.split_.clear();
        unsigned shares = random() % (mix.maxShares_ + 1);
        for (unsigned share = 0; share < shares; ++share)
            route.split_.push_back({ { "s" + std::to_string(random() % mix.services_) }, 1 });
        routes.push_back(std::move(route));
    }
    return routes;
}

/// Returns the minimum processor time of several builds in seconds, which excludes delays
/// by other load on the machine.
double minBuildTime(unsigned routes)
{
    constexpr int builds = 9;
    RouteConfiguration configuration;
    configuration.routes_ = randomRoutes({ routes, 4, 4, 2 }, 1);
    double minimum = 0;
    for (int i = 0; i < builds; ++i) {
        RouteConfiguration copy = configuration;
        timespec startedAt {};
        timespec endedAt {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &startedAt);
        auto table = RouteTable::build(std::move(copy));
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &endedAt);
        double elapsed = static_cast<double>(endedAt.tv_sec - startedAt.tv_sec) + static_cast<double>(endedAt.tv_nsec - startedAt.tv_nsec) * 1e-9;
        minimum = i ? std::min(minimum, elapsed) : elapsed;
    }
    return minimum;
}

} // namespace

TEST_CASE("maximum queueing delays match their definition", "[routes]")
{
    auto mix = GENERATE(values<RouteMix>({
        { 1, 1, 1, 1 },
        { 40, 1, 1, 1 },
        { 40, 1, 40, 1 },
        { 200, 3, 4, 3 },
        { 200, 30, 3, 2 },
        { 200, 8, 200, 4 },
        { 300, 2, 2, 1 },
    }));
    auto seed = GENERATE(range(1U, 21U));
    CAPTURE(mix.routes_, mix.services_, mix.priorities_, mix.maxShares_, seed);
    auto table = tableOf(randomRoutes(mix, seed));
    const auto& routes = table->configuration().routes_;
    REQUIRE(routes.size() == mix.routes_);
    for (const Route& route : routes) {
        CAPTURE(route.name_);
        REQUIRE(route.maxQueueWait_ == maxQueueWaitByDefinition(route, routes));
    }
}

TEST_CASE("the time to index routes is not quadratic in their number", "[routes]")
{
    // Linear time gives a ratio of 8 and quadratic time 64. Cache misses, when the routes
    // no longer fit into the processor's caches, add a factor of up to 2.
    constexpr double maxRatio = 24;
    double smallTime = minBuildTime(1000);
    double largeTime = minBuildTime(8000);
    CAPTURE(smallTime, largeTime, largeTime / smallTime);
    CHECK(largeTime < smallTime * maxRatio);
}
