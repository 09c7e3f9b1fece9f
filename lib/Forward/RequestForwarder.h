//===- lib/Forward/RequestForwarder.h - the course of one request ----------------===//
///
/// \file
/// From a whole request to its one final answer: admission, choice, sends to
/// backend servers, and going on elsewhere where that is allowed.
//===----------------------------------------------------------------------===//
#pragma once

#include "ConnectionPool.h"
#include "CallerConnection.h"
#include "EventSplitter.h"
#include "AutoResetEvent.h"

#include <boost/beast/http.hpp>

namespace pistachioloom {

/// How one send to a backend server ended, as far as the request goes.
enum class SendOutcome {
    /// The caller has the whole answer.
    Delivered,
    /// The answer is whole and held; it may be delivered or repeated.
    Held,
    /// It surely did not run there.
    NotRun,
    /// Nothing reached the backend server.
    Unreachable,
    /// It may have run, and there is no whole answer.
    Lost,
    /// The caller left, or the time is over.
    Stopped,
    /// All connections that this node may open there are in use.
    NoConnection,
    /// Nothing was sent: the backend server takes no new work any more.
    NotAccepting,
    /// It was stopped to go on at another engine, which has its KV cache.
    Moved,
};

/// Why work on a request was stopped from outside.
enum class StopReason {
    None,
    CallerDisconnected,
    /// The caller's deadline or the route's timeout.
    DeadlineExceeded,
    /// The backend server was silent for too long.
    WaitLimitExceeded,
};

class RequestForwarder : public std::enable_shared_from_this<RequestForwarder> {
public:
    RequestForwarder(ForwardContext& context, ConnectionPool& pool, std::shared_ptr<CallerConnection> caller, CallerRequest request);

    /// Serves the request. \returns whether the connection may be kept.
    asio::awaitable<bool> run();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    /// One send and what came of it.
    struct Attempt {
        BackendChoice choice_;
        BackendConnectionPtr connection_;
        SteadyTime startedAt_ {};
        bool hasFirstByte_ = false;
        SteadyTime firstByteAt_ {};
        /// The backend server closed the connection before its answer was whole.
        bool isCutOff_ = false;
        /// Its answer said that the backend server is leaving.
        bool reportsLeaving_ = false;
        /// Its answer asked for a pause.
        milliseconds pause_ {};
        /// The wait for the first byte, as a multiple of the estimate.
        double waitRatio_ = 1;
        /// The last event that the caller had before it.
        std::uint64_t eventBefore_ = 0;
        std::string detail_;
    };
    /// A whole answer of a backend server, not yet passed on.
    struct HeldAnswer {
        int status_ = 0;
        HeaderFields fields_;
        std::string body_;
    };

    // Admission.
    std::optional<HeldAnswer> admit();
    std::optional<HeldAnswer> authorise();
    std::optional<HeldAnswer> takeQuota();
    RequestShape shapeOf() const;

    // Attempts.
    asio::awaitable<void> serve();
    asio::awaitable<SendOutcome> send(Attempt& attempt);
    asio::awaitable<SendOutcome> connect(Attempt& attempt);
    bool mayConnect(const BackendId& backend) const;
    asio::awaitable<SendOutcome> receive(Attempt& attempt);
    asio::awaitable<SendOutcome> receiveFullAnswer(Attempt& attempt, Parser& parser);
    asio::awaitable<SendOutcome> forwardEvents(Attempt& attempt, Parser& parser);
    asio::awaitable<boost::beast::error_code> readSome(Attempt& attempt, Parser& parser);
    bool mayRetry(SendOutcome end);
    /// The answer to a request that would wait for too long; see Admission.h.
    std::optional<HeldAnswer> rejectLongWait(const BackendChoice& choice) const;
    bool mayRetryElsewhere(const Attempt& attempt) const;
    asio::awaitable<SendOutcome> handleStreamBreak(Attempt& attempt, const boost::system::error_code& code);

