#pragma once

#include "dandelioncrank/pool/placement_planner.hpp"

#include <set>
#include <vector>

namespace dandelioncrank::pool {

/// Tasks that start together: a gang or a single task.
struct pending_unit
{
    const job_record* job_ = nullptr;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;
    std::vector<std::uint32_t> tasks_;
    std::uint32_t next_run_ = 1;
    bool is_guaranteed_ = false;
    /// Lower goes first; see rank_of().
    int rank_ = 0;
    /// Core-seconds of the whole step, as declared.
    double work_ = 0;
    duration age_{};

    [[nodiscard]] const step_spec& spec() const
    {
        return job_->spec_.steps_[step_];
    }
    /// Accelerators that its tasks need together.
    [[nodiscard]] std::int64_t accelerators() const
    {
        return spec().need_.accelerators_ *
               static_cast<std::int64_t>(tasks_.size());
    }
    [[nodiscard]] step_key key() const
    {
        return {job_->spec_.id_, occurrence_, step_};
    }
    /// Whether it may stop the work of others.
    [[nodiscard]] bool may_preempt() const;
};

/// Which jobs are within their team's guarantee.
struct guarantee_usage
{
    std::set<job_id> jobs_;
    /// Accelerators that guarantees promise and no job needs.
    std::int64_t unused_ = 0;
};

/// A team's open jobs of priority 0 are within its guarantee, in the order
/// of their acceptance, as long as all of them together need no more.
[[nodiscard]] guarantee_usage compute_guarantee_usage(const pool_state& state);

/// All units that could start now, in the order in which they are served.
[[nodiscard]] std::vector<pending_unit>
collect_pending(const pool_state& state, const planner_input& input,
                const std::set<job_id>& guaranteed);

} // namespace dandelioncrank::pool
