//===- lib/Forward/RequestForwarder.h - processing of one request ---------===//
///
/// \file
/// Processes a complete request up to its one final answer: admission, choice of a
/// backend server, sends, and retry or resumption on another backend server where
/// that is allowed.
//===----------------------------------------------------------------------===//
#pragma once

#include "AutoResetEvent.h"
#include "CallerConnection.h"
#include "ConnectionPool.h"
#include "EventSplitter.h"
#include "pistachioloom/Answers.h"

namespace pistachioloom {

/// The outcome of one send to a backend server, as it matters to the request.
enum class SendOutcome {
    /// The caller has received the complete answer.
    Delivered,
    /// The answer is complete and held. It may be delivered, or the request retried.
    Held,
    /// The request certainly did not run on the backend server.
    NotRun,
    /// The connection failed, so nothing reached the backend server.
    Unreachable,
    /// The request may have run, and there is no complete answer.
    Lost,
    /// The caller has disconnected, or the deadline has passed.
    Stopped,
    /// All connections that this worker may open to the backend server are in use.
    NoConnection,
    /// Nothing was sent, because the backend server no longer accepts requests.
    NotAccepting,
    /// Nothing was sent: this node reaches no server of the service, and no peer opened a
    /// connection for it.
    NoPath,
    /// The stream was stopped to resume on another engine, for which its move took a retry.
    Moved,
};

/// What the id in an answer says of the request that it answers.
enum class AnswerIdentity {
    /// No head of an answer has arrived.
    NoAnswer,
    /// The answer has the id of the request.
    Own,
    /// The answer has the id of another request.
    Other,
    /// The answer has no id.
    None,
};

/// What is known of the run at the engine that a stream moves from.
enum class StopState {
    NotOrdered,
    /// The engine was told to stop the run, and has not answered.
    Ordered,
    Stopped,
    /// The engine answered that the run goes on or had ended, or was not reached.
    NotStopped,
    /// The engine's answer does not tell, or none arrived.
    Unknown,
};

const char* toString(StopState state);

/// Why a send was stopped before its end.
enum class StopReason {
    None,
    CallerDisconnected,
    /// The caller's deadline or the route's timeout.
    DeadlineExceeded,
    /// The backend server did not respond within the wait limit.
    WaitLimitExceeded,
    /// The grace time of this node is over.
    NodeStopping,
};

/// Forwards one request and delivers its answer.
class RequestForwarder : public std::enable_shared_from_this<RequestForwarder> {
public:
    RequestForwarder(ForwardContext& context, ConnectionPool& pool, std::shared_ptr<CallerConnection> caller, CallerRequest request);

    /// Serves the request. \returns whether the connection may be kept.
    asio::awaitable<bool> run();

private:
    /// One send to a backend server and its results.
    struct Attempt {
        BackendChoice choice_;
        /// The location of a KV cache that the server has; empty if it has none.
        std::string resumeFrom_;
        BackendConnectionPtr connection_;
        SteadyTime startedAt_ {};
        /// When the request was sent; zero before that.
        SteadyTime sentAt_ {};
        /// When the backend server stops work on the request, by the deadline that it was given, at the earliest.
        SteadyTime stopsAt_ {};
        /// Whether the request was sent and no part of an answer has arrived.
        bool isWaiting_ = false;
        /// Whether the connection has served other requests.
        bool isReused_ = false;
        /// Whether the connection is one through a peer, and the peer.
        bool isRelayed_ = false;
        VmId via_;
        bool hasFirstByte_ = false;
        SteadyTime firstByteAt_ {};
        /// Whether the backend server closed the connection before the end of its answer.
        bool isCutOff_ = false;
        /// Whether the answer had no length, so that the end of the connection ended it.
        bool endsWithConnection_ = false;
        /// How the end of the answer is marked; empty without a head.
        const char* framing_ = "";
        /// Whether the answer went on for long enough to show that its prompt does not crash
        /// the backend server.
        bool hasGoneOn_ = false;
        /// Whether the answer reported that the backend server is leaving.
        bool reportsLeaving_ = false;
        /// The pause that the answer asked for.
        milliseconds pause_ {};
        /// The text of the request limit that the answer stated; empty if there was none.
        std::string limit_;
        AnswerIdentity answerIdentity_ = AnswerIdentity::NoAnswer;
        /// The status of the answer; 0 if none arrived.
        int answerStatus_ = 0;
        /// When the head of the answer had arrived.
        SteadyTime answeredAt_ {};
        /// The wait for the first byte as a multiple of its estimate.
        double waitRatio_ = 1;
        /// The id of the last event that the caller had before the attempt.
        std::uint64_t lastEventBefore_ = 0;
        /// A short reason for the outcome, for logs and rejections; empty if the answer
        /// was delivered.
        std::string detail_;
    };
    /// A complete answer that is not yet delivered.
    struct HeldAnswer {
        int status_ = 0;
        HeaderFields fields_;
        std::string body_;
    };

