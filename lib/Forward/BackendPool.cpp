//===- lib/Forward/BackendPool.cpp - kept connections to backend servers ---===//
///
/// \file
/// See BackendPool.h.
//===----------------------------------------------------------------------===//
#include "BackendPool.h"

#include <sys/socket.h>

namespace pistachioloom {

BackendConnection::BackendConnection(const asio::any_io_executor& executor, std::shared_ptr<std::size_t> open)
    : socket_(executor)
    , open_(std::move(open))
{
    ++*open_;
}

BackendConnection::~BackendConnection()
{
    --*open_;
}

void BackendConnection::close()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void BackendConnection::abort()
{
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

/// Whether the socket is open and nothing has arrived on it: bytes that nobody
/// asked for belong to no request.
static bool isQuiet(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    ssize_t count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

BackendConnectionPtr BackendPool::take(const BackendId& backend, SteadyTime now)
{
    auto found = idle_.find(backend);
    if (found == idle_.end())
        return nullptr;
    std::vector<BackendConnectionPtr>& kept = found->second;
    while (!kept.empty()) {
        BackendConnectionPtr connection = std::move(kept.back());
        kept.pop_back();
        if (connection->usableUntil_ > now && isQuiet(connection->socket_)) {
            connection->isReused_ = true;
            return connection;
        }
        connection->close();
    }
    idle_.erase(found);
    return nullptr;
}

std::size_t BackendPool::openTo(const BackendId& backend) const
{
    auto found = open_.find(backend);
    return found == open_.end() ? 0 : *found->second;
}

BackendConnectionPtr BackendPool::make(const BackendId& backend)
{
    auto [found, isNew] = open_.try_emplace(backend);
    if (isNew)
        found->second = std::make_shared<std::size_t>(0);
    auto connection = std::make_shared<BackendConnection>(executor_, found->second);
    connection->backend_ = backend;
    return connection;
}

void BackendPool::put(BackendConnectionPtr connection)
{
    std::vector<BackendConnectionPtr>& kept = idle_[connection->backend_];
    kept.push_back(std::move(connection));
}

void BackendPool::expire(SteadyTime now)
{
    for (auto& [backend, kept] : idle_) {
        std::erase_if(kept, [&](const BackendConnectionPtr& connection) {
            if (connection->usableUntil_ > now && isQuiet(connection->socket_))
                return false;
            connection->close();
            return true;
        });
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(open_, [](const auto& entry) { return *entry.second == 0; });
}

} // namespace pistachioloom
