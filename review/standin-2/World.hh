// The users' platform, engines, clients and gateways of one small deployment, for the scripts of this review.
// The stand-ins follow the users' pages; a test adds its disruption through hooks.
#pragma once

#include "Http.hh"

#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <memory>
#include <random>
#include <set>
#include <signal.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

namespace standin {

/// What was sent, answered and run, one line each.
class Record {
public:
    explicit Record(const std::string& file)
        : file_(file)
        , startMs_(nowMs())
    {
    }
    void add(const std::string& line)
    {
        std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", static_cast<double>(nowMs() - startMs_) / 1000);
        file_ << time << line << '\n';
        file_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::int64_t startMs_;
};

inline std::string base64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63];
    }
    return text;
}

/// The platform's metadata store in its form as a log.
class Store {
public:
    Address start(const std::string& host)
    {
        return server_.start(host, [this](Connection& connection) { serve(connection); });
    }
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        append(topic, std::string(1, static_cast<char>(key.size())) + key + value);
    }

private:
    struct Topic {
        std::vector<std::string> records_;
        std::map<std::string, std::pair<std::string, std::size_t>> newest_;
        struct Producer {
            std::uint64_t epoch_ = 0;
            std::uint64_t sequence_ = 0;
            std::size_t offset_ = 0;
        };
        std::map<std::string, Producer> producers_;
    };

    void append(const std::string& topic, const std::string& record)
    {
        std::lock_guard lock(mutex_);
        appendLocked(topic, record);
        appended_.notify_all();
    }
    void appendLocked(const std::string& name, const std::string& record)
    {
        Topic& topic = topics_[name];
        if (name.rfind("keyed.", 0) == 0) {
            auto length = static_cast<unsigned char>(record.at(0));
            std::string key = record.substr(1, length);
            if (record.size() > 1U + length)
                topic.newest_[key] = { record.substr(1U + length), topic.records_.size() };
            else
                topic.newest_.erase(key);
        }
        topic.records_.push_back(record);
    }
    static void putNumber(std::string& bytes, std::uint64_t number, int size)
    {
        for (int shift = 8 * (size - 1); shift >= 0; shift -= 8)
            bytes += static_cast<char>(number >> shift & 0xFF);
    }
    std::string handleAppend(const Message& request)
    {
        std::lock_guard lock(mutex_);
        std::string name = request.query("topic");
        if (name == "keyed.op" || name == "keyed.servers")
            return answer(403, "", "{}");
        Topic& topic = topics_[name];
        std::string at = request.query("at");
        if (!at.empty() && std::stoull(at) != topic.records_.size())
            return answer(412, "Content-Type: application/json\r\n", "{\"end\":" + std::to_string(topic.records_.size()) + "}");
        std::size_t offset = topic.records_.size();
        std::string producer = request.query("producer");
        if (!producer.empty()) {
            Topic::Producer& known = topic.producers_[producer];
            std::uint64_t epoch = std::stoull(request.query("epoch"));
            std::uint64_t sequence = std::stoull("0" + request.query("call_seq"));
            if (epoch < known.epoch_)
                return answer(409, "Content-Type: application/json\r\n", "{\"reason\":\"fenced\"}");
            if (epoch == known.epoch_ && sequence == known.sequence_)
                return answer(200, "Content-Type: application/json\r\n", "{\"offset\":" + std::to_string(known.offset_) + ",\"end\":" + std::to_string(topic.records_.size()) + "}");
            if (epoch == known.epoch_ && sequence != known.sequence_ + 1)
                return answer(409, "Content-Type: application/json\r\n", "{\"reason\":\"seq\",\"expected\":" + std::to_string(known.sequence_ + 1) + "}");
            known = { epoch, sequence, offset };
        }
        for (std::size_t i = 0; i + 4 <= request.body_.size();) {
            std::size_t length = 0;
            for (int k = 0; k < 4; ++k)
                length = length << 8 | static_cast<unsigned char>(request.body_[i + static_cast<std::size_t>(k)]);
            appendLocked(name, request.body_.substr(i + 4, length));
            i += 4 + length;
        }
        appended_.notify_all();
        return answer(200, "Content-Type: application/json\r\n", "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(topic.records_.size()) + "}");
    }
    std::string handleRead(const Message& request)
    {
        std::unique_lock lock(mutex_);
        Topic& topic = topics_[request.query("topic")];
        std::size_t from = std::stoull("0" + request.query("from"));
        auto wait = std::chrono::milliseconds(std::stoull("0" + request.query("wait_ms")));
        appended_.wait_for(lock, wait, [&] { return topic.records_.size() > from; });
        std::string body;
        putNumber(body, topic.records_.size(), 8);
        putNumber(body, 0, 8);
        for (std::size_t i = from; i < topic.records_.size() && body.size() < 1024 * 1024; ++i) {
            putNumber(body, topic.records_[i].size(), 4);
            body += topic.records_[i];
        }
        return answer(200, "Content-Type: application/octet-stream\r\n", body);
    }
    std::string handleNewest(const Message& request)
    {
        std::lock_guard lock(mutex_);
        Topic& topic = topics_[request.query("topic")];
        std::string entries;
        for (const auto& [key, entry] : topic.newest_) {
            if (key > request.query("after"))
                entries += (entries.empty() ? "" : ",") + std::string("{\"key\":\"") + key + "\",\"value\":\"" + base64(entry.first) + "\",\"offset\":" + std::to_string(entry.second) + "}";
        }
        return answer(200, "Content-Type: application/json\r\n", "{\"entries\":[" + entries + "],\"has_more\":false,\"end\":" + std::to_string(topic.records_.size()) + "}");
    }
    void serve(Connection& connection)
    {
        Message request;
        while (readMessage(connection, request, nowMs() + 60000) == ReadResult::Done) {
            std::string path = request.target().substr(0, request.target().find('?'));
            std::string bytes = answer(404, "", "{}");
            sleepMs(4);
            if (path == "/log-append")
                bytes = handleAppend(request);
            else if (path == "/log-read")
                bytes = handleRead(request);
            else if (path == "/log-newest")
                bytes = handleNewest(request);
            if (!connection.write(bytes))
                return;
        }
    }

    Server server_;
    std::mutex mutex_;
    std::condition_variable appended_;
    std::map<std::string, Topic> topics_;
};

