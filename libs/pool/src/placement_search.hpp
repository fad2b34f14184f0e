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
    /// Including those that end by themselves.
    std::vector<victim_index> victims_;
    /// Core-seconds lost by the victims.
    double cost_ = 0;
    /// The rack, if the unit is rack-sensitive and placed in a single one.
    std::string rack_;
};

/// Finds placements for one unit at a time in the resources of one plan.
///
/// The table is changed during a search only, and is as before after it.
class placement_search
{
  public:
    placement_search(resource_table& table, const planner_input& input)
        : table_(table), input_(input)
    {
    }

    /// Finds a placement in free resources.
    [[nodiscard]] std::optional<placement> find_free(const pending_unit& unit);
    /// Finds a placement in free resources regardless of racks, for a unit
    /// that has a preferred rack; returns nothing for others.
    [[nodiscard]] std::optional<placement>
    find_free_in_any_rack(const pending_unit& unit);
    /// Whether work may share a worker with suspects, and suspects may return
    /// to a host where they have crashed.
    void set_relaxed(bool is_relaxed) { is_relaxed_ = is_relaxed; }
    /// Whether to use all room of workers that are still slow after their
    /// start.
    void set_uses_cold_room(bool uses) { uses_cold_room_ = uses; }
    /// Finds the placement that loses the least work by preemption.
    [[nodiscard]] std::optional<placement>
    find_with_preemption(const pending_unit& unit);

  private:
    /// What must end on a worker before one more task fits.
    struct fit
    {
        double cost_ = 0;
        resources remaining_;
    };

    struct candidate
    {
        worker_index index_ = 0;
        resources free_;
        std::uint32_t placed_ = 0;
        /// Tasks of the unit that this search places there.
        std::uint32_t taken_ = 0;
        bool is_evaluated_ = false;
        std::optional<fit> fit_;
    };

    /// Returns the rack to which the data of the unit ties it, if it fits.
    [[nodiscard]] std::optional<rack_index>
    data_rack_of(const pending_unit& unit) const;
    [[nodiscard]] std::optional<placement>
    find_free_anywhere(const pending_unit& unit);
    /// Finds workers among those of a speed class, or of any without one, for
    /// as many tasks as possible.
    [[nodiscard]] placement find_for_all(const pending_unit& unit,
                                         service_index service,
                                         std::optional<speed_class> speed);
    [[nodiscard]] std::optional<worker_index>
    find_best_fit(const pending_unit& unit, service_index service,
                  std::optional<speed_class> speed) const;
    /// Finds the best fit among workers that are alike in failures and speed.
    [[nodiscard]] std::optional<worker_index>
    find_among_alike(const pending_unit& unit, service_index service,
                     int failures, speed_class speed) const;
    /// Whether the tasks of a unit advance together, on workers that differ in
    /// speed.
    [[nodiscard]] bool prefers_one_class(const pending_unit& unit) const;
    [[nodiscard]] std::optional<placement>
    find_rack_with_preemption(const pending_unit& unit);
    [[nodiscard]] std::optional<placement>
    find_on(const pending_unit& unit, const std::vector<worker_index>& among,
            bool allow_preemption);
    [[nodiscard]] std::optional<placement>
    select_from(const pending_unit& unit, std::vector<candidate> candidates,
                bool allow_preemption,
                std::optional<victim_index> first_victim);
    [[nodiscard]] std::optional<placement> place_greedily(
        const pending_unit& unit, const std::vector<worker_index>& among,
        bool allow_preemption, std::optional<victim_index> first_victim);
    [[nodiscard]] std::vector<candidate>
    make_candidates(const pending_unit& unit,
                    const std::vector<worker_index>& among,
                    bool allow_preemption) const;
    [[nodiscard]] candidate* find_cheapest(const pending_unit& unit,
                                           std::vector<candidate>& candidates,
                                           bool allow_preemption) const;
    [[nodiscard]] bool is_cheaper(const pending_unit& unit,
                                  const candidate& left,
                                  const candidate& right) const;
    [[nodiscard]] std::optional<fit> evaluate(const pending_unit& unit,
                                              const candidate& where,
                                              bool allow_preemption) const;
    void select_victims(const pending_unit& unit,
                        const std::vector<victim_index>& victims,
                        std::vector<candidate>& candidates, placement& result);
    [[nodiscard]] static candidate*
    find_candidate(std::vector<candidate>& candidates, worker_index where);
    void drop_unneeded(const pending_unit& unit,
                       std::vector<candidate>& candidates, placement& result);
    /// Whether the unit would fit into an otherwise empty rack.
    [[nodiscard]] bool could_fit(const pending_unit& unit,
                                 const rack_resources& rack) const;
    [[nodiscard]] bool could_fit_some_rack(const pending_unit& unit) const;
    [[nodiscard]] static bool is_eligible(const pending_unit& unit,
                                          const worker_resources& where);
    /// Whether the worker may be used now, in view of suspected work.
    [[nodiscard]] bool is_available(const pending_unit& unit,
                                    const worker_resources& where) const;
    [[nodiscard]] static double risk_of(const pending_unit& unit,
                                        const worker_resources& where);
    /// Finds the worker where the crash of a suspected task would lose least.
    [[nodiscard]] std::optional<worker_index>
    find_least_risk(const pending_unit& unit, service_index service) const;
    /// Free resources that may be used now, in view of a slow start.
    [[nodiscard]] resources usable_on(const worker_resources& where) const;
    [[nodiscard]] bool has_room(const pending_unit& unit,
                                worker_index where) const;

    resource_table& table_;
    const planner_input& input_;
    /// Needs for which no worker of a service has enough free resources.
    std::vector<std::pair<service_index, resources>> unplaceable_needs_;
    bool is_relaxed_ = false;
    bool uses_cold_room_ = false;
    /// Victims of the current search.
    std::vector<bool> is_selected_;
};

} // namespace dandelioncrank::pool
