//===- pistachioloom/Backends.h - table of backend servers, load balancing -===//
///
/// \file
/// Holds what a node knows of the backend servers that serve transparent requests: their
/// registration, the load that this node and its peers have put on them, and the
/// outcomes of their requests. The table chooses a backend server for each request from
/// this. It reads no clock and does no I/O; callers pass the time in.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"
#include "pistachioloom/Speed.h"
#include "pistachioloom/Support.h"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>

namespace pistachioloom {

/// The name by which a backend server registers. It may stay the same after a restart.
using BackendName = Id<struct BackendNameTag>;
/// The start time of a backend server in milliseconds since the Unix epoch; 0 if it is
/// not reported.
using BackendStartTime = Quantity<struct BackendStartTimeTag>;
/// Identifies one incarnation of a backend server, by name and start time. Everything
/// learnt about the server is discarded with its incarnation.
using BackendId = Id<struct BackendIdTag>;

/// The version of the software that a backend server runs.
using BackendVersion = Id<struct BackendVersionTag>;

/// Identifies a version of the software of a service's backend servers, by a hash of both.
using SoftwareKey = Quantity<struct SoftwareKeyTag>;

SoftwareKey softwareKeyOf(const ServiceName& service, const BackendVersion& version);

/// Returns the id of the incarnation of \p name that started at \p start.
BackendId backendId(const BackendName& name, BackendStartTime start);

/// A backend server as it registered itself.
struct BackendRecord {
    BackendId id_;
    ServiceName service_;
    Endpoint endpoint_;
    DataCentreId dataCentre_;
    std::uint64_t slots_ = 1;
    /// The server takes no new requests.
    bool isLeaving_ = false;
    /// The server's VM may be reclaimed at a few seconds' notice.
    bool isReclaimable_ = false;
    BackendName name_;
    BackendStartTime startTime_ {};
    /// Empty if it is not reported.
    BackendVersion version_ {};
};

/// The versions of a service to which a request may be sent during a trial.
struct VersionRule {
    BackendVersion target_;
    /// Whether the request is sent to backend servers of the target version instead of
    /// those of other versions.
    bool usesTarget_ = false;
    /// Share of the service's requests that the target version gets.
    double share_ = 0;
    /// Servers of the target version may be used if there are no others.
    bool mayFallBack_ = true;

    bool isTarget(const BackendRecord& record) const { return record.version_ == target_; }
};

/// One part of a prompt that several requests may share.
struct PromptPart {
    std::string id_;
    TokenCount tokens_;
};

/// The kinds of conditions that a backend server states about itself in its answers.
enum class ConditionKind {
    /// The server takes no new requests any more.
    Leaving,
    /// The server takes no requests for a time.
    Pause,
    /// The server takes a number of requests a second from all nodes together.
    RequestLimit,
    /// The server fails if it has to reject more than a number of requests a second for want of
    /// capacity.
    Brittle,
    /// The server's registration was removed. Unlike the others, the platform states it.
    Removed,
};

std::string_view toString(ConditionKind kind);

/// A condition that a backend server stated in an answer. It binds all nodes.
struct BackendStatement {
    BackendId backend_;
    ConditionKind kind_ = ConditionKind::Leaving;
    /// The length of a pause in ms, the requests a second of a limit, or the rejections a second
    /// that a brittle server bears. 0 means that the server has no limit, or is not brittle, any
    /// more.
    double value_ = 0;
    SteadyTime statedAt_ {};
};

/// The conditions that one answer states.
struct StatedConditions {
    bool isLeaving_ = false;
    std::optional<milliseconds> pause_ {};
    /// Requests a second from all nodes together; positive.
    std::optional<double> requestLimit_ {};
    /// Rejections a second that the server bears; positive.
    std::optional<double> maxRejections_ {};
    /// The server rejected the request for want of capacity.
    bool isFull_ = false;
};

/// The part of a backend server's request limit that one node may use.
struct RequestShare {
    /// Requests a second.
    double rate_ = 0;
    /// Requests that the node may send at once after a time without requests.
    double burst_ = 0;

