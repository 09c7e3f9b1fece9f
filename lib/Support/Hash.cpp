//===- lib/Support/Hash.cpp - hashing, secrets and random bits -------------===//
///
/// \file
/// Stable hashes, rendezvous ranking, secret comparison and random ids.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Support.h"

#include <algorithm>
#include <array>
#include <boost/endian/conversion.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <memory>
#include <new>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/sha.h>
#include <random>
#include <xxhash.h>

namespace pistachioloom {

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (unsigned char byte : digest) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 15U];
    }
    return hex;
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    return !CRYPTO_memcmp(left.data(), right.data(), left.size());
}

std::uint64_t digest64(std::initializer_list<std::string_view> parts)
{
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    // SHA-256 of bytes in memory fails only if an allocation fails.
    bool succeeded = context && EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (std::string_view part : parts) {
        std::uint64_t length = boost::endian::native_to_big(static_cast<std::uint64_t>(part.size()));
        succeeded = succeeded && EVP_DigestUpdate(context.get(), &length, sizeof length) && EVP_DigestUpdate(context.get(), part.data(), part.size());
    }
    succeeded = succeeded && EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    if (!succeeded)
        throw std::bad_alloc();
    return boost::endian::load_big_u64(digest.data());
}

std::string makeUuid()
{
    thread_local boost::uuids::random_generator generator;
    return boost::uuids::to_string(generator());
}

std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

std::uint64_t randomBits()
{
    thread_local std::mt19937_64 generator(std::random_device {}());
    return generator();
}

milliseconds jitter(milliseconds base, std::uint64_t draw)
{
    constexpr std::uint64_t steps = 1024;
    auto scaled = base.count() * static_cast<std::int64_t>(steps / 2 + draw % steps);
    return milliseconds(scaled / static_cast<std::int64_t>(steps));
}

static std::uint64_t rendezvousScore(std::string_view key, const VmId& candidate)
{
    return stableHash(candidate.value_, stableHash(key));
}

std::vector<VmId> rankByRendezvous(std::string_view key, const std::vector<VmId>& candidates)
{
    std::vector<std::pair<std::uint64_t, VmId>> scored;
    scored.reserve(candidates.size());
    for (const VmId& candidate : candidates)
        scored.emplace_back(rendezvousScore(key, candidate), candidate);
    std::sort(scored.begin(), scored.end(), std::greater<> {});
    std::vector<VmId> ranked;
    ranked.reserve(scored.size());
    for (auto& entry : scored)
        ranked.push_back(std::move(entry.second));
    return ranked;
}

std::size_t rendezvousRankOf(const VmId& candidate, std::string_view key, const std::vector<VmId>& candidates)
{
    std::uint64_t keyHash = stableHash(key);
    std::pair own(stableHash(candidate.value_, keyHash), candidate);
    return static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), [&](const VmId& other) { return std::pair(stableHash(other.value_, keyHash), other) > own; }));
}

VmId pickByRendezvous(std::string_view key, const std::vector<VmId>& candidates)
{
    const VmId* best = nullptr;
    std::uint64_t bestScore = 0;
    for (const VmId& candidate : candidates) {
        std::uint64_t score = rendezvousScore(key, candidate);
        if (best && std::pair(score, candidate) <= std::pair(bestScore, *best))
            continue;
        best = &candidate;
        bestScore = score;
    }
    return best ? *best : VmId {};
}

} // namespace pistachioloom
