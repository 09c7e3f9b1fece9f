//===- pistachioloom/Node.h - the node's daemon ---------------------------===//
///
/// \file
/// The daemon's library: all roles of a node. A node runs until it has drained.
/// It stores nothing that its peers or the platform's log do not have.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Settings.h"

#include <memory>

namespace pistachioloom {

/// The ports to which a node's listeners for callers, peers and operators are
/// bound.
struct NodePorts {
    std::uint16_t callers_ = 0;
    std::uint16_t peers_ = 0;
    std::uint16_t operators_ = 0;
};

/// One node with all its roles.
class Node {
public:
    explicit Node(Settings settings);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    /// Binds the ports and starts the roles. Errors: a port cannot be bound.
    Result<NodePorts> start();
    /// Runs until the node has drained, on the number of threads in the
    /// settings. SIGTERM and SIGINT start the drain.
    void run();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace pistachioloom
