//===- lib/Gateway/ConfigurationSources.h - where to fetch from -----------===//
///
/// \file
/// Decides from which peers a node that is behind fetches the newer configuration, and
/// when it reads the platform itself. A configuration has to be in force in time on every
/// node without a fault, whatever the streams of other nodes do: if an attempt makes no
/// progress, another source is tried beside it, and the platform when peers have failed.
/// Does no I/O; time and random numbers are parameters.
//===----------------------------------------------------------------------===//
#pragma once

#include "SourceHealth.h"

#include <optional>
#include <vector>

namespace pistachioloom {

/// A live node that reports a newer configuration than this node has.
struct ConfigurationSource {
    VmId vm_;
    DataCentreId dataCentre_;
};

enum class FetchOutcome {
    Received,
    /// The peer has no newer configuration than this node.
    NothingNewer,
    /// The peer sends to other nodes, and asked to be asked again later.
    Busy,
    Failed,
    /// This node no longer needs the answer.
    Abandoned,
};

/// What a node starts now; both members may be set.
struct FetchDecision {
    std::optional<VmId> source_;
    bool readsPlatform_ = false;
};

/// Maximum number of concurrent attempts. Two sources may fail at the same time.
inline constexpr std::size_t maxFetchAttempts = 3;
/// Time after which an attempt is slow unless it receives minFetchRate. A peer answers a
/// request within a few milliseconds, and one that is busy says so.
inline constexpr milliseconds slowFetchTime { 300 };
/// In bytes per millisecond: 64 KB/s, a twentieth of a link of 10 Mbit/s.
inline constexpr std::uint64_t minFetchRate = 64;
/// Time after which an attempt is slow at any rate.
inline constexpr milliseconds maxFetchTime { 1000 };
/// Time for which a newer version must have been known before this node reads the platform
/// itself. In a large fleet a random time is added.
inline constexpr milliseconds platformReadDelay { 700 };

class ConfigurationSources {
public:
    /// \p phase is a number in [0, 1) that differs by node.
    ConfigurationSources(DataCentreId ownDataCentre, double phase, SourceHealth& health);

    /// Decides what to start now. \p newer are the sources, \p behindFor is how long a newer
    /// version has been known, and \p nodes is the number of known nodes. \p draw is uniform
    /// over 64 bits.
    FetchDecision next(const std::vector<ConfigurationSource>& newer, milliseconds behindFor, std::size_t nodes, SteadyTime now, std::uint64_t draw) const;

    void noteStarted(const ConfigurationSource& source, SteadyTime now);
    /// Notes how many bytes the attempt at \p vm has received so far.
    void noteProgress(const VmId& vm, std::uint64_t bytes);
    /// Notes the end of the attempt at \p vm. A busy peer asked to be asked again after
    /// \p retryAfter.
    void noteEnded(const VmId& vm, FetchOutcome outcome, milliseconds retryAfter, SteadyTime now);
    void notePlatformReadStarted();
    /// Notes the end of a read of the platform. The next one starts after \p pause at the
    /// earliest, and later in a fleet of many \p nodes, so that their calls do not add up.
    void notePlatformReadEnded(milliseconds pause, std::size_t nodes, SteadyTime now);
    /// Notes that this node is not behind, so that earlier failures do not count against
    /// the sources of the next version.
    void noteCaughtUp() { failures_ = 0; }

private:
    struct Attempt {
        ConfigurationSource source_;
        SteadyTime startedAt_;
        std::uint64_t bytes_ = 0;
    };

    static bool isSlow(const Attempt& attempt, SteadyTime now);
    std::optional<VmId> choose(const std::vector<ConfigurationSource>& newer, SteadyTime now, std::uint64_t draw) const;
    bool isTried(const VmId& vm) const;
    /// Returns whether an attempt is running at a node of \p dataCentre.
    bool isTriedIn(const DataCentreId& dataCentre) const;
    bool isPlatformTurn(const std::vector<ConfigurationSource>& newer, milliseconds behindFor, std::size_t nodes, SteadyTime now) const;

    const DataCentreId ownDataCentre_;
    const double phase_;
    SourceHealth& health_;
    std::vector<Attempt> attempts_;
    /// Attempts that have failed since this node has been behind.
    std::size_t failures_ = 0;
    bool isReadingPlatform_ = false;
    SteadyTime nextPlatformRead_ {};
};

} // namespace pistachioloom
