//===- tools/pistachioloomctl/Render.h - human-readable output ------------===//
///
/// \file
/// Renders JSON objects as tables, and spans as trees.
//===----------------------------------------------------------------------===//
#pragma once

#include <boost/json.hpp>
#include <string>
#include <vector>

namespace pistachioloom {

/// Returns a table of \p rows with the given fields as columns; "-" stands for a missing
/// field.
std::string renderTable(const std::vector<boost::json::object>& rows, const std::vector<std::string>& columns);

/// Returns the spans of one request as a tree. Children follow their parent, ordered by
/// start time.
std::string renderTrace(const std::vector<boost::json::object>& spans);

} // namespace pistachioloom
