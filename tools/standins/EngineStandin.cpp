//===- tools/standins/EngineStandin.cpp - a model engine ------------------===//
///
/// \file
/// Generates tokens at a configured rate in several concurrent streams. Each token
/// contains a tag of its prompt, its position and its sampling run, so that a test
/// detects a token that is missing, duplicated or from another request. Streams can be
/// attached, cancelled, exported and imported; a newer attempt supersedes an older one.
//===----------------------------------------------------------------------===//
#include "Engine.h"

#include <CLI/CLI.hpp>

using namespace pistachioloom;
using namespace pistachioloom::standin;

int main(int argc, char** argv)
{
    CLI::App app { "Stand-in for a model engine." };
    std::uint16_t port = 0;
    std::string name = "engine";
    std::map<std::string, std::int64_t> values {
        { "slots", 8 },
        { "decode_us", 5000 },
        { "prefill_us", 100 },
        { "export_us", 20 },
        { "cache_tokens", 100000 },
        { "detach_grace_ms", 5000 },
        { "leaving", 0 },
        { "refuse_import", 0 },
        { "refuse_export", 0 },
        { "attach_delay_ms", 0 },
        { "honours_fencing", 1 },
        { "load_ms", 300 },
        { "order_delay_ms", 0 },
        { "cancel_delay_ms", 0 },
    };
    app.add_option("--port", port, "Port to listen on; 0 lets the kernel choose");
    app.add_option("--name", name, "Prefix of the names of sampling runs");
    for (auto& [key, value] : values)
        app.add_option("--" + key, value, "Initial value of the control");
    CLI11_PARSE(app, argc, argv);
    asio::io_context io;
    Engine engine(io, name, values);
    return serve(io, port, [&](HttpExchange& exchange) { return engine.handle(exchange); });
}
