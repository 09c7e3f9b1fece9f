//===- lib/Wire/LinkStream.cpp - one stream of a peer link -----------------===//
///
/// \file
/// The members of a stream that run in the user's coroutine. They post all work on
/// the nghttp2 session to the link's strand.
//===----------------------------------------------------------------------===//
#include "PeerLink.h"

#include "generated/Peer.pb.h"

namespace pistachioloom {

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    // The flow control window limits the bytes of unread frames. This constant limits their
    // number, since the window admits many small frames.
    constexpr std::size_t maxUnreadFrames = 64UL * 1024;
    constexpr std::size_t maxUnsentFrames = 16;

    std::string encode(const wire::Frame& frame)
    {
        std::string body = frame.SerializeAsString();
        std::string bytes;
        bytes.reserve(body.size() + 4);
        for (int shift = 24; shift >= 0; shift -= 8)
            bytes += static_cast<char>(body.size() >> static_cast<unsigned>(shift) & 0xFFU);
        return bytes + body;
    }

} // namespace

LinkStream::LinkStream(std::shared_ptr<PeerLink> link, const asio::any_io_executor& executor)
    : link_(std::move(link))
    , receivedFrames_(executor, maxUnreadFrames)
    , sendCredits_(executor, maxUnsentFrames)
{
}

asio::awaitable<Result<void>> LinkStream::send(const wire::Frame& frame)
{
    std::string bytes = encode(frame);
    auto [code] = co_await sendCredits_.async_send(boost::system::error_code {}, asTuple);
    if (code)
        co_return Error { isCancelled_ ? Errc::Cancelled : Errc::Reset, "send to peer", peer(), "stream is closed", isRefused_ ? Ran::No : Ran::Unknown, {} };
    asio::post(link_->executor(), [self = shared_from_this(), bytes = std::move(bytes)]() mutable {
        if (self->isClosed_)
            return;
        self->output_.push_back(std::move(bytes));
        self->link_->resumeOutput(*self);
    });
    co_return boost::outcome_v2::success();
}

void LinkStream::endFrames()
{
    if (!receivedFrames_.try_send(asio::error::eof, std::string()))
        receivedFrames_.close();
}

asio::awaitable<Result<wire::Frame>> LinkStream::receive()
{
    boost::system::error_code code = asio::error::eof;
    std::string bytes;
    if (!hasReachedEnd_)
        std::tie(code, bytes) = co_await receivedFrames_.async_receive(asTuple);
    if (code) {
        hasReachedEnd_ = true;
        if (isCancelled_)
            co_return Error { Errc::Cancelled, "receive from peer", peer(), "cancelled", Ran::Unknown, {} };
        if (isRemoteClosed_ && !isFailed_)
            co_return Error { Errc::NotFound, "receive from peer", peer(), "peer ended the stream", Ran::Unknown, {} };
        co_return Error { Errc::Reset, "receive from peer", peer(), "stream was reset", isRefused_ ? Ran::No : Ran::Unknown, {} };
    }
    asio::post(link_->executor(), [self = shared_from_this(), count = bytes.size() + 4] { self->link_->returnToWindow(*self, count); });
    wire::Frame frame;
    if (frame.ParseFromString(bytes) && frame.body_case() != wire::Frame::BODY_NOT_SET)
        co_return frame;
    link_->reportError("read frame", "not a known frame");
    cancel();
    co_return Error { Errc::Protocol, "read frame", peer(), "not a known frame", Ran::Unknown, {} };
}

asio::awaitable<Result<wire::Frame>> LinkStream::receiveWithin(milliseconds timeout)
{
    return receiveWithin(timeout, timeout);
}

std::shared_ptr<LinkStream::ReceiveTimer> LinkStream::startReceiveTimer(const asio::any_io_executor& executor, milliseconds idleTimeout, milliseconds totalTimeout)
{
    auto receiveTimer = std::make_shared<ReceiveTimer>(ReceiveTimer { SteadyTimer(executor), idleTimeout, steadyNow(), totalTimeout });
    armReceiveTimer(receiveTimer);
    return receiveTimer;
}

void LinkStream::armReceiveTimer(const std::shared_ptr<ReceiveTimer>& receiveTimer)
{
    SteadyTime receivedAt = std::max(receiveTimer->startedAt_, receivedAt_.load());
    SteadyTime deadline = std::min(receivedAt + receiveTimer->idleTimeout_, receiveTimer->startedAt_ + receiveTimer->totalTimeout_);
    if (deadline <= steadyNow()) {
        receiveTimer->hasExpired_ = true;
        // The peer or the path may have gone without a word, so that other calls must not
        // wait on this link as well.
        if (link_->receivedAt() < receiveTimer->startedAt_)
            link_->retire();
        cancel();
        return;
    }
    receiveTimer->timer_.expires_at(deadline);
    receiveTimer->timer_.async_wait([weak = weak_from_this(), receiveTimer](boost::system::error_code code) {
        auto self = weak.lock();
        if (!code && self && !receiveTimer->isDone_)
            self->armReceiveTimer(receiveTimer);
    });
}

asio::awaitable<Result<wire::Frame>> LinkStream::receiveWithin(milliseconds idleTimeout, milliseconds totalTimeout)
{
    auto receiveTimer = startReceiveTimer(co_await asio::this_coro::executor, idleTimeout, totalTimeout);
    auto received = co_await receive();
    receiveTimer->isDone_ = true;
    receiveTimer->timer_.cancel();
    if (!received && receiveTimer->hasExpired_)
        co_return Error { Errc::Timeout, "receive from peer", peer(), "no answer in time", Ran::Unknown, {} };
    co_return received;
}

void LinkStream::finish()
{
    asio::post(link_->executor(), [self = shared_from_this()] {
        self->isOutputEnded_ = true;
        self->link_->resumeOutput(*self);
    });
}

void LinkStream::reset(std::uint32_t errorCode)
{
    asio::post(link_->executor(), [self = shared_from_this(), errorCode] { self->link_->resetStream(*self, errorCode); });
}

void LinkStream::cancel()
{
    isCancelled_ = true;
    reset(NGHTTP2_CANCEL);
}

void LinkStream::release()
{
    reset(NGHTTP2_NO_ERROR);
}

void LinkStream::refuse()
{
    reset(NGHTTP2_REFUSED_STREAM);
}

std::string LinkStream::peer() const
{
    return link_->peer();
}

} // namespace pistachioloom
