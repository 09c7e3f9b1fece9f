//===- pistachioloom/Node.h - a whole node ---------------------------------===//
///
/// \file
/// The daemon's library: all roles wired together. A node runs until it has
/// drained; it keeps nothing that its peers or the platform's log do not have.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Settings.h"

#include <memory>

namespace pistachioloom {

/// The ports that a node listens on, as bound.
struct NodePorts {
    std::uint16_t callers_ = 0;
    std::uint16_t peers_ = 0;
    std::uint16_t operators_ = 0;
};

class Node {
public:
    explicit Node(Settings settings);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    /// Binds the ports and starts the roles.
    Result<NodePorts> start();
    /// Works until drained, on as many threads as the settings say. SIGTERM and
    /// SIGINT drain.
    void run();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace pistachioloom
