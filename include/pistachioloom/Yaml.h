//===- pistachioloom/Yaml.h - validated access to YAML and JSON maps -------===//
///
/// \file
/// The parser of settings and catalogue entries. It collects all input errors with
/// file, line and key, so that one run reports all of them. Since JSON is a subset
/// of YAML, the same parser reads records of the log.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <limits>
#include <memory>
#include <optional>
#include <set>

namespace YAML {
class Node; // NOLINT(bugprone-forward-declaration-namespace): declared by yaml-cpp.
}

namespace pistachioloom {

/// One error in an input file.
struct InputError {
    std::string file_;
    int line_ = 0;
    std::string key_;
    std::string message_;

    std::string toString() const;
};

using InputErrors = std::vector<InputError>;

/// A map with typed getters that validate each value. A getter with a fallback returns
/// it for a missing key; a getter without one reports an error. reportUnknownKeys()
/// reports the keys that no getter has read.
class YamlMap {
public:
    /// Parses \p text. A syntax error, or a root that is not a map, is added to \p errors.
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
    /// Reads a duration with its unit: `5ms`, `2s`, `10min`, `1h`.
    milliseconds duration(const std::string& key, milliseconds min, milliseconds max, std::optional<milliseconds> fallback = std::nullopt);
    /// Reads a size with its unit: `512B`, `64KiB`, `32MiB`.
    ByteCount size(const std::string& key, ByteCount min, ByteCount max, std::optional<ByteCount> fallback = std::nullopt);
    /// Reads a text that must be one of \p allowed. \returns its index in \p allowed.
    std::size_t choice(const std::string& key, const std::vector<std::string>& allowed, std::optional<std::size_t> fallback = std::nullopt);
    std::vector<std::string> list(const std::string& key, bool isRequired = false);
    std::optional<YamlMap> map(const std::string& key, bool isRequired = false);
    /// Reads the keys and values of a map with arbitrary keys.
    std::vector<std::pair<std::string, std::string>> pairs(const std::string& key);
    bool has(const std::string& key) const;

    /// Adds an error in \p key that the caller has found.
    void addError(const std::string& key, const std::string& message);
    /// Adds an error for each key that no getter has read.
    void reportUnknownKeys();

private:
    struct State;
    explicit YamlMap(std::unique_ptr<State> state);
    template <typename T, typename Convert>
    T scalar(const std::string& key, const std::optional<T>& fallback, const std::string& expected, Convert convert);

    std::unique_ptr<State> state_;
};

/// Parses a number with a duration unit.
std::optional<milliseconds> parseDuration(std::string_view text);
/// Parses a number with a size unit.
std::optional<ByteCount> parseSize(std::string_view text);

} // namespace pistachioloom
