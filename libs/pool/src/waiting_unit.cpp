#include "waiting_unit.hpp"

#include "job_value.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

// Added to the rank of jobs that have nothing left to win.
constexpr int worthless_rank = 100;
// Priorities beyond this are ranked alike, before worthless work.
constexpr int lowest_priority = 40;

int rank_of(const waiting_unit& unit)
{
    if (unit.is_guaranteed_)
        return 0;
    int priority = std::min(unit.job_->queue_.priority_, lowest_priority);
    switch (prospect_of(*unit.job_, unit.occurrence_, unit.age_)) {
    case job_prospect::on_time:
        return 2 * priority + 1;
    case job_prospect::late:
        return 2 * priority + 2;
    case job_prospect::worthless:
        break;
    }
    return 2 * priority + 3 + worthless_rank;
}

void complete(waiting_unit& unit, const planner_view& view)
{
    auto accepted = view.accepted_at_.find(unit.job_->order_.id_);
    if (accepted != view.accepted_at_.end())
        unit.age_ = view.now_ - accepted->second;
    unit.rank_ = rank_of(unit);
    const step_spec& spec = unit.spec();
    unit.work_ =
        to_seconds(spec.estimate_) * cores_of(spec.need_) * spec.count_;
}

/// Appends what waits of one step.
void collect_step(const waiting_unit& base, const step_record& step,
                  const planner_view& view, std::vector<waiting_unit>& units)
{
    bool is_gang = base.spec().is_gang_;
    waiting_unit unit = base;
    complete(unit, view);
    waiting_unit gang = unit;
    for (std::uint32_t i = 0; i < step.tasks_.size(); ++i) {
        const task_record& task = step.tasks_[i];
        bool waits = !task.is_done_ && task.worker_.empty();
        // A gang starts again only once all of its tasks are over.
        if (!waits && is_gang)
            return;
        if (!waits)
            continue;
        if (is_gang) {
            gang.tasks_.push_back(i);
            gang.next_run_ = std::max(gang.next_run_, task.run_ + 1);
            continue;
        }
        unit.tasks_ = {i};
        unit.next_run_ = task.run_ + 1;
        units.push_back(unit);
    }
    if (is_gang)
        units.push_back(std::move(gang));
}

void collect_job(const job_record& job, const planner_view& view,
                 bool is_guaranteed, std::vector<waiting_unit>& units)
{
    for (std::uint32_t k = 0; k < job.occurrences_.size(); ++k) {
        std::int64_t due =
            job.order_.first_due_ms_ + k * job.order_.interval_ms_;
        if (job.order_.first_due_ms_ > 0 && due > view.wall_ms_)
            continue;
        const auto& steps = job.occurrences_[k].steps_;
        for (std::uint32_t s = 0; s < steps.size(); ++s) {
            if (steps[s].is_done() || !job.is_ready(k, s))
                continue;
            waiting_unit base;
            base.job_ = &job;
            base.occurrence_ = k;
            base.step_ = s;
            base.is_guaranteed_ = is_guaranteed;
            collect_step(base, steps[s], view, units);
        }
    }
}

} // namespace

// Work of priority 0 that waits behind others, as it has nothing left to
// win, would lose the room that it clears to them.
bool waiting_unit::goes_first() const
{
    return job_->queue_.priority_ == 0 && rank_ < worthless_rank;
}

guarantee_survey survey_guarantees(const pool_state& state)
{
    std::map<team_name, std::vector<const job_record*>> by_team;
    for (const job_id& id : state.active_jobs()) {
        const job_record& job = *state.find_job(id);
        if (job.queue_.priority_ == 0 && !job.is_final())
            by_team[job.team_].push_back(&job);
    }
    guarantee_survey result;
    for (const auto& [team, rule] : state.config().teams_) {
        std::int64_t rest = rule.guaranteed_accelerators_;
        std::vector<const job_record*>& jobs = by_team[team];
        std::sort(jobs.begin(), jobs.end(),
                  [](const job_record* a, const job_record* b) {
                      return std::tie(a->accepted_ms_, a->order_.id_) <
                             std::tie(b->accepted_ms_, b->order_.id_);
                  });
        for (const job_record* job : jobs) {
            rest -= accelerators_of(*job);
            if (rest >= 0)
                result.jobs_.insert(job->order_.id_);
        }
        result.unused_ += std::max<std::int64_t>(0, rest);
    }
    return result;
}

std::vector<waiting_unit> collect_waiting(const pool_state& state,
                                          const planner_view& view,
                                          const std::set<job_id>& guaranteed)
{
    std::vector<waiting_unit> units;
    for (const job_id& id : state.active_jobs()) {
        const job_record& job = *state.find_job(id);
        if (!job.is_final())
            collect_job(job, view, guaranteed.contains(id), units);
    }
    std::stable_sort(units.begin(), units.end(),
                     [](const waiting_unit& a, const waiting_unit& b) {
                         return std::tie(a.rank_, a.work_) <
                                std::tie(b.rank_, b.work_);
                     });
    return units;
}

} // namespace dandelioncrank::pool
