//===- lib/Forward/ConnectionPool.cpp - kept backend connections ----------===//
///
/// \file
/// See ConnectionPool.h.
//===----------------------------------------------------------------------===//
#include "ConnectionPool.h"

#include "Headers.h"

#include <boost/algorithm/string.hpp>
#include <sys/socket.h>

namespace pistachioloom {

// The last fifth of an idle timeout is not used. A new connection costs only a round trip,
// whereas a request that is lost in the server's close may not be retryable.
static constexpr int idleMarginDivisor = 5;
// Longer idle timeouts are reduced to this limit, since no connection needs to be kept for
// longer. The limit also bounds the external values that enter the arithmetic.
static constexpr std::chrono::hours maxIdle { 1 };
// Time after an answer without the request's id for which more of them are expected.
static constexpr std::chrono::seconds ambiguityTime { 10 };

/// Parses the idle timeout of a Keep-Alive header (RFC 2068, 19.7.1), which may be in quotes.
/// \returns nullopt if the header states none.
static std::optional<milliseconds> parseIdleTimeout(std::string_view keepAlive)
{
    std::vector<std::string> parameters;
    boost::split(parameters, keepAlive, [](char c) { return c == ',' || c == ';'; });
    for (const std::string& parameter : parameters) {
        std::size_t equals = parameter.find('=');
        if (equals == std::string::npos || !equalWithoutCase(boost::trim_copy(parameter.substr(0, equals)), "timeout"))
            continue;
        std::string value = boost::trim_copy_if(parameter.substr(equals + 1), boost::is_any_of(" \t\""));
        std::string_view digits = std::string_view(value).substr(0, value.find_first_not_of("0123456789"));
        if (auto seconds = parseNumber(digits))
            return std::chrono::seconds(std::min<std::uint64_t>(*seconds, std::chrono::seconds(maxIdle).count()));
    }
    return std::nullopt;
}

milliseconds usableIdle(std::string_view keepAlive, const ForwardSettings& settings)
{
    milliseconds idle = parseIdleTimeout(keepAlive).value_or(settings.defaultIdleTimeout_);
    return std::max(milliseconds(0), idle - std::max(idle / idleMarginDivisor, settings.idleMargin_));
}

BackendConnection::BackendConnection(const asio::any_io_executor& executor, std::shared_ptr<std::size_t> open)
    : socket_(executor)
    , openCount_(std::move(open))
{
    ++*openCount_;
}

BackendConnection::~BackendConnection()
{
    --*openCount_;
}

std::size_t BackendConnection::takeReceived(asio::mutable_buffer target)
{
    std::size_t count = asio::buffer_copy(target, asio::buffer(received_));
    received_.erase(0, count);
    return count;
}

asio::awaitable<void> BackendConnection::readRelayed(std::shared_ptr<BackendConnection> self, asio::mutable_buffer target, IoHandler handler)
{
    while (self->received_.empty()) {
        auto bytes = co_await self->relayed_->receive_();
        if (!bytes) {
            boost::system::error_code code = asio::error::connection_reset;
            if (bytes.error().code_ == Errc::NotFound)
                code = asio::error::eof;
            handler(code, 0);
            co_return;
        }
        self->received_ = std::move(bytes.value());
    }
    std::size_t count = self->takeReceived(target);
    handler({}, count);
}

asio::awaitable<void> BackendConnection::writeRelayed(std::shared_ptr<BackendConnection> self, std::string bytes, IoHandler handler)
{
    std::size_t count = bytes.size();
    auto sent = co_await self->relayed_->send_(std::move(bytes));
    boost::system::error_code code;
    if (!sent)
        code = asio::error::connection_reset;
    handler(code, sent ? count : 0);
}

void BackendConnection::startRelayedRead(asio::mutable_buffer target, IoHandler handler)
{
    asio::co_spawn(socket_.get_executor(), readRelayed(shared_from_this(), target, std::move(handler)), asio::detached);
}

void BackendConnection::startRelayedWrite(std::string bytes, IoHandler handler)
{
    asio::co_spawn(socket_.get_executor(), writeRelayed(shared_from_this(), std::move(bytes), std::move(handler)), asio::detached);
}

void BackendConnection::close()
{
    if (relayed_)
        relayed_->reset_();
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void BackendConnection::abort()
{
    if (relayed_)
        relayed_->reset_();
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

bool BackendConnection::isReceiveBufferEmpty() const
{
    if (relayed_)
        return received_.empty();
    boost::system::error_code ignored;
    return !socket_.available(ignored);
}

/// Whether the socket is open and has no unread bytes. Unsolicited bytes belong to no
/// request, so their connection cannot be reused.
static bool isOpenWithoutData(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    ssize_t count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

BackendConnectionPtr ConnectionPool::take(const BackendId& backend, std::uint64_t lossCount, SteadyTime now)
{
    auto found = idle_.find(backend);
    if (found == idle_.end())
        return nullptr;
    std::vector<BackendConnectionPtr>& kept = found->second;
    while (!kept.empty()) {
        BackendConnectionPtr connection = std::move(kept.back());
        kept.pop_back();
        if (connection->lossCount_ == lossCount && connection->usableUntil_ > now && isOpenWithoutData(connection->socket_)) {
            connection->isReused_ = true;
            return connection;
        }
        connection->close();
    }
    idle_.erase(found);
    return nullptr;
}

std::size_t ConnectionPool::openCount(const BackendId& backend) const
{
    auto found = openCounts_.find(backend);
    return found == openCounts_.end() ? 0 : *found->second;
}

BackendConnectionPtr ConnectionPool::make(const BackendId& backend)
{
    auto [found, isNew] = openCounts_.try_emplace(backend);
    if (isNew)
        found->second = std::make_shared<std::size_t>(0);
    auto connection = std::make_shared<BackendConnection>(executor_, found->second);
    connection->backend_ = backend;
    return connection;
}

void ConnectionPool::noteAmbiguous(const BackendId& backend, SteadyTime now)
{
    ambiguousUntil_[backend] = now + ambiguityTime;
}

bool ConnectionPool::isAmbiguous(const BackendId& backend, SteadyTime now) const
{
    auto found = ambiguousUntil_.find(backend);
    return found != ambiguousUntil_.end() && now < found->second;
}

void ConnectionPool::put(BackendConnectionPtr connection)
{
    std::vector<BackendConnectionPtr>& kept = idle_[connection->backend_];
    kept.push_back(std::move(connection));
}

void ConnectionPool::expire(SteadyTime now)
{
    for (auto& [backend, kept] : idle_) {
        std::erase_if(kept, [&](const BackendConnectionPtr& connection) {
            if (connection->usableUntil_ > now && isOpenWithoutData(connection->socket_))
                return false;
            connection->close();
            return true;
        });
    }
    std::erase_if(ambiguousUntil_, [&](const auto& entry) { return entry.second <= now; });
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(openCounts_, [](const auto& entry) { return *entry.second == 0; });
}

} // namespace pistachioloom
