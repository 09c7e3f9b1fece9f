//===- test/Platform/StreamCaller.h - callers that resume streams ----------===//
///
/// \file
/// Reads event streams of gateways to their end, and resumes at another gateway those that
/// break off. Each event names the backend server that sent it.
//===----------------------------------------------------------------------===//
#pragma once

#include "GatewayDeployment.h"

#include <atomic>
#include <set>
#include <thread>

namespace pistachioloom::test {

/// What one attempt of a caller received.
struct StreamAttempt {
    /// 0 if no answer arrived.
    int status_ = 0;
    /// Whether the answer's end arrived.
    bool isComplete_ = false;
    /// The body of an answer other than a stream.
    std::string body_;
    std::optional<milliseconds> retryAfter_;
    std::uint64_t lastEventId_ = 0;
    /// The words after "from" in the events' data.
    std::vector<std::string> senders_;
    milliseconds timeToHead_ {};
};

/// Sends \p request to \p gateway and reads events until the stream ends or breaks off.
StreamAttempt readStream(const Endpoint& gateway, const HttpRequest& request, milliseconds timeout);

/// Results of callers that resume their streams.
struct StreamResults {
    /// Streams whose first attempt has ended.
    std::atomic<int> started_ { 0 };
    /// Streams that brought at least one event.
    std::atomic<int> begun_ { 0 };
    std::atomic<int> complete_ { 0 };
    /// Streams that a caller resumed, and of these those that brought a further event.
    std::atomic<int> resumed_ { 0 };
    std::atomic<int> wentOn_ { 0 };
    /// Streams with events of servers of different versions.
    std::atomic<int> mixed_ { 0 };
    /// Streams of which an event was missing or came twice.
    std::atomic<int> wrong_ { 0 };
};

/// Callers that start one stream after the other at random gateways, until they are destroyed.
class StreamCallers {
public:
    /// \p versionOf returns the version of a server, from its name in an event.
    StreamCallers(const GatewayDeployment& deployment, std::string path, int count, std::function<std::string(const std::string&)> versionOf);
    ~StreamCallers();
    StreamCallers(const StreamCallers&) = delete;
    StreamCallers& operator=(const StreamCallers&) = delete;

    const StreamResults& results() const { return results_; }

private:
    void run(int caller);
    void follow(const std::string& id);
    /// Resumes a stream with \p begin, the attempt that brought its first event, until an event
    /// arrives or the caller gives up. \returns the last attempt.
    StreamAttempt resume(const std::string& begin, std::uint64_t lastEventId, int resumption);
    void judge(const std::vector<std::string>& senders);

    const GatewayDeployment& deployment_;
    const std::string path_;
    const std::function<std::string(const std::string&)> versionOf_;
    StreamResults results_;
    std::atomic<bool> isStopped_ { false };
    std::vector<std::thread> threads_;
};

} // namespace pistachioloom::test