/// Values of the platform's settings for one gateway, and the rendering of the template of the deploy file.
inline std::string renderTemplate(std::string text, const std::map<std::string, std::string>& values, const std::vector<std::string>& seeds)
{
    auto cut = [&](const std::string& from, const std::string& to, const std::string& with) {
        std::size_t begin = text.find(from);
        std::size_t end = text.find(to);
        if (begin != std::string::npos && end != std::string::npos)
            text.replace(begin, end + to.size() - begin, with);
    };
    std::string list;
    for (const std::string& seed : seeds)
        list += (list.empty() ? "\"" : ",\"") + seed + "\"";
    cut("{{#seed_nodes}}", "{{/seed_nodes}}", list);
    // These bounds belong to roll-outs, which are not in force here.
    cut("{{#bounds.expose_share}}", "{{/bounds.expose_share}}", "");
    for (std::size_t at = 0; (at = text.find("{{", at)) != std::string::npos;) {
        std::size_t end = text.find("}}", at);
        auto found = values.find(text.substr(at + 2, end - at - 2));
        text.replace(at, end + 2 - at, found == values.end() ? "" : found->second);
    }
    return text;
}

struct Gateway {
    std::string name_;
    Address callers_;
    Address readiness_;
    std::string settingsFile_;
    std::string logFile_;
    pid_t pid_ = -1;