    bool operator==(const RequestShare&) const = default;
};

/// Admits requests up to a rate that changes over time. It starts without credit, so that a
/// share that passes from one node to another is not used twice.
class RequestBucket {
public:
    void setShare(RequestShare share, SteadyTime now);
    /// Whether take() would admit a request.
    bool canTake(SteadyTime now) const;
    /// Takes one request out of the bucket, which must not be empty.
    void take(SteadyTime now);
    /// Puts back a request that was taken and not sent.
    void giveBack();
    /// Returns the time until a request is admitted; nullopt without a share.
    std::optional<milliseconds> timeUntilNext(SteadyTime now) const;

private:
    double creditAt(SteadyTime now) const;

    RequestShare share_;
    double credit_ = 0;
    SteadyTime updatedAt_ {};
};

/// The properties of a request on which the choice of a backend server depends.
struct RequestShape {
    ServiceName service_;
    TokenCount promptTokens_;
    TokenCount maxOutputTokens_;
    std::vector<PromptPart> parts_;
    /// Lower values are more urgent.
    unsigned urgency_ = 0;
    bool isForEngine_ = false;
    /// Backend servers have crashed while they served this request. It is sent to the
    /// server where a crash would affect the fewest other requests.
    bool isSuspect_ = false;
    /// Set for a stream that moves away from a reclaimed engine. The reclaimable engines
    /// of one data centre are reclaimed together, so that none of them is chosen.
    std::optional<DataCentreId> reclaimedDataCentre_;
    std::optional<VersionRule> version_;
    /// Set for a stream that has begun. What different software writes does not fit together,
    /// so that only backend servers with this software are chosen.
    std::optional<SoftwareKey> software_ {};
    /// The latency objective of the request's route; 0 if there is none.
    milliseconds objective_ {};
    /// Set if the request is lost unless the server takes it: only healthy, reachable servers are
    /// chosen that have a free slot, by their latest answer and by the loads of all nodes.
    bool needsRoom_ = false;
};

/// A backend server's id, hashed to 32 bits for messages. Among 2,100 servers the
/// probability of a collision is 0.05%. Of servers with equal keys, each is counted with
/// the load that is reported for any of them.
using BackendKey = std::uint32_t;

BackendKey keyOf(const BackendId& id);

/// Load that a node has in progress at one backend server.
struct BackendLoad {
    /// Requests in progress, waiting or not.
    std::uint32_t running_ = 0;
    /// Prompt tokens of requests whose answer has not started to arrive.
    std::uint64_t queuedTokens_ = 0;
    /// Recent waits for the first byte that the node observed, in hundredths; see WaitSamples.
    std::uint32_t waitSamples_ = 0;
    /// Sum of the ratios of these waits to their estimates, in thousandths.
    std::uint32_t waitRatios_ = 0;
};

/// Ratios of observed to estimated waits for the first byte at one engine. The estimate is that
/// for an engine of average speed. Count and sum halve every 10 s.
struct WaitSamples {
    /// Adds one ratio, clamped to 0.25 to 8.
    void observe(double ratio, SteadyTime now);
    /// Returns the samples as they count at \p now.
    WaitSamples at(SteadyTime now) const;
    /// Adds the samples that other nodes reported as \p load.
    void addReported(const BackendLoad& load);
    /// Writes the samples to \p load, or none if they have almost decayed.
    void putInto(BackendLoad& load) const;

    double count_ = 0;
    double ratioSum_ = 0;
    SteadyTime updatedAt_ {};
};

/// Compares the speeds of the engines of one service by the samples of all nodes.
class EngineSpeeds {
public:
    explicit EngineSpeeds(const std::vector<WaitSamples>& engines);

