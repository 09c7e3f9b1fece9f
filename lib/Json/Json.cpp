//===- lib/Json/Json.cpp - access to fields of JSON objects ----------------===//
///
/// \file
/// Implements the field accessors over Boost.JSON.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Json.h"

namespace pistachioloom {

namespace json = boost::json;

std::optional<json::object> parseJsonObject(const std::string& text, json::storage_ptr memory, InvalidUtf8 invalidUtf8)
{
    json::error_code code;
    json::parse_options options;
    options.allow_invalid_utf8 = invalidUtf8 == InvalidUtf8::Kept;
    json::value value = json::parse(text, code, std::move(memory), options);
    if (code || !value.is_object())
        return std::nullopt;
    return std::move(value.as_object());
}

bool isUtf8(const std::string& text)
{
    // The parser rejects a text that is not UTF-8, which the serializer copies as it is.
    json::error_code code;
    json::parse(json::serialize(json::string(text)), code);
    return !code;
}

std::string textField(const json::object& object, const char* key)
{
    const json::value* value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::uint64_t numberField(const json::object& object, const char* key)
{
    const json::value* value = object.if_contains(key);
    if (!value || !value->is_number())
        return 0;
    json::error_code code;
    auto number = value->to_number<std::uint64_t>(code);
    return code ? 0 : number;
}

bool flagField(const json::object& object, const char* key)
{
    const json::value* value = object.if_contains(key);
    return value && value->is_bool() && value->as_bool();
}

const json::array* arrayField(const json::object& object, const char* key)
{
    const json::value* value = object.if_contains(key);
    return value && value->is_array() ? &value->as_array() : nullptr;
}

std::vector<json::object> objectsField(const json::object& object, const char* key)
{
    std::vector<json::object> objects;
    for (const json::object* item : objectPointersField(object, key))
        objects.push_back(*item);
    return objects;
}

std::vector<const json::object*> objectPointersField(const json::object& object, const char* key)
{
    std::vector<const json::object*> objects;
    const json::array* array = arrayField(object, key);
    if (!array)
        return objects;
    for (const json::value& item : *array) {
        if (const json::object* found = item.if_object())
            objects.push_back(found);
    }
    return objects;
}

} // namespace pistachioloom
