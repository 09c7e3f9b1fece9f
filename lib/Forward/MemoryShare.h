//===- lib/Forward/MemoryShare.h - memory of messages being received ------===//
///
/// \file
/// Bounds the memory of the bodies and events that a node holds at a time, those of answers and
/// those of requests apart. Each alone is bounded as well, but many together would exceed the memory
/// of the node.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <atomic>

namespace pistachioloom {

/// The share of one message in the memory that all messages of its kind may use together.
class MemoryShare {
public:
    /// \p total is the memory that all of them use, in bytes.
    MemoryShare(std::atomic<std::uint64_t>& total, ByteCount limit)
        : total_(total)
        , limit_(limit)
    {
    }
    ~MemoryShare() { total_ -= used_; }
    MemoryShare(const MemoryShare&) = delete;
    MemoryShare& operator=(const MemoryShare&) = delete;

    /// Records the stated size of a message of which nothing has arrived. \returns false if the message
    /// must be refused, because too little memory is left. Half of its size has to stay free, so that
    /// large messages are refused before small ones.
    bool reserve(ByteCount size)
    {
        std::uint64_t total = total_ += size.value_ - used_;
        used_ = size.value_;
        return size <= smallMessage || total + size.value_ / 2 <= limit_.value_;
    }

    /// Records that the message has grown or shrunk to \p size. \returns false if it must be given
    /// up, because all messages together exceed the limit. Small ones never have to be.
    bool resize(ByteCount size)
    {
        std::uint64_t total = total_ += size.value_ - used_;
        used_ = size.value_;
        return size <= smallMessage || total <= limit_.value_;
    }

    ByteCount size() const { return { used_ }; }
    /// The size of all messages together.
    ByteCount total() const { return { total_.load() }; }
    ByteCount limit() const { return limit_; }

private:
    // With 4,000 connections, messages of this size take 131 MB.
    static constexpr ByteCount smallMessage { 32UL * 1024 };

    std::atomic<std::uint64_t>& total_;
    ByteCount limit_;
    std::uint64_t used_ = 0;
};

} // namespace pistachioloom
