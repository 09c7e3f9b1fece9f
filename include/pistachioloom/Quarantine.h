//===- pistachioloom/Quarantine.h - requests that crash backend servers ----===//
///
/// \file
/// A request may crash each backend server that runs it, and callers may repeat it at
/// any node. Counts by backend server or by attempt do not reveal this, since each crash
/// is the first of its server or attempt. The cause may be the request as a whole, or a
/// part of its prompt that it shares with other requests.
///
/// Therefore crashes are counted by the attributes of the requests that they cut off, over
/// all attempts and nodes. An attribute that most requests share is present at nearly
/// every crash, so that crashes alone do not condemn it: they are weighed against the
/// answers that requests with the attribute received. Requests with a condemned attribute
/// are quarantined: for some time, they are sent to no further server. The caller passes
/// the time in.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>

namespace pistachioloom {

/// Identifies an attribute of requests over all attempts and nodes: a 64-bit keyed digest
/// that reveals nothing about the request without the nodes' secret.
using Fingerprint = Quantity<struct FingerprintTag>;

/// What can be the cause of crashes.
enum class AttributeKind : std::uint8_t {
    /// The request as a whole. Repeats of it are answered alike, so that one answer shows that
    /// it is not the cause.
    Request,
    /// A part of a prompt. Its requests differ, and not each of them has to crash its server.
    PromptPart,
};

std::string_view toString(AttributeKind kind);

/// A property of a request that other requests may share.
struct Attribute {
    AttributeKind kind_ = AttributeKind::Request;
    Fingerprint key_;

    auto operator<=>(const Attribute&) const = default;
};

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
Fingerprint fingerprintOf(const RequestIdentity& identity, std::string_view secret);

/// \returns the fingerprint of the prompt part \p id of requests for \p service.
Fingerprint fingerprintOf(const ServiceName& service, std::string_view id, std::string_view secret);

/// \returns \p fingerprint as sixteen hexadecimal digits.
std::string toString(Fingerprint fingerprint);

/// Parses the format of toString(). \returns nullopt for any other text.
std::optional<Fingerprint> parseFingerprint(std::string_view text);

/// Hash of one incarnation of a backend server, the same as in messages; see keyOf().
using BackendIncarnationKey = Quantity<struct BackendIncarnationKeyTag, std::uint32_t>;

/// Hash of one incarnation of a node.
using NodeIncarnationKey = Quantity<struct NodeIncarnationKeyTag, std::uint32_t>;

/// A backend server crashed while it ran a request with the attribute.
struct Crash {
    BackendIncarnationKey backend_;
    SteadyTime at_ {};
    /// The attribute was found not to be the cause: its request was answered successfully
    /// afterwards, or an operator cleared it.
    bool isCleared_ = false;
    /// The number of sound answers that this node knew of some seconds before the crash. Not
    /// reported to peers.
    std::uint64_t soundBefore_ = 0;
};

/// Sound answers to requests with an attribute, as one node counted them.
struct SoundCount {
    NodeIncarnationKey node_;
    std::uint32_t count_ = 0;

    bool operator==(const SoundCount&) const = default;
};

/// An operator's order to quarantine an attribute.
struct QuarantineOrder {
    SteadyTime at_ {};
    milliseconds length_ {};
};

/// The evidence on an attribute, as nodes report it to each other.
struct Suspect {
    Attribute attribute_;
    /// The organisation's name, hashed.
    std::uint32_t organisation_ = 0;
    std::vector<Crash> crashes_;
    std::vector<SoundCount> sound_ {};
    /// When the evidence condemned the attribute; zero if it did not.
    SteadyTime condemnedAt_ {};
    /// When the attribute was found sound after that, or an operator released it; zero if
    /// neither has happened.
    SteadyTime releasedAt_ {};
    std::optional<QuarantineOrder> order_ {};