    /// Returns the factor by which the engine with \p samples is slower than the median; 1 if it
    /// does not count as slow. Returns nullopt if there are not enough samples of it, or not enough
    /// engines to compare it with.
    std::optional<double> slowdownOf(const WaitSamples& samples) const;

private:
    /// Median of the engines' mean ratios; nullopt if there are too few engines.
    std::optional<double> median_;
};

/// How one request at a backend server ended.
enum class BackendOutcome {
    Served,
    /// The server answered with an error of its own.
    Failed,
    /// The server reported that it has no capacity.
    Full,
    /// Another server has its address.
    WrongInstance,
    /// The connection could not be established.
    Unreachable,
    /// The answer was cut off, malformed or stalled.
    Broken,
    /// The caller disconnected, which does not indicate a fault of the backend server.
    Abandoned,
};

std::string_view toString(BackendOutcome outcome);

/// The chosen backend server with the estimates that the choice is based on, for
/// accounting and logs.
struct BackendChoice {
    BackendRecord backend_;
    /// Estimated wait for the first byte.
    milliseconds estimate_ {};
    /// The part of the estimate that is spent on requests ahead of this one.
    milliseconds queueWait_ {};
    /// Number of candidates before sampling.
    std::size_t candidateCount_ = 0;
    /// Prompt tokens that the server has to read, since it is not likely to have them
    /// cached.
    TokenCount uncachedTokens_;
    /// Prompt tokens queued at the server before this request.
    TokenCount queuedTokensAhead_;
    /// Requests in progress at the server before this one, waiting or not.
    std::uint64_t running_ = 0;
    /// The server's slowdown in estimate_ by the samples of all nodes; nullopt if the estimate
    /// contains this node's own moving average.
    std::optional<double> slowdown_ {};
};

/// The result of one attempt at a backend server.
struct SendResult {
    BackendOutcome outcome_ = BackendOutcome::Served;
    /// Copied from BackendChoice.
    TokenCount uncachedTokens_ {};
    /// Whether BackendTable::noteFirstByte() has been called.
    bool hasFirstByte_ = false;
    /// From the first byte to the end.
    milliseconds streamingTime_ {};
};

/// Parameters of the choice among backend servers.
struct ChoiceSettings {
    /// Prompt tokens that an engine reads per millisecond, used until the rate is
    /// learnt from answers.
    double prefillPerMs_ = 50;
    /// Time to the first event that does not depend on the prompt's length, in ms, used
    /// until it is learnt from answers. If it were counted as prefill time, engines that
    /// get short prompts would seem slow, and prompts would not be sent to the engine that
    /// has their shared part cached.
    double firstEventOverheadMs_ = 30;
    /// Wait that each running request adds, in ms. A batch step takes about a tenth of a
    /// millisecond longer for each request in it.
    double delayPerRunningRequestMs_ = 0.3;
    /// Time for which a request holds its slot, from its first event to its end, used
    /// until the mean is learnt from answers.
    milliseconds slotHoldTime_ { 500 };
    /// Penalty for a server in another data centre, in ms, in addition to the network
    /// latency.
    double remotePenaltyMs_ = 8;
    /// Time for which a shared prompt part counts as cached after this node sent it.
    milliseconds assumedCacheLifetime_ { 20000 };
    /// First ejection time after consecutive failures; it doubles up to maxEjection_.
    milliseconds initialEjection_ { 500 };
    milliseconds maxEjection_ { 4000 };
    /// Consecutive failures that eject a server. A single reset may only mean that an idle
    /// connection was closed.
    unsigned failuresToEject_ = 2;
    /// Loads reported by a peer are ignored when they are older than this.
    milliseconds peerLoadValidity_ { 1500 };
    /// In a service with more backend servers than this, only a random sample and the
    /// servers that may have the prompt's shared part cached are compared. If all nodes
    /// compared all servers by loads that are 0.4 s old, they would simultaneously send
    /// their requests to the same few servers.
    std::size_t samplingThreshold_ = 24;
    /// Number of servers in the random sample.
    std::size_t sampleSize_ = 4;
    /// Whether nodes tell each other how long the engines' first bytes took, and judge the speeds
    /// of engines by the samples of all nodes; see EngineSpeeds.
    bool sharesEngineSpeeds_ = false;
    /// Number of different backend servers of a data centre that must fail, with no
    /// connection to or answer from any of its servers in between, before the data centre
    /// counts as unreachable. Without this rule a node whose data centre is partitioned
    /// would try the engines of other data centres one by one for as long as the partition
    /// lasts.
    std::size_t unreachableThreshold_ = 3;
    /// Time for which a backend server that reported that it is full is chosen only if
    /// there is no other.
    milliseconds fullBackoff_ { 100 };
    /// Part of a brittle server's slots that all nodes together may take. A cancelled request may
    /// hold its slot for longer than its node counts it.
    double brittleFill_ = 0.9;
    /// Pause for all nodes after a brittle server rejected a request for want of capacity. Each
    /// node takes a random time of up to one and a half times as long.
    milliseconds brittlePause_ { 500 };
    /// Upper bound of the pause that a backend server may ask for.
    milliseconds maxPause_ { 3'600'000 };
};

/// The backend servers that a node knows, and the choice among them. Thread-safe.
class BackendTable {
public:
    BackendTable(DataCentreId own, ChoiceSettings settings);

