#pragma once

#include "dandelioncrank/core/name.hpp"
#include "dandelioncrank/core/time.hpp"

#include <map>

namespace dandelioncrank::pool {

/// Accelerators that guaranteed work is expected to need at a time, by its
/// recent arrivals. Empty if there were none, or if nothing was preempted
/// lately.
struct guaranteed_demand
{
    struct team_demand
    {
        double mean_ = 0;
        double variance_ = 0;
    };

    std::map<team_name, team_demand> teams_;
    /// Mean time between two arrivals.
    duration arrival_interval_{};

    [[nodiscard]] bool empty() const { return teams_.empty(); }
};

} // namespace dandelioncrank::pool
