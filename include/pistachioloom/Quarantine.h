//===- pistachioloom/Quarantine.h - requests that crash backend servers ----===//
///
/// \file
/// A request may crash each backend server that runs it, and callers may repeat it at
/// any node. Counts by backend server or by attempt do not reveal this, since each crash
/// is the first of its server or attempt. Therefore crashes are counted by request, over
/// all attempts and nodes. A request during which several servers crashed is
/// quarantined: for some time, it is sent to no further server. The caller passes the
/// time in.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>

namespace pistachioloom {

/// Identifies a request over all attempts and nodes: a 64-bit keyed digest that reveals
/// nothing about the request without the nodes' secret.
using RequestFingerprint = Quantity<struct RequestFingerprintTag>;

/// The parts of a request that two attempts share if they are the same request.
struct RequestIdentity {
    /// Empty where requests need no credential.
    std::string_view organisation_;
    std::string_view method_;
    std::string_view host_;
    /// Path and query.
    std::string_view target_;
    std::string_view body_;
};

/// \returns the fingerprint of \p identity. All nodes share \p secret, and callers do
/// not know it.
RequestFingerprint fingerprintOf(const RequestIdentity& identity, std::string_view secret);

/// \returns the fingerprint of the prompt part \p id of requests for \p service.
RequestFingerprint fingerprintOf(const ServiceName& service, std::string_view id, std::string_view secret);

/// \returns \p fingerprint as sixteen hexadecimal digits.
std::string toString(RequestFingerprint fingerprint);

/// Parses the format of toString(). \returns nullopt for any other text.
std::optional<RequestFingerprint> parseFingerprint(std::string_view text);

/// Hash of one incarnation of a backend server, the same as in messages; see keyOf().
using BackendIncarnationKey = Quantity<struct BackendIncarnationKeyTag, std::uint32_t>;

/// A backend server crashed while it ran the request.
struct Crash {
    BackendIncarnationKey backend_;
    SteadyTime at_ {};
    /// The request was answered successfully afterwards, or an operator cleared it.
    bool isCleared_ = false;
};

/// Crashes during one request, as nodes report them to each other.
struct Suspect {
    RequestFingerprint request_;
    /// The organisation's name, hashed.
    std::uint32_t organisation_ = 0;
    std::vector<Crash> crashes_;

