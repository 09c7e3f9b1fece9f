//===- test/Harness/PathProxy.h - paths from one node to servers ----------===//
///
/// \file
/// Loopback proxies that stand for the paths from one node to backend servers, and that can be
/// cut together. Unlike TcpProxySet, a cut also concerns connection attempts: they are refused,
/// or not answered.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"

#include <boost/asio.hpp>
#include <set>
#include <thread>

namespace pistachioloom::test {

enum class PathFault {
    None,
    /// Open connections deliver nothing, and connection attempts are not answered.
    Hang,
    /// Open connections are reset, and new ones refused.
    Reset,
    /// Open connections live on, and new ones are refused.
    RefuseNew,
};

std::string_view toString(PathFault fault);

/// The paths of one node, on one thread.
class PathProxies {
public:
    PathProxies();
    ~PathProxies();
    PathProxies(const PathProxies&) = delete;
    PathProxies& operator=(const PathProxies&) = delete;

    /// Adds a path. \returns its index.
    std::size_t add();
    Endpoint endpoint(std::size_t path) const { return { "127.0.0.1", paths_[path]->port_ }; }
    void setTarget(std::size_t path, const Endpoint& target);
    /// Applies \p fault to all paths.
    void set(PathFault fault);

private:
    struct Link;
    struct Path {
        explicit Path(asio::io_context& io)
            : acceptor_(io)
        {
        }
        asio::ip::tcp::acceptor acceptor_;
        std::uint16_t port_ = 0;
        Endpoint target_;
        /// Fill the accept queue of a listener that does not accept.
        std::vector<asio::ip::tcp::socket> queued_;
    };

    void run(const std::function<void()>& task);
    void listen(Path& path, int backlog);
    void apply(Path& path);
    asio::awaitable<void> accept(std::size_t path);
    asio::awaitable<void> copy(std::shared_ptr<Link> link, bool isToTarget);

    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::vector<std::unique_ptr<Path>> paths_;
    std::set<std::shared_ptr<Link>> links_;
    PathFault fault_ = PathFault::None;
    std::thread thread_;
};

} // namespace pistachioloom::test
