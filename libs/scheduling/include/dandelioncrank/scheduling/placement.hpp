#pragma once

#include "dandelioncrank/scheduling/worker_pool.hpp"

#include <optional>
#include <vector>

namespace dandelioncrank {

/// Number of a gang's tasks on one worker.
struct planned_part
{
    worker_index worker_ = 0;
    int tasks_ = 0;
};

using placement_plan = std::vector<planned_part>;

/// How free accelerators are selected.
enum class placement_policy
{
    /// As few workers and racks as possible, tightest fit first.
    best_fit,
    /// The first that fit, in index order; baseline of the benchmarks.
    first_fit
};

/// Finds free accelerators for one gang without preemption. Pinned gangs get
/// only accelerators that no guarantee reserves. The best-fit search within
/// one worker or rack examines a bounded number of candidates.
class placement_finder
{
  public:
    placement_finder(const worker_pool& pool, placement_policy policy);

    /// Workers that are reserved for another gang and must not be used.
    void exclude(std::set<worker_index> workers)
    {
        excluded_ = std::move(workers);
    }
    /// Workers on which the job has failed and that must not be used.
    void avoid(std::set<worker_index> workers)
    {
        avoided_ = std::move(workers);
    }

    /// Injected fault, for tests only.
    void ignore_guarantees() { ignores_guarantees_ = true; }

    [[nodiscard]] std::optional<placement_plan>
    find(const job_spec& job, allocation_class allocation) const;

    /// Number of the job's tasks that fit on the worker now.
    [[nodiscard]] int tasks_that_fit(const job_spec& job, worker_index index,
                                     allocation_class allocation) const;

  private:
    [[nodiscard]] std::optional<placement_plan>
    in_one_worker(const job_spec& job, allocation_class allocation) const;
    [[nodiscard]] std::optional<placement_plan>
    in_one_rack(const job_spec& job, allocation_class allocation) const;
    [[nodiscard]] std::optional<placement_plan>
    in_many_racks(const job_spec& job, allocation_class allocation) const;
    [[nodiscard]] std::optional<placement_plan>
    first_that_fits(const job_spec& job, allocation_class allocation) const;
    int assign_in_rack(const job_spec& job, rack_index rack, int tasks,
                       allocation_class allocation, placement_plan& plan) const;

    const worker_pool& pool_;
    placement_policy policy_;
    std::set<worker_index> excluded_;
    std::set<worker_index> avoided_;
    bool ignores_guarantees_ = false;
};

} // namespace dandelioncrank
