#include "pending_unit.hpp"

#include "dandelioncrank/pool/state_weight.hpp"
#include "job_value.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// Added to the rank of expired jobs, so that they come last.
constexpr int expired_rank_offset = 100;
// Steps for which work is being preempted come first for this long: stops take
// some hundred milliseconds, and several may be needed one after the other.
constexpr duration clearing_hold_time = 3s;
constexpr int clearing_rank = -1;

// Number of occurrences of one job whose first start one plan considers.
constexpr std::size_t max_unstarted_occurrences = 32;

// Priorities above this get the same rank, which stays ahead of expired work.
constexpr int max_ranked_priority = 40;

int rank_of(const pending_unit& unit)
{
    if (unit.is_guaranteed_)
        return 0;
    int priority = std::min(unit.job_->policy().priority_, max_ranked_priority);
    switch (lateness_of(*unit.job_, unit.occurrence_, unit.age_)) {
    case job_lateness::on_time:
        return 2 * priority + 1;
    case job_lateness::late:
        return 2 * priority + 2;
    case job_lateness::expired:
        break;
    }
    return 2 * priority + 3 + expired_rank_offset;
}

void set_rank_and_work(pending_unit& unit, const planner_input& input)
{
    auto accepted = input.accepted_at_.find(unit.job_->spec_.id_);
    if (accepted != input.accepted_at_.end())
        unit.age_ = input.now_ - accepted->second;
    unit.rank_ = rank_of(unit);
    auto cleared = input.clearings_.find(unit.key());
    if (cleared != input.clearings_.end() && unit.may_preempt() &&
        input.now_ - cleared->second.since_ < clearing_hold_time) {
        unit.rank_ = clearing_rank;
        unit.cleared_since_ = cleared->second.since_;
    }
    const step_spec& spec = unit.spec();
    unit.work_ =
        to_seconds(spec.estimate_) * core_equivalents(spec.need_) * spec.count_;
}

bool is_delayed(const pending_unit& base, std::uint32_t index,
                const planner_input& input)
{
    if (input.restart_at_.empty())
        return false;
    auto found = input.restart_at_.find(
        {base.job_->spec_.id_, base.occurrence_, base.step_, index});
    return found != input.restart_at_.end() && found->second > input.now_;
}

/// Appends the waiting units of one step; without a record, nothing of its
/// occurrence has started.
void collect_step(const pending_unit& base, const step_record* step,
                  const planner_input& input, std::vector<pending_unit>& units)
{
    static const task_record unstarted;
    auto suspicion = [step](std::uint32_t task, bool is_whole_gang) {
        return step == nullptr ? nullptr : step->suspicion(task, is_whole_gang);
    };
    bool is_gang = base.spec().is_gang_;
    pending_unit unit = base;
    set_rank_and_work(unit, input);
    // Tasks that are not a gang are placed one by one, but those of the same
    // run number share a unit. Each suspect has a unit of its own, which counts
    // from 1 here.
    std::map<std::pair<std::uint32_t, std::uint32_t>,
             std::vector<std::uint32_t>>
        tasks_by_run;
    for (std::uint32_t i = 0; i < base.spec().count_; ++i) {
        const task_record& task = step == nullptr ? unstarted : step->tasks_[i];
        bool waits = !task.is_done_ && task.worker_.empty();
        // A gang restarts only after the runs of all its tasks have ended.
        if (!waits && is_gang)
            return;
        bool delayed = waits && is_delayed(base, i, input);
        if (delayed && is_gang)
            return;
        if (!waits || delayed)
            continue;
        unit.next_run_ = std::max(unit.next_run_, task.run_ + 1);
        if (is_gang)
            unit.tasks_.push_back(i);
        else
            tasks_by_run[{task.run_ + 1,
                          suspicion(i, false) == nullptr ? 0 : i + 1}]
                .push_back(i);
    }
    if (is_gang) {
        unit.suspicion_ = suspicion(0, true);
        units.push_back(unit);
    }
    for (auto& [key, tasks] : tasks_by_run) {
        unit.next_run_ = key.first;
        unit.suspicion_ = suspicion(tasks.front(), false);
        unit.tasks_ = std::move(tasks);
        units.push_back(unit);
    }
}