    /// The effect of put().
    enum class PutResult {
        /// The backend server was unknown.
        New,
        /// Its record was replaced.
        Updated,
        /// The backend server has restarted; what was learnt about its earlier incarnation
        /// is discarded.
        Restarted,
        /// The record is of an earlier incarnation and changes nothing.
        Outdated,
    };

    /// Adds or replaces the record of one backend server. Records of an earlier
    /// incarnation may arrive late, through peers or from a list that lags behind.
    PutResult put(const BackendRecord& record);
    void remove(const BackendId& id, SteadyTime now);
    /// Marks a backend server as leaving, as reported by peers or by one of its answers.
    /// No later record of this incarnation reverts that, not even after a removal.
    /// \returns whether the server was known and not marked before.
    bool setLeaving(const BackendId& id, SteadyTime now);
    /// Notes that a list of the platform that was read at \p readAt has been applied. Servers that it contains
    /// are registered, whatever removals were reported before then.
    void noteListRead(SteadyTime readAt);
    /// Notes that the newest list does not contain \p id, which this node keeps for a while since it may
    /// register again. Ends with put().
    void setUnlisted(const BackendId& id);
    bool isUnlisted(const BackendId& id) const;
    /// Whether another node reported that the registration of \p id was removed, and no newer list has
    /// contained it.
    bool isRemoved(const BackendId& id) const;
    /// Notes that \p id has terminated, and ejects it for ChoiceSettings::maxEjection_ as
    /// after consecutive failures.
    void setTerminated(const BackendId& id, SteadyTime now);
    /// Notes that \p id asked for no requests for \p pause. It is not chosen before then,
    /// even if there is no other server.
    void setPause(const BackendId& id, milliseconds pause, SteadyTime now);
    /// Applies what an answer to a request that was sent at \p sentAt states of \p id. A limit
    /// ends with the answer to a later request that does not state it.
    /// \returns the statements that peers must know.
    std::vector<BackendStatement> applyAnswer(const BackendId& id, const StatedConditions& stated, SteadyTime sentAt, SteadyTime now);
    /// Applies a statement, unless a later one of the same kind is known.
    /// \returns whether this node did not know the condition.
    bool applyStatement(const BackendStatement& statement, SteadyTime now);
    /// Returns the brittle backend servers, and how many of their slots the nodes may take.
    std::vector<std::pair<BackendId, std::uint64_t>> brittleSlots() const;
    /// Sets the number of requests that this node may have at a brittle server. Until then it
    /// may have one.
    void setSlotShare(const BackendId& id, std::uint64_t slots);
    /// Returns the backend servers that stated a limit, and their requests a second.
    std::vector<std::pair<BackendId, double>> requestLimits() const;
    /// Sets this node's share of the request limit of \p id. Until then, the node sends it no
    /// requests.
    void setRequestShare(const BackendId& id, RequestShare share, SteadyTime now);
    /// Returns the time until the first backend server of \p service takes a request of this
    /// node, if all of them are paused or have no part of their limit left for it. Leaving
    /// servers do not count, nor do those with other software than \p software, if it is set.
    /// Returns nullopt if a server takes requests now, or if there are none.
    std::optional<milliseconds> timeUntilUsable(const ServiceName& service, const std::optional<SoftwareKey>& software, SteadyTime now) const;
    /// Returns the service of which backend servers with \p software take new requests.
    std::optional<ServiceName> serviceServing(SoftwareKey software) const;
    /// Returns the software of the backend servers of \p service, if all of those that were
    /// registered at any time since \p since have the same.
    std::optional<SoftwareKey> soleSoftware(const ServiceName& service, SteadyTime since, SteadyTime now);
    /// Whether a request for which \p id was chosen may still be sent there.
    bool mayReceive(const BackendId& id, SteadyTime now) const;
    std::vector<BackendRecord> records() const;
    /// Returns a hash that is equal for tables with the same backend servers, of which the same
    /// are leaving or removed.
    std::uint64_t fingerprint() const;
    /// Divides the backend servers into \p buckets groups by name, and returns a hash of each
    /// group that is equal for equal groups, as fingerprint() is for tables. Two nodes
    /// find the groups in which their tables differ by comparing these.
    std::vector<std::uint64_t> bucketFingerprints(std::size_t buckets) const;
    /// Returns the backend servers of the groups that \p isIncluded selects by index.
    std::vector<BackendRecord> recordsIn(const std::vector<bool>& isIncluded) const;
    /// Returns the number of backend servers.
    std::size_t size() const;
    std::optional<BackendRecord> find(const BackendId& id) const;
    /// Returns the newest incarnation of \p name, if the table holds it.
    std::optional<BackendRecord> findNewest(const BackendName& name) const;
    /// Whether \p id is reclaimable and leaving, so that its VM is reclaimed within
    /// seconds.
    bool isBeingReclaimed(const BackendId& id) const;