    /// \returns the number of crashes that are not cleared.
    std::size_t activeCrashes() const;
};

struct QuarantineSettings {
    /// Number of active crashes at which a request is quarantined.
    std::uint64_t crashesToQuarantine_ = 3;
    /// Duration of the first quarantine; each further crash doubles it, up to
    /// `maxDuration_`.
    milliseconds initialDuration_ { 600'000 };
    milliseconds maxDuration_ { 24LL * 3600 * 1000 };
    /// How long crashes are kept after the quarantine, or after the last crash if there
    /// is no quarantine.
    milliseconds retention_ { 600'000 };
    /// Maximum number of requests that are kept, in total and of one organisation. An
    /// organisation that sends many different requests must not evict those of others.
    std::uint64_t capacity_ = 1024;
    std::uint64_t organisationCapacity_ = 256;
};

/// State of a quarantined request.
struct Quarantine {
    std::size_t crashes_ = 0;
    milliseconds sinceLastCrash_ {};
    milliseconds timeLeft_ {};
};

/// Crashes by request. Nodes that exchange reports converge to the same state in any
/// order of the reports, since crashes are only added, and a cleared crash stays
/// cleared. Thread-safe.
class QuarantineTable {
public:
    explicit QuarantineTable(QuarantineSettings settings);

    /// Whether no request is suspected, so that no fingerprint needs to be computed.
    bool isEmpty() const { return !count_; }
    /// Records a crash of \p backend during \p request.
    /// \returns the number of active crashes of \p request.
    std::size_t noteCrash(RequestFingerprint request, const OrganisationId& organisation, BackendIncarnationKey backend, SteadyTime now);
    /// Clears the crashes of \p request, since the request did not cause them. \returns
    /// whether any of them was active.
    bool clear(RequestFingerprint request, SteadyTime now);
    /// \returns nullopt if \p request may be sent.
    std::optional<Quarantine> check(RequestFingerprint request, SteadyTime now) const;
    /// \returns the number of crashes of \p request that are not cleared.
    std::size_t activeCrashesOf(RequestFingerprint request) const;

    /// \returns the suspects to report to peers: those that changed recently, and some of
    /// the others for peers that missed earlier reports. \p draw, uniform over 64 bits,
    /// selects the latter.
    std::vector<Suspect> suspectsToReport(SteadyTime now, std::uint64_t draw) const;
    /// Merges the suspects that a peer reported; their times are on this node's clock.
    void mergeSuspects(const std::vector<Suspect>& reported, SteadyTime now);
    /// \returns all suspects, those with the most active crashes first.
    std::vector<Suspect> suspects(SteadyTime now) const;
    /// \returns the number of requests that are quarantined.
    std::size_t quarantined(SteadyTime now) const;

private:
    struct Entry {
        std::uint32_t organisation_ = 0;
        std::vector<Crash> crashes_;
        SteadyTime changedAt_ {};
    };
    using Entries = std::map<RequestFingerprint, Entry>;

    Entry& findOrAdd(RequestFingerprint request, std::uint32_t organisation, SteadyTime now);
    static bool merge(Entry& entry, const Crash& crash);
    void evictLeastSuspect(std::uint32_t organisation);
    void removeExpired(SteadyTime now);
    /// \returns nullopt if too few crashes are active.
    std::optional<SteadyTime> quarantinedUntil(const std::vector<Crash>& crashes) const;
    SteadyTime expiryOf(const std::vector<Crash>& crashes) const;

    const QuarantineSettings settings_;
    mutable std::mutex mutex_;
    Entries entries_;
    std::atomic<std::size_t> count_ { 0 };
};

/// Tracks which suspects are recorded in the storage that outlives all nodes. Suspects
/// with enough active crashes for a quarantine are recorded. Not thread-safe.
class QuarantineRecordTracker {
public:
    explicit QuarantineRecordTracker(std::uint64_t crashesToQuarantine)
        : crashesToQuarantine_(crashesToQuarantine)
    {
    }

    struct Change {
        Suspect suspect_;
        /// The request has too few active crashes now: its record must be removed.
        bool isDropped_ = false;
    };

    /// \returns the changes that bring the records in line with \p suspects, which must
    /// be complete.
    std::vector<Change> pendingChanges(const std::vector<Suspect>& suspects) const;
    /// Notes that \p change was recorded.
    void noteRecorded(const Change& change);

private:
    const std::uint64_t crashesToQuarantine_;
    /// Number of active crashes in the record of each request.
    std::map<RequestFingerprint, std::size_t> recordedCrashes_;
};

/// An attempt whose connection the backend server cut off.
struct CutOff {
    RequestFingerprint request_;
    OrganisationId organisation_;
    BackendIncarnationKey backend_;
};

/// Distinguishes crashes from connections that were lost for other reasons. An attempt
/// that was cut off counts as a crash of its request if the node learns within 10 s,
/// before or afterwards, that the backend server has terminated. Thread-safe.
class CrashDetector {
public:
    explicit CrashDetector(QuarantineTable& table)
        : table_(table)
    {
    }

    /// A request with a newly counted crash.
    struct CountedRequest {
        RequestFingerprint request_;
        std::size_t crashes_ = 0;
    };

    /// The consequences of an attempt that was cut off.
    struct CutOffResult {
        /// Set if the backend server is already known to have terminated.
        std::optional<CountedRequest> counted_;
        /// The caller must probe whether the backend server has terminated, since no other
        /// probe is running.
        bool needsProbe_ = false;
    };

    /// Records an attempt that was cut off.
    CutOffResult noteCutOff(const CutOff& cutOff, SteadyTime now);
    /// Notes that the probe that noteCutOff() requested has finished.
    void noteProbed(BackendIncarnationKey backend);
    /// Notes that \p backend terminated without having reported that it leaves.
    /// \returns the requests with a crash counted because of this.
    std::vector<CountedRequest> noteTerminated(BackendIncarnationKey backend, SteadyTime now);
    /// Whether no attempt is pending and no request is suspected, so that clear() has no
    /// effect.
    bool isIdle() const { return !pendingCount_ && table_.isEmpty(); }
    /// Clears the crashes of \p request, since a backend server answered it completely or
    /// an operator lifted its quarantine. \returns whether any crash was active.
    bool clear(RequestFingerprint request, SteadyTime now);

private:
    /// An attempt whose backend server is not known to have terminated.
    struct Pending {
        CutOff cutOff_;
        SteadyTime cutOffAt_ {};
    };

    void removeExpired(SteadyTime now);

    QuarantineTable& table_;
    std::mutex mutex_;
    std::vector<Pending> pending_;
    std::atomic<std::size_t> pendingCount_ { 0 };
    /// Backend servers for which a probe is running.
    std::set<BackendIncarnationKey> runningProbes_;
    /// When this node learnt that a backend server had terminated.
    std::map<BackendIncarnationKey, SteadyTime> terminatedAt_;
};

} // namespace pistachioloom