    /// Why a request was refused because engines are lacking or busy, for its log line.
    struct CapacityRefusal {
        /// Estimated wait and its bound; nullopt if there is no engine.
        std::optional<milliseconds> queueWait_ {};
        milliseconds maxQueueWait_ {};
        /// Engines expected after a loss; nullopt if there was none.
        std::optional<ExpectedEngines> expected_ {};
        /// The delay that the caller is told.
        milliseconds retryAfter_ {};
    };

    // Checks before the first attempt.
    std::optional<HeldAnswer> admit();
    std::optional<HeldAnswer> authorise();
    std::optional<HeldAnswer> takeQuota();
    /// Whether the request leaves capacity to more urgent ones; see Route::isDeferrable_.
    bool isDeferrable() const;
    RequestShape shapeOf() const;

    // The software of streams.
    OrganisationId organisationName() const;
    asio::awaitable<void> findSoftware();
    asio::awaitable<FoundOrigin> findOrigin(std::string begin);
    std::optional<HeldAnswer> applyOrigin(const FoundOrigin& found);
    asio::awaitable<FoundOrigin> soleOrigin();
    std::optional<SoftwareKey> soleSoftware() const;
    HeldAnswer rejectUnserved() const;
    bool isUnserved() const;
    std::optional<BackendChoice> chooseBackend(RequestShape& shape, RolloutTracker::SendKind kind);
    void noteStreamBegun(const Attempt& attempt);
    asio::awaitable<bool> waitForServer();

    // Attempts at backend servers.
    asio::awaitable<void> serve();
    /// Sends the request to one backend server after the other.
    asio::awaitable<void> tryBackends();
    asio::awaitable<SendOutcome> send(Attempt& attempt);
    /// \returns SendOutcome::Held if the attempt has a connection, or the outcome of
    /// the failed attempt.
    asio::awaitable<SendOutcome> connect(Attempt& attempt);
    asio::awaitable<SendOutcome> connectThroughPeer(Attempt& attempt);
    bool mayConnect(const BackendId& backend) const;
    bool mayReuseConnection(const BackendId& backend) const;
    asio::awaitable<SendOutcome> receive(Attempt& attempt);
    bool isForwardedAsItArrives(const Attempt& attempt) const;
    asio::awaitable<SendOutcome> receiveFullAnswer(Attempt& attempt, AnswerReader& reader);
    asio::awaitable<SendOutcome> forwardEvents(Attempt& attempt, AnswerReader& reader);
    asio::awaitable<boost::beast::error_code> readSome(Attempt& attempt, AnswerReader& reader);
    bool mayRetry(SendOutcome end);
    /// The answer to a request that would have to wait for too long; see Admission.h.
    std::optional<HeldAnswer> rejectLongWait(const BackendChoice& choice);
    milliseconds delayUntilEngines(TokenCount tokens, milliseconds retryAfter);
    bool mayRetryElsewhere(const Attempt& attempt) const;
    /// Chooses the server that takes the place of the current attempt, and takes a retry for it.
    /// \returns false if no healthy server takes it or no retry is left.
    bool reserveReplacement();
    /// Reverts the choice of a replacement that is not used.
    void dropReplacement();
    asio::awaitable<SendOutcome> handleStreamBreak(Attempt& attempt, const boost::system::error_code& code);
    bool checkStopAtDeadline(const Attempt& attempt, const AnswerReader& reader);

