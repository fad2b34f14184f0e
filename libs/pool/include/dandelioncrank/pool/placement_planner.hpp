#pragma once

#include "dandelioncrank/pool/pool_state.hpp"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace dandelioncrank::pool {

/// What the owner of the pool has seen of one run.
struct run_observation
{
    /// When its order was decided.
    instant started_at_{};
    /// Progress as last reported, 0 to 100.
    int progress_percent_ = 0;
    bool is_stopping_ = false;
};

/// Names a step of one occurrence of a job.
using step_key = std::tuple<job_id, std::uint32_t, std::uint32_t>;

/// Why something that could run waits.
enum class wait_reason
{
    /// No worker has the room.
    no_capacity,
    /// There is room, but not in the racks in which it runs at full speed.
    no_suitable_rack,
    /// What is free is kept for guarantees.
    reserved_for_guarantees,
    /// The room could be cleared, at the loss of too much work.
    preemption_too_costly,
};

[[nodiscard]] std::string to_text(wait_reason value);

/// What is known beside the replicated state when a plan is made.
struct planner_input
{
    instant now_{};
    /// Wall time, for occurrences that are due at a time.
    std::int64_t wall_ms_ = 0;
    /// Workers that may be given work; the value counts recent failures.
    std::map<worker_name, int> usable_workers_;
    std::unordered_map<run_ref, run_observation, run_hash> runs_;
    std::map<job_id, instant> accepted_at_;
    /// Racks that the plan before has begun to clear for a gang.
    std::map<step_key, std::string> cleared_racks_;
    /// Since when each step that the plan before left waiting waits.
    std::map<step_key, instant> waiting_since_;
};

/// A run that gives way.
struct preemption
{
    run_ref run_;
    /// The job that is to have the room.
    job_id for_job_;
    /// Core-seconds that are lost with everything that ends for it.
    double lost_work_ = 0;
};

/// What to start and what to stop now.
struct placement_plan
{
    std::vector<start_run> starts_;
    std::vector<preemption> preemptions_;
    std::map<step_key, std::string> cleared_racks_;
    /// Steps that begin away from their data or over several racks.
    std::set<step_key> spread_steps_;
    /// Steps of which something stays waiting.
    std::map<step_key, wait_reason> waits_;
};

/// Decides which waiting tasks start where, and which running ones give way.
///
/// Order: jobs within their team's guarantee, then by priority and by whether
/// they can still be on time, small ones first. Jobs of priority 0 may stop
/// work of lower priority; jobs within a guarantee also work of priority 0
/// beyond one. Work that runs faster in one rack waits for it, but not while
/// much of the pool is idle.
[[nodiscard]] placement_plan make_plan(const pool_state& state,
                                       const planner_input& input);

} // namespace dandelioncrank::pool
