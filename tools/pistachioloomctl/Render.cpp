//===- tools/pistachioloomctl/Render.cpp - human-readable output ----------===//
///
/// \file
/// Implements tables and trees of spans.
//===----------------------------------------------------------------------===//
#include "Render.h"

#include "pistachioloom/Json.h"
#include <algorithm>
#include <set>

namespace pistachioloom {

namespace {

    constexpr double nanosecondsPerMillisecond = 1e6;

    std::string cell(const boost::json::object& row, const std::string& column)
    {
        const boost::json::value* value = row.if_contains(column);
        if (!value || value->is_null())
            return "-";
        return value->is_string() ? std::string(value->as_string()) : boost::json::serialize(*value);
    }

    double timestampOf(const boost::json::object& span, const char* key)
    {
        return std::strtod(textField(span, key).c_str(), nullptr);
    }

    void renderChildren(const std::vector<boost::json::object>& spans, const std::string& parent, const std::string& indent, double origin, std::string& output)
    {
        for (const boost::json::object& span : spans) {
            if (textField(span, "parentSpanId") != parent)
                continue;
            double start = timestampOf(span, "startTimeUnixNano");
            double duration = timestampOf(span, "endTimeUnixNano") - start;
            boost::json::object attributes = span.at("attributes").as_object();
            char times[64];
            std::snprintf(times, sizeof times, "%9.2f ms  +%.2f ms", (start - origin) / nanosecondsPerMillisecond, duration / nanosecondsPerMillisecond);
            output += std::string(times) + "  " + indent + textField(span, "name");
            if (std::string peer = textField(attributes, "peer"); !peer.empty())
                output += " -> " + peer;
            output += " [" + textField(attributes, "outcome") + "]\n";
            renderChildren(spans, textField(span, "spanId"), indent + "  ", origin, output);
        }
    }

} // namespace

std::string renderTable(const std::vector<boost::json::object>& rows, const std::vector<std::string>& columns)
{
    std::vector<std::size_t> widths;
    for (const std::string& column : columns) {
        std::size_t width = column.size();
        for (const boost::json::object& row : rows)
            width = std::max(width, cell(row, column).size());
        widths.push_back(width);
    }
    std::string output;
    auto addLine = [&](const std::vector<std::string>& cells) {
        for (std::size_t i = 0; i < cells.size(); ++i)
            output += cells[i] + std::string(widths[i] - cells[i].size() + 2, ' ');
        output += '\n';
    };
    addLine(columns);
    for (const boost::json::object& row : rows) {
        std::vector<std::string> cells;
        for (const std::string& column : columns)
            cells.push_back(cell(row, column));
        addLine(cells);
    }
    return output;
}

std::string renderTrace(const std::vector<boost::json::object>& unordered)
{
    std::vector<boost::json::object> spans = unordered;
    std::sort(spans.begin(), spans.end(), [](const boost::json::object& left, const boost::json::object& right) {
        return timestampOf(left, "startTimeUnixNano") < timestampOf(right, "startTimeUnixNano");
    });
    if (spans.empty())
        return "no spans\n";
    std::set<std::string> known;
    for (const boost::json::object& span : spans)
        known.insert(textField(span, "spanId"));
    // A root span's parent is not among the collected spans.
    std::set<std::string> roots;
    for (const boost::json::object& span : spans) {
        if (!known.contains(textField(span, "parentSpanId")))
            roots.insert(textField(span, "parentSpanId"));
    }
    std::string output;
    for (const std::string& root : roots)
        renderChildren(spans, root, "", timestampOf(spans.front(), "startTimeUnixNano"), output);
    return output;
}

} // namespace pistachioloom