    void launch()
    {
        pid_ = ::fork();
        if (pid_ == 0) {
            // It must not outlive this process, which may be ended by its time limit.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            int log = ::open(logFile_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::execl("target/tools/pistachioloomd", "target/tools/pistachioloomd", "--settings", settingsFile_.c_str(), nullptr);
            ::_exit(127);
        }
    }
    /// Whether the process runs; its end status is in `status_` afterwards.
    bool isRunning()
    {
        if (pid_ <= 0)
            return false;
        if (::waitpid(pid_, &status_, WNOHANG) == pid_)
            pid_ = -1;
        return pid_ > 0;
    }
    void signal(int number)
    {
        if (pid_ > 0)
            ::kill(pid_, number);
    }
    bool isReady() const
    {
        Connection connection;
        Message message;
        if (!connection.connect(readiness_, 300) || !connection.write("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
            return false;
        return readMessage(connection, message, nowMs() + 1000, true) == ReadResult::Done && message.status() == 200;
    }
    int status_ = 0;
};

/// One small deployment: the store, the interface for duties, and gateways.
class World {
public:
    World(std::string folder, std::string record)
        : record_(record)
        , folder_(std::move(folder))
    {
        std::random_device device;
        network_ = "127." + std::to_string(1 + device() % 250) + "." + std::to_string(device() % 250) + ".";
        hosts_ = 1;
    }
    ~World() { end(); }

    std::string newHost() { return network_ + std::to_string(hosts_++); }

    void startPlatform()
    {
        storeAddress_ = store_.start(newHost());
        cloudAddress_ = cloud_.start(newHost(), [this](Connection& connection) { serveDuties(connection); });
    }
    Gateway& addGateway(const std::string& zone)
    {
        auto gateway = std::make_unique<Gateway>();
        std::string host = newHost();
        gateway->name_ = "edge-" + zone + "-" + std::to_string(gateways_.size() + 1);
        gateway->callers_ = { host, 8360 };
        gateway->readiness_ = { host, 8365 };
        gateway->settingsFile_ = folder_ + "/" + gateway->name_ + ".conf";
        gateway->logFile_ = folder_ + "/" + gateway->name_ + ".log";
        seeds_.push_back(host + ":8367");
        zones_.push_back(zone);
        gateways_.push_back(std::move(gateway));
        return *gateways_.back();
    }
    void launchGateways()
    {
        std::ifstream file("deploy/node.yaml");
        std::stringstream text;
        text << file.rdbuf();
        std::vector<std::string> seeds(seeds_.begin(), seeds_.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(3, seeds_.size())));
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            Gateway& gateway = *gateways_[i];
            std::map<std::string, std::string> values {
                { "node_name", gateway.name_ }, { "zone", zones_[i] }, { "limits.cpu_frac", "0.25" }, { "platform.address", storeFor_(i).text() },
                { "listen.front", gateway.callers_.text() }, { "listen.ready", gateway.readiness_.text() }, { "listen.control_addr", gateway.callers_.host_ + ":8367" },
                { "ip_addr", gateway.callers_.host_ }, { "port_range.0", "7500" }, { "cloud_api.address", cloudFor_(i).text() },
                { "bounds.lease_ms", "3000" }, { "bounds.window_s", "5" }, { "bounds.grace_s", "8" },
                { "bounds.retry_ratio", "0.2" }, { "bounds.budget_extra", "58" }, { "bounds.budget_window_s", "10" }
            };
            std::ofstream(gateway.settingsFile_) << renderTemplate(text.str(), values, seeds);
            gateway.launch();
        }
    }
    bool waitUntilReady(std::int64_t timeoutMs)
    {
        std::int64_t until = nowMs() + timeoutMs;
        for (auto& gateway : gateways_) {
            while (!gateway->isReady()) {
                if (nowMs() > until || !gateway->isRunning())
                    return false;
                sleepMs(50);
            }
        }
        return true;
    }
    void end()
    {
        for (auto& gateway : gateways_) {
            if (gateway->isRunning()) {
                gateway->signal(SIGKILL);
                ::waitpid(gateway->pid_, nullptr, 0);
                gateway->pid_ = -1;
            }
        }
    }

