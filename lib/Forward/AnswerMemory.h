//===- lib/Forward/AnswerMemory.h - memory of answers being received ------===//
///
/// \file
/// Bounds the memory of the answers and events that a node is receiving at a time. Each alone is
/// bounded as well, but a faulty server can send such large ones to many requests at once.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <atomic>

namespace pistachioloom {

/// The share of one answer in the memory that all answers of the node may use together.
class AnswerMemory {
public:
    /// \p total is the memory that all answers use, in bytes.
    AnswerMemory(std::atomic<std::uint64_t>& total, ByteCount limit)
        : total_(total)
        , limit_(limit)
    {
    }
    ~AnswerMemory() { total_ -= used_; }
    AnswerMemory(const AnswerMemory&) = delete;
    AnswerMemory& operator=(const AnswerMemory&) = delete;

    /// Records that the answer has grown or shrunk to \p size. \returns false if it must be given
    /// up, because all answers together exceed the limit. Small answers never have to be.
    bool resize(ByteCount size)
    {
        std::uint64_t total = total_ += size.value_ - used_;
        used_ = size.value_;
        return size <= smallAnswer || total <= limit_.value_;
    }

private:
    // With 4,000 connections, answers of this size take 131 MB.
    static constexpr ByteCount smallAnswer { 32UL * 1024 };

    std::atomic<std::uint64_t>& total_;
    ByteCount limit_;
    std::uint64_t used_ = 0;
};

} // namespace pistachioloom
