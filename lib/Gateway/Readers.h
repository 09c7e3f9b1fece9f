//===- lib/Gateway/Readers.h - nodes that poll the platform ---------------===//
///
/// \file
/// Reads from the platform are charged and limited, so that few nodes read and the others
/// fetch from them what they read. Every node decides for itself whether it reads, from
/// the reports of its peers. The functions do no I/O.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

namespace pistachioloom {

/// What a node reports of itself as a reader.
struct ReaderState {
    VmId vm_;
    DataCentreId dataCentre_;
    bool isStopping_ = false;
    /// Its last read from the platform failed.
    bool isPlatformUnavailable_ = false;
    bool isReader_ = false;
    /// CPU cores of its VM.
    double cores_ = 0;
};

/// Returns whether \p self reads: as the first node of its data centre, or as one of the
/// first \p readers nodes of all, among the nodes that the platform serves. Nodes with
/// more CPU cores come first, since all other nodes fetch from readers and larger VMs
/// have faster links; rendezvous hashing orders nodes of equal cores. Nodes that the
/// platform rejects continue to try, and others read in addition until many nodes are
/// rejected.
bool shouldRead(const ReaderState& self, const std::vector<ReaderState>& peers, std::uint64_t readers);

/// What a node knows when it decides whether to make its first call to the platform.
struct ColdStart {
    /// Time since the start of the node.
    milliseconds uptime_ {};
    /// Whether other nodes contact this one first, since it is a seed, or whether there are
    /// no other nodes to contact.
    bool isFirstContact_ = false;
    /// Whether a peer has reported.
    bool hasPeers_ = false;
    /// Number of known nodes, including this one.
    std::size_t knownNodes_ = 1;
    /// Number in [0, 1) that differs by node and start.
    double phase_ = 0;
};

/// Mean interval between the first reads of the configuration and the registry in a large
/// fleet. A list of 3,000 registrations and a configuration are 1 MB, so that these reads
/// take up to 100 MB/s.
inline constexpr milliseconds firstReadInterval { 10 };
/// Mean interval between the announcements of the nodes of a large fleet. The platform
/// stores one in 2 ms.
inline constexpr milliseconds announcementInterval { 4 };

/// Returns a delay by which the calls of \p nodes nodes with uniformly distributed \p phase
/// in [0, 1) arrive at the mean interval \p interval; 0 in a small fleet.
milliseconds spreadDelay(std::size_t nodes, double phase, milliseconds interval);

/// Returns whether a node that starts may make its first call of a kind to the platform.
/// While all nodes start, each of them knows few others and would select itself as a
/// reader; simultaneous calls of all would time out and be repeated. Nodes therefore wait
/// for the first reports of peers, and in a large fleet additionally for a random time, so
/// that the calls of all nodes arrive at the mean interval \p interval, whatever the size
/// of the fleet. Nodes that receive the configuration from a peer meanwhile need not read.
bool isStartTurn(const ColdStart& state, milliseconds interval);

/// Pauses between the reads of a node after failures. The pause doubles up to a limit and
/// is randomised, so that nodes whose reads failed at the same time do not repeat them at
/// the same time.
class ReadBackoff {
public:
    /// \p initial is the mean pause after the first failure.
    explicit ReadBackoff(milliseconds initial);

    void noteSuccess() { failures_ = 0; }
    /// Returns the pause after a failure. \p draw is uniform over 64 bits.
    milliseconds nextPause(std::uint64_t draw);

private:
    const milliseconds initial_;
    unsigned failures_ = 0;
};

/// Returns whether the platform serves none of the known readers. A single rejected
/// reader does not show that registrations are affected.
bool haveAllReadersFailed(const std::vector<ReaderState>& peers);

} // namespace pistachioloom
