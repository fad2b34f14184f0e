#include "dandelioncrank/pool/placement_planner.hpp"

#include "evacuation_moves.hpp"
#include "guarantee_forecast.hpp"
#include "idle_capacity.hpp"
#include "job_value.hpp"
#include "pending_unit.hpp"
#include "placement_search.hpp"
#include "resource_table.hpp"
#include "victim_selection.hpp"

#include <algorithm>
#include <array>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// Work that preemption may lose for each unit of work that it lets start:
// urgent work is worth several times as much per core-second.
constexpr double max_lost_per_gained_work = 2.0;
// How long a guaranteed job waits for cheaper resources before it preempts at
// any cost; the rest of the time to reclaim is needed for the stops.
constexpr duration guarantee_grace_time = 900ms;
// Percentage of the unused guarantees that non-urgent work leaves free, by
// priority from 1 up: an urgent job that finds free resources starts without
// waiting for stops, and no work is lost.
constexpr std::array<std::int64_t, 2> headroom_percent = {5, 20};
// How long rack-sensitive work waits for a suitable rack before it may use idle
// resources anywhere: stops and short tasks clear a rack within that time.
constexpr duration rack_wait_time = 1500ms;
// Percentage of free accelerators from which work may be spread over racks or
// use the headroom kept for guarantees, as no other work needs the resources.
// It is below the 50 % from which waiting work counts as forgotten.
constexpr std::int64_t underused_percent = 40;

// How long work that is costly to stop waits for expected guaranteed work,
// from when it could have started.
constexpr duration forecast_wait_time = 5s;
// Percentage of the workers of a busy pool that may run suspected work.
constexpr std::size_t max_suspect_percent = 10;
// How long work waits for a worker without suspects while much is idle.
constexpr duration suspect_wait_time = 1500ms;

/// Computes one plan.
class planning_pass
{
  public:
    planning_pass(const pool_state& state, const planner_input& input)
        : state_(state), input_(input),
          guarantees_(compute_guarantee_usage(state)),
          expected_need_(expected_need(input.demand_, guarantees_)),
          table_(state, input, guarantees_.jobs_), search_(table_, input)
    {
    }

    placement_plan make()
    {
        std::vector<pending_unit> units =
            collect_pending(state_, input_, guarantees_.jobs_);
        for (const pending_unit& unit : units)
            place_unit(unit);
        plan_moves();
        std::vector<const pending_unit*> waiting;
        for (const pending_unit& unit : units) {
            if (plan_.waits_.contains(unit.key()))
                waiting.push_back(&unit);
        }
        plan_.idle_unusable_percent_ = percent_unusable(table_, waiting);
        return std::move(plan_);
    }

  private:
    void place_unit(const pending_unit& unit)
    {
        if (unit.spec().is_gang_) {
            if (auto where = place_together(unit)) {
                note_speed(unit, where->workers_);
                plan_.starts_.push_back(make_start(unit, *where));
            }
            return;
        }
        place_one_by_one(unit);
    }

    /// Moves get what the waiting work has left.
    void plan_moves()
    {
        evacuation_moves moves =
            collect_evacuation_moves(state_, input_, guarantees_.jobs_);
        for (const evacuation_move& item : moves.candidates_) {
            if (!moves.has_room_for(item) || !leaves_headroom(item.unit_))
                continue;
            search_.set_uses_cold_room(false);
            auto where = search_.find_free(item.unit_);
            if (!where)
                continue;
            for (worker_index index : where->workers_)
                table_.allocate(index, item.unit_);
            plan_.moves_.insert(plan_.moves_.end(), item.runs_.begin(),
                                item.runs_.end());
            moves.moving_ += item.runs_.size();
        }
    }

    void place_one_by_one(const pending_unit& unit)
    {
        pending_unit single = unit;
        start_run command = make_start(unit, {});
        std::vector<worker_index> workers;
        for (std::uint32_t index : unit.tasks_) {
            single.tasks_ = {index};
            auto where = place_together(single);
            // The other tasks of the step will not find a placement either.
            if (!where)
                break;
            start_run start = make_start(single, *where);
            command.assignments_.push_back(start.assignments_.front());
            workers.push_back(where->workers_.front());
        }
        if (command.assignments_.empty())
            return;
        note_speed(unit, workers);
        plan_.starts_.push_back(std::move(command));
    }

    /// Notes the workers of a unit if all are of the class that it prefers.
    void note_speed(const pending_unit& unit,
                    const std::vector<worker_index>& workers)
    {
        if (!table_.has_speed_classes())
            return;
        speed_class preferred =
            table_.preferred_class(unit.job_->policy().priority_);
        if (std::all_of(workers.begin(), workers.end(),
                        [&](worker_index where) {
                            return table_.workers()[where].speed_ == preferred;
                        }))
            plan_.speed_choices_[unit.key()] = to_text(preferred) + " workers";
    }

