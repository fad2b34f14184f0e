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

/// How free accelerators are chosen.
enum class placement_policy
{
    /// Fewest workers and racks, tightest fit first.
    best_fit,
    /// Any that fit, in the order of their names (the baseline).
    first_fit
};

/// Finds free accelerators for one gang without preempting anything.
/// Pinned work gets only what no guarantee needs. Workers listed as
/// closed are not used. Looks at a bounded number of candidates.
class placer
{
  public:
    placer(const worker_pool& pool, placement_policy policy);

    /// Workers kept free for another gang.
    void close(std::set<worker_index> workers) { closed_ = std::move(workers); }
    /// Workers that this gang should not go to again.
    void avoid(std::set<worker_index> workers)
    {
        avoided_ = std::move(workers);
    }

    /// Deliberate fault, for tests.
    void ignore_guarantees() { ignores_guarantees_ = true; }

    [[nodiscard]] std::optional<placement_plan> find(const job_spec& job,
                                                     tenure terms) const;

    /// Number of the job's tasks that the worker has room for.
    [[nodiscard]] int tasks_that_fit(const job_spec& job, worker_index index,
                                     tenure terms) const;

  private:
    [[nodiscard]] std::optional<placement_plan>
    in_one_worker(const job_spec& job, tenure terms) const;
    [[nodiscard]] std::optional<placement_plan> in_one_rack(const job_spec& job,
                                                            tenure terms) const;
    [[nodiscard]] std::optional<placement_plan>
    in_many_racks(const job_spec& job, tenure terms) const;
    [[nodiscard]] std::optional<placement_plan>
    first_that_fits(const job_spec& job, tenure terms) const;
    int take_from_rack(const job_spec& job, rack_index rack, int tasks,
                       tenure terms, placement_plan& plan) const;

    const worker_pool& pool_;
    placement_policy policy_;
    std::set<worker_index> closed_;
    std::set<worker_index> avoided_;
    bool ignores_guarantees_ = false;
};

} // namespace dandelioncrank
