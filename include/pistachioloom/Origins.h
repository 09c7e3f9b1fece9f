//===- pistachioloom/Origins.h - software that began streams ---------------===//
///
/// \file
/// A stream goes on only at the software version that sent its first event, also when its
/// caller resumes it at another node. The node that forwards the first event tells a few other
/// nodes, the holders, which software sent it; a node where a caller resumes asks them. All
/// nodes choose the holders of a stream alike, by rendezvous hashing, as far as they know the
/// same nodes. Does no I/O; the time is a parameter.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Backends.h"

#include <deque>
#include <mutex>
#include <unordered_map>

namespace pistachioloom {

/// Identifies a stream by a hash of its organisation and of the id of the caller's attempt that
/// brought its first event.
using StreamKey = Quantity<struct StreamKeyTag>;

StreamKey streamKeyOf(const OrganisationId& organisation, std::string_view attemptId);

/// What a node knows of the software that began a stream.
struct StreamOrigin {
    SoftwareKey software_;
    /// Streams of the same key began at different software, so that neither can be resumed.
    bool isAmbiguous_ = false;

    bool operator==(const StreamOrigin&) const = default;
};

/// Who keeps the origin of a stream.
enum class OriginStorage {
    /// Nodes, of which one has to stay alive.
    Nodes,
    /// Nodes, and within seconds the platform's log, which outlives all of them.
    NodesAndLog,
};

struct OriginSettings {
    /// Time for which the origin of a stream is kept, from its first event or its last
    /// resumption on. Callers do not come back later.
    milliseconds lifetime_ { 60000 };
    /// Maximum number of origins that a node keeps; the oldest are dropped. Each takes 73
    /// bytes.
    std::size_t maxOrigins_ = 65536;
    /// Nodes that are told the origin of a stream. They are in different data centres if there
    /// are enough.
    std::size_t holders_ = 3;
    /// Nodes that are asked for it. They are more than the holders, since nodes that have just
    /// started, stopped or been cut off are known to some nodes only.
    std::size_t asked_ = 6;
    /// Time after which a node that did not answer is asked again, since datagrams may be lost.
    milliseconds askAgainAfter_ { 100 };
    /// Time after which the nodes that did not answer are not waited for any longer.
    milliseconds patience_ { 400 };
    /// Parts of the log of origins. One node appends to each of those that are used.
    std::uint32_t logParts_ = 4;
    /// Nodes for each part that is used, so that a small fleet makes few calls and no recorder of a
    /// large one is told too much.
    std::size_t nodesPerPart_ = 64;
    /// Interval at which a node appends to a part what it has been told since.
    milliseconds appendPeriod_ { 400 };
    /// Minimum interval at which a node reads a part.
    milliseconds readPeriod_ { 200 };
    /// Newest records of a part that a node reads first. They cover the longest stream.
    std::uint64_t recordsRead_ = 64;
};

/// The origins that a node knows. Thread-safe.
class OriginTable {
public:
    explicit OriginTable(OriginSettings settings = {})
        : settings_(settings)
    {
    }

    /// Adds \p origin of \p stream, and keeps it from \p now on.
    void add(StreamKey stream, const StreamOrigin& origin, SteadyTime now);
    std::optional<StreamOrigin> find(StreamKey stream, SteadyTime now) const;
    std::size_t size() const;

private:
    struct Entry {
        StreamOrigin origin_;
        SteadyTime addedAt_ {};
    };

    void dropOldest(SteadyTime now);

    const OriginSettings settings_;
    mutable std::mutex mutex_;
    std::unordered_map<std::uint64_t, Entry> entries_;
    /// The additions, oldest first. A stream that was added again is dropped at its latest one.
    std::deque<std::pair<SteadyTime, std::uint64_t>> additions_;
};

/// A node that may hold the origins of streams.
struct OriginNode {
    VmId vm_;
    DataCentreId dataCentre_;
    /// Where the node receives datagrams.
    Endpoint gossip_;
};

/// Returns the part of the log in which the origin of \p stream is recorded while the fleet has
/// \p nodes nodes.
std::uint32_t originPartOf(StreamKey stream, std::size_t nodes, const OriginSettings& settings);
/// Returns the index in \p nodes of the one that appends to \p part; all nodes choose alike.
std::size_t recorderOf(std::uint32_t part, const std::vector<OriginNode>& nodes);

/// Returns up to \p count of \p nodes, best first, in the order in which all nodes choose the
/// holders of \p stream: nodes of different data centres before others of the same ones.
std::vector<OriginNode> rankOriginNodes(StreamKey stream, const std::vector<OriginNode>& nodes, std::size_t count);

} // namespace pistachioloom