void collect_occurrence(const job_record& job, std::uint32_t occurrence,
                        const planner_input& input, bool is_guaranteed,
                        std::vector<pending_unit>& units)
{
    const occurrence_record* record = job.occurrences_.find(occurrence);
    for (std::uint32_t s = 0; s < job.spec_.steps_.size(); ++s) {
        const step_record* step =
            record == nullptr ? nullptr : &record->steps_[s];
        bool is_done = step != nullptr && step->is_done();
        if (is_done || !job.is_ready(occurrence, s))
            continue;
        pending_unit base;
        base.job_ = &job;
        base.occurrence_ = occurrence;
        base.step_ = s;
        base.is_guaranteed_ = is_guaranteed;
        collect_step(base, step, input, units);
    }
}

/// Number of occurrences that are due; they become due in order.
std::uint32_t count_due(const job_record& job, std::int64_t wall_ms)
{
    const job_spec& spec = job.spec_;
    std::uint32_t count = job.occurrence_count();
    if (spec.first_due_ms_ <= 0)
        return count;
    if (spec.first_due_ms_ > wall_ms)
        return 0;
    if (spec.interval_ms_ <= 0)
        return count;
    std::int64_t passed = (wall_ms - spec.first_due_ms_) / spec.interval_ms_;
    return static_cast<std::uint32_t>(
               std::min<std::int64_t>(passed, count - 1)) +
           1;
}

/// Occurrences of a job that have not started are alike, so where the first
/// ones find no room, further ones do not either. Each that starts beside
/// another takes memory beyond what the job counts in advance.
void collect_unstarted(const job_record& job, const planner_input& input,
                       bool is_guaranteed, std::uint64_t& room,
                       std::vector<pending_unit>& units)
{
    bool is_first = job.occurrences_.records().empty();
    for (std::uint32_t number : job.occurrences_.unstarted(
             count_due(job, input.wall_ms_), max_unstarted_occurrences)) {
        std::uint64_t weight = is_first ? 0 : weight_of_occurrence(job.spec_);
        if (weight > room)
            return;
        room -= weight;
        is_first = false;
        collect_occurrence(job, number, input, is_guaranteed, units);
    }
}

} // namespace

// Expired work of priority 0 ranks behind other work, which would take the
// resources that it frees by preemption.
bool pending_unit::may_preempt() const
{
    return job_->policy().priority_ == 0 && rank_ < expired_rank_offset;
}

guarantee_usage compute_guarantee_usage(const pool_state& state)
{
    std::map<team_name, std::vector<const job_record*>> by_team;
    for (const job_id& id : state.active_jobs()) {
        const job_record& job = *state.find_job(id);
        if (job.policy().priority_ == 0 && !job.is_final())
            by_team[job.team_].push_back(&job);
    }
    guarantee_usage result;
    for (const auto& [team, rule] : state.config().teams_) {
        std::int64_t remaining = rule.guaranteed_accelerators_;
        std::vector<const job_record*>& jobs = by_team[team];
        std::sort(jobs.begin(), jobs.end(),
                  [](const job_record* a, const job_record* b) {
                      return std::tie(a->accepted_ms_, a->spec_.id_) <
                             std::tie(b->accepted_ms_, b->spec_.id_);
                  });
        for (const job_record* job : jobs) {
            remaining -= accelerators_of(*job);
            if (remaining >= 0)
                result.jobs_.insert(job->spec_.id_);
        }
        std::int64_t unused = std::max<std::int64_t>(0, remaining);
        result.unused_ += unused;
        result.teams_[team] = {rule.guaranteed_accelerators_ - remaining,
                               unused};
    }
    return result;
}

std::vector<pending_unit> collect_pending(const pool_state& state,
                                          const planner_input& input,
                                          const std::set<job_id>& guaranteed)
{
    std::vector<pending_unit> units;
    std::uint64_t room = input.weight_limit_ > state.weight()
                             ? input.weight_limit_ - state.weight()
                             : 0;
    for (const job_id& id : state.active_jobs()) {
        const job_record& job = *state.find_job(id);
        if (job.is_final())
            continue;
        bool is_guaranteed = guaranteed.contains(id);
        for (const auto& item : job.occurrences_.records())
            collect_occurrence(job, item.first, input, is_guaranteed, units);
        collect_unstarted(job, input, is_guaranteed, room, units);
    }
    std::stable_sort(units.begin(), units.end(),
                     [](const pending_unit& a, const pending_unit& b) {
                         return std::tie(a.rank_, a.cleared_since_, a.work_) <
                                std::tie(b.rank_, b.cleared_since_, b.work_);
                     });
    return units;
}

} // namespace dandelioncrank::pool
