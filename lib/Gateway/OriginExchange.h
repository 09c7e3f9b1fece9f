//===- lib/Gateway/OriginExchange.h - origins of streams between nodes -----===//
///
/// \file
/// Tells the holders of a stream which software began it, and asks them when a caller resumes
/// it here; see Origins.h. Each message is one datagram: several holders make up for lost ones,
/// and a question that is not answered is repeated. Origins that no node knows are looked for in
/// the platform's log; see OriginLog.h.
//===----------------------------------------------------------------------===//
#pragma once

#include "OriginLog.h"
#include "PeerReports.h"

namespace pistachioloom {

class OriginExchange {
public:
    OriginExchange(asio::io_context& io, GatewayContext& context, PeerReports& reports);

    /// See ForwardHooks::tellOrigin_. Thread-safe.
    void tell(StreamKey stream, const StreamOrigin& origin, OriginStorage storage);
    /// See ForwardHooks::findOrigin_. May be called on any event loop.
    asio::awaitable<FoundOrigin> find(StreamKey stream);
    /// Handles a message of another node. Must be called on the event loop of the datagrams.
    void handle(const wire::Datagram& message, const Endpoint& sender);
    OriginLog& log() { return log_; }
    /// Returns the number of origins that this node knows.
    std::size_t size() const { return table_.size(); }

private:
    /// A question to several nodes.
    struct Query {
        explicit Query(asio::io_context& io)
            : wake_(io)
        {
        }

        /// The nodes that have not answered, by the number of the message.
        std::map<std::uint64_t, OriginNode> waiting_;
        FoundOrigin found_ { std::nullopt, "unknown" };
        SteadyTimer wake_;
    };

    void sendToHolders(StreamKey stream, const StreamOrigin& origin, OriginStorage storage);
    void sendToRecorder(StreamKey stream, const wire::Datagram& datagram);
    asio::awaitable<FoundOrigin> look(StreamKey stream);
    asio::awaitable<FoundOrigin> ask(StreamKey stream);
    void sendQuestions(StreamKey stream, const Query& query);
    void add(const wire::StreamOrigin& message);
    void answer(const wire::OriginQuery& query, const Endpoint& sender);
    void applyAnswer(const wire::OriginAnswer& answer);
    const std::vector<OriginNode>& nodes(SteadyTime now);

    asio::io_context& io_;
    GatewayContext& context_;
    PeerReports& reports_;
    const OriginSettings settings_;
    OriginTable table_;
    OriginLog log_;
    /// The open questions, by the numbers of their messages.
    std::map<std::uint64_t, std::shared_ptr<Query>> queries_;
    std::uint64_t lastNumber_ = randomBits();
    /// The other nodes, as of nodesReadAt_.
    std::vector<OriginNode> nodes_;
    SteadyTime nodesReadAt_ {};
};

} // namespace pistachioloom