    Record record_;
    Store store_;
    Address storeAddress_;
    Address cloudAddress_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    /// The addresses of the store and of the interface for duties as the gateway of this number reaches them.
    std::function<Address(std::size_t)> storeFor_ = [this](std::size_t) { return storeAddress_; };
    std::function<Address(std::size_t)> cloudFor_ = [this](std::size_t) { return cloudAddress_; };
    /// Called with each call to the interface for duties.
    std::function<void(const Message&)> onDuty_;

private:
    void serveDuties(Connection& connection)
    {
        Message request;
        while (readMessage(connection, request, nowMs() + 60000) == ReadResult::Done) {
            if (onDuty_)
                onDuty_(request);
            if (!connection.write(answer(200, "Content-Type: application/json\r\n", "{}")))
                return;
        }
    }

    std::string folder_;
    std::string network_;
    int hosts_ = 1;
    Server cloud_;
    std::vector<std::string> seeds_;
    std::vector<std::string> zones_;
};

/// An engine of a plain service. It registers, writes its heartbeat, and serves one request at a time on a connection.
class Engine {
public:
    struct Hooks {
        /// Called with a request that is about to be served, before anything is answered. Returns bytes to send first.
        std::function<std::string(const Message&)> bytesBeforeAnswer_;
        /// Called when a run begins.
        std::function<void(const Message&)> onRun_;
        /// The time of a run in ms.
        std::function<std::int64_t(const Message&)> workMs_ = [](const Message&) { return 15; };
    };

    Engine(World& world, std::string service, std::string id, std::string zone, int slots, Hooks hooks)
        : world_(world)
        , service_(std::move(service))
        , id_(std::move(id))
        , zone_(std::move(zone))
        , slots_(slots)
        , hooks_(std::move(hooks))
    {
    }
    void start()
    {
        address_ = server_.start(world_.newHost(), [this](Connection& connection) { serve(connection); });
        std::thread([this] {
            for (int sequence = 0;; ++sequence) {
                world_.store_.put("keyed.servers", id_, "{\"service\":\"" + service_ + "\",\"address\":\"" + address_.text() + "\",\"zone\":\"" + zone_ + "\",\"version\":\"v1\",\"slot_count\":" + std::to_string(slots_) + ",\"phase\":\"up\",\"cold_left_ms\":0,\"call_seq\":" + std::to_string(sequence) + "}");
                sleepMs(1200);
            }
        }).detach();
    }

private:
    void serve(Connection& connection)
    {
        Message request;
        while (readMessage(connection, request, nowMs() + idleMs) == ReadResult::Done) {
            std::string id = request.field("x-pistachioloom-attempt-id");
            if (request.field("x-pistachioloom-expect-instance") != id_) {
                if (!connection.write(answer(421, "X-Pistachioloom-Instance-Id: " + id_ + "\r\n", "")))
                    return;
                continue;
            }
            if (id.empty()) {
                if (!connection.write(answer(400, "X-Pistachioloom-Not-Executed: 1\r\n", "")))
                    return;
                continue;
            }
            std::string first = hooks_.bytesBeforeAnswer_ ? hooks_.bytesBeforeAnswer_(request) : std::string();
            if (hooks_.onRun_)
                hooks_.onRun_(request);
            if (!first.empty() && !connection.write(first))
                return;
            sleepMs(hooks_.workMs_(request));
            std::string fields = "X-Pistachioloom-Attempt-Id: " + id + "\r\nX-Pistachioloom-Engine-Seal: " + id_ + "." + id + "\r\nKeep-Alive: timeout=" + std::to_string(idleMs / 1000) + "\r\n";
            if (!connection.write(answer(200, fields, "done by " + id_ + " for " + id + "\n")))
                return;
        }
    }

    static constexpr std::int64_t idleMs = 15000;
    World& world_;
    std::string service_;
    std::string id_;
    std::string zone_;
    int slots_;
    Hooks hooks_;
    Server server_;
    Address address_;
};

} // namespace standin
