//===- pistachioloom/Yaml.h - checked reading of YAML and JSON maps --------===//
///
/// \file
/// The reader under settings and catalogue entries. It collects every mistake
/// with file, line and key, so that one run shows them all. JSON is YAML, so
/// records of the log pass through the same reader.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <limits>
#include <memory>
#include <optional>
#include <set>

namespace YAML {
class Node; // NOLINT(bugprone-forward-declaration-namespace): yaml-cpp's, not ours.
}

namespace pistachioloom {

/// One mistake in an input file.
struct InputError {
    std::string file_;
    int line_ = 0;
    std::string key_;
    std::string message_;

    std::string toString() const;
};

using InputErrors = std::vector<InputError>;

/// A map whose keys are asked for one by one; what was not asked for is
/// reported as unknown by finish(). A getter with a fallback takes a missing
/// key; one without reports it.
class YamlMap {
public:
    /// Parses \p text; a syntax error or a root that is no map is reported.
    static std::optional<YamlMap> parse(const std::string& text, const std::string& file, InputErrors& errors);
    ~YamlMap();
    YamlMap(YamlMap&&) noexcept;
    YamlMap(const YamlMap&) = delete;
    YamlMap& operator=(const YamlMap&) = delete;
    YamlMap& operator=(YamlMap&&) = delete;

    std::string text(const std::string& key, const std::optional<std::string>& fallback = std::nullopt);
    std::uint64_t integer(const std::string& key, std::uint64_t min, std::uint64_t max, std::optional<std::uint64_t> fallback = std::nullopt);
    double number(const std::string& key, double min, double max, std::optional<double> fallback = std::nullopt);
    bool flag(const std::string& key, std::optional<bool> fallback = std::nullopt);
    /// A duration with unit: `5ms`, `2s`, `10min`, `1h`.
    milliseconds duration(const std::string& key, milliseconds min, milliseconds max, std::optional<milliseconds> fallback = std::nullopt);
    /// A size with unit: `512B`, `64KiB`, `32MiB`.
    ByteCount size(const std::string& key, ByteCount min, ByteCount max, std::optional<ByteCount> fallback = std::nullopt);
    /// One of \p allowed; \returns its index.
    std::size_t choice(const std::string& key, const std::vector<std::string>& allowed, std::optional<std::size_t> fallback = std::nullopt);
    std::vector<std::string> list(const std::string& key, bool isRequired = false);
    std::optional<YamlMap> map(const std::string& key, bool isRequired = false);
    /// Key and value of a map whose keys are free.
    std::vector<std::pair<std::string, std::string>> pairs(const std::string& key);
    bool has(const std::string& key) const;

    /// Reports a mistake in \p key found by the caller.
    void addError(const std::string& key, const std::string& message);
    /// Reports the keys that nobody asked for.
    void reportUnknownKeys();

private:
    struct State;
    explicit YamlMap(std::unique_ptr<State> state);
    template <typename T, typename Convert>
    T scalar(const std::string& key, const std::optional<T>& fallback, const std::string& expected, Convert convert);

    std::unique_ptr<State> state_;
};

/// Reads a number with one of the duration units.
std::optional<milliseconds> parseDuration(std::string_view text);
/// Reads a number with one of the size units.
std::optional<ByteCount> parseSize(std::string_view text);

} // namespace pistachioloom
