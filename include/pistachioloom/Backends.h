//===- pistachioloom/Backends.h - backend servers and the choice among them -===//
///
/// \file
/// What a node knows of the backend servers that serve transparent requests:
/// their registration, the load that this node and its peers have put on them,
/// and how they have behaved. From this it chooses one for each request. Pure
/// but for a mutex: time comes in, a decision goes out.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"
#include "pistachioloom/Support.h"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>

namespace pistachioloom {

/// What a backend server registers by. It may keep its name when it starts again.
using BackendName = Id<struct BackendNameTag>;
/// When a backend server started, in ms since the start of 1970; 0 where that is
/// not told.
using BackendStartTime = Quantity<struct BackendStartTimeTag>;
/// One start of a backend server: what is believed of it ends with that start.
using BackendId = Id<struct BackendIdTag>;

/// The version of the software that a backend server runs.
using BackendVersion = Id<struct BackendVersionTag>;

/// The id of the start of \p name at \p start.
BackendId backendId(const BackendName& name, BackendStartTime start);

/// A backend server as it registered itself.
struct BackendRecord {
    BackendId id_;
    ServiceName service_;
    Endpoint endpoint_;
    DataCentreId dataCentre_;
    std::uint64_t slots_ = 1;
    /// It takes no new work.
    bool isLeaving_ = false;
    /// It may be taken away at a few seconds' notice.
    bool isReclaimable_ = false;
    BackendName name_;
    BackendStartTime startTime_ {};
    /// Empty where that is not told.
    BackendVersion version_ {};
};

/// Which versions of a service a request may be sent to while a new one is on trial.
struct VersionRule {
    BackendVersion target_;
    /// To backend servers of the target, or to the others.
    bool usesTarget_ = false;
    /// The target's part of the service's requests.
    double share_ = 0;
    /// Where there is no other backend server at all, the target's may be used.
    bool mayFallBack_ = true;

