//===- tools/pistachioloomd/main.cpp - the daemon -------------------------===//
///
/// \file
/// Parses options and settings, and runs a node or gateway until it has drained.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Gateway.h"
#include "pistachioloom/Node.h"
#include "platform/Platform.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

using namespace pistachioloom;

namespace {

constexpr int exitBadSettings = 2;
constexpr int exitStartFailed = 3;

void printErrors(const InputErrors& errors)
{
    for (const InputError& error : errors)
        std::cerr << error.toString() << '\n';
}

int runNode(const std::string& file, bool isCheckOnly)
{
    InputErrors errors;
    auto settings = loadSettings(file, errors);
    printErrors(errors);
    if (!settings)
        return exitBadSettings;
    if (isCheckOnly) {
        std::cout << file << ": settings are good\n";
        return 0;
    }
    initialiseLogging(settings->logs_, settings->vm_.value_);
    installCrashReporter(settings->vm_.value_);
    Node node(std::move(*settings));
    auto ports = node.start();
    if (!ports) {
        std::cerr << describe(ports.error()) << '\n';
        return exitStartFailed;
    }
    // A parent process that lets the kernel choose the ports reads them from this line.
    std::cout << "{\"callers\":" << ports.value().callers_ << ",\"peers\":" << ports.value().peers_
              << ",\"operators\":" << ports.value().operators_ << "}" << std::endl;
    node.run();
    // The process exits without running destructors, because coroutines that are still
    // suspended hold references to one another in all directions. A drained node has no
    // state that a destructor would have to save.
    std::cout.flush();
    std::_Exit(0);
}

int runGateway(const std::string& file, bool isCheckOnly)
{
    InputErrors errors;
    auto settings = loadGatewaySettings(file, errors);
    printErrors(errors);
    if (!settings)
        return exitBadSettings;
    if (isCheckOnly) {
        std::cout << file << ": settings are good\n";
        return 0;
    }
    initialiseLogging(settings->logs_, settings->vm_.value_);
    installCrashReporter(settings->vm_.value_);
    GatewayPlatform platform = platform::makePlatform(*settings);
    Gateway gateway(std::move(*settings), std::move(platform), file);
    auto port = gateway.start();
    if (!port) {
        std::cerr << describe(port.error()) << '\n';
        return exitStartFailed;
    }
    std::cout << "{\"callers\":" << port.value() << "}" << std::endl;
    gateway.run();
    // As in runNode(), no state is left that a destructor would have to save.
    std::cout.flush();
    std::_Exit(0);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "pistachioloomd serves language model requests on reclaimable VMs." };
    std::string file;
    bool isCheckOnly = false;
    app.add_option("--settings", file, "Settings file in YAML")->required();
    app.add_flag("--check", isCheckOnly, "Check the settings and exit");
    app.footer("Exit codes: 0 drained, 1 invalid options, 2 invalid settings, 3 start failed.\nExample: pistachioloomd --settings entry.yaml --check");
    CLI11_PARSE(app, argc, argv);

    std::signal(SIGPIPE, SIG_IGN);
    return isGatewayFile(file) ? runGateway(file, isCheckOnly) : runNode(file, isCheckOnly);
}
