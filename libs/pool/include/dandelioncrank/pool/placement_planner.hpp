#pragma once

#include "dandelioncrank/pool/guaranteed_demand.hpp"
#include "dandelioncrank/pool/performance_estimates.hpp"
#include "dandelioncrank/pool/pool_state.hpp"

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace dandelioncrank::pool {

/// The pool owner's observations of one run.
struct run_observation
{
    /// When the start was decided.
    instant started_at_{};
    /// Last reported progress, 0 to 100.
    int progress_percent_ = 0;
    bool is_stopping_ = false;
    /// Since when its worker is known to run it; nothing if it is not.
    std::optional<instant> running_since_ = std::nullopt;
    /// When its worker last listed it, with the progress above.
    std::optional<instant> listed_at_ = std::nullopt;
};

/// Identifies a step of one occurrence of a job.
using step_key = std::tuple<job_id, std::uint32_t, std::uint32_t>;

/// Preemption in favour of a step that is still waiting.
struct clearing
{
    /// When the first run was preempted for it.
    instant since_{};
    /// Core-seconds lost so far by all runs that were preempted for it.
    double lost_work_ = 0;
    /// The rack that is cleared, if the step wants a single one.
    std::string rack_;
};

/// Why a runnable step is still waiting.
enum class wait_reason
{
    /// No worker has enough free resources.
    no_capacity,
    /// Resources are free, but not in a rack where it runs at full speed.
    no_suitable_rack,
    /// The free resources are held back for guarantees.
    reserved_for_guarantees,
    /// Preemption would free the resources but lose too much work.
    preemption_too_costly,
    /// It may crash its worker, and waits for one without other suspects.
    awaits_probation,
};

[[nodiscard]] std::string to_text(wait_reason value);

/// Planner input beyond the replicated state.
struct planner_input
{
    instant now_{};
    /// Wall-clock time, for occurrences with a due time.
    std::int64_t wall_ms_ = 0;
    /// Workers that may get new work, with their number of recent failures.
    std::map<worker_name, int> usable_workers_;
    std::unordered_map<run_ref, run_observation, run_hash> runs_;
    std::map<job_id, instant> accepted_at_;
    /// Steps for which earlier plans have preempted other work.
    std::map<step_key, clearing> clearings_;
    /// Tasks that must not start before a time.
    std::map<task_ref, instant> restart_at_;
    /// Start of the wait of each step that the previous plan left waiting.
    std::map<step_key, instant> waiting_since_;
    /// Weight of the state, in bytes, up to which a job may start several
    /// occurrences at a time.
    std::uint64_t weight_limit_ = std::numeric_limits<std::uint64_t>::max();
    performance_estimates estimates_;
    /// Percentage of the capacity that workers use which are still slow after
    /// their start, as long as others have room.
    std::map<worker_name, int> cold_shares_;
    guaranteed_demand demand_;
    /// Waiting steps that earlier plans have held back for expected guaranteed
    /// work, and since when.
    std::map<step_key, instant> held_since_;
};

/// A run to be stopped in favour of another job.
struct preemption
{
    run_ref run_;
    /// The job that gets the resources.
    job_id for_job_;
    /// Core-seconds lost by all runs that are stopped for the same unit.
    double lost_work_ = 0;
};

/// Runs to start and runs to stop.
struct placement_plan
{
    std::vector<start_run> starts_;
    std::vector<preemption> preemptions_;
    std::map<step_key, clearing> clearings_;
    /// Steps that start away from their data or spread over several racks.
    std::set<step_key> spread_steps_;
    /// Steps whose workers were chosen for their speed, with a description of
    /// these.
    std::map<step_key, std::string> speed_choices_;
    /// Steps with tasks that stay waiting, with the reason.
    std::map<step_key, wait_reason> waits_;
    /// Runs without an end to be stopped, as they are in an evacuated zone and
    /// there is room for them elsewhere.
    std::vector<run_ref> moves_;
    /// The input's, for the steps that go on waiting, and those held back now.
    std::map<step_key, instant> held_since_;
    /// Tasks that start in room which work that is costly to stop leaves to
    /// expected guaranteed work.
    std::uint64_t tasks_backfilled_ = 0;
    /// Core-seconds lost by all preemptions of the plan.
    double preempted_core_seconds_ = 0;
    /// Percentage of idle accelerators that no waiting unit can use.
    double idle_unusable_percent_ = 0;
};

/// Decides which waiting tasks start on which workers and which running tasks
/// are preempted.
///
/// Steps for which work was preempted are placed first for some seconds, so
/// that nothing else takes the cleared resources. Then come jobs within their
/// team's guarantee, then jobs by priority and by whether they can still meet
/// their deadline; within the same rank, small jobs come first. Jobs of
/// priority 0 may preempt work of lower priority; jobs within a guarantee may
/// also preempt priority-0 work that is outside of any. Rack-sensitive work
/// waits for a suitable rack, unless a large part of the pool is idle.
///
/// Work that is suspected of crashing its workers starts where least would be
/// lost, never beside other suspects, and only on a share of a busy pool. Other
/// work keeps away from its workers until its probation is over.
///
/// Where workers differ in speed, jobs of priority 0 take the fastest ones and
/// other jobs the slow ones first; gangs prefer workers of one speed class.
[[nodiscard]] placement_plan make_plan(const pool_state& state,
                                       const planner_input& input);

} // namespace dandelioncrank::pool