    bool isTarget(const BackendRecord& record) const { return record.version_ == target_; }
};

/// One shared piece of a prompt.
struct PromptPart {
    std::string id_;
    TokenCount tokens_;
};

/// What the choice needs to know of a request.
struct RequestShape {
    ServiceName service_;
    TokenCount promptTokens_;
    TokenCount maxOutputTokens_;
    std::vector<PromptPart> parts_;
    /// Lower is more urgent.
    unsigned urgency_ = 0;
    bool isForEngine_ = false;
    /// Backend servers crashed under it: it goes where few others would be harmed.
    bool isSuspect_ = false;
    /// Set for a stream that moves: the reclaimable engines of its data centre are
    /// taken away together, so none of them is chosen.
    std::optional<DataCentreId> reclaimedDataCentre_;
    std::optional<VersionRule> version_;
};

/// A backend server's id, hashed to 32 bits for messages. Of 2,100 servers two
/// share one with a chance of 0.05%, and then count each other's load.
using BackendKey = std::uint32_t;

BackendKey keyOf(const BackendId& id);

/// Work that some node has under way at one backend server.
struct BackendLoad {
    std::uint32_t running_ = 0;
    /// Prompt tokens of requests that have not begun to answer.
    std::uint64_t queuedTokens_ = 0;
};

/// How one request at a backend server ended.
enum class BackendOutcome {
    Served,
    /// It answered with a failure of its own.
    Failed,
    /// It said that it has no room.
    Full,
    /// Another server has its address now.
    WrongInstance,
    /// It could not be connected to.
    Unreachable,
    /// It broke off, answered wrong bytes or fell silent.
    Broken,
    /// The caller left; this says nothing of the backend server.
    Abandoned,
};

std::string_view toString(BackendOutcome outcome);

/// A backend server that was chosen, with what decided it, for the logs.
struct BackendChoice {
    BackendRecord backend_;
    /// Estimated wait for the first byte.
    milliseconds estimate_ {};
    /// The part of it that is for requests ahead of this one.
    milliseconds queueWait_ {};
    /// Candidates that were weighed.
    std::size_t candidates_ = 0;
    /// Prompt tokens that it has to read: those that it is not likely to cache.
    TokenCount uncached_;
    /// Prompt tokens that were queued there before this request.
    TokenCount queuedAhead_;
    /// Requests under way there before this one, waiting or not.
    std::uint64_t running_ = 0;
};

/// How one send to a backend server went.
struct SendResult {
    BackendOutcome outcome_ = BackendOutcome::Served;
    /// As BackendChoice told.
    TokenCount uncached_ {};
    /// Whether began() was called.
    bool hasFirstByte_ = false;
    /// From the first byte to the end.
    milliseconds streamingTime_ {};
};

/// Figures of the estimates; all may be set.
struct ChoiceSettings {
    /// Prompt tokens that an engine reads in a millisecond until it is known
    /// better from its answers.
    double prefillPerMs_ = 50;
    /// What an engine takes for a first event beside reading the prompt, until it is
    /// known better. Were it counted as reading, engines that get short prompts would seem
    /// slow, and prompts would not go where their shared part was read.
    double firstEventOverheadMs_ = 30;
    /// What one more running request adds to a request's wait, in ms: a step of
    /// a batch takes about a tenth of a millisecond longer for each.
    double delayPerRunningMs_ = 0.3;
    /// How long a request holds its slot, from its first event to its end, until the
    /// mean is learnt from answers.
    milliseconds slotHoldTime_ { 500 };
    /// What a data centre crossing weighs, in ms, beside its network delay.
    double remotePenaltyMs_ = 8;
    /// How long a shared part counts as cached after this node sent it.
    milliseconds assumedCacheLifetime_ { 20000 };
    /// First pause after failures in a row; doubles up to the longest.
    milliseconds initialEjection_ { 500 };
    milliseconds maxEjection_ { 4000 };
    /// Failures in a row that eject. One reset may be an idle connection's end.
    unsigned failuresToEject_ = 2;
    /// Loads told by peers are left out after this silence.
    milliseconds peerLoadValidity_ { 1500 };
    /// In a service with more backend servers than this, a request weighs only a
    /// sample of them, beside those that may have its prompt's part cached: nodes
    /// that all weigh all on loads 0.4 s old send what they do at the same time to
    /// the same few.
    std::size_t samplingThreshold_ = 24;
    std::size_t sampleSize_ = 4;
    /// Backend servers of a data centre that fail one after the other, while none of it
    /// answers, before it counts as cut off. A node that is cut off with its data centre
    /// would try the others' engines, one by one, for as long as the cut lasts.
    std::size_t failuresToCutOff_ = 3;
    /// How long a backend server that told it was full is passed over.
    milliseconds fullBackoff_ { 100 };
    /// The longest pause that a backend server may ask for.
    milliseconds maxPause_ { 3'600'000 };
};

/// Thread-safe.
class BackendTable {
public:
    BackendTable(DataCentreId own, ChoiceSettings settings);

    /// What put() made of a record.
    enum class PutResult {
        /// The backend server was not known.
        New,
        /// Its record was replaced.
        Updated,
        /// It started anew: what was believed of the start before is forgotten.
        Restarted,
        /// The record is of an earlier start and changes nothing.
        Outdated,
    };

