// Blocking HTTP/1.1 over loopback sockets for the stand-ins of this review.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct Address {
    std::string host_;
    std::uint16_t port_ = 0;
    std::string text() const { return host_ + ":" + std::to_string(port_); }
};

inline sockaddr_in toSocketAddress(const Address& address)
{
    sockaddr_in in {};
    in.sin_family = AF_INET;
    in.sin_port = htons(address.port_);
    inet_pton(AF_INET, address.host_.c_str(), &in.sin_addr);
    return in;
}

/// A connected socket with a buffer for what was received and not used.
class Connection {
public:
    explicit Connection(int fd = -1)
        : fd_(fd)
    {
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() { close(); }

    bool connect(const Address& address, int timeoutMs = 1000)
    {
        close();
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        timeval limit { timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
        ::setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        sockaddr_in in = toSocketAddress(address);
        if (::connect(fd_, reinterpret_cast<sockaddr*>(&in), sizeof in)) {
            close();
            return false;
        }
        limit = {};
        ::setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        int one = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        return true;
    }
    bool isOpen() const { return fd_ >= 0; }
    int fd() const { return fd_; }
    void close()
    {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = -1;
        input_.clear();
    }
    void reset()
    {
        linger immediate { 1, 0 };
        if (fd_ >= 0)
            ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
        close();
    }
    bool write(std::string_view bytes)
    {
        while (!bytes.empty()) {
            ssize_t count = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }
    /// Reads more bytes. Returns 1 if there are some, 0 at the end or an error, -1 if none came in time.
    int readMore(std::int64_t untilMs)
    {
        pollfd waiting { fd_, POLLIN, 0 };
        int ready = ::poll(&waiting, 1, static_cast<int>(std::max<std::int64_t>(0, untilMs - nowMs())));
        if (ready == 0)
            return -1;
        char buffer[16384];
        ssize_t count = ::recv(fd_, buffer, sizeof buffer, 0);
        if (count <= 0)
            return 0;
        input_.append(buffer, static_cast<std::size_t>(count));
        return 1;
    }
    /// Whether the other end has closed or reset the connection.
    bool isClosedByPeer()
    {
        char byte;
        ssize_t count = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    std::string input_;

private:
    int fd_;
};

struct Message {
    std::string first_;
    std::map<std::string, std::string> fields_;
    std::string body_;
    std::string field(const std::string& name) const
    {
        auto found = fields_.find(name);
        return found == fields_.end() ? std::string() : found->second;
    }
    std::string method() const { return first_.substr(0, first_.find(' ')); }
    std::string target() const
    {
        std::size_t from = first_.find(' ') + 1;
        return first_.substr(from, first_.find(' ', from) - from);
    }
    int status() const { return first_.size() > 12 ? std::atoi(first_.c_str() + 9) : 0; }
    std::string query(const std::string& name) const
    {
        std::string text = target();
        std::size_t at = text.find('?');
        while (at != std::string::npos) {
            std::size_t end = text.find('&', at + 1);
            std::string pair = text.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (pair.rfind(name + "=", 0) == 0)
                return pair.substr(name.size() + 1);
            at = end;
        }
        return {};
    }
};

enum class ReadResult { Done,
    Closed,
    TimedOut,
    Malformed };

/// Reads the head of a message, with field names in lower case.
inline ReadResult readHead(Connection& connection, Message& message, std::int64_t untilMs)
{
    std::size_t end;
    while ((end = connection.input_.find("\r\n\r\n")) == std::string::npos) {
        int more = connection.readMore(untilMs);
        if (more <= 0)
            return more ? ReadResult::TimedOut : ReadResult::Closed;
    }
    std::string head = connection.input_.substr(0, end + 2);
    connection.input_.erase(0, end + 4);
    message = {};
    std::size_t at = head.find("\r\n");
    message.first_ = head.substr(0, at);
    for (at += 2; at < head.size();) {
        std::size_t lineEnd = head.find("\r\n", at);
        std::string line = head.substr(at, lineEnd - at);
        at = lineEnd + 2;
        std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            return ReadResult::Malformed;
        std::string name = line.substr(0, colon);
        for (char& c : name)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.fields_[name] = value == std::string::npos ? "" : line.substr(value);
    }
    return ReadResult::Done;
}

/// Reads a whole message, with a length or in chunks. An answer with neither ends with its connection.
inline ReadResult readMessage(Connection& connection, Message& message, std::int64_t untilMs, bool isAnswer = false)
{
    ReadResult head = readHead(connection, message, untilMs);
    if (head != ReadResult::Done)
        return head;
    auto need = [&](std::size_t count) {
        while (connection.input_.size() < count) {
            int more = connection.readMore(untilMs);
            if (more <= 0)
                return more ? ReadResult::TimedOut : ReadResult::Closed;
        }
        return ReadResult::Done;
    };
    if (message.field("transfer-encoding") == "chunked") {
        for (;;) {
            std::size_t end;
            while ((end = connection.input_.find("\r\n")) == std::string::npos) {
                ReadResult more = need(connection.input_.size() + 1);
                if (more != ReadResult::Done)
                    return more;
            }
            std::size_t size = std::strtoul(connection.input_.c_str(), nullptr, 16);
            connection.input_.erase(0, end + 2);
            ReadResult more = need(size + 2);
            if (more != ReadResult::Done)
                return more;
            message.body_.append(connection.input_, 0, size);
            connection.input_.erase(0, size + 2);
            if (!size)
                return ReadResult::Done;
        }
    }
    std::string length = message.field("content-length");
    if (length.empty() && isAnswer) {
        int more;
        while ((more = connection.readMore(untilMs)) > 0) { }
        message.body_ = std::move(connection.input_);
        connection.input_.clear();
        return more ? ReadResult::TimedOut : ReadResult::Done;
    }
    std::size_t size = length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
    ReadResult more = need(size);
    if (more != ReadResult::Done)
        return more;
    message.body_ = connection.input_.substr(0, size);
    connection.input_.erase(0, size);
    return ReadResult::Done;
}

inline std::string answer(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections on a free port and serves each in a thread of its own.
class Server {
public:
    using Handler = std::function<void(Connection&)>;

    Address start(const std::string& host, Handler handler, std::uint16_t port = 0)
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int one = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in in = toSocketAddress({ host, port });
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&in), sizeof in) || ::listen(fd_, 1024))
            return {};
        socklen_t size = sizeof in;
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&in), &size);
        std::thread([fd = fd_, handler] {
            for (;;) {
                int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0 && errno == EINVAL)
                    return;
                if (accepted < 0)
                    continue;
                int one = 1;
                ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                std::thread([accepted, handler] {
                    Connection connection(accepted);
                    handler(connection);
                }).detach();
            }
        }).detach();
        return { host, ntohs(in.sin_port) };
    }
    /// Stops accepting; a new connection is then refused.
    void stop()
    {
        ::shutdown(fd_, SHUT_RDWR);
        ::close(fd_);
    }

private:
    int fd_ = -1;
};

} // namespace standin
