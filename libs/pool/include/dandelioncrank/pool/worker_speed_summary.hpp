#pragma once

#include "dandelioncrank/core/name.hpp"

#include <cstddef>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dandelioncrank::pool {

/// The workers whose speed differs from a typical one, for operators.
struct worker_speed_summary
{
    using entry = std::pair<worker_name, double>;

    /// Slowest first.
    std::vector<entry> slowest_;
    /// Fastest first.
    std::vector<entry> fastest_;
    std::size_t slow_workers_ = 0;
    /// Speed of the fastest worker divided by that of the slowest.
    double spread_ = 1.0;
};

/// Summarizes the speeds of workers that differ from a typical one, with at
/// most `limit` entries in each list.
[[nodiscard]] worker_speed_summary
summarize_speeds(const std::unordered_map<worker_name, double>& speeds,
                 std::size_t limit);

} // namespace dandelioncrank::pool