    // Moves of a running stream.
    bool shouldMove(const Attempt& attempt) const;
    asio::awaitable<void> waitForMove();
    asio::awaitable<bool> awaitStopForMove(const Attempt& attempt);
    bool mayHaveStoppedRun() const;
    asio::awaitable<void> dropCopy(StreamCopy copy, std::string resumeFrom);
    void startMove(const Attempt& attempt);
    asio::awaitable<void> move(BackendRecord from, BackendChoice to);
    std::optional<BackendChoice> takeMoveTarget();
    void releaseTarget(const BackendChoice& to);
    void cancelMove();
    void finishAttempt(Attempt& attempt, SendOutcome end);
    /// Records what the end of the attempt says of crashes under the request's attributes.
    void noteEvidence(const Attempt& attempt, SendOutcome end);
    /// Records that the attempt ended without proof that its backend server is alive, and
    /// probes in the background whether it has terminated.
    void noteCutOff(const Attempt& attempt, AttemptEnd end);
    void noteGoingOn(Attempt& attempt);
    /// Reports the outcome of an attempt to the roll-out of its backend server's version.
    void noteVersionOutcome(const Attempt& attempt, BackendOutcome outcome);
    Fingerprint fingerprint();
    /// The request's attributes by which crashes are counted, the request itself first.
    std::vector<Attribute> attributes();
    std::vector<Attribute> promptAttributes() const;
    std::string promptFingerprints() const;
    /// The answer to a quarantined request; nullopt if the request is not quarantined.
    std::optional<HeldAnswer> rejectQuarantined();
    void noteSound(const Attempt& attempt);
    void logAttempt(const Attempt& attempt, BackendOutcome outcome, milliseconds took);
    void logQuarantined(const Quarantine& quarantine);
    void logRejection(const HeldAnswer& answer) const;
    void addCapacityInputs(LogLine& line) const;
    AnswerIdentity identityOf(const AnswerReader& reader) const;
    void noteAnswerHead(Attempt& attempt, const AnswerReader& reader);
    bool isToThisRequest(const Attempt& attempt) const;
    std::optional<SendOutcome> checkAnswerHead(Attempt& attempt, const AnswerReader& reader);
    /// Records the conditions that an answer states of its backend server.
    void noteBackendState(Attempt& attempt, const AnswerReader& reader);
    void startWriting(Attempt& attempt);
    std::string renderRequestHead(const Attempt& attempt) const;
    void noteAnswering(Attempt& attempt);
    void noteFirstByte(Attempt& attempt);
    void releaseConnection(Attempt& attempt, const AnswerReader& reader);

    // Answers to the caller.
    asio::awaitable<bool> deliver(HeldAnswer answer);
    asio::awaitable<bool> startEvents(const HeaderFields& fields);
    asio::awaitable<bool> writeEvents(std::string events);
    HeldAnswer rejection(int status, std::string reason, milliseconds retryAfter) const;
    HeldAnswer finalFailure();
    /// Reports an answer that this node ends although its server is at work and time is left.
    void noteEndedEarly() const;
    /// The idle timeout of the caller's connection, of which the answer's Keep-Alive header
    /// announces a part; nullopt if the connection closes after the answer.
    std::optional<milliseconds> announcedIdle();

