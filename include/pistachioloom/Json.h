//===- pistachioloom/Json.h - access to fields of JSON objects -------------===//
///
/// \file
/// Accessors for fields of Boost.JSON objects. A missing field or a field of the
/// wrong type reads as empty: the callers validate the values that an external
/// system sends, not their JSON types.
//===----------------------------------------------------------------------===//
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pistachioloom {

/// Whether a text that is not UTF-8 may stand in JSON.
enum class InvalidUtf8 {
    Rejected,
    Kept,
};

/// Parses \p text as a JSON object; nullopt if it is not one. The object and its values
/// are allocated from \p memory, which may be a monotonic resource for a large text whose
/// values are all released together.
std::optional<boost::json::object> parseJsonObject(const std::string& text, boost::json::storage_ptr memory = {}, InvalidUtf8 invalidUtf8 = InvalidUtf8::Rejected);
/// Returns whether \p text is UTF-8.
bool isUtf8(const std::string& text);
/// Returns the string in field \p key, or an empty string.
std::string textField(const boost::json::object& object, const char* key);
/// Returns the number in field \p key, or 0 if it is not an unsigned integer.
std::uint64_t numberField(const boost::json::object& object, const char* key);
/// Returns the Boolean in field \p key, or false.
bool flagField(const boost::json::object& object, const char* key);
/// Returns the array in field \p key, or nullptr.
const boost::json::array* arrayField(const boost::json::object& object, const char* key);
/// Returns copies of the objects in the array in field \p key; other elements are
/// skipped.
std::vector<boost::json::object> objectsField(const boost::json::object& object, const char* key);
/// Returns pointers to the objects in the array in field \p key; other elements are
/// skipped. The pointers are valid while \p object exists.
std::vector<const boost::json::object*> objectPointersField(const boost::json::object& object, const char* key);

} // namespace pistachioloom
