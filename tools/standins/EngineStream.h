//===- tools/standins/EngineStream.h - streams of the engine stand-in -----===//
///
/// \file
/// What the engine holds of a stream and of prompts, and the lines of an answer.
//===----------------------------------------------------------------------===//
#pragma once

#include "Standin.h"

#include <list>
#include <set>

namespace pistachioloom::standin {

/// One stream of tokens, and what it was started with.
struct Stream {
    explicit Stream(const asio::any_io_executor& executor)
        : changeTimer_(executor, SteadyTimer::time_point::max())
    {
    }

    enum class State {
        Running,
        Done,
        Exported,
        Superseded,
        Cancelled,
    };

    /// Wakes its writer.
    void notifyWriter() { changeTimer_.cancel(); }

    std::uint32_t attempt_ = 0;
    std::string promptTag_;
    std::string samplingRun_;
    std::vector<std::string> tokens_;
    std::uint64_t maxTokens_ = 0;
    std::uint64_t promptTokens_ = 0;
    std::uint64_t recomputedTokens_ = 0;
    std::uint64_t writerId_ = 0;
    bool hasWriter_ = false;
    State state_ = State::Running;
    std::string handle_;
    SteadyTimer changeTimer_;
};
using StreamPtr = std::shared_ptr<Stream>;

/// A call to generate, as it was read.
struct GenerateRequest {
    std::string requestId_;
    std::string prompt_;
    std::uint32_t attempt_ = 0;
    std::vector<std::string> prefix_;
    std::uint64_t maxTokens_ = 0;
    bool wantsAttach_ = false;
    bool hasCacheHandle_ = false;
};

GenerateRequest parseGenerateRequest(const boost::json::object& body);

/// How many tokens \p prompt is counted as.
std::uint64_t promptTokens(const std::string& prompt);

/// Whether \p stream can go on for a caller that has \p prefix.
bool isAttachable(const Stream& stream, const std::vector<std::string>& prefix);

/// The line of an answer for the token \p text at \p position.
std::string tokenLine(std::size_t position, const std::string& text);

/// The line that ends an answer, by the state of \p stream.
std::string finalLine(const Stream& stream);

/// Prompts whose prefill is remembered, up to a count of tokens.
class PrefixCache {
public:
    explicit PrefixCache(std::uint64_t capacity)
        : capacity_(capacity)
    {
    }

    /// Tokens of \p prompt to compute; the prompt is cached afterwards.
    std::uint64_t addPrompt(const std::string& prompt);

private:
    std::uint64_t capacity_;
    std::uint64_t heldTokens_ = 0;
    std::set<std::string> prompts_;
    std::list<std::string> insertionOrder_;
};

} // namespace pistachioloom::standin
