//===- tools/standins/EngineStream.h - streams of the engine stand-in -----===//
///
/// \file
/// Streams and the prefix cache of the engine stand-in, and the lines of its answers.
//===----------------------------------------------------------------------===//
#pragma once

#include "Standin.h"

#include <list>
#include <set>

namespace pistachioloom::standin {

/// A stream of tokens, and the parameters that it was started with.
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

    /// Wakes the writers that wait for a change of this stream.
    void notifyWriter() { changeTimer_.cancel(); }

    std::uint32_t attempt_ = 0;
    /// The first characters of the prompt's hash. Each token contains them.
    std::string promptTag_;
    /// Names the sampling run; an imported KV cache continues the run of its source.
    std::string samplingRun_;
    std::vector<std::string> tokens_;
    std::uint64_t maxTokens_ = 0;
    std::uint64_t promptTokens_ = 0;
    /// Prefill tokens that were computed again to resume an answer.
    std::uint64_t recomputedTokens_ = 0;
    /// The number of the newest writer. Older writers end their answers as superseded.
    std::uint64_t writerId_ = 0;
    bool hasWriter_ = false;
    State state_ = State::Running;
    std::string cacheHandle_;
    SteadyTimer changeTimer_;
};
using StreamPtr = std::shared_ptr<Stream>;

/// A parsed call to `/v1/generate`.
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

/// Returns the number of tokens that \p prompt counts as.
std::uint64_t promptTokens(const std::string& prompt);

/// Returns whether a caller that has received \p prefix can attach to \p stream.
bool isAttachable(const Stream& stream, const std::vector<std::string>& prefix);

/// Returns the line of an answer for the token \p text at \p position.
std::string tokenLine(std::size_t position, const std::string& text);

/// Returns the line that ends an answer. The state of \p stream determines its type.
std::string finalLine(const Stream& stream);

/// A prefix cache of complete prompts with a capacity in tokens. It evicts the oldest
/// prompt first.
class PrefixCache {
public:
    explicit PrefixCache(std::uint64_t capacity)
        : capacity_(capacity)
    {
    }

    /// Adds \p prompt to the cache. \returns the number of its uncached tokens.
    std::uint64_t addPrompt(const std::string& prompt);

private:
    std::uint64_t capacity_;
    std::uint64_t heldTokens_ = 0;
    std::set<std::string> prompts_;
    std::list<std::string> insertionOrder_;
};

} // namespace pistachioloom::standin
