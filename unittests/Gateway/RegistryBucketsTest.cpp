//===- unittests/Gateway/RegistryBucketsTest.cpp - differences of lists ---===//
///
/// \file
/// Load pattern: each node of a fleet fetches a changed list of backend servers. The bytes
/// must follow from the change and not from the length of the list, and a node that
/// starts must receive the list in answers of bounded size.
//===----------------------------------------------------------------------===//
#include "RegistryBuckets.h"

#include "pistachioloom/Backends.h"

#include <catch2/catch.hpp>
#include <random>

using namespace pistachioloom;

namespace {

constexpr SteadyTime start { std::chrono::hours(1) };

BackendRecord recordOf(std::size_t index, std::uint64_t startedMs = 1)
{
    BackendName name { "i-0123456789-" + std::to_string(index) };
    return { backendId(name, { startedMs }), { "drafts" }, { "10.0.0.1", 8000 }, { "a" }, 64, false, true, name, { startedMs }, {} };
}

/// Fetches from \p reader until \p node has the same servers. \returns the size of each
/// request and answer.
struct Transfer {
    std::size_t rounds_ = 0;
    std::size_t bytes_ = 0;
    std::size_t maxServers_ = 0;
};

Transfer synchronise(BackendTable& node, const BackendTable& reader)
{
    std::mt19937_64 random(7);
    Transfer transfer;
    while (node.fingerprint() != reader.fingerprint() && transfer.rounds_ < 100) {
        std::vector<std::uint64_t> wanted = node.bucketFingerprints(bucketCountFor(node.size()));
        REQUIRE(isValidBucketCount(static_cast<int>(wanted.size())));
        std::vector<std::uint64_t> own = reader.bucketFingerprints(wanted.size());
        std::vector<bool> included = selectBuckets(own, wanted, reader.size(), random());
        wire::ConfigurationUpdate update;
        putBuckets(included, update);
        CHECK(includedBuckets(update, wanted.size()) == included);
        std::vector<BackendRecord> sent = reader.recordsIn(included);
        for (const BackendRecord& before : node.recordsIn(included))
            node.remove(before.id_, start);
        for (const BackendRecord& record : sent) {
            node.put(record);
            wire::BackendEntry& entry = *update.add_backends();
            entry.set_name(record.name_.value_);
            entry.set_address(record.endpoint_.toString());
            entry.set_service(record.service_.value_);
        }
        ++transfer.rounds_;
        transfer.bytes_ += update.ByteSizeLong() + sizeof(std::uint64_t) * wanted.size();
        transfer.maxServers_ = std::max(transfer.maxServers_, sent.size());
        bool isLast = node.fingerprint() == reader.fingerprint();
        CHECK(hasMoreDifferences(own, wanted, included) == !isLast);
    }
    return transfer;
}

} // namespace

TEST_CASE("the transfer of a change does not grow with the list", "[registry]")
{
    auto servers = GENERATE(std::size_t { 21 }, std::size_t { 300 }, std::size_t { 3000 }, std::size_t { 6000 });
    CAPTURE(servers);
    BackendTable reader({ "a" }, {});
    BackendTable node({ "a" }, {});
    for (std::size_t i = 0; i < servers; ++i) {
        reader.put(recordOf(i));
        node.put(recordOf(i));
    }
    CHECK(node.bucketFingerprints(16) == reader.bucketFingerprints(16));
    reader.setLeaving(recordOf(1).id_, start);
    reader.remove(recordOf(2).id_, start);
    reader.put(recordOf(3, 2));
    reader.put(recordOf(servers));
    Transfer transfer = synchronise(node, reader);
    CHECK(transfer.rounds_ == 1);
    CHECK(transfer.bytes_ < 12000);
    CHECK(node.fingerprint() == reader.fingerprint());
}

TEST_CASE("a node that starts receives the list in parts", "[registry]")
{
    auto servers = GENERATE(std::size_t { 3 }, std::size_t { 300 }, std::size_t { 3000 }, std::size_t { 6000 });
    CAPTURE(servers);
    BackendTable reader({ "a" }, {});
    for (std::size_t i = 0; i < servers; ++i)
        reader.put(recordOf(i));
    BackendTable node({ "a" }, {});
    Transfer transfer = synchronise(node, reader);
    CHECK(node.size() == servers);
    CHECK(transfer.maxServers_ < 2 * maxServersPerAnswer);
    CHECK(transfer.rounds_ <= 4 + 2 * servers / maxServersPerAnswer);
}

TEST_CASE("answers to other requests cover no bucket", "[registry]")
{
    wire::ConfigurationUpdate update;
    update.set_bucket_count(32);
    update.add_buckets(1);
    CHECK(includedBuckets(update, 16) == std::vector<bool>(16, false));
    update.set_bucket_count(16);
    update.add_buckets(999);
    std::vector<bool> expected(16);
    expected[1] = true;
    CHECK(includedBuckets(update, 16) == expected);
    for (int invalid : { -1, 0, 1, 17, 1025, 2048, 1 << 30 })
        CHECK_FALSE(isValidBucketCount(invalid));
}
