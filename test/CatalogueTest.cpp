//===- test/CatalogueTest.cpp - accepted changes take effect and persist --===//
///
/// \file
/// Runs nodes as processes. Accepted changes survive concurrent operators, lost
/// answers, log trims, outages and partitions.
//===----------------------------------------------------------------------===//
#include "Harness/Deployment.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <future>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

constexpr milliseconds inForceTimeout { 7000 };

DeploymentOptions catalogueOptions()
{
    DeploymentOptions options;
    options.enginesPerDataCentre_ = {};
    options.nodesPerDataCentre_ = 2;
    options.nodeSettings_ = "catalogue:\n  snapshot_interval: 1h\n";
    return options;
}

std::string service(const std::string& name, int concurrency)
{
    return "name: " + name + "\nkind: service\nconcurrency: " + std::to_string(concurrency) + "\nrepeatable: true\n";
}

std::string writeEntry(Deployment& deployment, const std::string& file, const std::string& text)
{
    std::string path = deployment.directory() + "/" + file;
    std::ofstream(path) << text;
    return path;
}

std::pair<int, std::string> applyEntry(Deployment& deployment, Deployment::NodeProcess& node, const std::string& file, const std::string& text, const std::string& base = {})
{
    std::vector<std::string> arguments { "catalogue", "apply", writeEntry(deployment, file, text) };
    if (!base.empty())
        arguments.insert(arguments.end(), { "--base", base });
    return deployment.runTool(node, arguments);
}

/// The text of entry \p name that is in force at \p node, or empty.
std::string entryInForce(Deployment& deployment, Deployment::NodeProcess& node, const std::string& name)
{
    auto entry = deployment.query(node, "/catalogue/" + name);
    return entry.is_object() ? textField(entry.as_object(), "body") : std::string();
}

/// Offset of the first snapshot in the log that covers offset \p asOf, or 0.
std::uint64_t firstSnapshotCovering(Deployment& deployment, std::uint64_t asOf)
{
    HttpRequest request { "GET", "/streams/catalogue/records?from=0&wait_ms=0", {}, {} };
    auto response = callHttpBlocking(deployment.platform(), request, milliseconds(5000));
    auto body = response ? parseJsonObject(response.value().body_) : std::nullopt;
    for (const auto& line : body ? objectsField(*body, "records") : std::vector<boost::json::object> {}) {
        auto record = parseJsonObject(textField(line, "data"));
        if (record && textField(*record, "type") == "snapshot" && numberField(*record, "as_of") >= asOf)
            return numberField(line, "offset");
    }
    return 0;
}

bool isInForceEverywhere(Deployment& deployment, const std::string& name, const std::string& text)
{
    return waitUntil([&] {
        for (auto& node : deployment.nodes()) {
            if (node.process_->isRunning() && entryInForce(deployment, node, name) != text)
                return false;
        }
        return true;
    },
        inForceTimeout);
}

} // namespace

TEST_CASE("of twenty concurrent edits exactly one wins each version")
{
    Deployment deployment(catalogueOptions());
    REQUIRE(applyEntry(deployment, deployment.nodes()[0], "s.yaml", service("s", 1)).first == 0);
    std::string base = "1";
    for (int round = 0; round < 3; ++round) {
        std::vector<std::future<std::pair<int, std::string>>> edits;
        for (int i = 0; i < 20; ++i) {
            edits.push_back(std::async(std::launch::async, [&, i] {
                auto& node = deployment.nodes()[static_cast<std::size_t>(i) % 6];
                return applyEntry(deployment, node, "racer" + std::to_string(i) + ".yaml", service("s", 100 * (round + 1) + i), base);
            }));
        }
        int winners = 0;
        std::string winningVersion;
        std::vector<std::string> losers;
        for (auto& pending : edits) {
            auto [code, output] = pending.get();
            if (!code) {
                ++winners;
                winningVersion = output.substr(output.rfind(' ') + 1);
            } else {
                CHECK(code == 3);
                losers.push_back(output);
            }
        }
        winningVersion.erase(winningVersion.find_last_not_of('\n') + 1);
        CHECK(winners == 1);
        for (const std::string& loser : losers)
            CHECK(loser.find("conflicts with version " + winningVersion) != std::string::npos);
        base = winningVersion;
    }
}

