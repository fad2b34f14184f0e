#include "dandelioncrank/scheduling/placement.hpp"

#include <algorithm>
#include <limits>

namespace dandelioncrank {

namespace {

// Candidates that are compared before the best of them is used.
constexpr int max_workers_per_search = 24;
constexpr int max_racks_per_search = 24;

int units_that_fit(int amount, int each)
{
    return each <= 0 ? std::numeric_limits<int>::max() : amount / each;
}

} // namespace

placement_finder::placement_finder(const worker_pool& pool,
                                   placement_policy policy)
    : pool_(pool), policy_(policy)
{
}

int placement_finder::tasks_that_fit(const job_spec& job, worker_index index,
                                     allocation_class allocation) const
{
    const pool_worker& worker = pool_.at(index);
    if (!worker.usable() || excluded_.contains(index) ||
        avoided_.contains(index))
        return 0;
    int accelerators = worker.free();
    if (allocation == allocation_class::pinned && !ignores_guarantees_)
        accelerators = std::min(accelerators, worker.unreserved());
    int fit = units_that_fit(std::max(0, accelerators), job.accelerators_);
    fit = std::min(fit,
                   units_that_fit(worker.info_.processors_ - worker.processors_,
                                  job.processors_));
    fit = std::min(fit,
                   units_that_fit(worker.info_.memory_mb_ - worker.memory_mb_,
                                  job.memory_mb_));
    return std::clamp(fit, 0, job.tasks_);
}

std::optional<placement_plan>
placement_finder::find(const job_spec& job, allocation_class allocation) const
{
    if (job.total_accelerators() > pool_.usable_free())
        return std::nullopt;
    if (policy_ == placement_policy::first_fit)
        return first_that_fits(job, allocation);
    auto plan = in_one_worker(job, allocation);
    if (!plan && job.within_ != adjacency::worker)
        plan = in_one_rack(job, allocation);
    if (!plan && job.within_ == adjacency::any)
        plan = in_many_racks(job, allocation);
    return plan;
}

std::optional<placement_plan>
placement_finder::in_one_worker(const job_spec& job,
                                allocation_class allocation) const
{
    const auto& by_free = pool_.workers_by_free();
    auto need = static_cast<std::size_t>(job.total_accelerators());
    int examined = 0;
    std::optional<worker_index> best;
    int best_reserved = 0;
    // Tightest fit; among equals, the one with the least unused reservation.
    for (std::size_t free = need; free < by_free.size() && !best; ++free) {
        for (worker_index index : by_free[free]) {
            if (++examined > max_workers_per_search)
                break;
            if (tasks_that_fit(job, index, allocation) < job.tasks_)
                continue;
            const pool_worker& worker = pool_.at(index);
            int reserved = worker.reserved_ - worker.guaranteed_;
            if (!best || reserved < best_reserved) {
                best = index;
                best_reserved = reserved;
            }
        }
        if (examined > max_workers_per_search)
            examined = 0;
    }
    if (!best)
        return std::nullopt;
    return placement_plan{{*best, job.tasks_}};
}

std::optional<placement_plan>
placement_finder::in_one_rack(const job_spec& job,
                              allocation_class allocation) const
{
    const auto& racks = pool_.racks_by_free();
    int examined = 0;
    for (auto it = racks.lower_bound({job.total_accelerators(), 0});
         it != racks.end() && examined < max_racks_per_search;
         ++it, ++examined) {
        placement_plan plan;
        if (assign_in_rack(job, it->second, job.tasks_, allocation, plan) == 0)
            return plan;
    }
    return std::nullopt;
}

std::optional<placement_plan>
placement_finder::in_many_racks(const job_spec& job,
                                allocation_class allocation) const
{
    const auto& racks = pool_.racks_by_free();
    placement_plan plan;
    int left = job.tasks_;
    for (auto it = racks.rbegin(); it != racks.rend() && left > 0; ++it)
        left = assign_in_rack(job, it->second, left, allocation, plan);
    if (left > 0)
        return std::nullopt;
    return plan;
}

// Fills the workers with the most room first, so that the gang spans few of
// them; the remainder goes to the tightest worker that can hold all of it.
// Returns the number of tasks that were not assigned.
int placement_finder::assign_in_rack(const job_spec& job, rack_index rack,
                                     int tasks, allocation_class allocation,
                                     placement_plan& plan) const
{
    std::vector<planned_part> room;
    for (worker_index index : pool_.rack(rack).workers_) {
        int fit = tasks_that_fit(job, index, allocation);
        if (fit > 0)
            room.push_back({index, fit});
    }
    std::sort(room.begin(), room.end(),
              [](const planned_part& a, const planned_part& b) {
                  return std::tie(b.tasks_, a.worker_) <
                         std::tie(a.tasks_, b.worker_);
              });
    while (tasks > 0 && !room.empty()) {
        // Smallest worker that holds all remaining tasks, else the largest.
        auto chosen = room.begin();
        for (auto it = room.begin(); it != room.end(); ++it) {
            if (it->tasks_ >= tasks)
                chosen = it;
        }
        int part = std::min(tasks, chosen->tasks_);
        plan.push_back({chosen->worker_, part});
        tasks -= part;
        room.erase(chosen);
    }
    return tasks;
}

std::optional<placement_plan>
placement_finder::first_that_fits(const job_spec& job,
                                  allocation_class allocation) const
{
    placement_plan plan;
    int left = job.tasks_;
    for (const pool_rack& rack : pool_.racks()) {
        if (job.within_ != adjacency::any) {
            plan.clear();
            left = job.tasks_;
        }
        for (worker_index index : rack.workers_) {
            int fit = std::min(left, tasks_that_fit(job, index, allocation));
            if (fit == 0)
                continue;
            if (job.within_ == adjacency::worker && fit < job.tasks_)
                continue;
            plan.push_back({index, fit});
            left -= fit;
            if (left == 0)
                return plan;
        }
    }
    return std::nullopt;
}

} // namespace dandelioncrank
