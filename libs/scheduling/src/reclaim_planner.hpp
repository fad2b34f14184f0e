#pragma once

#include "gang.hpp"

#include <map>
#include <optional>
#include <vector>

namespace dandelioncrank {

using gang_table = std::map<gang_key, gang>;

/// Chooses which borrowed gangs give their accelerators up, whole gangs
/// only, those first that lose least by it.
class reclaim_planner
{
  public:
    reclaim_planner(const worker_pool& pool, const gang_table& gangs);

    /// Gangs to preempt so that each worker has the accelerators; nothing if
    /// even all borrowed gangs would not do.
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
