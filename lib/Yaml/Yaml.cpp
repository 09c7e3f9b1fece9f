//===- lib/Yaml/Yaml.cpp - validated access to YAML and JSON maps ----------===//
///
/// \file
/// Implements YamlMap over yaml-cpp.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Yaml.h"

#include <array>
#include <cassert>
#include <charconv>
#include <cmath>
#include <yaml-cpp/yaml.h>

namespace pistachioloom {

struct YamlMap::State {
    YAML::Node node_;
    std::string file_;
    std::string keyPrefix_;
    InputErrors* errors_ = nullptr;
    std::set<std::string> readKeys_;
    int line_ = 0;
};

namespace {

    struct Unit {
        std::string_view name_;
        std::uint64_t factor_;
    };

    constexpr std::array durationUnits { Unit { "ms", 1 }, Unit { "s", 1000 }, Unit { "min", 60000 }, Unit { "h", 3600000 } };
    constexpr std::array sizeUnits { Unit { "B", 1 }, Unit { "KiB", 1024 }, Unit { "MiB", 1024UL * 1024 }, Unit { "GiB", 1024UL * 1024 * 1024 } };

    std::optional<std::uint64_t> parseUnsigned(std::string_view text)
    {
        std::uint64_t value = 0;
        auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (code != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    /// Parses a decimal fraction with its unit, such as 2.5s. The value must be an integral
    /// multiple of the smallest unit.
    template <std::size_t Count>
    std::optional<std::uint64_t> parseFraction(std::string_view text, std::size_t point, const std::array<Unit, Count>& units)
    {
        std::size_t end = text.find_first_not_of("0123456789", point + 1);
        if (end == std::string_view::npos || end == point + 1)
            return std::nullopt;
        auto integerPart = parseUnsigned(text.substr(0, point));
        auto fractionalPart = parseUnsigned(text.substr(point + 1, end - point - 1));
        if (!integerPart || !fractionalPart || *integerPart > std::numeric_limits<std::uint32_t>::max())
            return std::nullopt;
        double value = static_cast<double>(*integerPart) + static_cast<double>(*fractionalPart) / std::pow(10.0, static_cast<double>(end - point - 1));
        for (const Unit& unit : units) {
            double scaled = value * static_cast<double>(unit.factor_);
            if (text.substr(end) == unit.name_ && std::abs(scaled - std::round(scaled)) < 1e-6)
                return static_cast<std::uint64_t>(std::llround(scaled));
        }
        return std::nullopt;
    }

    template <std::size_t Count>
    std::optional<std::uint64_t> parseWithUnit(std::string_view text, const std::array<Unit, Count>& units)
    {
        std::size_t digits = text.find_first_not_of("0123456789");
        if (!digits || digits == std::string_view::npos)
            return std::nullopt;
        if (text[digits] == '.')
            return parseFraction(text, digits, units);
        auto count = parseUnsigned(text.substr(0, digits));
        if (!count)
            return std::nullopt;
        for (const Unit& unit : units) {
            if (text.substr(digits) != unit.name_)
                continue;
            if (*count > std::numeric_limits<std::uint64_t>::max() / unit.factor_)
                return std::nullopt;
            return *count * unit.factor_;
        }
        return std::nullopt;
    }

    int lineOf(const YAML::Node& node)
    {
        return node.Mark().line + 1;
    }

} // namespace

std::optional<milliseconds> parseDuration(std::string_view text)
{
    auto value = parseWithUnit(text, durationUnits);
    if (!value || *value > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
        return std::nullopt;
    return milliseconds(*value);
}

std::optional<ByteCount> parseSize(std::string_view text)
{
    auto value = parseWithUnit(text, sizeUnits);
    return value ? std::optional(ByteCount { *value }) : std::nullopt;
}

std::string InputError::toString() const
{
    return file_ + ":" + std::to_string(line_) + ": " + key_ + ": " + message_;
}

YamlMap::YamlMap(std::unique_ptr<State> state)
    : state_(std::move(state))
{
}

YamlMap::~YamlMap() = default;
YamlMap::YamlMap(YamlMap&&) noexcept = default;

std::optional<YamlMap> YamlMap::parse(const std::string& text, const std::string& file, InputErrors& errors)
{
    YAML::Node root;
    try {
        root = YAML::Load(text);
    } catch (const YAML::Exception& exception) {
        errors.push_back({ file, exception.mark.line + 1, "(root)", "not valid YAML: " + exception.msg });
        return std::nullopt;
    }
    if (!root.IsMap()) {
        errors.push_back({ file, 1, "(root)", "expected a map" });
        return std::nullopt;
    }
    auto state = std::make_unique<State>();
    state->node_ = root;
    state->file_ = file;
    state->errors_ = &errors;
    state->line_ = 1;
    return YamlMap(std::move(state));
}

bool YamlMap::has(const std::string& key) const
{
    return static_cast<bool>(std::as_const(state_->node_)[key]);
}

void YamlMap::addError(const std::string& key, const std::string& message)
{
    YAML::Node value = std::as_const(state_->node_)[key];
    int line = value ? lineOf(value) : state_->line_;
    state_->errors_->push_back({ state_->file_, line, state_->keyPrefix_ + key, message });
}

template <typename T, typename Convert>
T YamlMap::scalar(const std::string& key, const std::optional<T>& fallback, const std::string& expected, Convert convert)
{
    state_->readKeys_.insert(key);
    YAML::Node value = std::as_const(state_->node_)[key];
    if (!value) {
        if (!fallback)
            addError(key, "missing; expected " + expected);
        return fallback.value_or(T {});
    }
    std::optional<T> converted;
    if (value.IsScalar())
        converted = convert(value.Scalar());
    if (!converted) {
        addError(key, "expected " + expected + (value.IsScalar() ? ", found '" + value.Scalar() + "'" : ""));
        return fallback.value_or(T {});
    }
    return *converted;
}

std::string YamlMap::text(const std::string& key, const std::optional<std::string>& fallback)
{
    return scalar<std::string>(key, fallback, "text", [](const std::string& value) { return std::optional(value); });
}

std::uint64_t YamlMap::integer(const std::string& key, std::uint64_t min, std::uint64_t max, std::optional<std::uint64_t> fallback)
{
    std::string expected = "a whole number from " + std::to_string(min) + " to " + std::to_string(max);
    return scalar<std::uint64_t>(key, fallback, expected, [&](const std::string& value) {
        auto parsed = parseUnsigned(value);
        return parsed && *parsed >= min && *parsed <= max ? parsed : std::nullopt;
    });
}

double YamlMap::number(const std::string& key, double min, double max, std::optional<double> fallback)
{
    std::string expected = "a number from " + std::to_string(min) + " to " + std::to_string(max);
    return scalar<double>(key, fallback, expected, [&](const std::string& value) {
        double parsed = 0;
        auto [end, code] = std::from_chars(value.data(), value.data() + value.size(), parsed);
        bool isValid = code == std::errc {} && end == value.data() + value.size() && parsed >= min && parsed <= max;
        return isValid ? std::optional(parsed) : std::nullopt;
    });
}

bool YamlMap::flag(const std::string& key, std::optional<bool> fallback)
{
    return scalar<bool>(key, fallback, "true or false", [](const std::string& value) -> std::optional<bool> {
        if (value == "true")
            return true;
        if (value == "false")
            return false;
        return std::nullopt;
    });
}

milliseconds YamlMap::duration(const std::string& key, milliseconds min, milliseconds max, std::optional<milliseconds> fallback)
{
    std::string expected = "a duration such as 500ms, 2s, 10min or 1h, from " + std::to_string(min.count()) + "ms to " + std::to_string(max.count()) + "ms";
    return scalar<milliseconds>(key, fallback, expected, [&](const std::string& value) {
        auto parsed = parseDuration(value);
        return parsed && *parsed >= min && *parsed <= max ? parsed : std::nullopt;
    });
}

ByteCount YamlMap::size(const std::string& key, ByteCount min, ByteCount max, std::optional<ByteCount> fallback)
{
    std::string expected = "a size such as 512B, 64KiB or 32MiB, from " + std::to_string(min.value_) + "B to " + std::to_string(max.value_) + "B";
    return scalar<ByteCount>(key, fallback, expected, [&](const std::string& value) {
        auto parsed = parseSize(value);
        return parsed && *parsed >= min && *parsed <= max ? parsed : std::nullopt;
    });
}

std::size_t YamlMap::choice(const std::string& key, const std::vector<std::string>& allowed, std::optional<std::size_t> fallback)
{
    std::string expected = "one of";
    for (const std::string& name : allowed)
        expected += " " + name;
    return scalar<std::size_t>(key, fallback, expected, [&](const std::string& value) -> std::optional<std::size_t> {
        for (std::size_t i = 0; i < allowed.size(); ++i) {
            if (allowed[i] == value)
                return i;
        }
        return std::nullopt;
    });
}

std::vector<std::string> YamlMap::list(const std::string& key, bool isRequired)
{
    state_->readKeys_.insert(key);
    YAML::Node value = std::as_const(state_->node_)[key];
    if (!value) {
        if (isRequired)
            addError(key, "missing; expected a list of texts");
        return {};
    }
    std::vector<std::string> items;
    bool isValid = value.IsSequence();
    for (std::size_t i = 0; isValid && i < value.size(); ++i) {
        isValid = value[i].IsScalar();
        if (isValid)
            items.push_back(value[i].Scalar());
    }
    if (!isValid)
        addError(key, "expected a list of texts");
    return items;
}

std::optional<YamlMap> YamlMap::map(const std::string& key, bool isRequired)
{
    state_->readKeys_.insert(key);
    YAML::Node value = std::as_const(state_->node_)[key];
    if (!value) {
        if (isRequired)
            addError(key, "missing; expected a map");
        return std::nullopt;
    }
    if (!value.IsMap()) {
        addError(key, "expected a map");
        return std::nullopt;
    }
    auto state = std::make_unique<State>();
    state->node_ = value;
    state->file_ = state_->file_;
    state->keyPrefix_ = state_->keyPrefix_ + key + ".";
    state->errors_ = state_->errors_;
    state->line_ = lineOf(value);
    return YamlMap(std::move(state));
}

std::vector<std::pair<std::string, std::string>> YamlMap::pairs(const std::string& key)
{
    state_->readKeys_.insert(key);
    YAML::Node value = std::as_const(state_->node_)[key];
    std::vector<std::pair<std::string, std::string>> items;
    if (!value)
        return items;
    if (!value.IsMap()) {
        addError(key, "expected a map");
        return items;
    }
    for (const auto& item : value) {
        if (item.first.IsScalar() && item.second.IsScalar())
            items.emplace_back(item.first.Scalar(), item.second.Scalar());
        else
            addError(key, "expected a map of texts");
    }
    return items;
}

void YamlMap::reportUnknownKeys()
{
    for (const auto& item : state_->node_) {
        if (!item.first.IsScalar() || state_->readKeys_.contains(item.first.Scalar()))
            continue;
        state_->errors_->push_back({ state_->file_, lineOf(item.first), state_->keyPrefix_ + item.first.Scalar(), "unknown key" });
    }
}

} // namespace pistachioloom
