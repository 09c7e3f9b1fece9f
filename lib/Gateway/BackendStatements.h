//===- lib/Gateway/BackendStatements.h - conditions to tell peers about ---===//
///
/// \file
/// What a backend server states in an answer to one node binds all nodes. Statements are
/// told for some seconds after the server last made them, with their age, so that a later
/// one replaces an earlier one however they arrive. A node that starts learns of those that
/// are in force, since their servers repeat them. Does no I/O; the time is a parameter.
//===----------------------------------------------------------------------===//
#pragma once

#include "generated/Peer.pb.h"
#include "pistachioloom/Backends.h"

namespace pistachioloom {

/// Time for which a statement is told after it was made.
inline constexpr milliseconds statementLifetime { 10000 };

class BackendStatements {
public:
    /// Adds \p statement, unless a later one of its kind is known of its backend server.
    /// \returns whether its value was not told before.
    bool add(const BackendStatement& statement);
    /// Returns the statements for one message, at most maxNotices: all of them or, of more,
    /// a part in rotation.
    std::vector<BackendStatement> select(SteadyTime now);

private:
    using Key = std::pair<BackendId, ConditionKind>;

    std::map<Key, BackendStatement> statements_;
    /// Position of the first statement in the next message. It differs by node.
    std::size_t cursor_ = randomBits();
};

/// Encodes \p statements with their ages at \p now.
void putStatements(const std::vector<BackendStatement>& statements, google::protobuf::RepeatedPtrField<wire::BackendStatement>& message, SteadyTime now);

/// Decodes statements that arrived at \p now. Those of unknown kinds, which newer nodes tell,
/// are left out.
std::vector<BackendStatement> statementsOf(const google::protobuf::RepeatedPtrField<wire::BackendStatement>& message, SteadyTime now);

} // namespace pistachioloom
