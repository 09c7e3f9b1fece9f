//===- lib/Gateway/QuarantineStore.h - durable quarantines ----------------===//
///
/// \file
/// Nodes report quarantined requests to each other, and a node that restarts receives
/// them from its peers. The platform stores a note of each of them for the case that all
/// nodes restart together.
//===----------------------------------------------------------------------===//
#pragma once

#include "GatewayContext.h"

namespace pistachioloom::wire {
class QuarantineNote;
}

namespace pistachioloom {

/// Reads the quarantines that the platform stores, and writes their changes.
class QuarantineStore {
public:
    struct Hooks {
        /// Returns whether this node reads from the platform for the others.
        std::function<bool()> isReader_;
        /// Returns whether this node is the one among all live nodes that writes.
        std::function<bool()> isWriter_;
    };

    QuarantineStore(GatewayContext& context, Hooks hooks);

    /// Reads the stored quarantines once after the start, and writes changes to them at
    /// regular intervals while this node is the writer. Never returns.
    asio::awaitable<void> run();

private:
    asio::awaitable<void> readNotes();
    asio::awaitable<void> writeNotes();
    asio::awaitable<bool> write(QuarantineRecordTracker::Change change);
    void applyNote(const StoredNote& note);

    GatewayContext& context_;
    Hooks hooks_;
    QuarantineRecordTracker tracker_;
    bool hasRead_ = false;
    Logger logger_ { "quarantine" };
};

} // namespace pistachioloom
