#include "evacuation_moves.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

// Number of runs that are stopped at a time: their callers are without them
// until they have started elsewhere. A gang moves alone if it is larger.
constexpr std::size_t max_moving_runs = 4;
// Number of moves that one plan tries to find room for.
constexpr std::size_t max_candidates = 32;

/// Collects the moves of one step without an end.
class step_moves
{
  public:
    step_moves(const pool_state& state, const planner_input& input,
               evacuation_moves& result)
        : state_(state), input_(input), result_(result)
    {
    }

    void collect(const pending_unit& base, const step_record& step)
    {
        evacuation_move gang{base, {}};
        bool is_gang_in_zone = false;
        bool is_gang_settled = true;
        for (std::uint32_t i = 0; i < step.tasks_.size(); ++i) {
            const task_record& task = step.tasks_[i];
            run_ref run{{base.job_->spec_.id_, base.occurrence_, base.step_, i},
                        task.run_};
            bool is_in_zone = is_evacuated(task);
            bool is_settled =
                !task.worker_.empty() && may_stop(run, is_in_zone);
            if (base.spec().is_gang_) {
                add(gang, run);
                is_gang_in_zone = is_gang_in_zone || is_in_zone;
                is_gang_settled = is_gang_settled && is_settled;
            } else if (is_in_zone && is_settled) {
                evacuation_move single{base, {}};
                add(single, run);
                keep(std::move(single));
            }
        }
        if (is_gang_in_zone && is_gang_settled)
            keep(std::move(gang));
    }

  private:
    [[nodiscard]] bool is_evacuated(const task_record& task) const
    {
        auto worker = state_.workers().find(task.worker_);
        return worker != state_.workers().end() &&
               state_.is_evacuated(worker->second.info_.zone_);
    }

    /// Whether a run is under way and not being stopped; counts it otherwise.
    [[nodiscard]] bool may_stop(const run_ref& run, bool is_in_zone)
    {
        auto seen = input_.runs_.find(run);
        if (seen == input_.runs_.end())
            return false;
        if (seen->second.is_stopping_)
            result_.moving_ += is_in_zone ? 1 : 0;
        return !seen->second.is_stopping_ &&
               seen->second.running_since_.has_value();
    }

    void add(evacuation_move& move, const run_ref& run) const
    {
        move.runs_.push_back(run);
        move.unit_.tasks_.push_back(run.task_.index_);
        move.unit_.next_run_ = std::max(move.unit_.next_run_, run.run_ + 1);
        move.unit_.suspicion_ = state_.suspicion_of(run.task_);
    }

    void keep(evacuation_move move)
    {
        if (result_.candidates_.size() < max_candidates)
            result_.candidates_.push_back(std::move(move));
    }

    const pool_state& state_;
    const planner_input& input_;
    evacuation_moves& result_;
};

} // namespace

bool evacuation_moves::has_room_for(const evacuation_move& item) const
{
    return moving_ == 0 || moving_ + item.runs_.size() <= max_moving_runs;
}

evacuation_moves collect_evacuation_moves(const pool_state& state,
                                          const planner_input& input,
                                          const std::set<job_id>& guaranteed)
{
    evacuation_moves result;
    if (state.evacuated_zones().empty())
        return result;
    step_moves moves(state, input, result);
    for (const job_id& id : state.active_jobs()) {
        const job_record& job = *state.find_job(id);
        if (job.is_final())
            continue;
        for (const auto& [number, occurrence] : job.occurrences_.records()) {
            for (std::uint32_t s = 0; s < occurrence.steps_.size(); ++s) {
                if (!job.spec_.steps_[s].is_long_running_)
                    continue;
                pending_unit base;
                base.job_ = &job;
                base.occurrence_ = number;
                base.step_ = s;
                base.is_guaranteed_ = guaranteed.contains(id);
                moves.collect(base, occurrence.steps_[s]);
            }
        }
    }
    return result;
}

} // namespace dandelioncrank::pool
