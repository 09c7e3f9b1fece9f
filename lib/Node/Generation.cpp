//===- lib/Node/Generation.cpp - the state of one generation --------------===//
///
/// \file
/// Implements the state of a generation: its tokens, its readers, and which tokens
/// may be read.
//===----------------------------------------------------------------------===//
#include "Generation.h"

#include "generated/Peer.pb.h"

namespace pistachioloom {

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr std::size_t hintLength = 8;

    std::string hintOf(const VmId& vm)
    {
        return sha256Hex(vm.value_).substr(0, hintLength);
    }

} // namespace

std::string makeRequestId(const std::string& uuid, const VmId& owner, const VmId& replica)
{
    return uuid + "." + hintOf(owner) + "." + hintOf(replica);
}

std::vector<VmId> hintedNodes(const std::string& requestId, const std::vector<VmId>& nodes)
{
    std::vector<VmId> hinted;
    std::size_t dot = requestId.find('.');
    while (dot != std::string::npos) {
        std::string hint = requestId.substr(dot + 1, hintLength);
        for (const VmId& node : nodes) {
            if (hintOf(node) == hint)
                hinted.push_back(node);
        }
        dot = requestId.find('.', dot + 1);
    }
    return hinted;
}

Generation::Generation(const wire::GenerationRecord& record, asio::any_io_executor executor)
    : id_(record.request_id())
    , organisation_(record.organisation())
    , entry_(record.entry())
    , model_(record.model())
    , maxTokens_(record.max_tokens())
    , deadline_(steadyNow() + milliseconds(record.deadline_ms()))
    , startedAt_(steadyNow())
    , executor_(std::move(executor))
    , record_(std::make_unique<wire::GenerationRecord>(record))
    , lastReadAt_(steadyNow())
    , changedAt_(steadyNow())
{
}

Generation::~Generation() = default;

Generation::Reader Generation::addReader()
{
    auto reader = std::make_shared<Signal>(executor_, 1);
    std::lock_guard lock(mutex_);
    std::erase_if(readers_, [](const std::weak_ptr<Signal>& known) { return known.expired(); });
    readers_.push_back(reader);
    return reader;
}

void Generation::addWatcher(const Reader& watcher)
{
    std::lock_guard lock(mutex_);
    std::erase_if(watchers_, [](const std::weak_ptr<Signal>& known) { return known.expired(); });
    watchers_.push_back(watcher);
}

bool Generation::hasReaders() const
{
    std::lock_guard lock(mutex_);
    return std::any_of(readers_.begin(), readers_.end(), [](const std::weak_ptr<Signal>& known) { return !known.expired(); });
}

void Generation::notify()
{
    changedAt_ = steadyNow();
    for (const auto* list : { &readers_, &watchers_ }) {
        for (const auto& weak : *list) {
            if (auto signal = weak.lock())
                signal->try_send(boost::system::error_code {});
        }
    }
}

bool Generation::isReadableToEnd() const
{
    return isCopyOptional_ || isEndCopied_;
}

AnswerPart Generation::read(std::size_t from) const
{
    std::lock_guard lock(mutex_);
    lastReadAt_ = steadyNow();
    auto count = static_cast<std::size_t>(record_->tokens_size());
    std::size_t readable = isReadableToEnd() ? count : std::min(readableTokens_, count);
    if (handedOverTokens_)
        readable = std::min(readable, *handedOverTokens_);
    AnswerPart part;
    for (std::size_t i = from; i < readable; ++i)
        part.tokens_.push_back(record_->tokens(static_cast<int>(i)).text());
    part.isMoved_ = isMoved_;
    if (readable < count)
        return part;
    part.isFinished_ = isFinished_ && isReadableToEnd();
    part.failure_ = failure_;
    return part;
}

asio::awaitable<AnswerPart> Generation::next(Reader reader, std::size_t from)
{
    for (;;) {
        AnswerPart part = read(from);
        if (!part.tokens_.empty() || part.isFinished_ || part.isMoved_ || part.failure_)
            co_return part;
        co_await reader->async_receive(asTuple);
    }
}

asio::awaitable<std::optional<Error>> Generation::waitAccepted(Reader reader)
{
    for (;;) {
        {
            std::lock_guard lock(mutex_);
            if (isAccepted_ && (isCopied_ || isCopyOptional_ || isEndCopied_))
                co_return std::nullopt;
            if (failure_)
                co_return failure_;
        }
        co_await reader->async_receive(asTuple);
    }
}

wire::GenerationRecord Generation::record() const
{
    std::lock_guard lock(mutex_);
    return recordLocked();
}

