//===- lib/Forward/Forwarding.h - the course of one request ----------------===//
///
/// \file
/// From a whole request to its one final answer: admission, choice, sends to
/// backend servers, and going on elsewhere where that is allowed.
//===----------------------------------------------------------------------===//
#pragma once

#include "BackendPool.h"
#include "CallerConnection.h"
#include "EventSplitter.h"
#include "Signal.h"

#include <boost/beast/http.hpp>

namespace pistachioloom {

/// How one send to a backend server ended, as far as the request goes.
enum class SendEnd {
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
    Withdrawn,
    /// It was stopped to go on at another engine, which has its KV cache.
    Moved,
};

/// Why work on a request was stopped from outside.
enum class StopReason {
    None,
    CallerGone,
    /// The caller's deadline or the route's timeout.
    TimeOver,
    /// The backend server was silent for too long.
    Silence,
};

class Forwarding : public std::enable_shared_from_this<Forwarding> {
public:
    Forwarding(ForwardContext& context, BackendPool& pool, std::shared_ptr<CallerConnection> caller, CallerRequest request);

    /// Serves the request. \returns whether the connection may be kept.
    asio::awaitable<bool> run();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    /// One send and what came of it.
    struct Attempt {
        BackendChoice choice_;
        BackendConnectionPtr connection_;
        SteadyTime startedAt_ {};
        bool hasBegun_ = false;
        SteadyTime begunAt_ {};
        /// The backend server closed the connection before its answer was whole.
        bool isCutOff_ = false;
        /// Its answer said that the backend server is leaving.
        bool saysLeaving_ = false;
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
    asio::awaitable<SendEnd> send(Attempt& attempt);
    asio::awaitable<SendEnd> connect(Attempt& attempt);
    bool mayConnect(const BackendId& backend) const;
    asio::awaitable<SendEnd> receive(Attempt& attempt);
    asio::awaitable<SendEnd> receiveWhole(Attempt& attempt, Parser& parser);
    asio::awaitable<SendEnd> relayEvents(Attempt& attempt, Parser& parser);
    asio::awaitable<boost::beast::error_code> readSome(Attempt& attempt, Parser& parser);
    bool mayTryAgain(SendEnd end);
    /// The answer to a request that would wait for too long; see Admission.h.
    std::optional<HeldAnswer> refuseWait(const BackendChoice& choice) const;
    bool mayGoElsewhere(const Attempt& attempt) const;
    asio::awaitable<SendEnd> afterBreak(Attempt& attempt, const boost::system::error_code& code);

    // Moves of a running stream.
    bool shouldMove(const Attempt& attempt) const;
    void startMove(const Attempt& attempt);
    asio::awaitable<void> move(BackendRecord from, BackendChoice to);
    std::optional<BackendChoice> takeMoveTarget();
    void giveUpTarget(const BackendChoice& to);
    void dropMove();
    void finishAttempt(Attempt& attempt, SendEnd end);
    /// Finds out, beside the request, whether the backend server that cut it off ended.
    void noteCutOff(const Attempt& attempt);
    /// Counts for or against the version of the attempt's backend server.
    void noteVersion(const Attempt& attempt, BackendOutcome outcome);
    RequestFingerprint fingerprint();
    /// The answer to a request that is in quarantine.
    std::optional<HeldAnswer> refuseQuarantined();
    void noteServed();
    void logAttempt(const Attempt& attempt, BackendOutcome outcome, milliseconds took);
    void logQuarantined(const Quarantine& quarantine);
    void logRefusal(const HeldAnswer& answer) const;
    std::optional<SendEnd> checkHead(Attempt& attempt, const Parser& parser);
    /// What the backend server says of itself, in whatever answer.
    void noteSignals(Attempt& attempt, const Parser& parser);
    void startWriting(Attempt& attempt);
    std::string headFor(const BackendRecord& backend) const;
    void noteBegun(Attempt& attempt);
    void releaseConnection(Attempt& attempt, const Parser& parser);

    // Answers.
    asio::awaitable<bool> deliver(HeldAnswer answer);
    asio::awaitable<bool> beginEvents(const HeaderFields& fields);
    asio::awaitable<bool> passEvents(std::string events);
    HeldAnswer refusal(int status, std::string reason, milliseconds retryAfter) const;
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
    BackendPool& pool_;
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
    SteadyTime patienceUntil_ {};
    SteadyTimer timer_;
    StopReason stopped_ = StopReason::None;
    BackendConnectionPtr current_;

    std::set<BackendId> excluded_;
    unsigned sends_ = 0;
    unsigned unreachable_ = 0;
    bool mayHaveRun_ = false;
    bool hasCountedBegin_ = false;
    bool hasBegunAnswer_ = false;
    bool isFinished_ = false;
    bool keepsConnection_ = false;
    EventSplitter events_ { std::nullopt };
    /// A move of the running stream; the last one.
    struct Move {
        explicit Move(const asio::any_io_executor& executor)
            : done_(executor)
        {
        }

        Signal done_;
        bool isOver_ = false;
        /// The stream goes on without it.
        bool isDropped_ = false;
        /// Set once the stream is stopped and its KV cache is there.
        std::optional<BackendChoice> to_;
        std::string resumeFrom_;
    };
    std::shared_ptr<Move> move_;
    /// Sent with the next attempt, once.
    std::string resumeFrom_;
    std::optional<HeldAnswer> held_;
    /// Worked out when it is first needed: most requests never need theirs.
    std::optional<RequestFingerprint> fingerprint_;
    std::string lastDetail_;
    /// From the request's arrival to the first byte of an answer.
    milliseconds firstByte_ {};
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
