// Read-only views and invariant checks of zone_scheduler.
#include "dandelioncrank/scheduling/zone_scheduler.hpp"

#include "dandelioncrank/core/invariant.hpp"
#include "failure_tracker.hpp"
#include "gang_driver.hpp"

#include <algorithm>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

// Checkpoint, stop, hold and start, each answered without delay.
constexpr duration nominal_reclaim_time = 2s;

} // namespace

std::vector<team_view> zone_scheduler::teams(instant now) const
{
    std::map<team_name, team_view> views;
    for (const auto& [name, rule] : rules_.teams_) {
        views[name].name_ = name;
        views[name].waiting_ = queue_.size_of(name);
    }
    for (const guarantee_block& block : ledger_.blocks()) {
        team_view& view = views[block.team_];
        view.name_ = block.team_;
        view.guaranteed_ += block.accelerators_;
        view.used_ += block.used();
        view.reclaimable_ += block.placed() - block.used();
        view.shortage_ += block.accelerators_ - block.placed();
        for (const guarantee_cell& cell : block.cells_) {
            const pool_worker& worker = pool_.at(cell.worker_);
            bool must_preempt = worker.free() < cell.accelerators_ - cell.used_;
            duration since_report = now - worker.last_report_;
            duration time =
                must_preempt ? nominal_reclaim_time : duration::zero();
            if (must_preempt && worker.suspect_)
                time = std::max(time, options_.lease_ - since_report);
            view.reclaim_time_ = std::max(view.reclaim_time_, time);
        }
    }
    for (const auto& [key, item] : gangs_) {
        if (item.allocation_ != allocation_class::guaranteed &&
            item.phase_ != gang_phase::stopping)
            views[item.spec_.team_].borrowed_ +=
                item.spec_.total_accelerators();
    }
    std::vector<team_view> result;
    for (auto& entry : views)
        result.push_back(std::move(entry.second));
    return result;
}

std::string zone_scheduler::binding_constraint(const job_entry& job) const
{
    const job_spec& spec = job.record_.spec_;
    if (recovering_until_)
        return "the scheduler has just started and waits for reports";
    if (pool_.size() == 0)
        return "no worker has reported yet";
    if (!fits_pool(spec))
        return "no " + to_text(spec.within_) +
               " of the pool as it is now could hold it";
    int need = spec.total_accelerators();
    if (need > pool_.usable_free())
        return std::to_string(need) + " accelerators are needed, " +
               std::to_string(pool_.usable_free()) + " are free";
    placement_finder finder(pool_, options_.placement_);
    if (!spec.repeatable_ && finder.find(spec, allocation_class::borrowed))
        return "what is free is kept for guarantees, and the job may not be "
               "preempted because it may run only once";
    if (!finder.find(spec, allocation_class::borrowed))
        return "enough accelerators are free, but not within one " +
               to_text(spec.within_);
    return "it starts with the next pass";
}

std::string zone_scheduler::pending_confirmations(const gang& item) const
{
    std::string text;
    for (const gang_part& part : item.parts_) {
        std::string reason;
        if (part.phase_ == part_phase::waiting)
            reason = "to make room";
        else if (part.phase_ == part_phase::hold_sent)
            reason = "to confirm a hold";
        else if (part.phase_ == part_phase::start_sent)
            reason = "to confirm a start";
        else if (part.phase_ == part_phase::stop_sent)
            reason = "to confirm a stop";
        if (!reason.empty())
            text += (text.empty() ? "it waits for " : ", ") +
                    pool_.at(part.worker_).info_.name_.str() + " " + reason;
    }
    if (text.empty() && !item.start_allowed_)
        text = "it waits for its start to be on record";
    return text;
}

std::optional<job_view> zone_scheduler::job(const job_id& id, instant now) const
{
    auto found = jobs_.find(id);
    if (found == jobs_.end())
        return std::nullopt;
    const job_entry& entry = found->second;
    job_view view;
    view.record_ = entry.record_;
    view.waited_ = now - entry.queued_at_;
    if (!entry.gang_) {
        view.pending_reason_ = binding_constraint(entry);
        return view;
    }
    const gang& item = gangs_.at(*entry.gang_);
    for (const gang_part& part : item.parts_)
        view.workers_.push_back(pool_.at(part.worker_).info_.name_);
    if (item.phase_ != gang_phase::running)
        view.pending_reason_ = pending_confirmations(item);
    return view;
}

std::vector<job_view> zone_scheduler::jobs(instant now) const
{
    std::vector<job_view> result;
    for (const auto& [id, entry] : jobs_) {
        job_view view;
        view.record_ = entry.record_;
        view.waited_ = now - entry.queued_at_;
        result.push_back(std::move(view));
    }
    std::sort(result.begin(), result.end(),
              [](const job_view& a, const job_view& b) {
                  return a.record_.spec_.id_ < b.record_.spec_.id_;
              });
    return result;
}

pool_summary zone_scheduler::summary() const
{
    pool_summary result;
    result.workers_ = pool_.size();
    for (worker_index index = 0; index < pool_.size(); ++index)
        result.alive_ += pool_.at(index).alive_;
    result.quarantined_ = pool_.quarantined();
    result.accelerators_ = pool_.live_accelerators();
    result.free_ = pool_.usable_free();
    result.waiting_ = queue_.size();
    result.gangs_ = gangs_.size();
    result.recovering_ = recovering_until_.has_value();
    return result;
}

void zone_scheduler::check_invariants() const
{
    ledger_.check();
    std::vector<int> allocated(pool_.size(), 0);
    std::vector<int> occupied(pool_.size(), 0);
    std::vector<int> stopping(pool_.size(), 0);
    for (const auto& [key, item] : gangs_) {
        int tasks = 0;
        for (const gang_part& part : item.parts_) {
            tasks += part.tasks_;
            int amount = gang_driver::amount_of(item, part).accelerators_;
            allocated[part.worker_] += part.released_ ? 0 : amount;
            occupied[part.worker_] += part.is_occupying() ? amount : 0;
            stopping[part.worker_] += part.counted_stopping_ ? amount : 0;
            bool started = part.phase_ == part_phase::start_sent ||
                           part.phase_ == part_phase::running ||
                           part.phase_ == part_phase::finished;
            require_invariant(!started || item.started_ || item.adopted_,
                              "no part starts before the whole gang is held");
            require_invariant(
                !started || item.start_allowed_,
                "a job that may run once starts after it is recorded");
        }
        require_invariant(tasks == item.spec_.tasks_ || item.adopted_,
                          "the parts of a gang have all of its tasks");
    }
    for (worker_index index = 0; index < pool_.size(); ++index) {
        const pool_worker& worker = pool_.at(index);
        require_invariant(worker.allocated_ == allocated[index],
                          "allocated accelerators belong to gangs");
        require_invariant(worker.occupied_ == occupied[index],
                          "occupied accelerators belong to gangs");
        require_invariant(worker.stopping_ == stopping[index],
                          "stopping accelerators belong to gangs");
    }
    for (const auto& [id, job] : jobs_) {
        bool accounted_for = queue_.contains(id) || job.gang_.has_value() ||
                             recovering_until_.has_value();
        require_invariant(accounted_for,
                          "each job is queued, has a gang or is recovering");
        if (job.gang_)
            require_invariant(gangs_.contains(*job.gang_),
                              "a job's gang exists");
    }
}

} // namespace dandelioncrank
