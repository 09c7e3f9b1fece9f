//===- lib/Wire/PeerLink.cpp - one nghttp2 session over a socket -----------===//
///
/// \file
/// The nghttp2 callbacks and the read and write loops of a link.
//===----------------------------------------------------------------------===//
#include "PeerLink.h"

#include "generated/Peer.pb.h"
#include <algorithm>
#include <array>

namespace pistachioloom {

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr std::size_t readBufferSize = 64UL * 1024;
    constexpr std::size_t writeBatchSize = 64UL * 1024;
    constexpr std::size_t frameHeaderSize = 4;
    // Frames may be larger than the window, because decodeFrames() returns bytes to the
    // window before their frame is complete.
    constexpr std::int32_t streamWindow = 256 * 1024;
    constexpr std::int32_t connectionWindow = 16 * 1024 * 1024;
    constexpr std::uint32_t maxConcurrentStreams = 4096;

    nghttp2_nv header(std::string_view name, std::string_view value)
    {
        auto bytes = [](std::string_view text) { return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data())); };
        return { bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
    }

    std::size_t frameLength(std::string_view bytes)
    {
        std::size_t length = 0;
        for (std::size_t i = 0; i < frameHeaderSize; ++i)
            length = length << 8U | static_cast<unsigned char>(bytes[i]);
        return length;
    }

} // namespace

PeerLink::PeerLink(asio::ip::tcp::socket socket, Side side, std::string credential, std::string peer,
    std::shared_ptr<WireCounters> counters, PeerStreamHandler handler, WireErrorHook onError, KeepAlive keepAlive)
    : socket_(std::move(socket))
    , side_(side)
    , credential_(std::move(credential))
    , peer_(std::move(peer))
    , counters_(std::move(counters))
    , handler_(std::move(handler))
    , onError_(std::move(onError))
    , keepAlive_(keepAlive)
    , keepAliveTimer_(socket_.get_executor())
{
    createSession();
}

PeerLink::~PeerLink()
{
    nghttp2_session_del(session_);
}

void PeerLink::createSession()
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrameReceived);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClose);
    nghttp2_option* option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_auto_window_update(option, 1);
    nghttp2_option_set_peer_max_concurrent_streams(option, maxConcurrentStreams);
    if (side_ == Side::Client)
        nghttp2_session_client_new2(&session_, callbacks, this, option);
    else
        nghttp2_session_server_new2(&session_, callbacks, this, option);
    nghttp2_option_del(option);
    nghttp2_session_callbacks_del(callbacks);
    std::array settings {
        nghttp2_settings_entry { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxConcurrentStreams },
        nghttp2_settings_entry { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindow },
    };
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, connectionWindow);
}

void PeerLink::start()
{
    asio::co_spawn(
        executor(), [self = shared_from_this()]() { return self->readLoop(); }, asio::detached);
    asio::co_spawn(
        executor(), [self = shared_from_this()]() { return self->keepAliveLoop(); }, asio::detached);
    asio::post(executor(), [self = shared_from_this()] { self->startWriting(); });
}

// Counts intervals instead of time: a process that was itself frozen must first read the
// input that arrived during the freeze, and must not close its connections because of the
// time that has passed.
asio::awaitable<void> PeerLink::keepAliveLoop()
{
    auto self = shared_from_this();
    while (socket_.is_open()) {
        keepAliveTimer_.expires_after(keepAlive_.interval_);
        co_await keepAliveTimer_.async_wait(asTuple);
        if (!isUsable_ && streams_.empty()) {
            close("all streams have ended");
            co_return;
        }
        if (streams_.empty() || !socket_.is_open()) {
            idleIntervals_ = 0;
            continue;
        }
        if (idleIntervals_ >= keepAlive_.maxIdleIntervals_) {
            close("the peer is unresponsive");
            co_return;
        }
        if (idleIntervals_++) {
            nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
            startWriting();
        }
    }
}

