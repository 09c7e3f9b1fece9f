//===- test/Harness/CallerClient.h - client of the entry VMs --------------===//
///
/// \file
/// Sends completions and service calls as a customer's program would, follows
/// streamed answers across entry VMs, and checks every token.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"

namespace pistachioloom::test {

/// What a caller has received of one streamed answer.
struct Answer {
    int status_ = 0;
    std::string requestId_;
    std::string engine_;
    std::string lastEventId_;
    std::vector<std::string> tokens_;
    bool isDone_ = false;
    /// The node ended the stream with a `moved` event, and the caller is to resume the answer
    /// at another entry VM.
    bool isMoved_ = false;
    /// The connection broke before the answer's end.
    bool isBroken_ = false;
    /// Number of `restart` events; each discards the tokens received before it.
    int restarts_ = 0;
    std::optional<Error> error_;
    milliseconds timeToFirstToken_ {};
    std::vector<std::chrono::microseconds> tokenGaps_;

    std::string text() const;
};

/// A request for a completion.
struct Completion {
    std::string apiKey_;
    std::string model_ = "planogram";
    std::string prompt_;
    std::uint64_t maxTokens_ = 20;
};

/// The JSON request body of \p completion.
std::string completionBody(const Completion& completion, bool isStream);

/// Sends \p completion to \p entry and reads the stream until it ends, moves or breaks.
asio::awaitable<Answer> streamCompletion(Endpoint entry, Completion completion);
/// Resumes \p answer at \p entry after its last event id.
asio::awaitable<Answer> resumeAnswer(Endpoint entry, std::string apiKey, Answer answer);
/// Streams from the first of \p entries and resumes at the next one whenever the
/// stream breaks or moves, until \p timeout has passed since the start.
asio::awaitable<Answer> streamToEnd(std::vector<Endpoint> entries, Completion completion, milliseconds timeout);

/// Variants that block the calling thread until the answer ends.
Answer streamCompletionBlocking(const Endpoint& entry, const Completion& completion);
Answer streamToEndBlocking(const std::vector<Endpoint>& entries, const Completion& completion, milliseconds timeout);

/// The outcome of one call to a service.
struct ServiceCallResult {
    int status_ = 0;
    std::string body_;
    bool isReplayed_ = false;
    std::optional<Error> error_;
    /// Whether the system answered. False if the connection broke before.
    bool isAnswered_ = false;
};

ServiceCallResult callService(const Endpoint& entry, const std::string& apiKey, const std::string& path, const std::string& key, const std::string& body, milliseconds timeout = milliseconds(20000));

/// Checks that \p answer is exactly the engine's sequence for \p completion: each
/// position occurs once, each token belongs to this prompt, and the tokens of each
/// sampling run, which every token names, are consecutive. \returns an empty string, or
/// the first mismatch.
std::string checkAnswer(const Answer& answer, const Completion& completion);

} // namespace pistachioloom::test