    // Deadlines and timers.
    void armTimer();
    void onTimer();
    void checkPaths(SteadyTime now);
    void checkSilence(SteadyTime now);
    void stop(StopReason reason);
    template <typename T>
    struct Pending;
    template <typename T>
    static asio::awaitable<void> resolve(std::shared_ptr<Pending<T>> pending, asio::awaitable<T> operation, std::function<void(T&)> discard);
    /// Returns the result of \p operation, or nullopt if the request is stopped first or the operation throws.
    /// An operation that is not awaited to its end goes on, and \p discard receives its result.
    template <typename T>
    asio::awaitable<std::optional<T>> resultUntilStopped(asio::awaitable<T> operation, std::function<void(T&)> discard = {});
    /// Ends the request because the grace time is over. \returns whether it gets an answer.
    bool endByNode();
    /// Whether a server may have run a part of the request, so that it has to go on at another one, and no
    /// answer is at hand.
    bool mustGoOn() const { return hasStartedAnswer_ || (mayHaveRun_ && !heldAnswer_); }
    /// Whether the request was stopped for a reason that another attempt would not change.
    bool isStoppedForGood() const;
    milliseconds timeLeft() const;
    bool isHead() const { return equalWithoutCase(request_.method_, "HEAD"); }

    ForwardContext& context_;
    ConnectionPool& pool_;
    std::shared_ptr<CallerConnection> caller_;
    CallerRequest request_;
    std::string attemptId_;

    std::shared_ptr<const RouteTable> table_;
    const Route* route_ = nullptr;
    const OrganisationPolicy* organisation_ = nullptr;
    RequestShape shape_;
    unsigned urgency_ = 0;
    /// What the request takes from its organisation's quota, in requests or tokens.
    double quotaCost_ = 0;
    bool hasQuota_ = false;
    /// Set if the request was refused because of its organisation's quota.
    std::optional<QuotaRefusal> quotaRefusal_;
    /// Set if the request was refused because engines are lacking or busy.
    std::optional<CapacityRefusal> capacityRefusal_;

    SteadyTime deadline_ {};
    /// The end of the wait limit of the current attempt; SteadyTime::max() if it has
    /// none.
    SteadyTime waitDeadline_ {};
    /// When to check next whether the paths of the current attempt are lost; SteadyTime::max()
    /// if the attempt could not be replaced.
    SteadyTime pathCheckAt_ = SteadyTime::max();
    /// ServicePaths::lossCount() when the current attempt was sent.
    std::uint64_t lossCount_ = 0;
    SteadyTimer timer_;
    StopReason stopReason_ = StopReason::None;
    /// Ends the wait of resultUntilStopped().
    std::function<void()> onStop_;
    BackendConnectionPtr currentConnection_;
    /// Whether the request was sent in the current attempt, so that its server may be at work.
    bool isAttemptSent_ = false;
    /// The choice for the next attempt, for which a retry was taken. Set when the current attempt
    /// is given up.
    std::optional<BackendChoice> replacement_;

    /// Backend servers of the attempts so far, which are not chosen again.
    std::set<BackendId> excludedBackends_;
    /// Sends that count against Route::maxAttempts_.
    unsigned sendCount_ = 0;
    /// Attempts that sent nothing, for example because the connection failed.
    unsigned unsentAttempts_ = 0;
    /// Whether no backend server could be chosen for the request.
    bool hasNoBackend_ = false;
    /// Whether no peer reaches the service either.
    bool isRejectedByPeers_ = false;
    /// Whether a backend server may have run the request.
    bool mayHaveRun_ = false;
    /// Whether the first byte of an answer has arrived, so that the request counts as
    /// started.
    bool hasCountedStart_ = false;
    bool hasStartedAnswer_ = false;
    /// Whether a whole answer is being written, so that no server is needed for the rest of it.
    bool isWritingAnswer_ = false;
    /// The status of the answer that has been started.
    int startedStatus_ = 0;
    /// Whether the caller has the complete answer.
    bool isDelivered_ = false;
    bool isFinished_ = false;
    bool keepsConnection_ = false;
    EventSplitter eventSplitter_ { std::nullopt };
    /// Whether other nodes have been told which software began the stream.
    bool hasToldOrigin_ = false;
    /// How long the stream has waited for servers with its software.
    milliseconds waitedForServer_ {};
    /// The latest move of the running stream to another engine.
    struct Move {
        explicit Move(const asio::any_io_executor& executor)
            : done_(executor)
        {
        }

