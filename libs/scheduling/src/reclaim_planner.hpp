#pragma once

#include "gang.hpp"

#include <map>
#include <optional>
#include <vector>

namespace dandelioncrank {

using gang_table = std::map<gang_key, gang>;

/// Selects borrowed gangs to preempt, always whole gangs, in ascending order
/// of the work that preemption loses.
class reclaim_planner
{
  public:
    reclaim_planner(const worker_pool& pool, const gang_table& gangs);

    /// Gangs to preempt so that each worker has the needed accelerators free;
    /// nothing if preempting all borrowed gangs would not suffice.
    [[nodiscard]] std::optional<std::vector<gang_key>>
    victims_for(const std::map<worker_index, int>& needs, instant now) const;

    /// Work lost by preempting the gang, in accelerator-seconds.
    [[nodiscard]] static double preemption_cost(const gang& item, instant now);

    [[nodiscard]] static bool may_preempt(const gang& item);

  private:
    const worker_pool& pool_;
    const gang_table& gangs_;
};

} // namespace dandelioncrank
