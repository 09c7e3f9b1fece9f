//===- tools/pistachioloomctl/Render.h - listings for people ---------------===//
///
/// \file
/// Tables of JSON objects and trees of spans.
//===----------------------------------------------------------------------===//
#pragma once

#include <boost/json.hpp>
#include <string>
#include <vector>

namespace pistachioloom {

/// A table with the given fields as columns.
std::string renderTable(const std::vector<boost::json::object>& rows, const std::vector<std::string>& columns);

/// Spans of one request as a tree, children below their parents by start.
std::string renderTrace(const std::vector<boost::json::object>& spans);

} // namespace pistachioloom