    /// Allocates resources for all tasks of a unit. If there are none, notes
    /// why it waits and may preempt other work.
    std::optional<placement> place_together(const pending_unit& unit)
    {
        auto held = input_.held_since_.find(unit.key());
        if (held != input_.held_since_.end())
            plan_.held_since_.insert(*held);
        bool is_backfill = takes_expected_room(unit);
        bool is_held = is_backfill && yields(unit);
        if (!leaves_headroom(unit) || is_held) {
            bool has_capacity =
                table_.free_accelerators() >= unit.accelerators();
            plan_.waits_[unit.key()] =
                has_capacity ? wait_reason::reserved_for_guarantees
                             : wait_reason::no_capacity;
            if (is_held && has_capacity)
                plan_.held_since_.emplace(unit.key(), input_.now_);
            return std::nullopt;
        }
        if (unit.is_suspect() && !leaves_room_beside_suspects(unit)) {
            plan_.waits_[unit.key()] = wait_reason::awaits_probation;
            return std::nullopt;
        }
        search_.set_uses_cold_room(false);
        auto where = search_.find_free(unit);
        if (!where && table_.has_cold_workers()) {
            search_.set_uses_cold_room(true);
            where = search_.find_free(unit);
        }
        if (!where && may_relax(unit)) {
            search_.set_relaxed(true);
            where = search_.find_free(unit);
            search_.set_relaxed(false);
        }
        if (!where) {
            where = search_.find_free_in_any_rack(unit);
            plan_.waits_[unit.key()] = where ? wait_reason::no_suitable_rack
                                             : wait_reason::no_capacity;
            if (where && may_spread_over_racks(unit)) {
                plan_.spread_steps_.insert(unit.key());
            } else {
                auto earlier = input_.clearings_.find(unit.key());
                if (earlier != input_.clearings_.end())
                    plan_.clearings_.insert(*earlier);
                if (unit.may_preempt())
                    try_preemption(unit);
                return std::nullopt;
            }
        }
        for (worker_index index : where->workers_) {
            table_.allocate(index, unit);
            table_.note_start(index, unit);
        }
        if (is_backfill)
            plan_.tasks_backfilled_ += unit.tasks_.size();
        plan_.held_since_.erase(unit.key());
        return where;
    }

    /// Suspects take a small share of a busy pool from other work.
    [[nodiscard]] bool
    leaves_room_beside_suspects(const pending_unit& unit) const
    {
        std::size_t after = table_.suspect_workers() + unit.tasks_.size();
        return table_.suspect_workers() == 0 || is_underused() ||
               after * 100 <= table_.workers().size() * max_suspect_percent;
    }

    /// Guaranteed work is due at once, and no work keeps away from suspects for
    /// long while a large part of the pool is idle.
    [[nodiscard]] bool may_relax(const pending_unit& unit) const
    {
        if (unit.is_suspect())
            return has_waited(unit, suspect_wait_time);
        if (table_.suspect_workers() == 0)
            return false;
        return unit.is_guaranteed_ ||
               (has_waited(unit, suspect_wait_time) && is_underused());
    }

    [[nodiscard]] bool has_waited(const pending_unit& unit, duration time) const
    {
        auto since = input_.waiting_since_.find(unit.key());
        return since != input_.waiting_since_.end() &&
               input_.now_ - since->second >= time;
    }

    [[nodiscard]] bool may_spread_over_racks(const pending_unit& unit) const
    {
        return has_waited(unit, rack_wait_time) && is_underused();
    }

    [[nodiscard]] bool is_underused() const
    {
        return table_.free_accelerators() * 100 >=
               table_.total_accelerators() * underused_percent;
    }

    [[nodiscard]] bool leaves_headroom(const pending_unit& unit) const
    {
        int priority = unit.job_->policy().priority_;
        std::int64_t need = unit.accelerators();
        // Guarantees may exceed the capacity of the remaining workers, so an
        // underused pool takes the work regardless.
        if (priority <= 0 || need == 0 || is_underused())
            return true;
        auto level = std::min<std::size_t>(static_cast<std::size_t>(priority),
                                           headroom_percent.size());
        std::int64_t headroom =
            guarantees_.unused_ * headroom_percent[level - 1] / 100;
        return table_.free_accelerators() - need >= headroom;
    }

    /// Whether non-urgent work uses room that guaranteed work is expected to
    /// need.
    [[nodiscard]] bool takes_expected_room(const pending_unit& unit) const
    {
        std::int64_t need = unit.accelerators();
        return unit.job_->policy().priority_ > 0 && need > 0 &&
               expected_need_ > 0 && !is_underused() &&
               table_.free_accelerators() - need < expected_need_;
    }

