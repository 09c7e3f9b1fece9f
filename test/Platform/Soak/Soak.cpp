//===- test/Platform/Soak/Soak.cpp - faults at random, promises checked ---===//
///
/// \file
/// Runs gateways as processes before a stand-in of the users' platform, with
/// proxies between them, and callers that keep their connections. Faults come
/// from outside, drawn from a seed. Prints what was found, and fails if any
/// promise was broken.
//===----------------------------------------------------------------------===//
#include "SoakRun.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <set>

using namespace pistachioloom;
using namespace pistachioloom::test;

/// The seeds of a file: one a line, followed by its cause.
static std::vector<std::uint64_t> readSeeds(const std::string& file)
{
    std::vector<std::uint64_t> seeds;
    std::ifstream input(file);
    for (std::string line; std::getline(input, line);) {
        if (!line.empty() && line.front() != '#')
            seeds.push_back(std::stoull(line));
    }
    return seeds;
}

int main(int argc, char** argv)
{
    CLI::App app { "Plays random faults on gateways and checks what callers, backend servers and the platform see." };
    SoakOptions options;
    std::uint64_t runs = 1;
    std::string seedsFile;
    app.add_option("--seed", options.seed_, "Seed of the first run");
    app.add_option("--runs", runs, "Runs, with seeds one after the other")->check(CLI::Range(1, 100000));
    app.add_option("--seeds", seedsFile, "File of seeds that are run first")->check(CLI::ExistingFile);
    app.add_option("--seconds", options.seconds_, "How long faults come in each run")->check(CLI::Range(1.0, 86400.0));
    app.add_option("--gateways", options.gateways_, "Gateways")->check(CLI::Range(2, 60));
    app.add_option("--callers", options.callers_, "Callers")->check(CLI::Range(1, 1000));
    app.add_flag("--verbose", options.isVerbose_, "Print the faults as they come");
    CLI11_PARSE(app, argc, argv);
    signal(SIGPIPE, SIG_IGN);
    std::vector<std::uint64_t> seeds = readSeeds(seedsFile);
    for (std::uint64_t i = 0; i < runs; ++i)
        seeds.push_back(options.seed_ + i);
    bool hasPassed = true;
    for (std::uint64_t seed : std::set<std::uint64_t>(seeds.begin(), seeds.end())) {
        options.seed_ = seed;
        hasPassed &= SoakRun(options).run();
    }
    return hasPassed ? 0 : 1;
}
