#pragma once

#include "resource_table.hpp"

#include <optional>
#include <vector>

namespace dandelioncrank::pool {

/// Returns the time within which a run must be expected to end by itself for a
/// unit to wait for it rather than stop it or other work.
[[nodiscard]] duration longest_wait_for_end(const pending_unit& unit);

/// Chooses the runs that must end for the tasks of one unit, so that the least
/// work is lost.
///
/// Runs that are expected to end in time cost nothing and are not stopped, of
/// whichever priority they are.
class victim_selection
{
  public:
    victim_selection(const resource_table& table, const pending_unit& unit)
        : table_(table), unit_(unit), longest_wait_(longest_wait_for_end(unit))
    {
    }

    /// Whether a run ends without being stopped for the unit.
    [[nodiscard]] bool ends_by_itself(const victim& what) const;
    [[nodiscard]] double cost_of(const victim& what) const
    {
        return ends_by_itself(what) ? 0 : what.cost_;
    }
    /// Whether the unit may use the resources of a run once it has ended.
    [[nodiscard]] bool may_use(const victim& what) const;

    /// Result of choose_on().
    struct choice
    {
        std::vector<victim_index> victims_;
        double cost_ = 0;
        resources remaining_;
    };

    /// Chooses the victims on a worker, with `free` resources there, that make
    /// room for one task. Returns nothing if all together do not.
    [[nodiscard]] std::optional<choice>
    choose_on(worker_index where, const resources& free,
              const std::vector<bool>& is_selected) const;

    /// Returns the cheapest victim with several runs, for example a gang, that
    /// makes room for `tasks` tasks alone, and costs less than `cost`. `among`
    /// is in increasing order; `free` are the resources there.
    [[nodiscard]] std::optional<victim_index>
    find_sufficient_victim(const std::vector<worker_index>& among,
                           const std::vector<resources>& free,
                           std::size_t tasks, double cost) const;

  private:
    [[nodiscard]] resources freed_on(worker_index where,
                                     const victim& what) const;
    /// Number of tasks for which the victim makes room on the workers.
    [[nodiscard]] std::size_t
    count_slots(const victim& what, const std::vector<worker_index>& among,
                const std::vector<resources>& free) const;

    const resource_table& table_;
    const pending_unit& unit_;
    duration longest_wait_;
};

} // namespace dandelioncrank::pool
