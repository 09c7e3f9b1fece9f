//===- benchmarks/Percentile.h - percentiles of samples -------------------===//
///
/// \file
/// Percentiles for the tables that the benchmarks print.
//===----------------------------------------------------------------------===//
#pragma once

#include <algorithm>
#include <vector>

namespace pistachioloom::test {

/// Returns the smallest of \p values such that a fraction \p share of them are at most as
/// large, or 0 if there are none.
inline double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

} // namespace pistachioloom::test