    /// Adds or replaces the record of one backend server. Word of an earlier start may
    /// come late, through peers or a list that lags.
    PutResult put(const BackendRecord& record);
    void remove(const BackendId& id, SteadyTime now);
    /// Marks one as leaving without its own record: learnt from peers, or from an answer
    /// of its own. That stands against any later record of this start, also after it
    /// was removed. \returns whether it was news.
    bool setLeaving(const BackendId& id, SteadyTime now);
    /// \p id was found to have ended: it is passed over like one that failed in a row.
    void setEnded(const BackendId& id, SteadyTime now);
    /// \p id asked to be left alone for \p pause: it is not chosen until then, also
    /// where there is no other.
    void setPause(const BackendId& id, milliseconds pause, SteadyTime now);
    /// Time until a backend server of \p service may be chosen again; nullopt unless
    /// pauses alone keep all of them from it.
    std::optional<milliseconds> remainingPause(const ServiceName& service, SteadyTime now) const;
    /// Whether a request that was chosen for \p id may still be sent there.
    bool mayReceive(const BackendId& id, SteadyTime now) const;
    std::vector<BackendRecord> records() const;
    /// Equal for books that know the same backend servers, leaving or not.
    std::uint64_t fingerprint() const;
    std::optional<BackendRecord> find(const BackendId& id) const;
    /// The newest start of \p name, if it is there.
    std::optional<BackendRecord> findNewest(const BackendName& name) const;
    /// Whether \p id will be gone within seconds: it is reclaimable and leaving.
    bool isBeingReclaimed(const BackendId& id) const;

    /// Chooses for \p shape among those not in \p excluded, and counts the
    /// request as under way there until end().
    std::optional<BackendChoice> choose(const RequestShape& shape, const std::set<BackendId>& excluded, SteadyTime now);
    /// The request is sent as chosen: its tokens are demand of its service.
    void noteAdmitted(const BackendChoice& choice);
    /// The request is refused instead. Half of its tokens count as demand, since its
    /// caller returns once: counted whole, demand would be overstated in an overload.
    void noteRejected(const BackendChoice& choice);
    /// There is no backend server for the request: half of its tokens count as demand,
    /// like those of a refused one. Without it a service that has lost all of its engines
    /// is asked for nothing, and gets no new ones.
    void noteNoBackend(const RequestShape& shape);
    /// The first byte of an answer came after \p wait.
    /// \returns the wait as a multiple of the estimate for a backend server of usual speed.
    double noteFirstByte(const BackendChoice& choice, const RequestShape& shape, milliseconds wait);
    /// \p id could be connected to.
    void noteReachable(const BackendId& id);
    /// One backend server, drawn at random, of each data centre that this node does
    /// not reach as far as it knows: their connections and requests failed in a row.
    /// They are chosen only where there are no others, until noteReachable().
    std::vector<BackendRecord> unreachableSample() const;
    /// Whether \p dataCentre is not cut off as far as this node knows.
    bool isReachable(const DataCentreId& dataCentre) const;
    /// The request is over.
    void end(const BackendId& id, const SendResult& result, SteadyTime now);

    /// What this node has under way, for its peers.
    std::map<BackendKey, BackendLoad> ownLoads() const;
    void setPeerLoads(const VmId& peer, std::map<BackendKey, BackendLoad> loads, SteadyTime now);
    /// Forgets \p peer, whose loads come through another one from now on.
    void forgetPeer(const VmId& peer);

    /// What this node was asked for of one service's engines, and learnt of them.
    struct ServiceStatistics {
        /// Prompt tokens that were asked for since the start, without those cached.
        std::uint64_t tokensRequested_ = 0;
        /// Prompt tokens that an engine reads in a millisecond.
        double prefillPerMs_ = 0;
        std::uint64_t observations_ = 0;
    };
    std::map<ServiceName, ServiceStatistics> services() const;

    /// Slots of a service's backend servers that take new work, and those of them that
    /// are taken by requests of all nodes as far as known.
    struct Occupancy {
        std::uint64_t taken_ = 0;
        std::uint64_t slots_ = 0;
        std::size_t backends_ = 0;
    };
    Occupancy occupancy(const ServiceName& service) const;

