//===- pistachioloom/Quarantine.h - requests that crash backend servers ----===//
///
/// \file
/// A request may crash each backend server that begins to run it, and come again at any
/// node. Counted by backend server or by attempt, each crash is the first of its kind.
/// Here crashes are counted by request, over attempts and nodes, and a request under
/// which several servers crashed is held: it is sent to no more of them for a while.
/// Time comes in.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>

namespace pistachioloom {

/// The same for every attempt at one request, on every node: 64 bits that tell
/// nothing of the request to those who do not have the nodes' secret.
using RequestFingerprint = Quantity<struct RequestFingerprintTag>;

/// What makes two attempts the same request.
struct RequestIdentity {
    /// Empty where requests need no credential.
    std::string_view organisation_;
    std::string_view method_;
    std::string_view host_;
    /// Path and query.
    std::string_view target_;
    std::string_view body_;
};

/// \p secret is what all nodes share and callers do not know.
RequestFingerprint fingerprintOf(const RequestIdentity& identity, std::string_view secret);

/// Sixteen hexadecimal digits.
std::string toString(RequestFingerprint fingerprint);

/// Reads what toString() wrote.
std::optional<RequestFingerprint> parseFingerprint(std::string_view text);

/// One start of a backend server, hashed as in messages; see keyOf().
using BackendInstanceKey = Quantity<struct CrashSiteTag, std::uint32_t>;

/// A backend server crashed while it ran the request.
struct Crash {
    BackendInstanceKey backend_;
    SteadyTime at_ {};
    /// The request was served since, or an operator cleared it.
    bool isCleared_ = false;
};

/// Crashes under one request, as one node tells another.
struct Suspect {
    RequestFingerprint request_;
    /// The organisation's name, hashed.
    std::uint32_t organisation_ = 0;
    std::vector<Crash> crashes_;

    /// Crashes that are not cleared.
    std::size_t activeCrashes() const;
};

struct QuarantineSettings {
    /// Crashes under a request after which it is sent to no further backend server.
    std::uint64_t crashes_ = 3;
    /// For how long; each crash after it doubles the time.
    milliseconds firstDuration_ { 600'000 };
    milliseconds longest_ { 24LL * 3600 * 1000 };
    /// How long crashes are remembered beyond a quarantine, or without one.
    milliseconds retention_ { 600'000 };
    /// Requests remembered, and those of one organisation among them: one that sends
    /// many different ones must not push out those of others.
    std::uint64_t capacity_ = 1024;
    std::uint64_t organisationCapacity_ = 256;
};

/// Why a request is not sent.
struct Quarantine {
    std::size_t crashes_ = 0;
    milliseconds sinceLastCrash_ {};
    milliseconds left_ {};
};

/// Crashes by request. Any two nodes that tell each other what they hold come to hold
/// the same, in whatever order they are told: crashes are only added, and only
/// cleared. Thread-safe.
class QuarantineTable {
public:
    explicit QuarantineTable(QuarantineSettings settings);

    /// Whether no request is suspected, so that none needs a fingerprint.
    bool isEmpty() const { return !count_; }
    /// \returns the crashes held against \p request now.
    std::size_t noteCrash(RequestFingerprint request, const OrganisationId& organisation, BackendInstanceKey backend, SteadyTime now);
    /// The crashes under \p request so far were not its doing. \returns whether any were
    /// held against it.
    bool clear(RequestFingerprint request, SteadyTime now);
    /// nullopt if \p request may be sent.
    std::optional<Quarantine> check(RequestFingerprint request, SteadyTime now) const;
    /// Crashes held against \p request.
    std::size_t activeCrashesOf(RequestFingerprint request) const;

    /// What to tell peers: what has changed lately, and a part of what is held against
    /// requests for those that missed it. \p draw, uniform over 64 bits, picks the part.
    std::vector<Suspect> told(SteadyTime now, std::uint64_t draw) const;
    /// Takes what a peer told; times are on this node's clock.
    void take(const std::vector<Suspect>& told, SteadyTime now);
    /// All that is held, most crashes first.
    std::vector<Suspect> suspects(SteadyTime now) const;
    /// Requests that are not sent now.
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
    void evictWeakest(std::uint32_t organisation);
    void removeExpired(SteadyTime now);
    /// nullopt if the crashes held are too few.
    std::optional<SteadyTime> quarantinedUntil(const std::vector<Crash>& crashes) const;
    SteadyTime expiryOf(const std::vector<Crash>& crashes) const;

    const QuarantineSettings settings_;
    mutable std::mutex mutex_;
    Entries entries_;
    std::atomic<std::size_t> count_ { 0 };
};

/// Decides which suspects are to be written where they outlive all nodes: those that are
/// held. Not thread-safe.
class QuarantineRecordTracker {
public:
    explicit QuarantineRecordTracker(std::uint64_t crashesToHold)
        : crashesToHold_(crashesToHold)
    {
    }

    struct Change {
        Suspect suspect_;
        /// Nothing is held against the request any more: its record goes.
        bool isDropped_ = false;
    };

    /// What differs between the records and \p suspects, which are all that is known.
    std::vector<Change> due(const std::vector<Suspect>& suspects) const;
    /// \p change is in the records.
    void noteRecorded(const Change& change);

private:
    const std::uint64_t crashesToHold_;
    /// Crashes that the record of each request holds.
    std::map<RequestFingerprint, std::size_t> recorded_;
};

/// An attempt that its backend server cut off.
struct CutOff {
    RequestFingerprint request_;
    OrganisationId organisation_;
    BackendInstanceKey backend_;
};

/// Tells crashes from connections that were lost for other reasons: attempts that were
/// cut off count against their requests once their backend server is known to have
/// ended, however much later that word comes. Thread-safe.
class CrashDetector {
public:
    explicit CrashDetector(QuarantineTable& table)
        : table_(table)
    {
    }

    /// A request against which a crash was counted.
    struct CountedRequest {
        RequestFingerprint request_;
        std::size_t crashes_ = 0;
    };

    /// What follows from an attempt that was cut off.
    struct CutOffResult {
        /// Set if its backend server was known to have ended.
        std::optional<CountedRequest> counted_;
        /// Nobody looks yet whether the backend server has ended.
        bool needsProbe_ = false;
    };

    CutOffResult noteCutOff(const CutOff& cutOff, SteadyTime now);
    /// The probe that noteCutOff() asked for is over.
    void noteProbed(BackendInstanceKey backend);
    /// \p backend ended without having said that it leaves.
    std::vector<CountedRequest> noteEnded(BackendInstanceKey backend, SteadyTime now);
    /// Whether nothing is held against any request, so that clear() does nothing.
    bool isIdle() const { return !pendingCount_ && table_.isEmpty(); }
    /// A backend server answered \p request whole, or an operator lifts it: what it is
    /// held for so far was not its doing. \returns whether it was suspected.
    bool clear(RequestFingerprint request, SteadyTime now);

private:
    struct Pending {
        CutOff cutOff_;
        SteadyTime at_ {};
    };

    void removeExpired(SteadyTime now);

    QuarantineTable& table_;
    std::mutex mutex_;
    std::vector<Pending> pending_;
    std::atomic<std::size_t> pendingCount_ { 0 };
    std::set<BackendInstanceKey> probed_;
    std::map<BackendInstanceKey, SteadyTime> ended_;
};

} // namespace pistachioloom