TEST_CASE("an edit is resolved by its id when the answer of its append is lost")
{
    Deployment deployment(catalogueOptions());
    deployment.controlPlatform({ { "lose_append_answers", 1 } });
    auto [code, output] = applyEntry(deployment, deployment.nodes()[0], "s.yaml", service("s", 7));
    CHECK(code == 0);
    CHECK(isInForceEverywhere(deployment, "s", service("s", 7)));
    auto history = deployment.query(deployment.nodes()[0], "/history");
    CHECK(history.as_array().size() == 1);
}

TEST_CASE("an accepted change survives a trim and a restart of every node")
{
    auto options = catalogueOptions();
    options.nodeSettings_ = "catalogue:\n  snapshot_interval: 200ms\n";
    Deployment deployment(options);
    REQUIRE(applyEntry(deployment, deployment.nodes()[0], "s.yaml", service("s", 1)).first == 0);
    REQUIRE(applyEntry(deployment, deployment.nodes()[0], "s.yaml", service("s", 2)).first == 0);
    std::uint64_t second = numberField(deployment.query(deployment.nodes()[0], "/catalogue/s").as_object(), "version");
    // The log drops all records before the first snapshot that covers both edits.
    std::uint64_t covering = 0;
    REQUIRE(waitUntil([&] { return (covering = firstSnapshotCovering(deployment, second)) > 0; }));
    deployment.controlPlatform({ { "trim_stream", "catalogue" }, { "trim_to", covering } });
    for (auto& node : deployment.nodes())
        node.process_->kill();
    for (auto& node : deployment.nodes())
        deployment.restartNode(node);
    CHECK(isInForceEverywhere(deployment, "s", service("s", 2)));
    auto [code, output] = applyEntry(deployment, deployment.nodes()[3], "s.yaml", service("s", 3));
    CHECK(code == 0);
    CHECK(isInForceEverywhere(deployment, "s", service("s", 3)));
}

TEST_CASE("a node that starts while the log is down gets the catalogue from its peers")
{
    Deployment deployment(catalogueOptions());
    REQUIRE(applyEntry(deployment, deployment.nodes()[0], "s.yaml", service("s", 5)).first == 0);
    REQUIRE(isInForceEverywhere(deployment, "s", service("s", 5)));
    deployment.controlPlatform({ { "log_down", 1 } });
    auto [code, output] = applyEntry(deployment, deployment.nodes()[0], "s.yaml", service("s", 6));
    // A log that is down does not state whether it stored the record, so the tool reports
    // that the outcome is unknown.
    constexpr int unknownOutcome = 4;
    CHECK(code == unknownOutcome);
    auto& newNode = deployment.startNode("caxias-a-9", "caxias-a");
    CHECK(waitUntil([&] { return entryInForce(deployment, newNode, "s") == service("s", 5); }, inForceTimeout));
}

TEST_CASE("a data centre that is partitioned from the platform gets changes from its peers")
{
    Deployment deployment(catalogueOptions());
    REQUIRE(applyEntry(deployment, deployment.node("caxias-a-1"), "s.yaml", service("s", 1)).first == 0);
    REQUIRE(isInForceEverywhere(deployment, "s", service("s", 1)));
    deployment.controlPlatform({ { "cut_data_centres", boost::json::array { "bento-c" } } });
    REQUIRE(applyEntry(deployment, deployment.node("caxias-a-1"), "s.yaml", service("s", 2)).first == 0);
    CHECK(isInForceEverywhere(deployment, "s", service("s", 2)));
    // An edit sent to that data centre is rejected and has no effect.
    auto [code, output] = applyEntry(deployment, deployment.node("bento-c-1"), "s.yaml", service("s", 3));
    CHECK(code != 0);
    CHECK(isInForceEverywhere(deployment, "s", service("s", 2)));
}

TEST_CASE("the tool rejects an invalid entry and names the field")
{
    Deployment deployment(catalogueOptions());
    auto [code, output] = applyEntry(deployment, deployment.nodes()[0], "bad.yaml", "name: s\nkind: service\nconcurrency: none\nrepeatable: true\n");
    CHECK(code == 2);
    CHECK(output.find("bad.yaml:3: concurrency: expected a whole number") != std::string::npos);
}