    /// Chooses a backend server for \p shape among those not in \p excluded, and counts the
    /// request as in progress there until end().
    std::optional<BackendChoice> choose(const RequestShape& shape, const std::set<BackendId>& excluded, SteadyTime now);
    /// Notes that the request is sent as chosen. Its uncached tokens count as demand of its
    /// service.
    void noteAdmitted(const BackendChoice& choice);
    /// Notes that the request is rejected instead. Half of its tokens count as demand,
    /// since its caller retries once: counting all of them would overstate the demand in an
    /// overload.
    void noteRejected(const BackendChoice& choice);
    /// Reverts choose(): the request is not sent as chosen.
    void withdraw(const BackendChoice& choice);
    /// Notes that there is no backend server for the request. Half of its tokens count as
    /// demand, like those of a rejected request. Otherwise a service that has lost all of
    /// its engines would show no demand and get no new ones.
    void noteNoBackend(const RequestShape& shape);
    /// Notes that the first byte of an answer arrived after \p wait.
    /// \returns the wait as a multiple of the estimate for a backend server of average
    /// speed.
    double noteFirstByte(const BackendChoice& choice, const RequestShape& shape, milliseconds wait, SteadyTime now);
    /// Notes that a connection to \p id could be established.
    void noteReachable(const BackendId& id);
    /// Returns a number that grows with each sign of life of any backend server.
    std::uint64_t latestAliveOrder() const;
    /// Whether \p id has given a sign of life since latestAliveOrder() was \p order.
    bool wasAliveSince(const BackendId& id, std::uint64_t order) const;
    /// Returns one random backend server of each data centre that counts as unreachable,
    /// since connections and requests to several of its servers have failed without a
    /// success in between. Servers of such a data centre are chosen only if there are no
    /// others, until noteReachable().
    std::vector<BackendRecord> unreachableSample() const;
    /// Discards the failures of the backend servers of \p service. They say nothing of the
    /// servers if this node has lost its paths to all of them.
    void forgetFailures(const ServiceName& service, SteadyTime now);
    /// Returns up to \p count backend servers of \p service that take new requests, of as many data
    /// centres as possible, and of each those that showed last that they are alive: by
    /// registering, or by a connection or an answer.
    std::vector<BackendRecord> sampleOf(const ServiceName& service, std::size_t count) const;
    /// Whether \p dataCentre counts as reachable from this node.
    bool isReachable(const DataCentreId& dataCentre) const;
    /// Ends a request at \p id and applies its outcome.
    void end(const BackendId& id, const SendResult& result, SteadyTime now);