    /// Backend servers of a service that take new work, by whether they are of a version.
    struct VersionCounts {
        std::size_t target_ = 0;
        std::size_t others_ = 0;
        /// Requests of all nodes at the others, also at leaving ones.
        std::uint64_t othersRunning_ = 0;
    };
    VersionCounts versions(const ServiceName& service, const BackendVersion& target) const;

private:
    struct Backend {
        BackendRecord record_;
        /// Of its id; the key is its lower half.
        std::uint64_t hash_ = 0;
        BackendKey key_ = 0;
        BackendLoad own_;
        BackendLoad peers_;
        unsigned failures_ = 0;
        SteadyTime ejectedUntil_ {};
        /// As it asked.
        SteadyTime pausedUntil_ {};
        milliseconds ejection_ {};
        /// Observed wait against the estimate; 1 is as estimated.
        double slowness_ = 1;
        /// Recent share of answers that were failures of its own.
        double failedShare_ = 0;
        std::unordered_map<std::string, SteadyTime> cached_;
    };
    struct PeerLoads {
        SteadyTime receivedAt_ {};
        std::map<BackendKey, BackendLoad> loads_;
    };

    bool isUsable(const Backend& backend, SteadyTime now) const;
    bool isReachableLocked(const DataCentreId& dataCentre) const;
    void noteReachable(const Backend& backend) { failedByDataCentre_.erase(backend.record_.dataCentre_); }
    /// A straight line through waits over prompt tokens, by least squares with
    /// fading weights: its slope is the time that a token takes to read.
    struct ServiceEstimator {
        void observeWait(double tokens, double waitedMs);
        void observeSlotHold(milliseconds held);
        double prefillPerMs(double fallback) const;
        double firstEventOverheadMs(double prefillPerMs, double fallback) const;

        std::uint64_t observations_ = 0;
        double meanTokens_ = 0;
        double meanWait_ = 0;
        double meanSquare_ = 0;
        double meanProduct_ = 0;
        std::uint64_t tokensRequested_ = 0;
        /// Mean time that a request holds its slot.
        std::optional<double> meanSlotHoldMs_;
    };

    double prefillRateOf(const ServiceName& service) const;
    double firstEventOverheadMs(const ServiceName& service) const;
    static double slowdownFactor(const Backend& backend);
    /// The wait for those that are at \p backend already.
    double queueWaitMs(const Backend& backend, const RequestShape& shape) const;
    double estimateMs(const Backend& backend, const RequestShape& shape, TokenCount uncached) const;
    double slotWaitMs(const Backend& backend) const;
    TokenCount uncachedAt(const Backend& backend, const RequestShape& shape, const BackendId& affinityBackend, SteadyTime now) const;
    /// The backend server that reads the shared part of \p shape unless it is busy.
    BackendId affinityBackendOf(const RequestShape& shape, const std::vector<Backend*>& candidates) const;
    /// Keeps those of \p candidates that \p rule allows.
    void applyVersionRule(std::vector<Backend*>& candidates, const VersionRule& rule, const ServiceName& service) const;
    /// Leaves a sample of \p candidates, and those that may have the part cached.
    void reduceToSample(std::vector<Backend*>& candidates, const RequestShape& shape, const BackendId& affinityBackend, SteadyTime now) const;
    static void releaseLoad(Backend& backend, TokenCount uncached, bool hasFirstByte);
    void recordFailure(Backend& backend, SteadyTime now);
    void sumPeerLoads(SteadyTime now);
    void forget(const BackendId& id);
    void rememberLeaving(const BackendId& id, SteadyTime now);

    const DataCentreId ownDataCentre_;
    const ChoiceSettings settings_;
    mutable std::mutex mutex_;
    std::map<BackendId, Backend> backends_;
    /// The newest start heard of by each name, also of those that are gone.
    std::map<BackendName, BackendStartTime> newestStarts_;
    /// Leaving ones whose record is gone or was never there, and since when.
    std::map<BackendId, SteadyTime> removedLeaving_;
    /// Names that are gone, oldest first.
    std::deque<BackendName> removedNames_;
    std::map<VmId, PeerLoads> peers_;
    std::map<ServiceName, ServiceEstimator> estimators_;
    /// Backend servers that failed since any of their data centre was reached.
    std::map<DataCentreId, std::set<BackendId>> failedByDataCentre_;
};

} // namespace pistachioloom
