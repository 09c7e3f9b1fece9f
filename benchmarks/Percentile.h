//===- benchmarks/Percentile.h - percentiles of samples --------------------===//
///
/// \file
/// What the benchmarks' tables are made of.
//===----------------------------------------------------------------------===//
#pragma once

#include <algorithm>
#include <vector>

namespace pistachioloom::test {

/// The smallest of \p values that \p share of them do not exceed; 0 for none.
inline double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

} // namespace pistachioloom::test
