//===- lib/Ledger/LedgerRecord.cpp - keys and records of the ledger --------===//
///
/// \file
/// Call keys, and the encoding of ledger records: each is a JSON list of items.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Ledger.h"

#include "pistachioloom/Json.h"
#include <array>

namespace pistachioloom {

namespace json = boost::json;

namespace {

    constexpr std::size_t keyLength = 32;
    constexpr std::array<std::string_view, 3> typeNames { "intent", "outcome", "release" };

    json::object encodeItem(const LedgerItem& item)
    {
        json::object object {
            { "t", typeNames[static_cast<std::size_t>(item.type_)] },
            { "k", item.key_.value_ },
            { "a", item.attempt_.value_ },
            { "h", item.bodyHash_ },
        };
        if (item.type_ != LedgerItem::Type::Outcome)
            return object;
        object["s"] = item.outcome_.status_;
        object["c"] = item.outcome_.contentType_;
        object["b"] = item.outcome_.body_;
        return object;
    }

    std::optional<LedgerItem> decodeItem(const json::value& value)
    {
        if (!value.is_object())
            return std::nullopt;
        const json::object& object = value.as_object();
        LedgerItem item;
        std::string type = textField(object, "t");
        std::size_t index = 0;
        while (index < typeNames.size() && typeNames[index] != type)
            ++index;
        if (index == typeNames.size())
            return std::nullopt;
        item.type_ = static_cast<LedgerItem::Type>(index);
        item.key_ = { textField(object, "k") };
        item.attempt_ = { textField(object, "a") };
        item.bodyHash_ = textField(object, "h");
        item.outcome_.contentType_ = textField(object, "c");
        item.outcome_.body_ = textField(object, "b");
        item.outcome_.status_ = static_cast<std::uint32_t>(numberField(object, "s"));
        return item;
    }

} // namespace

CallKey makeCallKey(const OrganisationId& organisation, const ServiceName& service, const IdempotencyKey& key)
{
    // The length prefixes distinguish ("a", "bc") from ("ab", "c").
    std::string text = std::to_string(organisation.value_.size()) + ":" + organisation.value_ + std::to_string(service.value_.size()) + ":" + service.value_ + key.value_;
    return { sha256Hex(text).substr(0, keyLength) };
}

std::uint32_t shardOf(const CallKey& key, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(stableHash(key.value_) % shards);
}

std::string encodeLedgerRecord(const std::vector<LedgerItem>& items)
{
    json::array array;
    for (const LedgerItem& item : items)
        array.push_back(encodeItem(item));
    return json::serialize(array);
}

std::vector<LedgerItem> decodeLedgerRecord(const std::string& record)
{
    std::vector<LedgerItem> items;
    json::error_code code;
    json::value value = json::parse(record, code);
    if (code || !value.is_array())
        return items;
    for (const json::value& element : value.as_array()) {
        if (auto item = decodeItem(element))
            items.push_back(std::move(*item));
    }
    return items;
}

} // namespace pistachioloom