    /// \returns the number of crashes that are not cleared.
    std::size_t activeCrashes() const;
    /// \returns the number of sound answers, at least.
    std::uint64_t soundAnswers() const;
};

struct QuarantineSettings {
    /// Number of active crashes at which a request is quarantined, and the smallest number
    /// of separate crashes that condemns an attribute that requests share.
    std::uint64_t crashesToQuarantine_ = 3;
    /// Natural logarithm of the likelihood ratio at which an attribute that requests share is
    /// condemned.
    double evidenceToQuarantine_ = 7;
    /// Duration of the first quarantine; each further crash doubles it, up to
    /// `maxDuration_`.
    milliseconds initialDuration_ { 600'000 };
    milliseconds maxDuration_ { 24LL * 3600 * 1000 };
    /// How long crashes are kept after the quarantine, or after the last crash if there
    /// is no quarantine.
    milliseconds retention_ { 600'000 };
    /// Maximum number of attributes that are kept, in total and of one organisation. An
    /// organisation that sends many different requests must not evict those of others.
    std::uint64_t capacity_ = 2048;
    std::uint64_t organisationCapacity_ = 512;
};

/// State of a quarantined attribute.
struct Quarantine {
    Attribute attribute_;
    std::size_t crashes_ = 0;
    std::uint64_t soundAnswers_ = 0;
    milliseconds sinceLastCrash_ {};
    milliseconds timeLeft_ {};
    /// The quarantine has ended, and another node tries whether the attribute is sound now.
    bool isOnTrial_ = false;
};

/// An attribute that this node has just condemned, for logs.
struct Condemnation {
    Suspect suspect_;
    double evidence_ = 0;
};

/// Returns the evidence that an attribute causes crashes, as the natural logarithm of the
/// likelihood ratio of "its requests crash their server, each or one in three" to "its
/// requests are cut off as often as others", after \p crashes and \p sound answers. Crashes
/// with other explanations count as a part of one. \p background is the share of other requests
/// that crashes cut off.
double crashEvidence(double crashes, double sound, double background);

// Maximum number of crashes kept for one attribute, which is enough to double its quarantine to
// more than a day.
inline constexpr std::size_t maxCrashesKept = 12;

/// Crashes and sound answers by attribute of requests. Nodes that exchange reports converge
/// to the same state in any order of the reports, since crashes are only added, a cleared crash
/// stays cleared, counts only grow, and of two times the later one is kept. Thread-safe.
class QuarantineTable {
public:
    /// \p self identifies this node among those that count sound answers.
    explicit QuarantineTable(QuarantineSettings settings, NodeIncarnationKey self = {});

    /// Sets a hook that is called for each attribute that this node condemns, outside of locks.
    void setCondemnedHook(std::function<void(const Condemnation&)> hook) { onCondemned_ = std::move(hook); }

    /// Whether no attribute is suspected, so that no fingerprint needs to be computed.
    bool isEmpty() const { return !count_; }
    /// Records a crash of \p backend during a request with \p attribute.
    /// \returns the number of active crashes of \p attribute.
    std::size_t noteCrash(const Attribute& attribute, const OrganisationId& organisation, BackendIncarnationKey backend, SteadyTime now);
    /// Records a crash of \p backend at \p at during a request with all of \p attributes.
    /// \returns the number of active crashes of each of them.
    std::vector<std::size_t> noteCrash(std::span<const Attribute> attributes, const OrganisationId& organisation, BackendIncarnationKey backend, SteadyTime at, SteadyTime now);
    /// Records that a request with \p attributes was answered completely. \returns whether
    /// that cleared crashes of the request as a whole.
    bool noteSound(std::span<const Attribute> attributes, SteadyTime now);
    /// Clears the crashes of \p attribute, since it did not cause them, and ends its
    /// quarantine. \returns whether any of them was active, or the attribute was condemned.
    bool clear(const Attribute& attribute, SteadyTime now);
    /// Quarantines \p attribute for \p length by order of an operator.
    void order(const Attribute& attribute, milliseconds length, SteadyTime now);
    /// Returns the kind under which \p key is known.
    std::optional<AttributeKind> kindOf(Fingerprint key) const;
    /// \returns nullopt if a request with \p attribute may be sent.
    std::optional<Quarantine> check(const Attribute& attribute, SteadyTime now) const;
    /// Decides whether a request with \p attributes may be sent. After the end of a quarantine,
    /// the node that tries the attribute may send one such request a second.
    /// \returns nullopt if it may.
    std::optional<Quarantine> admit(std::span<const Attribute> attributes, SteadyTime now);
    /// Whether one of \p attributes is so likely to crash its server that a request with it
    /// should run apart from others.
    bool isSuspected(std::span<const Attribute> attributes) const;
    /// \returns the number of crashes of \p attribute that are not cleared.
    std::size_t activeCrashesOf(const Attribute& attribute) const;
    /// Whether a crash of \p backend within \p tolerance of \p at is known.
    bool hasCrashNear(BackendIncarnationKey backend, SteadyTime at, milliseconds tolerance) const;
    /// Selects by \p isOwn the attributes that this node tries after their quarantine. For one
    /// attribute it must be true at one node only. Without a selection this node tries all.
    void selectTrials(const std::function<bool(const Attribute&)>& isOwn);

    /// \returns the suspects to report to peers: those that changed recently, and some of
    /// the others for peers that missed earlier reports. \p draw, uniform over 64 bits,
    /// selects the latter.
    std::vector<Suspect> suspectsToReport(SteadyTime now, std::uint64_t draw) const;
    /// Merges the suspects that a peer reported; their times are on this node's clock.
    void mergeSuspects(const std::vector<Suspect>& reported, SteadyTime now);
    /// \returns all suspects, those with the most active crashes first.
    std::vector<Suspect> suspects(SteadyTime now) const;
    /// \returns the number of attributes that are quarantined.
    std::size_t quarantined(SteadyTime now) const;
    std::size_t quarantined(AttributeKind kind, SteadyTime now) const;
    /// Whether \p suspect is to be recorded in the storage that outlives all nodes.
    bool isCondemned(const Suspect& suspect) const;

private:
    /// The evidence on an attribute, with the part of it that the crashes of others leave.
    struct Assessment {
        double evidence_ = 0;
        /// 0 if there are too few separate crashes.
        double crashes_ = 0;
        /// Sound answers that do not count, since they came before the first crash.
        std::uint64_t soundBefore_ = 0;
        double background_ = 0;
    };
    struct Entry {
        Suspect suspect_;
        SteadyTime changedAt_ {};
        /// Sound answers that this node counted, and the number at its last change.
        std::uint32_t ownSound_ = 0;
        std::uint32_t ownSoundReported_ = 0;
        /// Numbers of sound answers known at past times, oldest first.
        std::deque<std::pair<SteadyTime, std::uint64_t>> soundMarks_;
        /// Whether this node tries the attribute after its quarantine, and its last trial.
        bool isOwnTrial_ = true;
        SteadyTime triedAt_ {};
        std::uint32_t soundTrials_ = 0;
        Assessment assessment_;
    };
    using Entries = std::map<Attribute, Entry>;
    /// A crash of one server, whichever requests it cut off.
    struct ServerCrash {
        BackendIncarnationKey backend_;
        SteadyTime at_ {};
        /// Requests of this node that it cut off.
        std::uint32_t ownCuts_ = 0;
    };
    /// Counts sound answers by attribute in two periods, so that an attribute that becomes
    /// suspected has those of the last seconds.
    struct RecentAnswers {
        SteadyTime startedAt_ {};
        std::uint64_t total_ = 0;
        std::unordered_map<std::uint64_t, std::uint32_t> byKey_;
    };

    Entry& findOrAdd(const Attribute& attribute, std::uint32_t organisation, SteadyTime now);
    static bool merge(Entry& entry, Crash crash, SteadyTime now);
    bool mergeVerdicts(Entry& entry, const Suspect& reported);
    bool mergeSound(Entry& entry, const std::vector<SoundCount>& reported);
    std::size_t noteCrashLocked(const Attribute& attribute, std::uint32_t organisation, BackendIncarnationKey backend, SteadyTime at, SteadyTime now);
    void addServerCrash(BackendIncarnationKey backend, SteadyTime at, std::uint32_t ownCuts, SteadyTime now);
    void countRecent(std::span<const Attribute> attributes, SteadyTime now);
    std::uint32_t recentSound(Fingerprint key) const;
    void addOwnSound(Entry& entry, std::uint32_t count, SteadyTime now);
    static bool clearCrashes(Entry& entry, SteadyTime now);
    void noteSoundTrial(Entry& entry, SteadyTime now);
    static void markSound(Entry& entry, SteadyTime now);
    /// Condemns the attributes that the evidence suffices for, the strongest first: the crashes
    /// that one of them explains do not count against the others.
    std::vector<Condemnation> condemn(SteadyTime now);
    /// Assesses the crashes of \p entry that are not \p explained, if they happened at
    /// \p minMoments separate times or more.
    Assessment assess(const Entry& entry, const std::vector<Crash>& explained, std::size_t minMoments) const;
    double backgroundOf(const Entry& entry, const std::vector<Crash>& explained) const;
    double momentWeight(const std::vector<Crash>& crashes, const std::vector<Crash>& explained, SteadyTime at) const;
    /// Returns the crashes that condemned attributes explain.
    std::vector<Crash> explainedCrashes(SteadyTime now) const;
    void reportCondemned(const std::vector<Condemnation>& condemned) const;
    void evictLeastSuspect(std::uint32_t organisation);
    void removeExpired(SteadyTime now);
    bool isCondemnedByEvidence(const Suspect& suspect) const;
    std::optional<SteadyTime> condemnedUntil(const Suspect& suspect) const;
    SteadyTime expiryOf(const Suspect& suspect) const;
    std::optional<Quarantine> checkLocked(const Entry& entry, SteadyTime now) const;

    const QuarantineSettings settings_;
    const NodeIncarnationKey self_;
    std::function<void(const Condemnation&)> onCondemned_;
    mutable std::mutex mutex_;
    Entries entries_;
    std::atomic<std::size_t> count_ { 0 };
    bool hasTrialSelection_ = false;
    /// Crashes of the last minutes, oldest first.
    std::deque<ServerCrash> serverCrashes_;
    RecentAnswers current_;
    RecentAnswers previous_;
};

/// Tracks which suspects are recorded in the storage that outlives all nodes. Condemned
/// suspects are recorded. Not thread-safe.
class QuarantineRecordTracker {
public:
    explicit QuarantineRecordTracker(std::function<bool(const Suspect&)> isCondemned)
        : isCondemned_(std::move(isCondemned))
    {
    }

    struct Change {
        Suspect suspect_;
        /// The attribute is not condemned any more: its record must be removed.
        bool isDropped_ = false;
    };

    /// \returns the changes that bring the records in line with \p suspects, which must
    /// be complete.
    std::vector<Change> pendingChanges(const std::vector<Suspect>& suspects) const;
    /// Notes that \p change was recorded.
    void noteRecorded(const Change& change);

private:
    /// Number of active crashes, and the time of the operator's order.
    using State = std::pair<std::size_t, SteadyTime>;
    static State stateOf(const Suspect& suspect);

    const std::function<bool(const Suspect&)> isCondemned_;
    /// The state in the record of each attribute.
    std::map<Attribute, State> recorded_;
};

/// An attempt that ended without a complete answer.
struct CutOff {
    /// The request itself first.
    std::vector<Attribute> attributes_;
    OrganisationId organisation_;
    BackendIncarnationKey backend_;
    /// Whether this node can probe the backend server.
    bool mayProbe_ = true;
};

/// What the end of an attempt says of its backend server.
enum class AttemptEnd {
    /// The backend server cut the connection off.
    CutOff,
    /// The answer ended with its connection, as an answer without a length does. The
    /// backend server may have crashed.
    ConnectionClosed,
    /// The node gave the attempt up. Whether the backend server crashed then is not known.
    GivenUp,
};

/// Distinguishes crashes from connections that were lost for other reasons. An attempt
/// that was cut off counts as a crash under its request if the node learns within 10 s,
/// before or afterwards, that the backend server has terminated. Thread-safe.
class CrashDetector {
public:
    explicit CrashDetector(QuarantineTable& table)
        : table_(table)
    {
    }

    /// An attempt with a newly counted crash.
    struct CountedCrash {
        std::vector<Attribute> attributes_;
        /// The active crashes of each attribute.
        std::vector<std::size_t> crashes_;
    };

    /// The consequences of an attempt that was cut off.
    struct CutOffResult {
        /// Set if the backend server is already known to have terminated.
        std::optional<CountedCrash> counted_;
        /// The caller must probe whether the backend server has terminated, since no other
        /// probe is running.
        bool needsProbe_ = false;
    };

    /// Records an attempt that ended without proof that its backend server is alive.
    CutOffResult noteCutOff(const CutOff& cutOff, SteadyTime now, AttemptEnd end = AttemptEnd::CutOff);
    /// Notes that the probe that noteCutOff() requested has finished. If the backend server
    /// was alive at \p aliveAt, answers that ended with their connections before were complete.
    /// \returns whether the caller must probe again, since others ended later.
    bool noteProbed(BackendIncarnationKey backend, std::optional<SteadyTime> aliveAt, SteadyTime now);
    /// Notes that \p backend terminated without having reported that it leaves.
    /// \returns the attempts with a crash counted because of this.
    std::vector<CountedCrash> noteTerminated(BackendIncarnationKey backend, SteadyTime now);
    /// Notes that \p backend accepted a connection or answered: a process runs there again.
    void noteAlive(BackendIncarnationKey backend);
    /// Whether no attempt is pending and no attribute is suspected, so that clear() has no
    /// effect.
    bool isIdle() const { return !pendingCount_ && table_.isEmpty(); }
    /// Notes that a request with \p attributes was answered completely; the request itself is
    /// first. \returns whether that cleared crashes of the request.
    bool noteSound(std::span<const Attribute> attributes, SteadyTime now);
    /// Clears the crashes of \p attribute, since an operator lifted its quarantine.
    /// \returns whether anything was held against it.
    bool clear(const Attribute& attribute, SteadyTime now);

private:
    /// An attempt whose backend server is not known to have terminated.
    struct Pending {
        CutOff cutOff_;
        SteadyTime endedAt_ {};
        AttemptEnd end_ = AttemptEnd::CutOff;
    };

    void removeExpired(SteadyTime now);
    void forgetRequest(const Attribute& request);
    bool isLikelyCrash(const Pending& pending) const;
    CountedCrash count(const CutOff& cutOff, SteadyTime at, SteadyTime now);

    QuarantineTable& table_;
    std::mutex mutex_;
    std::vector<Pending> pending_;
    std::atomic<std::size_t> pendingCount_ { 0 };
    /// Backend servers for which a probe is running.
    std::set<BackendIncarnationKey> runningProbes_;
    /// When this node learnt that a backend server had terminated.
    std::map<BackendIncarnationKey, SteadyTime> terminatedAt_;
    std::atomic<std::size_t> terminatedCount_ { 0 };
};

} // namespace pistachioloom
