//===- lib/Wire/LinkStream.cpp - one exchange on a link --------------------===//
///
/// \file
/// The part of a stream that its user's coroutine runs, off the link's strand.
//===----------------------------------------------------------------------===//
#include "PeerLink.h"

#include "generated/Peer.pb.h"

namespace pistachioloom {

namespace {

    constexpr auto tokenOf = asio::as_tuple(asio::use_awaitable);
    // The window bounds the bytes; this bounds the count of small frames unread.
    constexpr std::size_t mostFramesUnread = 64UL * 1024;
    constexpr std::size_t mostFramesUnsent = 16;

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
    , frames_(executor, mostFramesUnread)
    , credits_(executor, mostFramesUnsent)
{
}

asio::awaitable<Result<void>> LinkStream::send(const wire::Frame& frame)
{
    std::string bytes = encode(frame);
    auto [code] = co_await credits_.async_send(boost::system::error_code {}, tokenOf);
    if (code)
        co_return Error { isCancelled_ ? Errc::Cancelled : Errc::Reset, "send to peer", peer(), "stream is closed", isRefused_ ? Ran::No : Ran::Unknown, {} };
    asio::post(link_->executor(), [self = shared_from_this(), bytes = std::move(bytes)]() mutable {
        if (self->isClosed_)
            return;
        self->output_.push_back(std::move(bytes));
        self->link_->wake(*self);
    });
    co_return boost::outcome_v2::success();
}

void LinkStream::endFrames()
{
    if (!frames_.try_send(asio::error::eof, std::string()))
        frames_.close();
}

asio::awaitable<Result<wire::Frame>> LinkStream::receive()
{
    boost::system::error_code code = asio::error::eof;
    std::string bytes;
    if (!isReadToEnd_)
        std::tie(code, bytes) = co_await frames_.async_receive(tokenOf);
    if (code) {
        isReadToEnd_ = true;
        if (isCancelled_)
            co_return Error { Errc::Cancelled, "receive from peer", peer(), "cancelled", Ran::Unknown, {} };
        if (isEnded_ && !isFailed_)
            co_return Error { Errc::NotFound, "receive from peer", peer(), "peer ended the stream", Ran::Unknown, {} };
        co_return Error { Errc::Reset, "receive from peer", peer(), "stream was reset", isRefused_ ? Ran::No : Ran::Unknown, {} };
    }
    asio::post(link_->executor(), [self = shared_from_this(), count = bytes.size() + 4] { self->link_->consumed(*self, count); });
    wire::Frame frame;
    if (frame.ParseFromString(bytes) && frame.body_case() != wire::Frame::BODY_NOT_SET)
        co_return frame;
    link_->report("read frame", "not a known frame");
    cancel();
    co_return Error { Errc::Protocol, "read frame", peer(), "not a known frame", Ran::Unknown, {} };
}

asio::awaitable<Result<wire::Frame>> LinkStream::receiveWithin(milliseconds timeout)
{
    return receiveWithin(timeout, timeout);
}

std::shared_ptr<LinkStream::Watch> LinkStream::beginWatch(const asio::any_io_executor& executor, milliseconds silence, milliseconds longest)
{
    auto watch = std::make_shared<Watch>(Watch { SteadyTimer(executor), silence, steadyNow(), longest });
    guard(watch);
    return watch;
}

void LinkStream::guard(const std::shared_ptr<Watch>& watch)
{
    SteadyTime heardAt = std::max(watch->begunAt_, heardAt_.load());
    SteadyTime until = std::min(heardAt + watch->silence_, watch->begunAt_ + watch->longest_);
    if (until <= steadyNow()) {
        watch->hasExpired_ = true;
        cancel();
        return;
    }
    watch->timer_.expires_at(until);
    watch->timer_.async_wait([weak = weak_from_this(), watch](boost::system::error_code code) {
        auto self = weak.lock();
        if (!code && self && !watch->isOver_)
            self->guard(watch);
    });
}

asio::awaitable<Result<wire::Frame>> LinkStream::receiveWithin(milliseconds silence, milliseconds longest)
{
    auto watch = beginWatch(co_await asio::this_coro::executor, silence, longest);
    auto received = co_await receive();
    watch->isOver_ = true;
    watch->timer_.cancel();
    if (!received && watch->hasExpired_)
        co_return Error { Errc::Timeout, "receive from peer", peer(), "no answer in time", Ran::Unknown, {} };
    co_return received;
}

void LinkStream::finish()
{
    asio::post(link_->executor(), [self = shared_from_this()] {
        self->isOutputEnded_ = true;
        self->link_->wake(*self);
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