asio::awaitable<void> PeerLink::readLoop()
{
    auto self = shared_from_this();
    std::vector<std::uint8_t> buffer(readBufferSize);
    while (isUsable_ || !streams_.empty()) {
        auto [code, count] = co_await socket_.async_read_some(asio::buffer(buffer), asTuple);
        if (code) {
            close(code.message());
            co_return;
        }
        counters_->bytesReceived_ += count;
        receivedAt_ = steadyNow();
        idleIntervals_ = 0;
        ssize_t taken = nghttp2_session_mem_recv(session_, buffer.data(), count);
        if (taken < 0) {
            reportError("read frames", nghttp2_strerror(static_cast<int>(taken)));
            close("bad input");
            co_return;
        }
        startWriting();
    }
    close("all streams have ended");
}

void PeerLink::startWriting()
{
    if (isWriting_ || !socket_.is_open())
        return;
    isWriting_ = true;
    asio::co_spawn(
        executor(), [self = shared_from_this()]() { return self->writeLoop(); }, asio::detached);
}

asio::awaitable<void> PeerLink::writeLoop()
{
    std::string batch;
    while (socket_.is_open()) {
        batch.clear();
        while (batch.size() < writeBatchSize) {
            const std::uint8_t* data = nullptr;
            ssize_t count = nghttp2_session_mem_send(session_, &data);
            if (count <= 0)
                break;
            batch.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(count));
        }
        if (batch.empty())
            break;
        counters_->bytesSent_ += batch.size();
        auto [code, count] = co_await asio::async_write(socket_, asio::buffer(batch), asTuple);
        if (code) {
            isWriting_ = false;
            close(code.message());
            co_return;
        }
    }
    isWriting_ = false;
    if (!nghttp2_session_want_read(session_) && !nghttp2_session_want_write(session_))
        close("the session has ended");
}

bool PeerLink::submit(const std::shared_ptr<LinkStream>& stream)
{
    if (!isUsable_ || !socket_.is_open() || stream->isClosed_)
        return false;
    std::array headers {
        header(":method", "POST"),
        header(":scheme", "http"),
        header(":authority", peer_),
        header(":path", wirePath),
        header("authorization", credential_),
    };
    nghttp2_data_provider provider {};
    provider.source.ptr = stream.get();
    provider.read_callback = readOutput;
    std::int32_t id = nghttp2_submit_request(session_, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (id < 0) {
        isUsable_ = false;
        return false;
    }
    stream->id_ = id;
    streams_[id] = stream;
    startWriting();
    return true;
}

void PeerLink::submitAnswer(LinkStream& stream)
{
    std::array headers { header(":status", "200") };
    nghttp2_data_provider provider {};
    provider.source.ptr = &stream;
    provider.read_callback = readOutput;
    nghttp2_submit_response(session_, stream.id_, headers.data(), headers.size(), &provider);
}

void PeerLink::rejectStream(std::int32_t streamId, int status, const std::string& reason)
{
    reportError("open stream", reason);
    std::string statusText = std::to_string(status);
    std::array headers { header(":status", statusText) };
    nghttp2_submit_response(session_, streamId, headers.data(), headers.size(), nullptr);
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, streamId, NGHTTP2_REFUSED_STREAM);
}

void PeerLink::resumeOutput(LinkStream& stream)
{
    if (stream.id_ < 0 || !stream.isDeferred_)
        return;
    stream.isDeferred_ = false;
    nghttp2_session_resume_data(session_, stream.id_);
    startWriting();
}

void PeerLink::resetStream(LinkStream& stream, std::uint32_t errorCode)
{
    if (stream.id_ >= 0 && !stream.isClosed_ && socket_.is_open()) {
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream.id_, errorCode);
        startWriting();
    }
    endStream(stream, errorCode);
}

void PeerLink::returnToWindow(LinkStream& stream, std::size_t bytes)
{
    if (!socket_.is_open() || stream.isClosed_)
        return;
    std::size_t early = std::min(bytes, stream.returnedEarly_);
    stream.returnedEarly_ -= early;
    nghttp2_session_consume_stream(session_, stream.id_, bytes - early);
    startWriting();
}

