//===- lib/Gateway/RegistryBuckets.h - differences between two lists ------===//
///
/// \file
/// A node whose list of backend servers differs from a reader's fetches only the groups
/// of servers, called buckets, whose fingerprints differ. The cost of a change is that of
/// its bucket, whatever the length of the list, and a node that starts receives the list in
/// several answers of bounded size. The functions do no I/O.
//===----------------------------------------------------------------------===//
#pragma once

#include "generated/Peer.pb.h"
#include "pistachioloom/Support.h"

#include <vector>

namespace pistachioloom {

/// Number of backend servers that an answer contains at most, apart from the last bucket.
/// 500 of them take 55 KB, 22 ms on a link of 20 Mbit/s.
inline constexpr std::size_t maxServersPerAnswer = 500;

/// Returns the number of buckets in which a node compares a list of \p servers backend
/// servers: a power of two, so that a bucket contains about eight servers.
std::size_t bucketCountFor(std::size_t servers);

/// Returns how often a node compares its list with that of its reader, in a fleet of
/// \p nodes nodes. All nodes of a data centre ask one reader, which answers in about 0.1 ms;
/// at this interval that takes at most a tenth of a core of the reader's VM if a fifth of
/// all nodes are in its data centre.
milliseconds listCheckPeriod(std::size_t nodes);

/// Returns whether a peer may ask for this number of buckets.
bool isValidBucketCount(int count);

/// Selects the buckets that an answer contains: those that differ between \p own and
/// \p wanted, from a position selected by \p random on, up to maxServersPerAnswer of the
/// \p servers in all buckets. Different peers thus receive different parts first.
std::vector<bool> selectBuckets(const std::vector<std::uint64_t>& own, const std::vector<std::uint64_t>& wanted, std::size_t servers, std::uint64_t random);

/// Returns whether \p own and \p wanted differ in a bucket that is not \p included.
bool hasMoreDifferences(const std::vector<std::uint64_t>& own, const std::vector<std::uint64_t>& wanted, const std::vector<bool>& included);

/// Encodes the buckets that \p update contains.
void putBuckets(const std::vector<bool>& included, wire::ConfigurationUpdate& update);

/// Returns the buckets that \p update contains; none if it does not answer a request for
/// \p count buckets.
std::vector<bool> includedBuckets(const wire::ConfigurationUpdate& update, std::size_t count);

} // namespace pistachioloom