    /// Returns the load that this node has in progress and the waits that it observed, to be
    /// reported to its peers.
    std::map<BackendKey, BackendLoad> ownLoads(SteadyTime now) const;
    void setPeerLoads(const VmId& peer, std::map<BackendKey, BackendLoad> loads, SteadyTime now);
    /// Discards the loads of \p peer, which another peer reports from now on.
    void forgetPeer(const VmId& peer);

    /// The demand that this node has for one service's engines, and their learnt speed.
    struct ServiceStatistics {
        /// Uncached prompt tokens requested since this node started.
        std::uint64_t tokensRequested_ = 0;
        /// Prompt tokens that an engine reads per millisecond.
        double prefillPerMs_ = 0;
        std::uint64_t observations_ = 0;
        /// The observed waits from which this node's fit follows.
        SpeedMoments moments_;
    };
    std::map<ServiceName, ServiceStatistics> services() const;

    /// Slots of a service's backend servers that take new requests, and how many of them
    /// are taken by requests of this node and, as reported, of its peers.
    struct Occupancy {
        std::uint64_t takenSlots_ = 0;
        std::uint64_t slots_ = 0;
        std::size_t backends_ = 0;
        /// Backend servers at which peers have requests in progress.
        std::size_t loadedByPeers_ = 0;
        /// When the newest loads of a peer arrived; nullopt if there are none.
        std::optional<SteadyTime> peersReportedAt_ {};
    };
    Occupancy occupancy(const ServiceName& service) const;

    /// Returns the factor by which \p id is slower than the median of its service's engines by the
    /// samples of all nodes, as of the last choice; nullopt if there are too few samples, or not more
    /// engines than ChoiceSettings::samplingThreshold_.
    std::optional<double> slowdownOf(const BackendId& id) const;

    /// Backend servers of a service that take new requests, of a target version and of
    /// others.
    struct VersionCounts {
        std::size_t target_ = 0;
        std::size_t others_ = 0;
        /// Requests of all nodes at servers of other versions, including leaving ones.
        std::uint64_t othersRunning_ = 0;
    };
    VersionCounts versions(const ServiceName& service, const BackendVersion& target) const;

private:
    struct Backend {
        BackendRecord record_;
        /// Hash of the id; key_ is its lower half.
        std::uint64_t hash_ = 0;
        std::uint64_t nameHash_ = 0;
        BackendKey key_ = 0;
        SoftwareKey software_ {};
        /// Orders the servers by when they last showed that they are alive.
        std::uint64_t aliveOrder_ = 0;
        BackendLoad ownLoad_;
        BackendLoad peerLoad_;
        /// Consecutive failures.
        unsigned consecutiveFailures_ = 0;
        SteadyTime ejectedUntil_ {};
        /// When another node found that its registration was removed; zero if it is registered as far as
        /// this node knows.
        SteadyTime removedAt_ {};
        /// Whether the newest list does not contain it.
        bool isUnlisted_ = false;
        /// Whether the latest answer to a request of this node said that the server is full.
        bool isFull_ = false;
        /// End of the pause that the server asked for.
        SteadyTime pausedUntil_ {};
        /// A number that the server states in its answers for as long as it holds.
        struct StatedNumber {
            /// 0 if it does not hold.
            double value_ = 0;
            /// When the server last stated the number, or left it out.
            SteadyTime statedAt_ {};

