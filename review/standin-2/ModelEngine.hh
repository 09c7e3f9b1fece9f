// A model engine: it runs `slots` requests at once and queues a few more. Running requests share the memory for
// tokens. When it runs out, the newest of the least urgent is preempted, also in the middle of its stream, and read
// in again once there is room.
#pragma once

#include "World.hh"

#include <algorithm>
#include <list>

namespace standin {

class ModelEngine {
public:
    struct Limits {
        std::size_t slots_ = 4;
        std::size_t queue_ = 2;
        std::int64_t memoryTokens_ = 100000;
    };

    ModelEngine(World& world, std::string service, std::string id, std::string zone, Limits limits)
        : world_(world)
        , service_(std::move(service))
        , id_(std::move(id))
        , zone_(std::move(zone))
        , limits_(limits)
    {
    }
    void start()
    {
        address_ = server_.start(world_.newHost(), [this](Connection& connection) { serve(connection); });
        std::thread([this] {
            for (;;) {
                sleepMs(tickMs);
                tick();
            }
        }).detach();
        std::thread([this] {
            for (int sequence = 0;; ++sequence) {
                world_.store_.put("keyed.servers", id_, "{\"service\":\"" + service_ + "\",\"address\":\"" + address_.text() + "\",\"zone\":\"" + zone_ + "\",\"version\":\"v1\",\"slot_count\":" + std::to_string(limits_.slots_) + ",\"phase\":\"up\",\"cold_left_ms\":0,\"call_seq\":" + std::to_string(sequence) + "}");
                sleepMs(1200);
            }
        }).detach();
    }

    /// Whether it has begun to work on the request.
    bool hasStarted(const std::string& id)
    {
        std::lock_guard lock(mutex_);
        return started_.count(id) > 0;
    }

private:
    /// Time of one step, which makes one event for each running request.
    static constexpr std::int64_t tickMs = 50;
    static constexpr std::int64_t tokensPerEvent = 50;
    static constexpr std::int64_t promptTokensPerMs = 55;
    static constexpr std::int64_t idleMs = 15000;

    struct Run {
        std::string id_;
        Connection* connection_ = nullptr;
        std::int64_t promptTokens_ = 0;
        int urgency_ = 5;
        int nextEvent_ = 1;
        int lastEvent_ = 1;
        int made_ = 0;
        /// Whether it holds a slot and memory.
        bool isAdmitted_ = false;
        /// When its prompt has been read.
        std::int64_t readyMs_ = 0;
        std::int64_t order_ = 0;
        bool hasHead_ = false;
        bool isDone_ = false;
        std::int64_t tokens() const { return promptTokens_ + made_ * tokensPerEvent; }
    };
    using RunPtr = std::shared_ptr<Run>;