void PeerLink::refuseNewStreams()
{
    if (isDraining_ || !socket_.is_open())
        return;
    isDraining_ = true;
    std::int32_t last = nghttp2_session_get_last_proc_stream_id(session_);
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
    startWriting();
}

void PeerLink::retire()
{
    if (side_ == Side::Client)
        isUsable_ = false;
}

void PeerLink::close(std::string_view reason)
{
    isUsable_ = false;
    if (!socket_.is_open())
        return;
    boost::system::error_code ignored;
    socket_.close(ignored);
    keepAliveTimer_.cancel();
    if (!streams_.empty())
        reportError("connection", std::string("closed: ") + std::string(reason));
    auto streams = std::move(streams_);
    streams_.clear();
    for (auto& [id, stream] : streams)
        endStream(*stream, NGHTTP2_INTERNAL_ERROR);
}

void PeerLink::reportError(std::string_view step, std::string_view reason)
{
    if (onError_)
        onError_({ Errc::Protocol, std::string(step), peer_, std::string(reason), Ran::Unknown, {} });
}

LinkStream* PeerLink::findStream(std::int32_t streamId)
{
    auto found = streams_.find(streamId);
    return found == streams_.end() ? nullptr : found->second.get();
}

void PeerLink::endStream(LinkStream& stream, std::uint32_t errorCode)
{
    if (stream.isClosed_)
        return;
    stream.isClosed_ = true;
    stream.isRefused_ = errorCode == NGHTTP2_REFUSED_STREAM;
    if (errorCode == NGHTTP2_CANCEL)
        stream.isCancelled_ = true;
    stream.isFailed_ = errorCode != NGHTTP2_NO_ERROR;
    stream.endFrames();
    // Closing a channel fails later sends only. The sends that wait for a credit are cancelled.
    stream.sendCredits_.close();
    stream.sendCredits_.cancel();
}

void PeerLink::decodeFrames(LinkStream& stream, std::string_view data)
{
    stream.input_.append(data);
    std::size_t position = 0;
    while (stream.input_.size() - position >= frameHeaderSize) {
        std::size_t length = frameLength(std::string_view(stream.input_).substr(position));
        if (length > maxFrameSize.value_) {
            reportError("read frame", "the frame exceeds the maximum size");
            resetStream(stream, NGHTTP2_FRAME_SIZE_ERROR);
            return;
        }
        if (stream.input_.size() - position < frameHeaderSize + length)
            break;
        std::string frame = stream.input_.substr(position + frameHeaderSize, length);
        position += frameHeaderSize + length;
        if (!stream.receivedFrames_.try_send(boost::system::error_code {}, std::move(frame))) {
            reportError("read frame", "too many unread frames");
            resetStream(stream, NGHTTP2_FLOW_CONTROL_ERROR);
            return;
        }
    }
    stream.input_.erase(0, position);
    // A frame larger than the window would never become complete if its received bytes
    // stayed unacknowledged in the window.
    constexpr std::size_t largeInput = streamWindow / 2;
    if (stream.input_.size() < largeInput)
        return;
    nghttp2_session_consume_stream(session_, stream.id_, data.size());
    stream.returnedEarly_ += data.size();
}

void PeerLink::handleRequestHeaders(std::int32_t streamId)
{
    auto found = streams_.find(streamId);
    if (found == streams_.end() || found->second->isHandlerStarted_)
        return;
    auto stream = found->second;
    if (!stream->isPathKnown_) {
        rejectStream(streamId, 404, "unknown version of the protocol");
        return;
    }
    if (!stream->isAuthorised_) {
        rejectStream(streamId, 401, "wrong credential");
        return;
    }
    if (isDraining_) {
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, streamId, NGHTTP2_REFUSED_STREAM);
        return;
    }
    stream->isHandlerStarted_ = true;
    submitAnswer(*stream);
    auto strand = asio::make_strand(executor());
    asio::co_spawn(
        strand, [handler = handler_, stream]() -> asio::awaitable<void> { co_await handler(stream); }, asio::detached);
}

