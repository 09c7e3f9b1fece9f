// A client that reads an event stream.
#pragma once

#include "World.hh"

#include <algorithm>

namespace standin {

struct Outcome {
    int status_ = 0;
    int lastEvent_ = 0;
    bool isComplete_ = false;
    /// Whether the client left, after a pause of its patience.
    bool hasLeft_ = false;
    std::int64_t sentMs_ = 0;
    std::int64_t endMs_ = 0;
};

/// The pause after which clients leave a stream, also before its first event: the longest of two seconds, four times
/// the objective and eight times the pause that its route allows.
inline std::int64_t patienceOf(std::int64_t objectiveMs, std::int64_t gapMs)
{
    return std::max({ std::int64_t { 2000 }, 4 * objectiveMs, 8 * gapMs });
}

inline Outcome readStream(World& world, const Gateway& gateway, const std::string& id, const std::string& path, int promptTokens, int events, int deadlineMs, std::int64_t patienceMs)
{
    Outcome outcome;
    Connection connection;
    const std::string body(600, '.');
    outcome.sentMs_ = nowMs();
    world.record_.add("sent     " + id + " to " + gateway.name_ + ", " + std::to_string(promptTokens) + " tokens in, " + std::to_string(events) + " events");
    bool isSent = connection.connect(gateway.callers_) && connection.write("POST " + path + std::to_string(events) + " HTTP/1.1\r\nHost: loja.example\r\nX-Pistachioloom-Attempt-Id: " + id + "\r\nX-Pistachioloom-Model: m\r\nX-Pistachioloom-Token-Count: " + std::to_string(promptTokens) + ",8000\r\nX-Pistachioloom-Prompt-Prefix: " + id + ":" + std::to_string(promptTokens) + "\r\nX-Pistachioloom-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Bearer key-one\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    Message head;
    std::int64_t deadline = outcome.sentMs_ + deadlineMs + 500;
    std::string events_;
    ReadResult begun = ReadResult::Closed;
    if (isSent)
        begun = readHead(connection, head, std::min(deadline, outcome.sentMs_ + patienceMs));
    outcome.hasLeft_ = begun == ReadResult::TimedOut;
    if (begun == ReadResult::Done) {
        outcome.status_ = head.status();
        std::int64_t heardMs = nowMs();
        for (;;) {
            std::size_t known = connection.input_.size();
            std::size_t last = connection.input_.rfind("id: ");
            if (last != std::string::npos && connection.input_.find('\n', last) != std::string::npos)
                outcome.lastEvent_ = std::atoi(connection.input_.c_str() + last + 4);
            outcome.isComplete_ = outcome.status_ == 200 && connection.input_.size() >= 5 && connection.input_.compare(connection.input_.size() - 5, 5, "0\r\n\r\n") == 0;
            if (outcome.isComplete_)
                break;
            int more = connection.readMore(std::min(deadline, heardMs + patienceMs));
            if (more < 0)
                outcome.hasLeft_ = true;
            if (more <= 0)
                break;
            if (connection.input_.size() > known)
                heardMs = nowMs();
        }
    }
    outcome.endMs_ = nowMs();
    world.record_.add("answered " + id + " " + std::to_string(outcome.status_) + ", events to " + std::to_string(outcome.lastEvent_) + (outcome.isComplete_ ? ", complete" : outcome.hasLeft_ ? ", the client left"
                                                                                                                                                                                              : ", the connection ended before the stream"));
    return outcome;
}

} // namespace standin
