//===- unittests/Fuzz/Mutator.h - random changes to valid inputs ----------===//
///
/// \file
/// Mutates valid inputs at random from a seed. The results resemble what a faulty
/// or hostile peer may send to a parser.
//===----------------------------------------------------------------------===//
#pragma once

#include <cstdlib>
#include <random>
#include <string>
#include <vector>

namespace pistachioloom::test {

/// \returns the number in environment variable \p name, or \p fallback if it is not set.
/// PISTACHIOLOOM_FUZZ_RUNS and PISTACHIOLOOM_FUZZ_SEED override the number of runs and the
/// seed that CI uses.
inline std::uint64_t fuzzSetting(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// Produces random inputs from a corpus. The same seed gives the same inputs.
class Mutator {
public:
    Mutator(std::uint64_t seed, std::vector<std::string> corpus)
        : random_(seed)
        , corpus_(std::move(corpus))
    {
    }

    /// \returns a random number below \p bound, or 0 if \p bound is 0.
    std::size_t randomBelow(std::size_t bound) { return bound ? random_() % bound : 0; }

    /// \returns a random input of the corpus with up to six mutations.
    std::string next()
    {
        std::string bytes = corpus_[randomBelow(corpus_.size())];
        for (std::size_t i = randomBelow(7); i; --i)
            mutate(bytes);
        return bytes;
    }

    /// \returns \p bytes split into pieces of random lengths.
    std::vector<std::string> splitRandomly(const std::string& bytes)
    {
        std::vector<std::string> pieces;
        for (std::size_t position = 0; position < bytes.size();) {
            std::size_t length = 1 + randomBelow(randomBelow(4) ? 8 : bytes.size());
            pieces.push_back(bytes.substr(position, length));
            position += length;
        }
        return pieces;
    }

private:
    void mutate(std::string& bytes)
    {
        constexpr const char* tokens[] = { "\r\n", "\n", "\r\n\r\n", ":", " ", "\t", "0", "-1", "18446744073709551616", "id: ", "data: ", "{", "}", "[", "]", "\"", ",", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "null", "1e999", "\\u0000" };
        std::size_t position = randomBelow(bytes.size() + 1);
        switch (randomBelow(6)) {
        case 0:
            if (position < bytes.size())
                bytes[position] = static_cast<char>(bytes[position] ^ (1 << randomBelow(8)));
            return;
        case 1:
            bytes.insert(position, 1, static_cast<char>(random_()));
            return;
        case 2:
            bytes.erase(position, 1 + randomBelow(10));
            return;
        case 3:
            bytes.insert(position, tokens[randomBelow(std::size(tokens))]);
            return;
        case 4:
            bytes.resize(position);
            return;
        default: {
            // Inserts a part of another input of the corpus.
            const std::string& other = corpus_[randomBelow(corpus_.size())];
            bytes.insert(position, other.substr(randomBelow(other.size() + 1), randomBelow(60)));
        }
        }
    }

    std::mt19937_64 random_;
    std::vector<std::string> corpus_;
};

} // namespace pistachioloom::test
