#include "dandelioncrank/scheduling/placement.hpp"

#include <algorithm>
#include <limits>

namespace dandelioncrank {

namespace {

// Candidates that are looked at before the best of them is taken.
constexpr int max_workers_per_search = 24;
constexpr int max_racks_per_search = 24;

int divide(int amount, int each)
{
    return each <= 0 ? std::numeric_limits<int>::max() : amount / each;
}

} // namespace

placer::placer(const worker_pool& pool, placement_policy policy)
    : pool_(pool), policy_(policy)
{
}

int placer::tasks_that_fit(const job_spec& job, worker_index index,
                           tenure terms) const
{
    const pool_worker& worker = pool_.at(index);
    if (!worker.usable() || closed_.contains(index) || avoided_.contains(index))
        return 0;
    int accelerators = worker.free();
    if (terms == tenure::pinned && !ignores_guarantees_)
        accelerators = std::min(accelerators, worker.unreserved());
    int fit = divide(std::max(0, accelerators), job.accelerators_);
    fit = std::min(fit, divide(worker.info_.processors_ - worker.processors_,
                               job.processors_));
    fit = std::min(fit, divide(worker.info_.memory_mb_ - worker.memory_mb_,
                               job.memory_mb_));
    return std::clamp(fit, 0, job.tasks_);
}

std::optional<placement_plan> placer::find(const job_spec& job,
                                           tenure terms) const
{
    if (job.total_accelerators() > pool_.usable_free())
        return std::nullopt;
    if (policy_ == placement_policy::first_fit)
        return first_that_fits(job, terms);
    auto plan = in_one_worker(job, terms);
    if (!plan && job.within_ != adjacency::worker)
        plan = in_one_rack(job, terms);
    if (!plan && job.within_ == adjacency::any)
        plan = in_many_racks(job, terms);
    return plan;
}

std::optional<placement_plan> placer::in_one_worker(const job_spec& job,
                                                    tenure terms) const
{
    const auto& by_free = pool_.workers_by_free();
    auto need = static_cast<std::size_t>(job.total_accelerators());
    int looked_at = 0;
    std::optional<worker_index> best;
    int best_reserved = 0;
    // The tightest fit, and among equals the one that guarantees need least.
    for (std::size_t free = need; free < by_free.size() && !best; ++free) {
        for (worker_index index : by_free[free]) {
            if (++looked_at > max_workers_per_search)
                break;
            if (tasks_that_fit(job, index, terms) < job.tasks_)
                continue;
            const pool_worker& worker = pool_.at(index);
            int reserved = worker.reserved_ - worker.guaranteed_;
            if (!best || reserved < best_reserved) {
                best = index;
                best_reserved = reserved;
            }
        }
        if (looked_at > max_workers_per_search)
            looked_at = 0;
    }
    if (!best)
        return std::nullopt;
    return placement_plan{{*best, job.tasks_}};
}

std::optional<placement_plan> placer::in_one_rack(const job_spec& job,
                                                  tenure terms) const
{
    const auto& racks = pool_.racks_by_free();
    int looked_at = 0;
    for (auto it = racks.lower_bound({job.total_accelerators(), 0});
         it != racks.end() && looked_at < max_racks_per_search;
         ++it, ++looked_at) {
        placement_plan plan;
        if (take_from_rack(job, it->second, job.tasks_, terms, plan) == 0)
            return plan;
    }
    return std::nullopt;
}

std::optional<placement_plan> placer::in_many_racks(const job_spec& job,
                                                    tenure terms) const
{
    const auto& racks = pool_.racks_by_free();
    placement_plan plan;
    int left = job.tasks_;
    for (auto it = racks.rbegin(); it != racks.rend() && left > 0; ++it)
        left = take_from_rack(job, it->second, left, terms, plan);
    if (left > 0)
        return std::nullopt;
    return plan;
}

// Takes the fullest workers last, so that the gang spans few workers; the
// last worker is the tightest that takes the rest. Returns the tasks left.
int placer::take_from_rack(const job_spec& job, rack_index rack, int tasks,
                           tenure terms, placement_plan& plan) const
{
    std::vector<planned_part> room;
    for (worker_index index : pool_.rack(rack).workers_) {
        int fit = tasks_that_fit(job, index, terms);
        if (fit > 0)
            room.push_back({index, fit});
    }
    std::sort(room.begin(), room.end(),
              [](const planned_part& a, const planned_part& b) {
                  return std::tie(b.tasks_, a.worker_) <
                         std::tie(a.tasks_, b.worker_);
              });
    while (tasks > 0 && !room.empty()) {
        // Smallest worker that takes all the rest, else the largest.
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

std::optional<placement_plan> placer::first_that_fits(const job_spec& job,
                                                      tenure terms) const
{
    placement_plan plan;
    int left = job.tasks_;
    for (const pool_rack& rack : pool_.racks()) {
        if (job.within_ != adjacency::any) {
            plan.clear();
            left = job.tasks_;
        }
        for (worker_index index : rack.workers_) {
            int fit = std::min(left, tasks_that_fit(job, index, terms));
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
