#include "reclaim_planner.hpp"

#include <algorithm>
#include <set>

namespace dandelioncrank {

namespace {

// Run time lost by saving and restoring a checkpoint.
constexpr double checkpoint_cost_seconds = 5.0;
// Above any other cost: jobs that may run only once are the last choice.
constexpr double unrepeatable_cost = 1e15;

} // namespace

reclaim_planner::reclaim_planner(const worker_pool& pool,
                                 const gang_table& gangs)
    : pool_(pool), gangs_(gangs)
{
}

bool reclaim_planner::may_preempt(const gang& item)
{
    return item.allocation_ == allocation_class::borrowed &&
           item.phase_ != gang_phase::stopping;
}

double reclaim_planner::preemption_cost(const gang& item, instant now)
{
    double width = std::max(1, item.spec_.total_accelerators());
    if (!item.started_)
        return 0;
    if (!item.spec_.repeatable_)
        return unrepeatable_cost * width;
    if (item.phase_ != gang_phase::running)
        return width;
    if (item.spec_.checkpoints_)
        return checkpoint_cost_seconds * width;
    std::chrono::duration<double> run_time = now - item.running_since_;
    return (checkpoint_cost_seconds + run_time.count()) * width;
}

std::optional<std::vector<gang_key>>
reclaim_planner::victims_for(const std::map<worker_index, int>& needs,
                             instant now) const
{
    std::vector<gang_key> victims;
    std::map<worker_index, int> gained;
    for (const auto& [index, need] : needs) {
        const pool_worker& worker = pool_.at(index);
        std::vector<std::pair<double, const gang*>> candidates;
        for (const gang_key& key : worker.gangs_) {
            const gang& item = gangs_.at(key);
            bool chosen =
                std::find(victims.begin(), victims.end(), key) != victims.end();
            if (may_preempt(item) && !chosen)
                candidates.emplace_back(preemption_cost(item, now), &item);
        }
        std::sort(candidates.begin(), candidates.end(),
                  [](const auto& a, const auto& b) {
                      return std::tie(a.first, a.second->key_) <
                             std::tie(b.first, b.second->key_);
                  });
        for (const auto& [cost, item] : candidates) {
            if (worker.free_after_stops() + gained[index] >= need)
                break;
            victims.push_back(item->key_);
            for (const gang_part& part : item->parts_) {
                if (!part.released_)
                    gained[part.worker_] +=
                        part.tasks_ * item->spec_.accelerators_;
            }
        }
        if (worker.free_after_stops() + gained[index] < need)
            return std::nullopt;
    }
    return victims;
}

} // namespace dandelioncrank
