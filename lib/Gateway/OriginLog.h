//===- lib/Gateway/OriginLog.h - origins of streams on the platform --------===//
///
/// \file
/// Records the origins of streams in the platform's log, so that callers can resume their streams
/// after all nodes have ended at once. The origins of a part are appended together, by one node, a
/// while after the streams have begun: no stream waits for its record. An origin that is not
/// recorded yet is unknown after such an end.
//===----------------------------------------------------------------------===//
#pragma once

#include "GatewayContext.h"
#include "pistachioloom/Origins.h"

#include <deque>

namespace pistachioloom {

/// All members must be called on one event loop.
class OriginLog {
public:
    OriginLog(asio::io_context& io, GatewayContext& context, const OriginSettings& settings, OriginTable& table);

    /// Appends what record() was given, and repeats appends that failed. Runs until the node ends.
    asio::awaitable<void> run();
    /// Records \p origin with the next append. \p nodes is the number of nodes in the fleet.
    void record(StreamKey stream, const StreamOrigin& origin, std::size_t nodes);
    /// Adds to the table what has been recorded since the latest load. Waits for that up to
    /// OriginSettings::patience_.
    asio::awaitable<void> load();

private:
    struct Part {
        std::deque<std::pair<StreamKey, StreamOrigin>> pending_;
        /// The oldest pending origins that were dropped since the latest append began.
        std::size_t dropped_ = 0;
        LogOffset next_ {};
    };

    asio::awaitable<void> append(std::uint32_t number, Part& part);
    asio::awaitable<void> readParts();
    void apply(std::uint32_t number, Part& part, const Result<LogRead>& read, SteadyTime startedAt);

    asio::io_context& io_;
    GatewayContext& context_;
    const OriginSettings& settings_;
    OriginTable& table_;
    std::vector<Part> parts_;
    bool isLoading_ = false;
    SteadyTime loadedAt_ {};
    /// Cancelled when a load ends. Expires when it is not waited for any longer.
    SteadyTimer loaded_;
    Logger logger_ { "origins" };
};

} // namespace pistachioloom
