//===- pistachioloom/Json.h - reading fields of JSON objects ---------------===//
///
/// \file
/// Small readers over Boost.JSON. A missing or wrong field reads as empty:
/// what an outside system sends is checked by its meaning, not by its shape.
//===----------------------------------------------------------------------===//
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pistachioloom {

/// The object that \p text holds, or nullopt. It and what it holds are in \p memory,
/// which a large text that is read and dropped as one may fill from one end.
std::optional<boost::json::object> parseJsonObject(const std::string& text, boost::json::storage_ptr memory = {});
std::string textField(const boost::json::object& object, const char* key);
std::uint64_t numberField(const boost::json::object& object, const char* key);
bool flagField(const boost::json::object& object, const char* key);
/// nullptr if there is no such array.
const boost::json::array* arrayField(const boost::json::object& object, const char* key);
/// The objects of array \p key; other elements are left out.
std::vector<boost::json::object> objectsField(const boost::json::object& object, const char* key);
/// The same objects where they are, as long as \p object is.
std::vector<const boost::json::object*> objectPointersField(const boost::json::object& object, const char* key);

} // namespace pistachioloom
