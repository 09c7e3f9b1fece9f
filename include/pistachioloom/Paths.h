//===- pistachioloom/Paths.h - whether services are reachable -------------===//
///
/// \file
/// Decides whether this node reaches the backend servers of a service at all. A node may lose
/// its paths to all of them while other nodes keep theirs. What a node sees on single
/// connections gives rise to a suspicion; probes of several servers confirm it. Performs
/// no I/O; the time is a parameter. Thread-safe.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"
#include "pistachioloom/Support.h"

#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace pistachioloom {

/// Parameters of the detection of lost paths.
struct PathSettings {
    /// New connections to backend servers of a service that fail in a row before the service
    /// is probed.
    unsigned failuresToProbe_ = 2;
    /// Time without any answer of a service, while requests wait for one, after which the
    /// service is probed. Open connections may hang without an error.
    milliseconds silenceToProbe_ { 400 };
    /// Rounds of probes in a row in which no server answered before the service counts as
    /// lost. A round may fail since this node was held up.
    unsigned roundsToLose_ = 2;
    /// Time from the end of a round of probes that none answered to the next round.
    milliseconds retryDelay_ { 100 };
    /// Minimum time from a round that was answered to the next one.
    milliseconds successValidity_ { 1000 };
    /// Time between rounds of probes of a lost service.
    milliseconds lostProbePeriod_ { 250 };
    /// Backend servers that a round probes after one without an answer. The first round probes
    /// one, since a suspicion is mostly wrong.
    std::size_t serversPerRound_ = 4;
};

/// Which services this node has lost its paths to.
class ServicePaths {
public:
    explicit ServicePaths(PathSettings settings = {})
        : settings_(settings)
    {
    }

    /// Notes that a new connection to a backend server of \p service was established, or
    /// failed.
    void noteConnected(const ServiceName& service);
    void noteConnectionFailed(const ServiceName& service);
    /// Notes that a request was sent at \p sentAt, and that it waits for an answer until
    /// noteAnswered() or noteEnded() with the same time.
    void noteSent(const ServiceName& service, SteadyTime sentAt);
    void noteAnswered(const ServiceName& service, SteadyTime sentAt, SteadyTime now);
    void noteEnded(const ServiceName& service, SteadyTime sentAt);

    /// Returns the services to probe now. Each is not returned again before noteProbed().
    std::vector<ServiceName> takeDue(SteadyTime now);
    /// Returns the number of backend servers to probe in the round that takeDue() has begun.
    std::size_t serversToProbe(const ServiceName& service) const;
    /// Notes a round of probes in which \p answered of \p probed backend servers accepted a
    /// connection.
    /// \returns whether the service was lost or found with this round.
    bool noteProbed(const ServiceName& service, std::size_t probed, std::size_t answered, SteadyTime now);

    /// Whether no backend server of \p service is reachable from this node.
    bool isLost(const ServiceName& service) const;
    std::vector<ServiceName> lostServices() const;
    /// Returns how often \p service was lost. Connections that were open at a loss may hang.
    std::uint64_t lossCount(const ServiceName& service) const;

private:
    struct Path {
        bool isLost_ = false;
        std::uint64_t lossCount_ = 0;
        bool isBeingProbed_ = false;
        /// Another service was lost.
        bool isSuspected_ = false;
        /// New connections that failed since one was established.
        unsigned failedConnections_ = 0;
        /// Rounds of probes without an answer in a row.
        unsigned failedRounds_ = 0;
        SteadyTime nextProbeAt_ {};
        SteadyTime lastAnswerAt_ {};
        /// When the requests that wait for an answer were sent.
        std::multiset<SteadyTime> waiting_;
    };

    bool isSuspect(const Path& path, SteadyTime now) const;
    static void stopWaiting(Path& path, SteadyTime sentAt);

    const PathSettings settings_;
    mutable std::mutex mutex_;
    std::map<ServiceName, Path> paths_;
};

} // namespace pistachioloom
