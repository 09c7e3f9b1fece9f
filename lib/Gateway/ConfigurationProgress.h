//===- lib/Gateway/ConfigurationProgress.h - delay of new versions --------===//
///
/// \file
/// Tracks which newer versions of the configuration other nodes have reported, and the
/// attempts of this node to fetch them, so that logs and metrics show how late a version
/// came into force and why. Does no I/O. Thread-safe; the time is a parameter.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace pistachioloom {

class ConfigurationProgress {
public:
    /// What preceded a version that has come into force.
    struct Summary {
        /// Time since another node first reported this version or a newer one; nullopt if
        /// none had.
        std::optional<milliseconds> reportedFor_;
        /// The node that first reported it.
        VmId reportedBy_;
        /// Number of attempts since the version before.
        std::size_t attempts_ = 0;
        /// The attempts as text: "SOURCE OUTCOME after N ms", separated by commas. The
        /// oldest are left out if there were many.
        std::string attemptsText_;
    };

    /// Notes that \p vm reported \p version.
    void noteReported(const VmId& vm, std::uint64_t version, SteadyTime now);
    /// Notes the end of an attempt of this node to obtain a newer version from \p source.
    void noteAttempt(const std::string& source, const std::string& outcome, milliseconds duration);
    /// Notes that \p version has come into force.
    Summary noteInForce(std::uint64_t version, SteadyTime now);

    /// Returns the newest version that this node has or that a node reported to it.
    std::uint64_t newestKnown() const;
    /// Returns how long a newer version has been known that is not in force here; 0 if
    /// there is none.
    milliseconds behindFor(SteadyTime now) const;
    /// Returns what is known of the newer versions, for a log line.
    Summary pending(SteadyTime now) const;

private:
    struct Report {
        VmId vm_;
        SteadyTime receivedAt_;
    };

    /// Summarises the versions from \p version on. The mutex must be locked.
    Summary summaryOf(std::uint64_t version, SteadyTime now) const;

    mutable std::mutex mutex_;
    std::uint64_t inForce_ = 0;
    /// The first report of each version that is newer than the one in force.
    std::map<std::uint64_t, Report> newer_;
    std::vector<std::string> attempts_;
    std::size_t attemptCount_ = 0;
};

} // namespace pistachioloom
