//===- benchmarks/Percentile.h - percentiles of samples -------------------===//
///
/// \file
/// Percentiles for the tables that the benchmarks print.
//===----------------------------------------------------------------------===//
#pragma once

#include <algorithm>
#include <vector>

namespace pistachioloom::test {

/// Returns the element of the sorted \p values whose index is \p share times the last index,
/// rounded down; \p share is from 0 (minimum) to 1 (maximum). Returns 0 if there are none.
inline double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

} // namespace pistachioloom::test