    std::int64_t memoryUsed() const
    {
        std::int64_t sum = 0;
        for (const RunPtr& run : runs_)
            sum += run->isAdmitted_ ? run->tokens() : 0;
        return sum;
    }
    std::size_t admitted() const
    {
        return static_cast<std::size_t>(std::count_if(runs_.begin(), runs_.end(), [](const RunPtr& run) { return run->isAdmitted_; }));
    }
    void admit()
    {
        std::vector<RunPtr> waiting;
        for (const RunPtr& run : runs_) {
            if (!run->isAdmitted_)
                waiting.push_back(run);
        }
        std::sort(waiting.begin(), waiting.end(), [](const RunPtr& left, const RunPtr& right) { return std::pair(left->urgency_, left->order_) < std::pair(right->urgency_, right->order_); });
        for (const RunPtr& run : waiting) {
            if (admitted() >= limits_.slots_ || memoryUsed() + run->tokens() > limits_.memoryTokens_)
                return;
            run->isAdmitted_ = true;
            run->readyMs_ = nowMs() + run->tokens() / promptTokensPerMs;
        }
    }
    void finish(const RunPtr& run)
    {
        run->isDone_ = true;
        runs_.remove(run);
        changed_.notify_all();
    }
    void makeEvent(const RunPtr& run)
    {
        std::string bytes;
        if (!run->hasHead_) {
            bytes = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Pistachioloom-Attempt-Id: " + run->id_ + "\r\nX-Pistachioloom-Engine-Seal: " + id_ + "." + run->id_ + "\r\nX-Pistachioloom-Weight-Versions: 1\r\n\r\n";
            world_.record_.add("runs     " + run->id_ + " at " + id_ + " from event " + std::to_string(run->nextEvent_));
        }
        run->hasHead_ = true;
        started_.insert(run->id_);
        std::string event = "id: " + std::to_string(run->nextEvent_) + "\ndata: " + std::string(40, 'w') + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        bytes += size + event + "\r\n";
        ++run->made_;
        bool isLast = run->nextEvent_++ == run->lastEvent_;
        if (isLast)
            bytes += "0\r\n\r\n";
        bool isWritten = run->connection_->write(bytes);
        if (isLast || !isWritten) {
            world_.record_.add("ends     " + run->id_ + " at " + id_ + (isLast ? ", complete" : ", its connection is gone"));
            finish(run);
        }
    }
    void tick()
    {
        std::lock_guard lock(mutex_);
        for (const RunPtr& run : std::vector<RunPtr>(runs_.begin(), runs_.end())) {
            if (run->connection_->isClosedByPeer()) {
                world_.record_.add("dropped  " + run->id_ + " at " + id_ + " after event " + std::to_string(run->nextEvent_ - 1) + ": its connection was closed");
                finish(run);
            }
        }
        admit();
        for (const RunPtr& run : std::vector<RunPtr>(runs_.begin(), runs_.end())) {
            if (run->isAdmitted_ && run->readyMs_ <= nowMs())
                makeEvent(run);
        }
        while (memoryUsed() > limits_.memoryTokens_) {
            RunPtr newest;
            for (const RunPtr& run : runs_) {
                if (run->isAdmitted_ && (!newest || std::pair(run->urgency_, run->order_) > std::pair(newest->urgency_, newest->order_)))
                    newest = run;
            }
            newest->isAdmitted_ = false;
            world_.record_.add("preempts " + newest->id_ + " at " + id_ + " after event " + std::to_string(newest->nextEvent_ - 1) + ": the memory has run out");
        }
    }
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
            auto run = std::make_shared<Run>();
            run->id_ = id;
            run->connection_ = &connection;
            run->promptTokens_ = std::strtoll(request.field("x-pistachioloom-token-count").c_str(), nullptr, 10);
            std::string urgency = request.field("x-pistachioloom-request-urgency");
            run->urgency_ = urgency.empty() ? 5 : std::atoi(urgency.c_str());
            run->nextEvent_ = std::atoi(request.field("last-event-id").c_str()) + 1;
            run->lastEvent_ = std::atoi(request.target().substr(request.target().rfind('/') + 1).c_str());
            std::unique_lock lock(mutex_);
            run->order_ = ++orders_;
            if (runs_.size() >= limits_.slots_ + limits_.queue_) {
                lock.unlock();
                world_.record_.add("rejects  " + id + " at " + id_ + ": full");
                if (!connection.write(answer(503, "X-Pistachioloom-Attempt-Id: " + id + "\r\nX-Pistachioloom-Not-Executed: 1\r\n", "")))
                    return;
                continue;
            }
            runs_.push_back(run);
            world_.record_.add("takes    " + id + " at " + id_ + ", " + std::to_string(runs_.size() - 1) + " are there");
            changed_.wait(lock, [&] { return run->isDone_; });
        }
    }

    World& world_;
    std::string service_;
    std::string id_;
    std::string zone_;
    Limits limits_;
    Server server_;
    Address address_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::list<RunPtr> runs_;
    std::int64_t orders_ = 0;
    std::set<std::string> started_;
};

} // namespace standin