wire::GenerationRecord Generation::beginHandover()
{
    std::lock_guard lock(mutex_);
    handedOverTokens_ = static_cast<std::size_t>(record_->tokens_size());
    return recordLocked();
}

void Generation::cancelHandover()
{
    std::lock_guard lock(mutex_);
    handedOverTokens_.reset();
    notify();
}

wire::GenerationRecord Generation::recordLocked() const
{
    wire::GenerationRecord record = *record_;
    auto remaining = std::chrono::duration_cast<milliseconds>(deadline_ - steadyNow());
    record.set_deadline_ms(static_cast<std::uint64_t>(std::max(milliseconds {}, remaining).count()));
    record.set_is_finished(isFinished_);
    if (failure_)
        *record.mutable_failure() = toWire(*failure_);
    return record;
}

std::uint32_t Generation::startAttempt()
{
    std::lock_guard lock(mutex_);
    record_->set_attempt(record_->attempt() + 1);
    return record_->attempt();
}

void Generation::countYield()
{
    std::lock_guard lock(mutex_);
    record_->set_yields(record_->yields() + 1);
}

Result<std::size_t> Generation::append(const wire::TokenChunk& chunk)
{
    std::lock_guard lock(mutex_);
    auto reject = [&](const std::string& reason) { return Error { Errc::Protocol, "receive tokens", record_->engine(), reason, Ran::Unknown, {} }; };
    if (chunk.request_id() != id_)
        return reject("the tokens belong to another request");
    if (chunk.attempt() != record_->attempt())
        return reject("the tokens belong to another attempt");
    std::size_t added = 0;
    for (const wire::Token& token : chunk.tokens()) {
        auto count = static_cast<std::uint64_t>(record_->tokens_size());
        if (token.position() < count)
            continue;
        if (token.position() > count)
            return reject("a token is missing");
        *record_->add_tokens() = token;
        ++added;
    }
    if (added)
        notify();
    return added;
}

void Generation::setEngine(const std::string& engine)
{
    std::lock_guard lock(mutex_);
    record_->set_engine(engine);
}

std::string Generation::engine() const
{
    std::lock_guard lock(mutex_);
    return record_->engine();
}

void Generation::markAccepted()
{
    std::lock_guard lock(mutex_);
    isAccepted_ = true;
    notify();
}

bool Generation::isAccepted() const
{
    std::lock_guard lock(mutex_);
    return isAccepted_;
}

void Generation::finish()
{
    std::lock_guard lock(mutex_);
    isFinished_ = true;
    notify();
}

void Generation::fail(Error error)
{
    std::lock_guard lock(mutex_);
    if (!isFinished_ && !failure_)
        failure_ = std::move(error);
    notify();
}

void Generation::markMoved()
{
    std::lock_guard lock(mutex_);
    isMoved_ = true;
    notify();
}

bool Generation::isMoved() const
{
    std::lock_guard lock(mutex_);
    return isMoved_;
}

bool Generation::hasEnded() const
{
    std::lock_guard lock(mutex_);
    return isFinished_ || isMoved_ || failure_;
}

std::size_t Generation::tokenCount() const
{
    std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(record_->tokens_size());
}

void Generation::setReadable(std::size_t count)
{
    std::lock_guard lock(mutex_);
    isCopyOptional_ = false;
    isCopied_ = true;
    readableTokens_ = std::max(readableTokens_, count);
    notify();
}

void Generation::setReadableToEnd()
{
    std::lock_guard lock(mutex_);
    readableTokens_ = std::max(readableTokens_, static_cast<std::size_t>(record_->tokens_size()));
    if (isFinished_ || failure_)
        isEndCopied_ = true;
    else
        isCopyOptional_ = true;
    notify();
}

void Generation::setReplica(const std::string& replica)
{
    std::lock_guard lock(mutex_);
    record_->set_replica(replica);
}

std::string Generation::replica() const
{
    std::lock_guard lock(mutex_);
    return record_->replica();
}

Generation::Progress Generation::progressSince(std::size_t from) const
{
    std::lock_guard lock(mutex_);
    Progress progress;
    for (int i = static_cast<int>(from); i < record_->tokens_size(); ++i)
        progress.tokens_.push_back(record_->tokens(i).text());
    progress.attempt_ = record_->attempt();
    progress.hasEnded_ = isFinished_ || failure_.has_value();
    progress.isMoved_ = isMoved_;
    progress.failure_ = failure_;
    progress.engine_ = record_->engine();
    return progress;
}

SteadyTime Generation::lastReadAt() const
{
    std::lock_guard lock(mutex_);
    return lastReadAt_;
}

SteadyTime Generation::changedAt() const
{
    std::lock_guard lock(mutex_);
    return changedAt_;
}

} // namespace pistachioloom
