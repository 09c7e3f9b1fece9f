// Stand-ins for the users' platform, servers and clients, and a starter of gateways. Everything runs
// in one process on loopback addresses, with a thread for each connection, and needs only the C++
// standard library and POSIX.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point startedAt = Clock::now();

/// Seconds since the start of the program.
inline double now() { return std::chrono::duration<double>(Clock::now() - startedAt).count(); }
inline void sleepMs(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }

/// Writes `record.txt`: one line for each event, with its time in seconds.
class Record {
public:
    explicit Record(const std::string& file)
        : file_(std::fopen(file.c_str(), "w"))
    {
    }
    void line(const char* format, ...)
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        std::lock_guard lock(mutex_);
        std::fprintf(file_, "%8.3f %s\n", now(), text);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
};

inline sockaddr_in addressOf(const std::string& host, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

inline int listenOn(const std::string& host, int port)
{
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = addressOf(host, port);
    if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) || listen(listener, 512)) {
        close(listener);
        return -1;
    }
    return listener;
}

inline int connectTo(const std::string& host, int port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = addressOf(host, port);
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address)) {
        close(fd);
        return -1;
    }
    return fd;
}

inline bool sendAll(int fd, const std::string& bytes)
{
    std::size_t at = 0;
    while (at < bytes.size()) {
        ssize_t count = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        at += static_cast<std::size_t>(count);
    }
    return true;
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

struct Message {
    /// The request line or status line.
    std::string first_;
    std::map<std::string, std::string> fields_;
    std::string body_;
    std::string field(const std::string& name) const
    {
        auto found = fields_.find(lower(name));
        return found == fields_.end() ? "" : found->second;
    }
    std::string word(int number) const
    {
        std::istringstream words(first_);
        std::string word;
        for (int i = 0; i <= number; ++i)
            words >> word;
        return word;
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

enum class ReadEnd { Complete,
    Closed,
    Timeout };

/// Reads one message whose body has a length. Bytes after it stay in \p buffer.
inline ReadEnd readMessage(int fd, std::string& buffer, Message& message, double until)
{
    std::size_t need = std::string::npos;
    for (;;) {
        std::size_t end = buffer.find("\r\n\r\n");
        if (need == std::string::npos && end != std::string::npos) {
            message = {};
            std::istringstream lines(buffer.substr(0, end));
            std::string line;
            while (std::getline(lines, line)) {
                if (!line.empty() && line.back() == '\r')
                    line.pop_back();
                if (message.first_.empty()) {
                    message.first_ = line;
                    continue;
                }
                std::size_t colon = line.find(':');
                if (colon != std::string::npos)
                    message.fields_[lower(line.substr(0, colon))] = line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1)));
            }
            need = end + 4 + std::strtoul(message.field("content-length").c_str(), nullptr, 10);
        }
        if (need != std::string::npos && buffer.size() >= need) {
            message.body_ = buffer.substr(end + 4, need - end - 4);
            buffer.erase(0, need);
            return ReadEnd::Complete;
        }
        pollfd ready { fd, POLLIN, 0 };
        double left = until - now();
        if (left <= 0 || poll(&ready, 1, static_cast<int>(left * 1000) + 1) == 0)
            return ReadEnd::Timeout;
        char bytes[16384];
        ssize_t count = recv(fd, bytes, sizeof bytes, 0);
        if (count <= 0)
            return ReadEnd::Closed;
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
}

/// Accepts connections and runs \p serve for each in a thread of its own.
inline void acceptLoop(int listener, std::function<void(int)> serve)
{
    std::thread([listener, serve] {
        for (;;) {
            int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([fd, serve] {
                serve(fd);
                close(fd);
            }).detach();
        }
    }).detach();
}

inline std::string base64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j)
            value = value << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            text += j > bytes.size() - i ? '=' : digits[value >> (18 - 6 * j) & 63];
    }
    return text;
}

inline std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i)
        text += static_cast<char>(value >> (8 * i));
    return text;
}

/// The platform's store, a log, and its API for duties, which accepts every call that no hook answers.
class Platform {
public:
    /// How long the records of a topic stay, in seconds; see `keep_s` in PROTOCOL.md.
    double keepS_ = 300;
    /// Answers a call of the API for duties with a status.
    std::function<int(const Message& request)> onDuty_;

    bool listen(const std::string& host, int port)
    {
        int listener = listenOn(host, port);
        if (listener < 0)
            return false;
        acceptLoop(listener, [this](int fd) { serve(fd); });
        return true;
    }
    /// Writes as the operator and the servers do.
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        std::lock_guard lock(mutex_);
        append(topic, std::string(1, static_cast<char>(key.size())) + key + value);
    }