    // Moves of a running stream.
    bool shouldMove(const Attempt& attempt) const;
    void startMove(const Attempt& attempt);
    asio::awaitable<void> move(BackendRecord from, BackendChoice to);
    std::optional<BackendChoice> takeMoveTarget();
    void releaseTarget(const BackendChoice& to);
    void cancelMove();
    void finishAttempt(Attempt& attempt, SendOutcome end);
    /// Finds out, beside the request, whether the backend server that cut it off ended.
    void noteCutOff(const Attempt& attempt);
    /// Counts for or against the version of the attempt's backend server.
    void noteVersionOutcome(const Attempt& attempt, BackendOutcome outcome);
    RequestFingerprint fingerprint();
    /// The answer to a request that is in quarantine.
    std::optional<HeldAnswer> rejectQuarantined();
    void clearSuspicion();
    void logAttempt(const Attempt& attempt, BackendOutcome outcome, milliseconds took);
    void logQuarantined(const Quarantine& quarantine);
    void logRejection(const HeldAnswer& answer) const;
    std::optional<SendOutcome> checkAnswerHead(Attempt& attempt, const Parser& parser);
    /// What the backend server says of itself, in whatever answer.
    void noteBackendState(Attempt& attempt, const Parser& parser);
    void startWriting(Attempt& attempt);
    std::string renderRequestHead(const BackendRecord& backend) const;
    void noteFirstByte(Attempt& attempt);
    void releaseConnection(Attempt& attempt, const Parser& parser);

    // Answers.
    asio::awaitable<bool> deliver(HeldAnswer answer);
    asio::awaitable<bool> startEvents(const HeaderFields& fields);
    asio::awaitable<bool> writeEvents(std::string events);
    HeldAnswer rejection(int status, std::string reason, milliseconds retryAfter) const;
    HeldAnswer finalFailure() const;
    /// The idle limit that an answer announces; nullopt if the connection closes after it.
    std::optional<milliseconds> announcedIdle();

    // Time.
    void armTimer();
    void onTimer();
    void stop(StopReason reason);
    milliseconds timeLeft() const;
    bool isHead() const { return equalWithoutCase(request_.method_, "HEAD"); }

    ForwardContext& context_;
    ConnectionPool& pool_;
    std::shared_ptr<CallerConnection> caller_;
    CallerRequest request_;
    std::string id_;

    std::shared_ptr<const RouteTable> table_;
    const Route* route_ = nullptr;
    const OrganisationPolicy* organisation_ = nullptr;
    RequestShape shape_;
    unsigned urgency_ = 0;
    double cost_ = 0;
    bool hasQuota_ = false;

    SteadyTime deadline_ {};
    SteadyTime waitDeadline_ {};
    SteadyTimer timer_;
    StopReason stopReason_ = StopReason::None;
    BackendConnectionPtr currentConnection_;

    std::set<BackendId> excluded_;
    unsigned sendCount_ = 0;
    unsigned connectFailures_ = 0;
    bool mayHaveRun_ = false;
    bool hasCountedStart_ = false;
    bool hasStartedAnswer_ = false;
    bool isFinished_ = false;
    bool keepsConnection_ = false;
    EventSplitter events_ { std::nullopt };
    /// A move of the running stream; the last one.
    struct Move {
        explicit Move(const asio::any_io_executor& executor)
            : done_(executor)
        {
        }

        AutoResetEvent done_;
        bool isDone_ = false;
        /// The stream goes on without it.
        bool isCancelled_ = false;
        /// Set once the stream is stopped and its KV cache is there.
        std::optional<BackendChoice> to_;
        std::string resumeFrom_;
    };
    std::shared_ptr<Move> move_;
    /// Sent with the next attempt, once.
    std::string resumeFrom_;
    std::optional<HeldAnswer> heldAnswer_;
    /// Worked out when it is first needed: most requests never need theirs.
    std::optional<RequestFingerprint> fingerprint_;
    std::string lastDetail_;
    /// From the request's arrival to the first byte of an answer.
    milliseconds firstByteLatency_ {};
    int finalStatus_ = 0;
};

/// Whether an answer's body follows its head; that of an answer to HEAD does not.
enum class BodySent {
    Yes,
    No,
};

/// A whole answer; see connectionFields() for \p idle. Without its body it tells the
/// length that \p fields state, or that of \p body if there is one.
std::string renderAnswer(int status, const HeaderFields& fields, std::string_view body, std::optional<milliseconds> idle, BodySent sent = BodySent::Yes);

} // namespace pistachioloom
