#pragma once

#include "pending_unit.hpp"

#include <cstddef>
#include <set>
#include <vector>

namespace dandelioncrank::pool {

/// Runs without an end that leave an evacuated zone together: one, or a gang.
struct evacuation_move
{
    /// The tasks as they would wait after the stop.
    pending_unit unit_;
    std::vector<run_ref> runs_;
};

/// Runs without an end in evacuated zones.
struct evacuation_moves
{
    /// Number of those that are being stopped.
    std::size_t moving_ = 0;
    /// Those that may be stopped; bounded, as a plan tries each.
    std::vector<evacuation_move> candidates_;

    /// Whether the runs of a candidate may be stopped beside those that are
    /// being stopped already.
    [[nodiscard]] bool has_room_for(const evacuation_move& item) const;
};

[[nodiscard]] evacuation_moves
collect_evacuation_moves(const pool_state& state, const planner_input& input,
                         const std::set<job_id>& guaranteed);

} // namespace dandelioncrank::pool