private:
    struct Newest {
        std::string value_;
        std::size_t offset_;
    };
    struct Log {
        std::size_t first_ = 0;
        std::deque<std::pair<double, std::string>> records_;
        std::size_t end() const { return first_ + records_.size(); }
    };

    void append(const std::string& topic, const std::string& record)
    {
        if (topic.starts_with("keyed.")) {
            std::size_t length = static_cast<unsigned char>(record[0]);
            std::string key = record.substr(1, length);
            if (record.size() > 1 + length)
                newest_[topic][key] = { record.substr(1 + length), logs_[topic].end() };
            else
                newest_[topic].erase(key);
        }
        logs_[topic].records_.emplace_back(now(), record);
        changed_.notify_all();
    }

    static std::map<std::string, std::string> queryOf(const std::string& target)
    {
        std::map<std::string, std::string> query;
        std::istringstream parts(target.substr(std::min(target.size(), target.find('?') + 1)));
        std::string part;
        while (std::getline(parts, part, '&'))
            query[part.substr(0, part.find('='))] = part.substr(std::min(part.size(), part.find('=') + 1));
        return query;
    }

    std::pair<int, std::string> answer(const Message& request)
    {
        std::string target = request.word(1);
        auto query = queryOf(target);
        std::unique_lock lock(mutex_);
        Log& log = logs_[query["topic"]];
        while (!log.records_.empty() && now() - log.records_.front().first > keepS_) {
            log.records_.pop_front();
            ++log.first_;
        }
        if (target.starts_with("/log-append")) {
            if (query.contains("at") && std::stoul(query["at"]) != log.end())
                return { 412, "{\"end\":" + std::to_string(log.end()) + "}" };
            std::size_t offset = log.end();
            for (std::size_t at = 0; at + 4 <= request.body_.size();) {
                std::size_t length = 0;
                for (int i = 0; i < 4; ++i)
                    length = length << 8 | static_cast<unsigned char>(request.body_[at + i]);
                append(query["topic"], request.body_.substr(at + 4, length));
                at += 4 + length;
            }
            return { 200, "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(log.end()) + "}" };
        }
        if (target.starts_with("/log-read")) {
            std::size_t from = std::stoul(query["from"]);
            if (from < log.first_)
                return { 410, "{\"first\":" + std::to_string(log.first_) + "}" };
            auto wait = std::chrono::milliseconds(query.contains("wait_ms") ? std::stoul(query["wait_ms"]) : 0);
            changed_.wait_for(lock, wait, [&] { return log.end() > from; });
            std::string body = bigEndian(log.end(), 8) + bigEndian(log.first_, 8);
            for (std::size_t i = std::max(from, log.first_); i < log.end(); ++i) {
                const std::string& record = log.records_[i - log.first_].second;
                body += bigEndian(record.size(), 4) + record;
            }
            return { 200, body };
        }
        if (target.starts_with("/log-newest")) {
            std::string body = "{\"entries\":[";
            bool isFirst = true;
            for (const auto& [key, newest] : newest_[query["topic"]]) {
                body += std::string(isFirst ? "" : ",") + "{\"key\":\"" + key + "\",\"value\":\"" + base64(newest.value_) + "\",\"offset\":" + std::to_string(newest.offset_) + "}";
                isFirst = false;
            }
            return { 200, body + "],\"has_more\":false,\"end\":" + std::to_string(log.end()) + "}" };
        }
        lock.unlock();
        return { onDuty_ ? onDuty_(request) : 200, "{}" };
    }

    void serve(int fd)
    {
        std::string buffer;
        Message request;
        while (readMessage(fd, buffer, request, now() + 60) == ReadEnd::Complete) {
            auto [status, body] = answer(request);
            if (!sendAll(fd, "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Log> logs_;
    std::map<std::string, std::map<std::string, Newest>> newest_;
};

/// A server of a plain service. It serves one request at a time on a connection and stops when its
/// connection closes.
class Server {
public:
    std::string id_;
    std::string service_;
    std::string zone_;
    std::string host_;
    int port_ = 0;
    double workMs_ = 15;
    /// Answers instead of the normal answer if it returns true; the connection then closes.
    std::function<bool(int fd, const Message& request, const std::string& head, const std::string& body)> fault_;
    /// Called when the server begins to run a request, with the id of the request before on the same
    /// connection; empty for the first.
    std::function<void(int fd, const std::string& before)> extra_;
    /// Called when the server begins to run a request, with its id.
    std::function<void(const std::string& id)> onRun_;

    bool start(Platform& platform, Record& record)
    {
        record_ = &record;
        int listener = listenOn(host_, port_);
        if (listener < 0)
            return false;
        acceptLoop(listener, [this](int fd) { serve(fd); });
        std::thread([this, &platform] {
            for (int beat = 0;; ++beat) {
                platform.put("keyed.servers", id_, "{\"service\":\"" + service_ + "\",\"address\":\"" + host_ + ":" + std::to_string(port_) + "\",\"zone\":\"" + zone_ + "\",\"version\":\"v1\",\"slot_count\":6,\"phase\":\"up\",\"cold_left_ms\":0,\"call_seq\":" + std::to_string(beat) + "}");
                sleepMs(1200);
            }
        }).detach();
        return true;
    }

private:
    void serve(int fd)
    {
        std::string buffer;
        std::string before;
        Message request;
        while (readMessage(fd, buffer, request, now() + 10) == ReadEnd::Complete) {
            std::string id = request.field("X-Pistachioloom-Attempt-Id");
            if (request.field("X-Pistachioloom-Expect-Instance") != id_) {
                if (!sendAll(fd, "HTTP/1.1 421 X\r\nX-Pistachioloom-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
                    return;
                continue;
            }
            record_->line("server %s runs %s", id_.c_str(), id.c_str());
            if (onRun_)
                onRun_(id);
            if (extra_)
                extra_(fd, before);
            before = id;
            pollfd closed { fd, POLLIN, 0 };
            if (poll(&closed, 1, static_cast<int>(workMs_)) > 0)
                return;
            std::string body(800, 'b');
            std::string head = "HTTP/1.1 200 OK\r\nX-Pistachioloom-Attempt-Id: " + id + "\r\nX-Pistachioloom-Engine-Seal: s." + id + "\r\nKeep-Alive: timeout=10\r\n";
            if (fault_ && fault_(fd, request, head, body))
                return;
            if (!sendAll(fd, head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }

    Record* record_ = nullptr;
};

/// A process of the system, started with the command of the deploy file.
class Gateway {
public:
    std::string name_;
    std::string zone_;
    std::string host_;
    std::string settings_;
    std::string log_;
    pid_t pid_ = -1;

    void start()
    {
        pid_ = fork();
        if (pid_)
            return;
        // No process outlives the script that started it.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int out = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        execl("target/tools/pistachioloomd", "target/tools/pistachioloomd", "--settings", settings_.c_str(), nullptr);
        _exit(127);
    }
    /// Returns how the process ended, if it has.
    std::string reap()
    {
        int status = 0;
        if (pid_ < 0 || waitpid(pid_, &status, WNOHANG) != pid_)
            return "";
        pid_ = -1;
        return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status)) : "exit " + std::to_string(WEXITSTATUS(status));
    }
    void stop()
    {
        if (pid_ < 0)
            return;
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    bool isReady() const
    {
        int fd = connectTo(host_, readinessPort);
        if (fd < 0)
            return false;
        std::string buffer;
        Message answer;
        bool isRead = sendAll(fd, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n") && readMessage(fd, buffer, answer, now() + 1) == ReadEnd::Complete;
        close(fd);
        return isRead && answer.status() == 200;
    }

    static constexpr int callersPort = 8360;
    static constexpr int readinessPort = 8365;
    static constexpr int controlPort = 8367;
};

inline std::string replaceAll(std::string text, const std::string& from, const std::string& to)
{
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
        text.replace(at, from.size(), to);
    return text;
}

/// Fills in the template `deploy/node.yaml` with the fields of a small deployment, like those in the
/// example of the settings in DEPLOY.md.
inline std::string renderSettings(const Gateway& gateway, const std::vector<std::string>& seeds, const std::string& platform)
{
    std::ifstream file("deploy/node.yaml");
    std::ostringstream all;
    all << file.rdbuf();
    std::string text = all.str();
    std::string list;
    for (const std::string& seed : seeds)
        list += (list.empty() ? "\"" : ",\"") + seed + "\"";
    auto section = [&](const std::string& name, const std::string& value) {
        std::string begin = "{{#" + name + "}}";
        std::string end = "{{/" + name + "}}";
        std::size_t from = text.find(begin);
        std::size_t to = text.find(end);
        if (from != std::string::npos && to != std::string::npos)
            text.replace(from, to + end.size() - from, value);
    };
    section("bounds.expose_share", "");
    section("seed_nodes", list);
    const std::map<std::string, std::string> fields {
        { "node_name", gateway.name_ },
        { "zone", gateway.zone_ },
        { "ip_addr", gateway.host_ },
        { "limits.cpu_frac", "0.25" },
        { "platform.address", platform },
        { "cloud_api.address", platform },
        { "port_range.0", "7500" },
        { "listen.front", gateway.host_ + ":" + std::to_string(Gateway::callersPort) },
        { "listen.ready", gateway.host_ + ":" + std::to_string(Gateway::readinessPort) },
        { "listen.control_addr", gateway.host_ + ":" + std::to_string(Gateway::controlPort) },
        { "bounds.lease_ms", "3000" },
        { "bounds.window_s", "5" },
        { "bounds.grace_s", "8" },
        { "bounds.retry_ratio", "0.2" },
        { "bounds.budget_extra", "58" },
        { "bounds.budget_window_s", "10" },
    };
    for (const auto& [name, value] : fields)
        text = replaceAll(text, "{{" + name + "}}", value);
    return text;
}

/// Returns the first two numbers of a loopback network whose ports are free.
inline std::string freeNetwork(int port)
{
    std::random_device random;
    for (int i = 0; i < 200; ++i) {
        std::string network = "127." + std::to_string(1 + random() % 250) + "." + std::to_string(random() % 250) + ".";
        int listener = listenOn(network + "1", port);
        if (listener < 0)
            continue;
        close(listener);
        return network;
    }
    return "";
}

} // namespace review
