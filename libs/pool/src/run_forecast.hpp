#pragma once

#include "dandelioncrank/pool/placement_planner.hpp"

#include <optional>

namespace dandelioncrank::pool {

/// Returns how long a run still needs, at least zero. `expected` is its run
/// time on its worker as far as known in advance, zero if nothing is known;
/// the reported progress corrects it. Returns nothing for a run whose end
/// cannot be told: its worker has not confirmed it or is silent, or the run is
/// overdue.
[[nodiscard]] std::optional<duration>
remaining_time(const run_observation& run, duration expected, instant now);

} // namespace dandelioncrank::pool
