#pragma once

#include "room_table.hpp"
#include "waiting_unit.hpp"

#include <optional>
#include <string>
#include <vector>

namespace dandelioncrank::pool {

/// Where the tasks of a unit go, and what has to end first.
struct placement
{
    /// One for each task of the unit, in order.
    std::vector<room_index> rooms_;
    std::vector<victim_index> victims_;
    /// Core-seconds that the victims lose.
    double cost_ = 0;
    /// Accelerators that stay free around it; less is better.
    std::int64_t left_free_ = 0;
    /// The rack, if the unit wants a single one.
    std::string rack_;
};

/// Finds places for one unit after another in the rooms of one plan.
class placement_search
{
  public:
    placement_search(const room_table& rooms, const planner_view& view)
        : rooms_(rooms), view_(view)
    {
    }

    /// A place in what is free now.
    [[nodiscard]] std::optional<placement>
    find_free(const waiting_unit& unit) const;
    /// A place in what is free, in any rack, for a unit that would run faster
    /// in some; nothing for others.
    [[nodiscard]] std::optional<placement>
    find_free_anywhere(const waiting_unit& unit) const;
    /// The place that loses least work of others.
    [[nodiscard]] std::optional<placement>
    find_by_stopping(const waiting_unit& unit) const;

  private:
    struct candidate
    {
        room_index index_ = 0;
        resources free_;
        std::uint32_t placed_ = 0;
    };

    struct offer
    {
        candidate* where_ = nullptr;
        double cost_ = 0;
        resources left_;
    };

    [[nodiscard]] std::optional<placement> find(const waiting_unit& unit,
                                                bool may_stop) const;
    [[nodiscard]] std::optional<placement>
    find_among(const waiting_unit& unit, const std::vector<room_index>& among,
               bool may_stop) const;
    [[nodiscard]] std::optional<offer>
    make_offer(const waiting_unit& unit, candidate& where, bool may_stop,
               const std::vector<victim_index>& chosen,
               std::vector<victim_index>* victims) const;
    [[nodiscard]] bool could_hold(const waiting_unit& unit,
                                  const std::vector<room_index>& rack) const;
    [[nodiscard]] static bool is_eligible(const waiting_unit& unit,
                                          const room& where);
    [[nodiscard]] static bool may_stop(const waiting_unit& unit,
                                       const victim& what);

    const room_table& rooms_;
    const planner_view& view_;
};

} // namespace dandelioncrank::pool