            bool holds() const { return value_ > 0; }
        };
        /// Requests a second that the server takes from all nodes.
        StatedNumber requestLimit_;
        /// Rejections a second that the server bears.
        StatedNumber maxRejections_;
        /// Requests that this node may have at the server while it is brittle. Nodes know each
        /// other's loads too late to fill a server together.
        std::uint64_t slotShare_ = 1;
        /// This node's part of the limit.
        RequestBucket bucket_;

        /// Whether the server is registered and not leaving.
        bool isAccepting() const { return !record_.isLeaving_ && removedAt_ == SteadyTime {}; }
        StatedNumber& numberOf(ConditionKind kind) { return kind == ConditionKind::Brittle ? maxRejections_ : requestLimit_; }
        /// Duration of the last ejection; 0 after a successful request.
        milliseconds ejectionTime_ {};
        /// Moving average of observed waits as multiples of their estimates; 1 if they
        /// are as estimated.
        double slowness_ = 1;
        /// Waits that this node observed.
        WaitSamples waits_;
        /// Slowdown by the samples of all nodes; nullopt if there are too few.
        std::optional<double> slowdown_;
        /// Moving average of the share of requests that the server failed.
        double failedShare_ = 0;
        /// Time at which this node last sent each shared prompt part, by the part's id.
        std::unordered_map<std::string, SteadyTime> partSentAt_;
    };
    struct PeerLoads {
        SteadyTime receivedAt_ {};
        std::map<BackendKey, BackendLoad> loads_;
    };

    bool isUsable(const Backend& backend, SteadyTime now) const;
    static bool hasRoom(const Backend& backend);
    /// Whether \p backend takes a request of this node, as far as its conditions say.
    bool takesRequests(const Backend& backend, SteadyTime now) const;
    static bool applyNumber(Backend& backend, ConditionKind kind, double value, SteadyTime statedAt);
    static void applyStatedNumber(Backend& backend, ConditionKind kind, const std::optional<double>& stated, SteadyTime sentAt, SteadyTime now, std::vector<BackendStatement>& statements);
    bool isReachableLocked(const DataCentreId& dataCentre) const;
    void noteReachable(Backend& backend)
    {
        backend.aliveOrder_ = ++lastAliveOrder_;
        failedByDataCentre_.erase(backend.record_.dataCentre_);
    }
    /// Learns a service's speed from the waits of this node's requests.
    struct ServiceEstimator {
        void observeWait(double tokens, double waitedMs);
        void observeSlotHold(milliseconds held);

        std::uint64_t observations_ = 0;
        SpeedMoments moments_;
        std::uint64_t tokensRequested_ = 0;
        /// Moving average of the time for which a request holds its slot.
        std::optional<double> meanSlotHoldMs_;
    };

