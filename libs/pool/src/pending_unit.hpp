#pragma once

#include "dandelioncrank/pool/placement_planner.hpp"

#include <set>
#include <vector>

namespace dandelioncrank::pool {

/// Waiting tasks of a step that get the same run number: all tasks of a gang,
/// which are placed together, or tasks that are placed one by one.
struct pending_unit
{
    const job_record* job_ = nullptr;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;
    std::vector<std::uint32_t> tasks_;
    std::uint32_t next_run_ = 1;
    bool is_guaranteed_ = false;
    /// Why it may crash the workers that it runs on; null if it is no suspect.
    const loss_record* suspicion_ = nullptr;
    /// Lower ranks are placed first; see rank_of().
    int rank_ = 0;
    /// When other work was first preempted for it, while that ranks it first.
    instant cleared_since_{};
    /// Declared work of the whole step, in core-seconds.
    double work_ = 0;
    duration age_{};

    [[nodiscard]] const step_spec& spec() const
    {
        return job_->spec_.steps_[step_];
    }
    /// Total accelerators required by its tasks.
    [[nodiscard]] std::int64_t accelerators() const
    {
        return spec().need_.accelerators_ *
               static_cast<std::int64_t>(tasks_.size());
    }
    [[nodiscard]] bool is_suspect() const { return suspicion_ != nullptr; }
    [[nodiscard]] step_key key() const
    {
        return {job_->spec_.id_, occurrence_, step_};
    }
    /// Whether it may preempt other work.
    [[nodiscard]] bool may_preempt() const;
};

/// Jobs within their team's guarantee, and what the guarantees leave unused.
struct guarantee_usage
{
    std::set<job_id> jobs_;
    struct team_usage
    {
        /// Accelerators of its open jobs of priority 0.
        std::int64_t used_ = 0;
        std::int64_t unused_ = 0;
    };

    /// Guaranteed accelerators that no job needs.
    std::int64_t unused_ = 0;
    std::map<team_name, team_usage> teams_;
};

/// A team's open jobs of priority 0 count against its guarantee in order of
/// acceptance; a job is within the guarantee while the sum does not exceed it.
[[nodiscard]] guarantee_usage compute_guarantee_usage(const pool_state& state);

/// Returns all units that could start now, in placement order.
[[nodiscard]] std::vector<pending_unit>
collect_pending(const pool_state& state, const planner_input& input,
                const std::set<job_id>& guaranteed);

} // namespace dandelioncrank::pool
