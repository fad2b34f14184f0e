#pragma once

#include "pending_unit.hpp"
#include "resource_table.hpp"

#include <optional>
#include <string>
#include <vector>

namespace dandelioncrank::pool {

/// Workers for the tasks of a unit, and the victims that must end first.
struct placement
{
    /// One worker for each task of the unit, in task order.
    std::vector<worker_index> workers_;
    std::vector<victim_index> victims_;
    /// Core-seconds lost by the victims.
    double cost_ = 0;
    /// Accelerators free in the rack before the placement; fewer is better.
    std::int64_t rack_free_ = 0;
    /// The rack, if the unit is rack-sensitive and placed in a single one.
    std::string rack_;
};

/// Finds placements for one unit at a time in the resources of one plan.
class placement_search
{
  public:
    placement_search(const resource_table& table, const planner_input& input)
        : table_(table), input_(input)
    {
    }

    /// Finds a placement in free resources.
    [[nodiscard]] std::optional<placement>
    find_free(const pending_unit& unit) const;
    /// Finds a placement in free resources regardless of racks, for a unit
    /// that has a preferred rack; returns nothing for others.
    [[nodiscard]] std::optional<placement>
    find_free_in_any_rack(const pending_unit& unit) const;
    /// Finds the placement that loses the least work by preemption.
    [[nodiscard]] std::optional<placement>
    find_with_preemption(const pending_unit& unit) const;

  private:
    struct candidate
    {
        worker_index index_ = 0;
        resources free_;
        std::uint32_t placed_ = 0;
    };

    struct fit
    {
        candidate* where_ = nullptr;
        double cost_ = 0;
        resources remaining_;
    };

    [[nodiscard]] std::optional<placement> find(const pending_unit& unit,
                                                bool allow_preemption) const;
    [[nodiscard]] std::optional<placement>
    find_on(const pending_unit& unit, const std::vector<worker_index>& among,
            bool allow_preemption) const;
    [[nodiscard]] std::optional<fit>
    evaluate(const pending_unit& unit, candidate& where, bool allow_preemption,
             const std::vector<victim_index>& chosen,
             std::vector<victim_index>* victims) const;
    [[nodiscard]] bool could_fit(const pending_unit& unit,
                                 const std::vector<worker_index>& rack) const;
    [[nodiscard]] static bool is_eligible(const pending_unit& unit,
                                          const worker_resources& where);
    [[nodiscard]] static bool can_preempt(const pending_unit& unit,
                                          const victim& what);

    const resource_table& table_;
    const planner_input& input_;
};

} // namespace dandelioncrank::pool
