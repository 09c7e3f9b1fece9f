//===- lib/Gateway/RegistryBuckets.cpp - differences between two lists ----===//
///
/// \file
/// See RegistryBuckets.h.
//===----------------------------------------------------------------------===//
#include "RegistryBuckets.h"

#include <algorithm>
#include <bit>
#include <cassert>

namespace pistachioloom {

namespace {

    constexpr std::size_t serversPerBucket = 8;
    constexpr std::size_t minBuckets = 16;
    // The fingerprints of 1,024 buckets take 8 KB.
    constexpr std::size_t maxBuckets = 1024;
    constexpr milliseconds minListCheckPeriod { 150 };
    constexpr milliseconds checkTimePerThousandNodes { 200 };

} // namespace

std::size_t bucketCountFor(std::size_t servers)
{
    return std::clamp(std::bit_ceil(servers / serversPerBucket), minBuckets, maxBuckets);
}

milliseconds listCheckPeriod(std::size_t nodes)
{
    return std::max(minListCheckPeriod, checkTimePerThousandNodes * static_cast<std::int64_t>(nodes) / 1000);
}

bool isValidBucketCount(int count)
{
    auto buckets = static_cast<std::size_t>(std::max(0, count));
    return buckets >= minBuckets && buckets <= maxBuckets && std::has_single_bit(buckets);
}

std::vector<bool> selectBuckets(const std::vector<std::uint64_t>& own, const std::vector<std::uint64_t>& wanted, std::size_t servers, std::uint64_t random)
{
    assert(own.size() == wanted.size() && "both lists have the same buckets");
    std::size_t count = own.size();
    std::size_t serversInBucket = servers / count + 1;
    std::size_t maxSelected = std::max<std::size_t>(1, maxServersPerAnswer / serversInBucket);
    std::vector<bool> selected(count);
    std::size_t first = random % count;
    for (std::size_t i = 0, taken = 0; i < count && taken < maxSelected; ++i) {
        std::size_t bucket = (first + i) % count;
        bool differs = own[bucket] != wanted[bucket];
        selected[bucket] = differs;
        taken += differs;
    }
    return selected;
}

bool hasMoreDifferences(const std::vector<std::uint64_t>& own, const std::vector<std::uint64_t>& wanted, const std::vector<bool>& included)
{
    for (std::size_t bucket = 0; bucket < own.size(); ++bucket) {
        if (own[bucket] != wanted[bucket] && !included[bucket])
            return true;
    }
    return false;
}

void putBuckets(const std::vector<bool>& included, wire::ConfigurationUpdate& update)
{
    update.set_bucket_count(included.size());
    for (std::size_t bucket = 0; bucket < included.size(); ++bucket) {
        if (included[bucket])
            update.add_buckets(static_cast<std::uint32_t>(bucket));
    }
}

std::vector<bool> includedBuckets(const wire::ConfigurationUpdate& update, std::size_t count)
{
    std::vector<bool> included(count);
    if (update.bucket_count() != count)
        return included;
    for (std::uint32_t bucket : update.buckets()) {
        if (bucket < count)
            included[bucket] = true;
    }
    return included;
}

} // namespace pistachioloom