int PeerLink::onBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user)
{
    auto* self = static_cast<PeerLink*>(user);
    if (self->side_ != Side::Server || frame->headers.cat != NGHTTP2_HCAT_REQUEST)
        return 0;
    auto stream = std::make_shared<LinkStream>(self->shared_from_this(), self->executor());
    stream->id_ = frame->hd.stream_id;
    self->streams_[stream->id_] = stream;
    return 0;
}

int PeerLink::onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t nameLength,
    const std::uint8_t* value, std::size_t valueLength, std::uint8_t, void* user)
{
    auto* self = static_cast<PeerLink*>(user);
    LinkStream* stream = self->findStream(frame->hd.stream_id);
    if (!stream || self->side_ != Side::Server)
        return 0;
    std::string_view nameText(reinterpret_cast<const char*>(name), nameLength);
    std::string_view valueText(reinterpret_cast<const char*>(value), valueLength);
    if (nameText == ":path")
        stream->isPathKnown_ = valueText == wirePath;
    if (nameText == "authorization")
        stream->isAuthorised_ = equalInConstantTime(valueText, self->credential_);
    return 0;
}

int PeerLink::onFrameReceived(nghttp2_session*, const nghttp2_frame* frame, void* user)
{
    auto* self = static_cast<PeerLink*>(user);
    if (frame->hd.type == NGHTTP2_GOAWAY && self->side_ == Side::Client)
        self->isUsable_ = false;
    if (frame->hd.type == NGHTTP2_HEADERS && self->side_ == Side::Server)
        self->handleRequestHeaders(frame->hd.stream_id);
    bool endsStream = frame->hd.flags & NGHTTP2_FLAG_END_STREAM;
    if (endsStream && (frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS)) {
        if (LinkStream* stream = self->findStream(frame->hd.stream_id)) {
            stream->isRemoteClosed_ = true;
            stream->endFrames();
        }
    }
    return 0;
}

int PeerLink::onData(nghttp2_session* session, std::uint8_t, std::int32_t streamId, const std::uint8_t* data, std::size_t length, void* user)
{
    auto* self = static_cast<PeerLink*>(user);
    nghttp2_session_consume_connection(session, length);
    if (LinkStream* stream = self->findStream(streamId)) {
        stream->receivedAt_ = steadyNow();
        stream->bytesReceived_ += length;
        self->decodeFrames(*stream, { reinterpret_cast<const char*>(data), length });
    }
    return 0;
}

int PeerLink::onStreamClose(nghttp2_session*, std::int32_t streamId, std::uint32_t errorCode, void* user)
{
    auto* self = static_cast<PeerLink*>(user);
    auto found = self->streams_.find(streamId);
    if (found == self->streams_.end())
        return 0;
    auto stream = found->second;
    self->streams_.erase(found);
    self->endStream(*stream, errorCode);
    return 0;
}

ssize_t PeerLink::readOutput(nghttp2_session*, std::int32_t, std::uint8_t* buffer, std::size_t length, std::uint32_t* flags,
    nghttp2_data_source* source, void*)
{
    auto* stream = static_cast<LinkStream*>(source->ptr);
    std::size_t written = 0;
    while (written < length && !stream->output_.empty()) {
        const std::string& front = stream->output_.front();
        std::size_t count = std::min(length - written, front.size() - stream->outputOffset_);
        std::copy_n(front.data() + stream->outputOffset_, count, buffer + written);
        written += count;
        stream->outputOffset_ += count;
        if (stream->outputOffset_ < front.size())
            break;
        stream->output_.pop_front();
        stream->outputOffset_ = 0;
        stream->sendCredits_.try_receive([](boost::system::error_code) {});
    }
    if (stream->output_.empty() && stream->isOutputEnded_) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(written);
    }
    if (written)
        return static_cast<ssize_t>(written);
    stream->isDeferred_ = true;
    return NGHTTP2_ERR_DEFERRED;
}

} // namespace pistachioloom