        /// Set when the move ends.
        AutoResetEvent done_;
        /// Whether nothing is being copied: the move has ended, or could not be
        /// started.
        bool isDone_ = false;
        /// Whether the move was cancelled. If it completes later, it has no effect.
        bool isCancelled_ = false;
        /// When the engine was told to stop the run; zero before that.
        SteadyTime stopOrderedAt_ {};
        StopState stop_ = StopState::NotOrdered;
        /// Whether the stream was stopped, so that it resumes on another engine.
        bool isUsed_ = false;
        /// The end of the wait for the move after the end of the stream; zero before that.
        SteadyTime waitEndsAt_ {};
        StreamCopy copy_;
        /// The target, once the stream is stopped and its KV cache is copied.
        std::optional<BackendChoice> target_;
        std::string resumeFrom_;
    };
    std::shared_ptr<Move> move_;
    /// The location of a KV cache that the server of the next attempt has.
    std::string resumeFrom_;
    /// The answer to deliver unless a retry succeeds.
    std::optional<HeldAnswer> heldAnswer_;
    /// Computed on first use, because most requests never need it.
    std::optional<Fingerprint> fingerprint_;
    /// Whether this node ended an attempt whose server neither broke off nor was done.
    bool hasEndedAttempt_ = false;
    /// Attempt::detail_ of the latest attempt.
    std::string lastDetail_;
    /// The time from the request's arrival to the first byte of an answer.
    milliseconds firstByteLatency_ {};
    /// The status of the latest answer of a backend server or of this node.
    int latestStatus_ = 0;
};

/// Returns the time from the arrival of a request for \p route to the end of its answer. \p callerDeadline is
/// the value of the header in which the caller states its own limit; it may be empty.
milliseconds timeLimitOf(const Route& route, std::string_view callerDeadline);

template <typename T>
struct RequestForwarder::Pending {
    explicit Pending(const asio::any_io_executor& executor)
        : ended_(executor)
    {
    }

    std::optional<T> result_;
    bool isAbandoned_ = false;
    AutoResetEvent ended_;
};

template <typename T>
asio::awaitable<void> RequestForwarder::resolve(std::shared_ptr<Pending<T>> pending, asio::awaitable<T> operation, std::function<void(T&)> discard)
{
    T result = co_await std::move(operation);
    if (!pending->isAbandoned_)
        pending->result_ = std::move(result);
    else if (discard)
        discard(result);
}

template <typename T>
asio::awaitable<std::optional<T>> RequestForwarder::resultUntilStopped(asio::awaitable<T> operation, std::function<void(T&)> discard)
{
    if (isStoppedForGood())
        co_return std::nullopt;
    auto pending = std::make_shared<Pending<T>>(pool_.executor());
    auto onEnd = [pending](const std::exception_ptr&) { pending->ended_.notify(); };
    asio::co_spawn(pool_.executor(), resolve<T>(pending, std::move(operation), std::move(discard)), onEnd);
    onStop_ = [pending] { pending->ended_.notify(); };
    (void)co_await pending->ended_.waitUntil(SteadyTime::max());
    onStop_ = nullptr;
    pending->isAbandoned_ = true;
    co_return std::move(pending->result_);
}

/// Whether an answer's body follows its head. It does not for HEAD requests.
enum class BodySent {
    Yes,
    No,
};

/// Renders a complete answer. See connectionFields() for \p idle. An answer without its
/// body states the length from \p fields, or else the length of \p body if it is not empty.
std::string renderAnswer(int status, const HeaderFields& fields, std::string_view body, std::optional<milliseconds> idle, BodySent sent = BodySent::Yes);

} // namespace pistachioloom