    double prefillRateOf(const ServiceName& service) const;
    double firstEventOverheadMs(const ServiceName& service) const;
    static double slowdownFactor(const Backend& backend);
    /// Returns the same by the waits that this node alone observed.
    static double ownSlowdownFactor(const Backend& backend);
    /// Compares the engines of each service by the samples of this node and its peers, unless
    /// this was done recently.
    void updateSpeeds(SteadyTime now);
    /// Returns the estimated wait for requests that are at \p backend already.
    double queueWaitMs(const Backend& backend, const RequestShape& shape) const;
    double estimateMs(const Backend& backend, const RequestShape& shape, TokenCount uncached) const;
    /// Returns the estimate with the penalty for another data centre.
    double scoreMs(const Backend& backend, const RequestShape& shape, TokenCount uncached) const;
    /// Returns the engine that \p shape prefers to \p chosen, since it has read the shared part;
    /// nullptr if there is none.
    Backend* preferredReader(const RequestShape& shape, const std::vector<Backend*>& candidates, const BackendId& affinityBackend, const Backend& chosen, SteadyTime now) const;
    /// Returns the estimated wait for a slot, which is 0 while a slot is free.
    double slotWaitMs(const Backend& backend) const;
    /// Returns the prompt tokens of \p shape that \p backend has to read, since it is
    /// not likely to have them cached.
    TokenCount uncachedAt(const Backend& backend, const RequestShape& shape, const BackendId& affinityBackend, SteadyTime now) const;
    /// Returns the backend server that gets requests with the shared part of \p shape
    /// unless it is busy, by rendezvous hashing; empty if the prompt has no shared part.
    BackendId affinityBackendOf(const RequestShape& shape, const std::vector<Backend*>& candidates) const;
    /// Removes the \p candidates that \p rule does not allow.
    void applyVersionRule(std::vector<Backend*>& candidates, const VersionRule& rule, const ServiceName& service) const;
    /// Reduces \p candidates to a random sample and those that may have the shared part
    /// cached.
    void reduceToSample(std::vector<Backend*>& candidates, const RequestShape& shape, const BackendId& affinityBackend, SteadyTime now) const;
    void withdrawLocked(const BackendChoice& choice);
    static void releaseLoad(Backend& backend, TokenCount uncached, bool hasFirstByte);
    void recordFailure(Backend& backend, SteadyTime now);
    void sumPeerLoads(SteadyTime now);
    bool setRemoved(const BackendId& id, SteadyTime removedAt);
    /// Discards the record of \p id and everything learnt about it.
    void forget(const BackendId& id);
    void erase(std::map<BackendId, Backend>::iterator backend, std::optional<SteadyTime> removedAt);
    void rememberSoftware(const Backend& backend, std::optional<SteadyTime> removedAt);
    /// Notes that \p id is leaving although it has no record, so that a record that
    /// arrives later is marked as leaving.
    void rememberLeaving(const BackendId& id, SteadyTime now);

    const DataCentreId ownDataCentre_;
    const ChoiceSettings settings_;
    mutable std::mutex mutex_;
    std::uint64_t lastAliveOrder_ = 0;
    std::map<BackendId, Backend> backends_;
    /// The value of fingerprint(); nullopt after a change.
    mutable std::optional<std::uint64_t> fingerprint_;
    /// Newest known start time by name, including removed servers.
    std::map<BackendName, BackendStartTime> newestStarts_;
    /// Leaving servers without a record, and the time at which each of them was reported
    /// as leaving or removed.
    std::map<BackendId, SteadyTime> removedLeaving_;
    /// Software of which a backend server was removed, by service, and when the last one was;
    /// nullopt if the time has not been noted yet.
    std::map<ServiceName, std::map<SoftwareKey, std::optional<SteadyTime>>> removedSoftware_;
    /// Names of removed servers, oldest first.
    std::deque<BackendName> removedNames_;
    /// When the newest list that was applied had been read from the platform.
    SteadyTime listReadAt_ {};
    std::map<VmId, PeerLoads> peers_;
    SteadyTime peerLoadsAt_ {};
    SteadyTime speedsUpdatedAt_ {};
    std::map<ServiceName, ServiceEstimator> estimators_;
    /// By data centre, the backend servers that failed since a connection to or an answer
    /// from any server of the data centre last succeeded.
    std::map<DataCentreId, std::set<BackendId>> failedByDataCentre_;
};

} // namespace pistachioloom
