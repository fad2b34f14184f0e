// What the evacuation of a zone changes in the state.
#include "dandelioncrank/pool/pool_state.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

pool_reply pool_state::handle(const set_evacuation& command)
{
    bool is_change = command.is_evacuated_
                         ? evacuated_zones_.insert(command.zone_).second
                         : evacuated_zones_.erase(command.zone_) > 0;
    if (!is_change)
        return pool_reply::unchanged;
    recount_workers();
    auto workers =
        std::count_if(workers_.begin(), workers_.end(), [&](const auto& item) {
            return item.second.info_.zone_ == command.zone_;
        });
    add_notice(command.zone_.str(),
               "evacuation of zone " + command.zone_.str() +
                   (command.is_evacuated_ ? " has started" : " is withdrawn") +
                   ": " + std::to_string(workers) + " workers",
               nullptr);
    return pool_reply::applied;
}

void pool_state::report_withheld(const start_run& command)
{
    for (const task_assignment& assignment : command.assignments_) {
        auto worker = workers_.find(assignment.worker_);
        if (worker == workers_.end() ||
            !is_evacuated(worker->second.info_.zone_))
            continue;
        add_notice(command.job_.str(),
                   "run " + std::to_string(command.run_) + " of step " +
                       std::to_string(command.step_) + " is not started on " +
                       assignment.worker_.str() + ": zone " +
                       worker->second.info_.zone_.str() + " is evacuated",
                   "starts_withheld_for_evacuation");
        return;
    }
}

// Workers of evacuated zones count for nothing that waits.
void pool_state::count_worker(const worker_info& info, int change)
{
    if (is_evacuated(info.zone_))
        return;
    auto entry = workers_of_service_.try_emplace(info.service_, 0).first;
    entry->second += static_cast<std::uint64_t>(change);
    if (entry->second == 0)
        workers_of_service_.erase(entry);
}

void pool_state::recount_workers()
{
    workers_of_service_.clear();
    for (const auto& item : workers_)
        count_worker(item.second.info_, 1);
}

} // namespace dandelioncrank::pool
