//===- test/Harness/CallerClient.h - a caller of the system ----------------===//
///
/// \file
/// Sends completions and service calls as a customer's program would, follows
/// streamed answers across entry VMs, and checks every token.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"

namespace pistachioloom::test {

/// What a caller has of one streamed answer.
struct Answer {
    int status_ = 0;
    std::string requestId_;
    std::string engine_;
    std::string lastEventId_;
    std::vector<std::string> tokens_;
    bool isDone_ = false;
    bool isMoved_ = false;
    /// The connection broke before the answer's end.
    bool isBroken_ = false;
    /// Times the caller was told to drop what it had.
    int restarts_ = 0;
    std::optional<Error> error_;
    milliseconds timeToFirstToken_ {};
    std::vector<std::chrono::microseconds> tokenGaps_;

    std::string text() const;
};

struct Completion {
    std::string apiKey_;
    std::string model_ = "planogram";
    std::string prompt_;
    std::uint64_t maxTokens_ = 20;
};

/// The body of \p completion as the API takes it.
std::string completionBody(const Completion& completion, bool isStream);

/// Reads a streamed answer until it ends, moves or breaks.
asio::awaitable<Answer> streamCompletion(Endpoint entry, Completion completion);
/// Goes on with \p answer at \p entry from its last event id.
asio::awaitable<Answer> resumeAnswer(Endpoint entry, std::string apiKey, Answer answer);
/// Streams from the first of \p entries and, whenever the answer breaks off or
/// moves, goes on at the next one, for \p timeout in all.
asio::awaitable<Answer> streamToEnd(std::vector<Endpoint> entries, Completion completion, milliseconds timeout);

/// Blocking forms.
Answer streamCompletionBlocking(const Endpoint& entry, const Completion& completion);
Answer streamToEndBlocking(const std::vector<Endpoint>& entries, const Completion& completion, milliseconds timeout);

struct ServiceCallResult {
    int status_ = 0;
    std::string body_;
    bool isReplayed_ = false;
    std::optional<Error> error_;
    /// Whether the answer came from the system, as opposed to a broken connection.
    bool isAnswered_ = false;
};

ServiceCallResult callService(const Endpoint& entry, const std::string& apiKey, const std::string& path, const std::string& key, const std::string& body, milliseconds timeout = milliseconds(20000));

/// Empty if \p answer is exactly the engine's sequence for \p completion:
/// every position once, every token of this prompt, and sampling runs that
/// follow one another without coming back. Otherwise what is wrong.
std::string checkAnswer(const Answer& answer, const Completion& completion);

} // namespace pistachioloom::test
