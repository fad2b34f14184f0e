#include "dandelioncrank/pool/placement_planner.hpp"

#include "placement_search.hpp"
#include "room_table.hpp"
#include "waiting_unit.hpp"

#include <algorithm>
#include <array>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// Work of others that may be lost for each unit of work that begins at once:
// urgent work is worth several times as much for each core-second.
constexpr double max_lost_per_work = 2.0;
// A guaranteed job waits so long for room that costs less; the rest of the
// time to reclaim is for the stops.
constexpr duration patience = 900ms;
// Share of the unused guarantees that work without urgency leaves free, in
// percent, by priority from 1 on: an urgent job that finds room begins a
// stop's time earlier, and nothing is thrown away for it.
constexpr std::array<std::int64_t, 2> headroom_percent = {5, 20};
// What runs slower over several racks waits so long for one before it takes
// idle room anywhere: stops and short tasks clear a rack within that time.
constexpr duration rack_patience = 1500ms;
// Share of the accelerators that is free when work may run slower than it
// could, or into what is kept free, in percent: the room is then nobody
// else's. Below the half at which work that waits counts as forgotten.
constexpr std::int64_t idle_percent = 40;

/// Makes one plan.
class plan_maker
{
  public:
    plan_maker(const pool_state& state, const planner_view& view)
        : state_(state), view_(view), guarantees_(survey_guarantees(state)),
          rooms_(state, view, guarantees_.jobs_), search_(rooms_, view)
    {
    }

    placement_plan make()
    {
        for (const waiting_unit& unit :
             collect_waiting(state_, view_, guarantees_.jobs_))
            serve(unit);
        return std::move(plan_);
    }

  private:
    void serve(const waiting_unit& unit)
    {
        // What one task of a step did not find, its equals do not find
        // either.
        bool is_single = unit.tasks_.size() == 1;
        if (is_single && full_steps_.contains(unit.key()))
            return;
        if (!leaves_headroom(unit)) {
            bool has_room = rooms_.free_accelerators() >= unit.accelerators();
            plan_.waits_[unit.key()] =
                has_room ? wait_reason::kept_free : wait_reason::no_room;
            return;
        }
        if (auto where = search_.find_free(unit)) {
            start(unit, *where);
            return;
        }
        if (auto where = search_.find_free_anywhere(unit)) {
            plan_.waits_[unit.key()] = wait_reason::no_rack;
            if (may_spread(unit)) {
                start(unit, *where);
                plan_.spread_steps_.insert(unit.key());
                return;
            }
        } else {
            plan_.waits_[unit.key()] = wait_reason::no_room;
        }
        if (is_single)
            full_steps_.insert(unit.key());
        if (unit.goes_first())
            make_room(unit);
    }

    [[nodiscard]] bool may_spread(const waiting_unit& unit) const
    {
        auto since = view_.waiting_since_.find(unit.key());
        if (since == view_.waiting_since_.end() ||
            view_.now_ - since->second < rack_patience)
            return false;
        return is_much_idle();
    }

    [[nodiscard]] bool is_much_idle() const
    {
        return rooms_.free_accelerators() * 100 >=
               rooms_.all_accelerators() * idle_percent;
    }

    [[nodiscard]] bool leaves_headroom(const waiting_unit& unit) const
    {
        int priority = unit.job_->queue_.priority_;
        std::int64_t need = unit.accelerators();
        // Guarantees may add up to more than the workers that are left.
        if (priority <= 0 || need == 0 || is_much_idle())
            return true;
        auto level = std::min<std::size_t>(static_cast<std::size_t>(priority),
                                           headroom_percent.size());
        std::int64_t headroom =
            guarantees_.unused_ * headroom_percent[level - 1] / 100;
        return rooms_.free_accelerators() - need >= headroom;
    }

    [[nodiscard]] static bool pays_off(const waiting_unit& unit,
                                       const placement& where)
    {
        bool is_due = unit.is_guaranteed_ && unit.age_ >= patience;
        return is_due || where.cost_ <= max_lost_per_work * unit.work_;
    }

    void start(const waiting_unit& unit, const placement& where)
    {
        start_run order{unit.job_->order_.id_,
                        unit.occurrence_,
                        unit.step_,
                        unit.next_run_,
                        {}};
        for (std::size_t n = 0; n < unit.tasks_.size(); ++n) {
            const worker_info& info = *rooms_.rooms()[where.rooms_[n]].info_;
            order.places_.push_back({unit.tasks_[n], info.name_, info.life_});
            rooms_.take(where.rooms_[n], unit.spec().need_, unit.key());
        }
        plan_.starts_.push_back(std::move(order));
    }

    void make_room(const waiting_unit& unit)
    {
        auto where = search_.find_by_stopping(unit);
        if (where && pays_off(unit, *where))
            stop_for(unit, *where);
        else if (where)
            plan_.waits_[unit.key()] = wait_reason::too_dear;
    }

    /// Stops what is in the way and keeps the room: what the victims leave
    /// over is nobody's before they have ended.
    void stop_for(const waiting_unit& unit, const placement& where)
    {
        for (victim_index index : where.victims_) {
            const victim& item = rooms_.victim_at(index);
            for (const victim::member& member : item.members_) {
                if (!item.is_ending_)
                    plan_.stops_.push_back(
                        {member.run_, unit.job_->order_.id_, where.cost_});
            }
            rooms_.release(index);
        }
        for (room_index index : where.rooms_)
            rooms_.reserve(index, unit.spec().need_, unit.key());
        if (!where.rack_.empty())
            plan_.cleared_racks_[unit.key()] = where.rack_;
    }

    const pool_state& state_;
    const planner_view& view_;
    guarantee_survey guarantees_;
    room_table rooms_;
    placement_search search_;
    std::set<step_key> full_steps_;
    placement_plan plan_;
};

} // namespace

std::string to_text(wait_reason value)
{
    switch (value) {
    case wait_reason::no_room:
        return "no worker has the room";
    case wait_reason::no_rack:
        return "no rack that suits it has the room";
    case wait_reason::kept_free:
        return "what is free is kept for guarantees";
    case wait_reason::too_dear:
        break;
    }
    return "to clear room would lose too much work";
}

placement_plan make_plan(const pool_state& state, const planner_view& view)
{
    return plan_maker(state, view).make();
}

} // namespace dandelioncrank::pool
