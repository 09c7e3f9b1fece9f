//===- lib/Forward/Sending.cpp - one send to a backend server -------------===//
///
/// \file
/// Connects, writes the request and reads the answer. An answer is trusted only if
/// it comes from the intended instance, belongs to the request that was sent, and is
/// complete.
//===----------------------------------------------------------------------===//
#include "MemoryShare.h"
#include "RequestForwarder.h"

#include <boost/algorithm/string.hpp>

namespace pistachioloom {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

// The wait limit for the first event, as a multiple of the latency objective. Queueing
// delays stay below twice the objective even under high load, so a longer wait indicates a
// fault.
static constexpr int waitLimitFactor = 3;
// Replaces a Retry-After value that is not a number, such as a date. Dates are not
// evaluated, as clocks may differ by more than the length of the pause.
static constexpr milliseconds defaultPause { 1000 };
// The maximum number of bytes per read from a backend server's connection.
static constexpr std::size_t readSize = 4UL * 1024;

static const Logger& logger()
{
    static const Logger logger("send");
    return logger;
}

static std::string_view view(beast::string_view text)
{
    return { text.data(), text.size() };
}

/// Whether a read failed because the other end closed or reset the connection.
static bool isDisconnect(const beast::error_code& code)
{
    return code == asio::error::eof || code == asio::error::connection_reset || code == asio::error::broken_pipe || code == http::error::end_of_stream || code == http::error::partial_message;
}

/// The error of an answer that is given up because all answers together are too large.
static beast::error_code noMemory()
{
    return boost::system::errc::make_error_code(boost::system::errc::not_enough_memory);
}

/// How the end of an answer is marked, for logs.
static const char* framingOf(const AnswerReader& reader)
{
    if (reader.endsWithConnection())
        return "connection";
    return reader.message().chunked() ? "chunks" : "length";
}

/// The fields of an answer that are forwarded to the caller.
static HeaderFields fieldsOf(const AnswerReader& reader, const ForwardHeaderNames& names)
{
    HeaderFields fields;
    for (const auto& field : reader.message()) {
        std::string_view name = view(field.name_string());
        if (!equalWithoutCase(name, names.leaving_) && !equalWithoutCase(name, names.limit_) && !equalWithoutCase(name, names.brittle_))
            fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
    return fields;
}

std::string RequestForwarder::renderRequestHead(const Attempt& attempt) const
{
    const ForwardHeaderNames& names = context_.names_;
    std::vector<std::string> options = connectionOptions(request_.fields_);
    std::string head = request_.method_ + " " + request_.target_ + " HTTP/1.1\r\n";
    bool hadLength = false;
    for (const HeaderField& field : request_.fields_) {
        hadLength |= equalWithoutCase(field.name_, "content-length") || equalWithoutCase(field.name_, "transfer-encoding");
        bool isReplaced = equalWithoutCase(field.name_, "authorization") || equalWithoutCase(field.name_, names.deadline_) || equalWithoutCase(field.name_, names.lastEvent_);
        for (const std::string& reserved : names.reserved_)
            isReplaced |= equalWithoutCase(field.name_, reserved);
        if (isReplaced || isHopByHop(field.name_) || std::find(options.begin(), options.end(), boost::to_lower_copy(field.name_)) != options.end())
            continue;
        appendField(head, field.name_, field.value_);
    }
    appendField(head, names.deadline_, std::to_string(timeLeft().count()));
    appendField(head, names.expectedBackend_, attempt.choice_.backend_.name_.value_);
    if (organisation_)
        appendField(head, names.organisation_, organisation_->name_.value_);
    if (shape_.isForEngine_)
        appendField(head, names.urgency_, std::to_string(urgency_));
    if (eventSplitter_.last() && route_->isStream_)
        appendField(head, names.lastEvent_, std::to_string(*eventSplitter_.last()));
    if (!attempt.resumeFrom_.empty())
        appendField(head, names.resumeFrom_, attempt.resumeFrom_);
    if (hadLength || !request_.body_.empty())
        appendField(head, "Content-Length", std::to_string(request_.body_.size()));
    return head + "\r\n";
}

/// Whether this worker may open one more connection to \p backend. A backend server
/// resets connections beyond its limit, which all nodes share, so each worker of each
/// node keeps within its share of the limit.
bool RequestForwarder::mayConnect(const BackendId& backend) const
{
    const ServicePolicy* service = table_->findService(shape_.service_);
    std::uint64_t sharers = std::max<std::uint64_t>(1, context_.nodes_ * context_.workers_);
    std::uint64_t share = std::max<std::uint64_t>(1, service ? service->maxConnections_ / sharers : 1);
    return pool_.openCount(backend) < share;
}

/// Whether a connection that has served other requests may be used. If their answers may be taken
/// for the one to this request, it fails although its server answers it, unless it can be sent
/// again.
bool RequestForwarder::mayReuseConnection(const BackendId& backend) const
{
    if (attemptId_.empty())
        return false;
    bool canBeSentAgain = route_->mayRepeat() && sendCount_ + 1 < route_->maxAttempts_;
    return canBeSentAgain || !pool_.isAmbiguous(backend, steadyNow());
}

asio::awaitable<SendOutcome> RequestForwarder::connect(Attempt& attempt)
{
    const BackendRecord& backend = attempt.choice_.backend_;
    bool isLost = context_.paths_.isLost(shape_.service_) && context_.hooks_.openRelayed_;
    std::uint64_t lossCount = context_.paths_.lossCount(shape_.service_);
    if (!isLost && mayReuseConnection(backend.id_))
        attempt.connection_ = pool_.take(backend.id_, lossCount, steadyNow());
    if (attempt.connection_) {
        currentConnection_ = attempt.connection_;
        co_return SendOutcome::Held;
    }
    if (!mayConnect(backend.id_)) {
        attempt.detail_ = "no_connection_left";
        co_return SendOutcome::NoConnection;
    }
    attempt.connection_ = pool_.make(backend.id_);
    attempt.connection_->lossCount_ = lossCount;
    currentConnection_ = attempt.connection_;
    if (isLost)
        co_return co_await connectThroughPeer(attempt);
    beast::error_code invalid;
    tcp::endpoint address(asio::ip::make_address(backend.endpoint_.host_, invalid), backend.endpoint_.port_);
    if (invalid) {
        attempt.detail_ = "bad_address";
        co_return SendOutcome::Unreachable;
    }
    waitDeadline_ = steadyNow() + context_.settings_.connectTimeout_;
    armTimer();
    auto [code] = co_await attempt.connection_->socket_.async_connect(address, asTuple);
    waitDeadline_ = SteadyTime::max();
    if (!code) {
        context_.paths_.noteConnected(shape_.service_);
        context_.backends_.noteReachable(backend.id_);
        beast::error_code ignored;
        attempt.connection_->socket_.set_option(tcp::no_delay(true), ignored);
        co_return SendOutcome::Held;
    }
    attempt.detail_ = stopReason_ == StopReason::WaitLimitExceeded ? "connect_timeout" : "connect:" + code.message();
    if (!isStoppedForGood())
        context_.paths_.noteConnectionFailed(shape_.service_);
    co_return isStoppedForGood() ? SendOutcome::Stopped : SendOutcome::Unreachable;
}

asio::awaitable<SendOutcome> RequestForwarder::connectThroughPeer(Attempt& attempt)
{
    attempt.isRelayed_ = true;
    milliseconds timeout = std::min(timeLeft(), 2 * context_.settings_.connectTimeout_);
    using Opened = Result<RelayedConnection>;
    auto ended = co_await resultUntilStopped<Opened>(context_.hooks_.openRelayed_(attempt.choice_.backend_, timeout), [](Opened& late) {
        if (late)
            late.value().reset_();
    });
    if (!ended)
        co_return isStoppedForGood() ? SendOutcome::Stopped : SendOutcome::NoPath;
    Opened opened = std::move(*ended);
    if (opened) {
        attempt.via_ = opened.value().via_;
        attempt.connection_->relayed_ = std::move(opened.value());
    } else {
        attempt.detail_ = "relay:" + opened.error().message_;
        isRejectedByPeers_ = opened.error().code_ == Errc::NotFound;
    }
    if (isStoppedForGood())
        co_return SendOutcome::Stopped;
    co_return opened ? SendOutcome::Held : SendOutcome::NoPath;
}

void RequestForwarder::startWriting(Attempt& attempt)
{
    struct Outgoing {
        std::string head_;
        std::shared_ptr<RequestForwarder> owner_;
    };
    // The deadline in the head is the time that is left in whole milliseconds.
    attempt.stopsAt_ = steadyNow() + timeLeft() - milliseconds(1);
    auto outgoing = std::make_shared<Outgoing>(Outgoing { renderRequestHead(attempt), shared_from_this() });
    std::array<asio::const_buffer, 2> buffers { asio::buffer(outgoing->head_), asio::buffer(request_.body_) };
    attempt.connection_->write_.isInProgress_ = true;
    asio::async_write(*attempt.connection_, buffers, [outgoing, connection = attempt.connection_](const beast::error_code& code, std::size_t) {
        connection->write_ = { false, code };
    });
}

/// Whether the request may be retried on another backend server. Only then does a wait
/// limit apply. Otherwise the current server may use all of the remaining time.
bool RequestForwarder::mayRetryElsewhere(const Attempt& attempt) const
{
    return route_->mayRepeat() && sendCount_ < route_->maxAttempts_ && attempt.choice_.candidateCount_ > 1;
}

asio::awaitable<SendOutcome> RequestForwarder::send(Attempt& attempt)
{
    SendOutcome connected = co_await connect(attempt);
    if (connected != SendOutcome::Held) {
        if (attempt.connection_)
            attempt.connection_->abort();
        co_return connected;
    }
    // The backend server may have reported that it is leaving, or asked for a pause, while the
    // connection was established.
    if (!context_.backends_.mayReceive(attempt.choice_.backend_.id_, steadyNow())) {
        attempt.connection_->abort();
        attempt.detail_ = "no_longer_accepts";
        co_return SendOutcome::NotAccepting;
    }
    // The deadline may have passed while the VM was suspended, before any timer fires.
    if (timeLeft() <= milliseconds(0)) {
        attempt.connection_->abort();
        attempt.detail_ = "time_over";
        stopReason_ = StopReason::DeadlineExceeded;
        co_return SendOutcome::Stopped;
    }
    ++sendCount_;
    attempt.sentAt_ = steadyNow();
    attempt.isReused_ = attempt.connection_->isReused_;
    attempt.isWaiting_ = true;
    isAttemptSent_ = true;
    context_.paths_.noteSent(shape_.service_, attempt.sentAt_);
    context_.metrics_.add(Counter::Attempts);
    context_.rollouts_.noteSent(shape_.service_, attempt.choice_.backend_.version_);
    attempt.lastEventBefore_ = eventSplitter_.last().value_or(0);
    if (mayRetryElsewhere(attempt)) {
        auto waitLimit = std::chrono::duration_cast<milliseconds>(timeLeft() * context_.settings_.waitLimitShare_);
        if (route_->isStream_)
            waitLimit = std::min(waitLimit, std::max(waitLimitFactor * route_->objective_, attempt.choice_.estimate_ * 2));
        waitDeadline_ = steadyNow() + waitLimit;
        if (!attempt.isRelayed_) {
            lossCount_ = context_.paths_.lossCount(shape_.service_);
            checkPaths(steadyNow());
        }
        armTimer();
    }
    startWriting(attempt);
    SendOutcome end = SendOutcome::Lost;
    try {
        end = co_await receive(attempt);
    } catch (const std::exception& error) {
        attempt.detail_ = std::string("exception:") + error.what();
        logger().error(LogLine("Receiving an answer failed.").add("id", attemptId_).add("backend", attempt.choice_.backend_.id_.value_).add("why", error.what()));
    }
    isAttemptSent_ = false;
    if (std::exchange(attempt.isWaiting_, false))
        context_.paths_.noteEnded(shape_.service_, attempt.sentAt_);
    waitDeadline_ = SteadyTime::max();
    pathCheckAt_ = SteadyTime::max();
    if (end != SendOutcome::Delivered && attempt.connection_)
        attempt.connection_->abort();
    if (end == SendOutcome::Lost && isStoppedForGood()) {
        mayHaveRun_ = true;
        attempt.detail_ = stopReason_ == StopReason::CallerDisconnected ? "caller_gone" : stopReason_ == StopReason::NodeStopping ? "node_stopping"
                                                                                                                                  : "time_over";
        co_return SendOutcome::Stopped;
    }
    if (end == SendOutcome::Lost && stopReason_ == StopReason::WaitLimitExceeded)
        attempt.detail_ = "silent";
    co_return end;
}

/// Reads until a head, a part of the body or the end of the answer has been parsed.
asio::awaitable<beast::error_code> RequestForwarder::readSome(Attempt& attempt, AnswerReader& reader)
{
    beast::flat_buffer& input = attempt.connection_->buffer_;
    for (;;) {
        AnswerReader::Progress progress = reader.parse(input);
        if (progress == AnswerReader::Progress::Bad)
            co_return reader.error();
        if (progress == AnswerReader::Progress::Advanced)
            co_return beast::error_code {};
        bool isReceiveBufferEmpty = attempt.connection_->isReceiveBufferEmpty();
        auto [code, count] = co_await attempt.connection_->async_read_some(input.prepare(readSize), asTuple);
        if (isReceiveBufferEmpty)
            attempt.connection_->arrivedAt_ = steadyNow();
        if (code == asio::error::eof) {
            // A peer tells an orderly end from a reset itself, see RelayedConnection::receive_.
            BackendConnectionPtr connection = attempt.connection_;
            beast::error_code error;
            if (!connection->relayed_)
                error = co_await errorAtEnd(connection->socket_, connection->write_);
            co_return error ? error : reader.finish();
        }
        if (code)
            co_return code;
        input.commit(count);
    }
}

void RequestForwarder::noteBackendState(Attempt& attempt, const AnswerReader& reader)
{
    const auto& message = reader.message();
    // With status 421 another backend server answers, which now has the address of the
    // intended one.
    if (message.result_int() == 421)
        return;
    StatedConditions stated;
    std::string_view leaving = view(message[context_.names_.leaving_]);
    stated.isLeaving_ = !leaving.empty() && leaving != "0";
    if (message.result_int() == 503 && message.find(http::field::retry_after) != message.end())
        stated.pause_ = parseRetryAfter(view(message[http::field::retry_after])).value_or(defaultPause);
    attempt.limit_ = view(message[context_.names_.limit_]);
    stated.requestLimit_ = parsePositiveDecimal(attempt.limit_);
    stated.maxRejections_ = parsePositiveDecimal(view(message[context_.names_.brittle_]));
    stated.isFull_ = message.result_int() == 503 && message.find(context_.names_.notRun_) != message.end();
    attempt.reportsLeaving_ = stated.isLeaving_;
    attempt.pause_ = stated.pause_.value_or(milliseconds(0));
    for (const BackendStatement& statement : context_.backends_.applyAnswer(attempt.choice_.backend_.id_, stated, attempt.sentAt_, steadyNow()))
        context_.hooks_.onStatement_(statement);
}

AnswerIdentity RequestForwarder::identityOf(const AnswerReader& reader) const
{
    std::string_view echoed = view(reader.message()[context_.names_.attempt_]);
    if (echoed.empty())
        return AnswerIdentity::None;
    return echoed == attemptId_ ? AnswerIdentity::Own : AnswerIdentity::Other;
}

void RequestForwarder::noteAnswerHead(Attempt& attempt, const AnswerReader& reader)
{
    attempt.connection_->arrivedAt_ = steadyNow();
    attempt.answeredAt_ = attempt.connection_->arrivedAt_;
    attempt.answerIdentity_ = identityOf(reader);
    attempt.answerStatus_ = static_cast<int>(reader.message().result_int());
    attempt.framing_ = framingOf(reader);
    if (attempt.answerIdentity_ == AnswerIdentity::Other)
        context_.metrics_.add(Counter::AnswersToOthers);
    if (attempt.answerIdentity_ == AnswerIdentity::None && attempt.isReused_)
        context_.metrics_.add(Counter::AnswersUnidentified);
    if (attempt.answerIdentity_ != AnswerIdentity::Own)
        pool_.noteAmbiguous(attempt.choice_.backend_.id_, attempt.answeredAt_);
}

/// Whether an answer is one to the request that was sent. A server may send further answers, with
/// other ids or none, where this one is expected. Nothing that these state is used. A failure may
/// lack its id, but then only the first answer on a connection can be no other request's.
bool RequestForwarder::isToThisRequest(const Attempt& attempt) const
{
    if (attempt.answerIdentity_ != AnswerIdentity::None)
        return attempt.answerIdentity_ == AnswerIdentity::Own;
    bool mayLackId = attemptId_.empty() || attempt.answerStatus_ >= 400;
    return mayLackId && !attempt.isReused_;
}

/// \returns the outcome if the head alone determines it, or nullopt to continue reading.
std::optional<SendOutcome> RequestForwarder::checkAnswerHead(Attempt& attempt, const AnswerReader& reader)
{
    const auto& message = reader.message();
    int status = static_cast<int>(message.result_int());
    if (status == 421) {
        attempt.detail_ = "wrong_instance";
        return SendOutcome::NotRun;
    }
    if (message.find(context_.names_.notRun_) != message.end()) {
        attempt.detail_ = "not_run:" + std::to_string(status);
        return SendOutcome::NotRun;
    }
    bool isSuccess = status >= 200 && status < 300;
    bool hasSeal = !view(message[context_.names_.seal_]).empty();
    if (isSuccess && (!hasSeal || !view(message["Content-Encoding"]).empty())) {
        attempt.detail_ = "unproven_answer";
        return SendOutcome::Lost;
    }
    return std::nullopt;
}

/// Records that the backend server has begun to answer, possibly with an interim answer.
void RequestForwarder::noteAnswering(Attempt& attempt)
{
    if (!attempt.isRelayed_)
        context_.backends_.noteReachable(attempt.choice_.backend_.id_);
    context_.crashes_.noteAlive({ keyOf(attempt.choice_.backend_.id_) });
    if (std::exchange(attempt.isWaiting_, false))
        context_.paths_.noteAnswered(shape_.service_, attempt.sentAt_, steadyNow());
}

/// Whether an answer is an event stream, and goes on where the one that the caller has broke off.
bool RequestForwarder::isForwardedAsItArrives(const Attempt& attempt) const
{
    bool isSuccess = attempt.answerStatus_ / 100 == 2;
    return route_->isStream_ && isSuccess && !isHead() && (!hasStartedAnswer_ || attempt.answerStatus_ == startedStatus_);
}

asio::awaitable<SendOutcome> RequestForwarder::receive(Attempt& attempt)
{
    AnswerReader reader(AnswerBounds {}, isHead() ? BodyFollows::No : BodyFollows::Yes);
    while (!reader.hasHead()) {
        if (auto code = co_await readSome(attempt, reader)) {
            attempt.detail_ = "head:" + code.message();
            attempt.isCutOff_ = isDisconnect(code);
            co_return SendOutcome::Lost;
        }
        noteAnswering(attempt);
    }
    noteAnswerHead(attempt, reader);
    if (!isToThisRequest(attempt)) {
        attempt.detail_ = attempt.answerIdentity_ == AnswerIdentity::None ? "unidentified_answer" : "other_answer";
        co_return SendOutcome::Lost;
    }
    noteBackendState(attempt, reader);
    if (auto decided = checkAnswerHead(attempt, reader))
        co_return *decided;
    // An event stream is forwarded as it arrives. All other answers are read completely.
    if (isForwardedAsItArrives(attempt))
        co_return co_await forwardEvents(attempt, reader);
    co_return co_await receiveFullAnswer(attempt, reader);
}

void RequestForwarder::noteFirstByte(Attempt& attempt)
{
    if (attempt.hasFirstByte_)
        return;
    attempt.hasFirstByte_ = true;
    attempt.firstByteAt_ = steadyNow();
    auto wait = std::chrono::duration_cast<milliseconds>(attempt.firstByteAt_ - attempt.startedAt_);
    attempt.waitRatio_ = context_.backends_.noteFirstByte(attempt.choice_, shape_, wait, attempt.firstByteAt_);
    if (hasCountedStart_)
        return;
    hasCountedStart_ = true;
    firstByteLatency_ = std::chrono::duration_cast<milliseconds>(steadyNow() - request_.receivedAt_);
    context_.metrics_.observe(Histogram::FirstToken, steadyNow() - request_.receivedAt_);
    if (organisation_)
        context_.hooks_.onStarted_(organisation_->name_);
}

/// Whether an answer without a length ended when its server stopped work at the deadline, or later. The
/// end of the connection does not tell that the answer is incomplete.
bool RequestForwarder::checkStopAtDeadline(const Attempt& attempt, const AnswerReader& reader)
{
    if (!reader.endsWithConnection() || attempt.connection_->arrivedAt_ < attempt.stopsAt_)
        return false;
    // There may be less than a millisecond left.
    stopReason_ = StopReason::DeadlineExceeded;
    return true;
}

asio::awaitable<SendOutcome> RequestForwarder::receiveFullAnswer(Attempt& attempt, AnswerReader& reader)
{
    beast::error_code code;
    if (reader.limitBody(context_.settings_.maxAnswerSize_) == AnswerReader::Progress::Bad)
        code = reader.error();
    MemoryShare memory(context_.answerMemory_, context_.settings_.maxAnswerMemory_);
    while (!code && !reader.isComplete()) {
        code = co_await readSome(attempt, reader);
        if (!code && !memory.resize({ reader.message().body().size() }))
            code = noMemory();
    }
    if (!code && checkStopAtDeadline(attempt, reader))
        code = http::error::partial_message;
    if (code) {
        bool isTooLarge = code == http::error::body_limit || code == noMemory();
        attempt.detail_ = isTooLarge ? "answer_too_large" : "body:" + code.message();
        attempt.isCutOff_ = isDisconnect(code);
        co_return SendOutcome::Lost;
    }
    noteFirstByte(attempt);
    attempt.endsWithConnection_ = reader.endsWithConnection();
    HeldAnswer answer { static_cast<int>(reader.message().result_int()), fieldsOf(reader, context_.names_), std::move(reader.message().body()) };
    latestStatus_ = answer.status_;
    releaseConnection(attempt, reader);
    bool isServerFailure = answer.status_ >= 500;
    if (hasStartedAnswer_ || (isServerFailure && route_->mayRepeat())) {
        // Another backend server may succeed. If no retry is possible, this answer is delivered,
        // unless the caller already has a part of another one.
        attempt.detail_ = "failed:" + std::to_string(answer.status_);
        heldAnswer_ = std::move(answer);
        co_return SendOutcome::Held;
    }
    bool isWritten = co_await deliver(std::move(answer));
    co_return isWritten ? SendOutcome::Delivered : SendOutcome::Stopped;
}

asio::awaitable<SendOutcome> RequestForwarder::forwardEvents(Attempt& attempt, AnswerReader& reader)
{
    HeaderFields fields = fieldsOf(reader, context_.names_);
    // The previous engine's stream may have ended within an event.
    eventSplitter_.dropPartial();
    MemoryShare memory(context_.answerMemory_, context_.settings_.maxAnswerMemory_);
    latestStatus_ = static_cast<int>(reader.message().result_int());
    while (!reader.isComplete()) {
        if (auto code = co_await readSome(attempt, reader)) {
            attempt.isCutOff_ = isDisconnect(code);
            co_return co_await handleStreamBreak(attempt, code);
        }
        std::string events = eventSplitter_.feed(reader.message().body());
        reader.message().body().clear();
        if (eventSplitter_.hasGap()) {
            attempt.detail_ = "event_missing";
            co_return SendOutcome::Lost;
        }
        ByteCount partialSize = eventSplitter_.partialSize();
        if (partialSize > context_.settings_.maxEventSize_ || !memory.resize(partialSize)) {
            attempt.detail_ = "event_too_large";
            co_return SendOutcome::Lost;
        }
        if (events.empty())
            continue;
        noteFirstByte(attempt);
        noteGoingOn(attempt);
        noteStreamBegun(attempt);
        if (mayRetryElsewhere(attempt)) {
            waitDeadline_ = steadyNow() + context_.settings_.streamStallTimeout_;
            // The timer checks the deadlines again when it fires, so it is set only if it
            // would fire too late.
            if (timer_.expiry() > waitDeadline_)
                armTimer();
        }
        if (!hasStartedAnswer_ && !co_await startEvents(fields))
            co_return SendOutcome::Stopped;
        if (!co_await writeEvents(std::move(events)))
            co_return SendOutcome::Stopped;
        if (shouldMove(attempt))
            startMove(attempt);
    }
    attempt.endsWithConnection_ = reader.endsWithConnection();
    bool isStopped = checkStopAtDeadline(attempt, reader);
    if (!isStopped)
        isStopped = co_await awaitStopForMove(attempt);
    if (isStopped || eventSplitter_.hasPartial()) {
        attempt.isCutOff_ = attempt.endsWithConnection_;
        co_return co_await handleStreamBreak(attempt, http::error::partial_message);
    }
    releaseConnection(attempt, reader);
    if (!hasStartedAnswer_ && !co_await startEvents(fields))
        co_return SendOutcome::Stopped;
    if (request_.isHttp10_) {
        caller_->setResetOnClose(false);
        co_return SendOutcome::Delivered;
    }
    std::string lastChunk = "0\r\n\r\n";
    bool isWritten = co_await caller_->write(std::move(lastChunk));
    co_return isWritten ? SendOutcome::Delivered : SendOutcome::Stopped;
}

/// Returns the connection to the pool if it is reusable, and closes it otherwise.
void RequestForwarder::releaseConnection(Attempt& attempt, const AnswerReader& reader)
{
    BackendConnectionPtr connection = std::move(attempt.connection_);
    currentConnection_ = nullptr;
    if (connection->relayed_ || !reader.message().keep_alive() || reader.endsWithConnection() || connection->write_.isInProgress_ || connection->write_.error_ || connection->buffer_.size()) {
        connection->close();
        return;
    }
    connection->usableUntil_ = connection->arrivedAt_ + usableIdle(view(reader.message()[http::field::keep_alive]), context_.settings_);
    if (connection->usableUntil_ <= steadyNow()) {
        connection->close();
        return;
    }
    pool_.put(std::move(connection));
}

} // namespace pistachioloom