    [[nodiscard]] bool has_been_held(const pending_unit& unit) const
    {
        auto since = input_.held_since_.find(unit.key());
        return since != input_.held_since_.end() &&
               input_.now_ - since->second >= forecast_wait_time;
    }

    /// Whether work is held back for guaranteed work that is expected, which
    /// would stop it at a high cost. Late work is not, and none is for long.
    [[nodiscard]] bool yields(const pending_unit& unit) const
    {
        const step_spec& spec = unit.spec();
        if (!spec.is_gang_ || spec.supports_checkpoints_ || has_been_held(unit))
            return false;
        bool ends_in_time = input_.estimates_.run_time_of(*unit.job_, spec) <=
                            input_.demand_.arrival_interval_;
        return !ends_in_time && lateness_of(*unit.job_, unit.occurrence_,
                                            unit.age_) == job_lateness::on_time;
    }

    /// The work lost by earlier plans counts as well: otherwise a unit whose
    /// cleared resources get lost again would stop work without a limit.
    [[nodiscard]] bool is_worthwhile(const pending_unit& unit,
                                     const placement& where) const
    {
        bool is_due = unit.is_guaranteed_ && unit.age_ >= guarantee_grace_time;
        auto earlier = input_.clearings_.find(unit.key());
        double lost = where.cost_;
        if (earlier != input_.clearings_.end() && where.cost_ > 0)
            lost += earlier->second.lost_work_;
        return is_due || lost <= max_lost_per_gained_work * unit.work_;
    }

    [[nodiscard]] start_run make_start(const pending_unit& unit,
                                       const placement& where) const
    {
        start_run command{unit.job_->spec_.id_,
                          unit.occurrence_,
                          unit.step_,
                          unit.next_run_,
                          {}};
        for (std::size_t n = 0; n < where.workers_.size(); ++n) {
            const worker_info& info =
                *table_.workers()[where.workers_[n]].info_;
            command.assignments_.push_back(
                {unit.tasks_[n], info.name_, info.incarnation_});
        }
        return command;
    }

    void try_preemption(const pending_unit& unit)
    {
        auto where = search_.find_with_preemption(unit);
        if (where && is_worthwhile(unit, *where))
            preempt(unit, *where);
        else if (where)
            plan_.waits_[unit.key()] = wait_reason::preemption_too_costly;
    }

    /// Stops the victims that do not end by themselves, and reserves their
    /// resources for the unit. What is left over is not available until they
    /// have ended.
    void preempt(const pending_unit& unit, const placement& where)
    {
        victim_selection selection(table_, unit);
        bool is_clearing = where.victims_.empty();
        for (victim_index index : where.victims_) {
            const victim& item = table_.victim_at(index);
            bool is_stopped = !selection.ends_by_itself(item);
            is_clearing = is_clearing || is_stopped || item.is_ending_;
            for (const victim::member& member : item.members_) {
                if (is_stopped)
                    plan_.preemptions_.push_back(
                        {member.run_, unit.job_->spec_.id_, where.cost_});
            }
            table_.mark_releasing(index);
        }
        for (worker_index index : where.workers_)
            table_.reserve(index, unit);
        plan_.preempted_core_seconds_ += where.cost_;
        // Work that only waits for other runs to end keeps its rank.
        if (!is_clearing)
            return;
        clearing& entry = plan_.clearings_[unit.key()];
        if (entry.lost_work_ == 0)
            entry.since_ = input_.now_;
        entry.lost_work_ += where.cost_;
        entry.rack_ = where.rack_;
    }

    const pool_state& state_;
    const planner_input& input_;
    guarantee_usage guarantees_;
    /// Accelerators that guaranteed work will need soon.
    std::int64_t expected_need_;
    resource_table table_;
    placement_search search_;
    placement_plan plan_;
};

} // namespace

std::string to_text(wait_reason value)
{
    switch (value) {
    case wait_reason::no_capacity:
        return "no worker has enough free resources";
    case wait_reason::no_suitable_rack:
        return "no suitable rack has enough free resources";
    case wait_reason::reserved_for_guarantees:
        return "free resources are held back for guarantees";
    case wait_reason::preemption_too_costly:
        return "preemption would lose too much work";
    case wait_reason::awaits_probation:
        break;
    }
    return "it is suspected of crashing its workers, and others are tried "
           "first";
}

placement_plan make_plan(const pool_state& state, const planner_input& input)
{
    return planning_pass(state, input).make();
}

} // namespace dandelioncrank::pool
