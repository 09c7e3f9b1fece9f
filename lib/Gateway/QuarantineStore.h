//===- lib/Gateway/QuarantineStore.h - quarantines that outlive all nodes -===//
///
/// \file
/// Nodes tell each other which requests are held, and a node that restarts hears it
/// from them. For the restart of all at one moment the platform keeps a note of each.
//===----------------------------------------------------------------------===//
#pragma once

#include "GatewayContext.h"

namespace pistachioloom::wire {
class QuarantineNote;
}

namespace pistachioloom {

class QuarantineStore {
public:
    struct Hooks {
        /// Whether this node reads from the platform, for all others of its data centre.
        std::function<bool()> isReader_;
        /// Whether this node writes, of all that are live.
        std::function<bool()> isWriter_;
    };

    QuarantineStore(GatewayContext& context, Hooks hooks);

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
