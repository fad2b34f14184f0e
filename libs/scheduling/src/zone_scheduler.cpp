#include "dandelioncrank/scheduling/zone_scheduler.hpp"

#include "dandelioncrank/core/invariant.hpp"
#include "dandelioncrank/core/overloaded.hpp"
#include "failure_tracker.hpp"
#include "gang_driver.hpp"
#include "preemption_index.hpp"
#include "reclaim_planner.hpp"
#include "scheduler_limits.hpp"

#include <algorithm>

namespace dandelioncrank {

zone_scheduler::zone_scheduler(scheduler_options options)
    : options_(std::move(options)), ledger_(pool_), queue_(options_.order_),
      driver_(std::make_unique<gang_driver>(pool_, options_.epoch_,
                                            options_.fault_)),
      failure_tracker_(std::make_unique<failure_tracker>()),
      preemption_index_(std::make_unique<preemption_index>()),
      recovery_pending_(options_.wait_for_reports_)
{
}

zone_scheduler::~zone_scheduler() = default;

void zone_scheduler::configure(const configuration& rules, instant now)
{
    rules_ = rules;
    if (recovery_pending_) {
        recovery_pending_ = false;
        recovering_until_ = now + options_.lease_ + lease_margin;
    }
    // During recovery blocks are not placed yet, so that end_recovery() can
    // place them around the gangs that are still running.
    if (!recovering_until_) {
        ledger_.configure(rules_, options_.zone_);
        ledger_.place_missing_blocks(true);
    }
    pass_pending_ = true;
}

scheduling_actions zone_scheduler::handle(const scheduling_event& event,
                                          instant now)
{
    action_list out;
    std::visit(
        overloaded{
            [&](const job_submitted& item) { submit(item.spec_, now, out); },
            [&](const job_cancelled& item) { cancel(item.id_, now, out); },
            [&](const job_recovered& item) { recover(item.record_, now); },
            [&](const worker_reported& item) {
                apply_report(item.report_, now, out);
            },
            [&](const start_recorded& item) {
                apply_start_record(item.gang_, now, out);
            },
            [&](const scheduler_ticked&) { tick(now, out); }},
        event);
    bool due = urgent_waiting_ || now - last_pass_ >= pass_interval;
    if (pass_pending_ && due && !recovering_until_)
        run_pass(now, out);
    return out;
}

// --- Admission

bool zone_scheduler::fits_pool(const job_spec& spec) const
{
    return fits_with_capacity(spec, [](const pool_worker& worker) {
        return worker.info_.accelerators_;
    });
}

bool zone_scheduler::fits_permanently(const job_spec& spec) const
{
    bool fits_own_guarantee =
        spec.accelerators_ == 0 || ledger_.could_hold(spec);
    return fits_own_guarantee ||
           fits_with_capacity(spec, [](const pool_worker& worker) {
               return worker.can_carry_guarantees()
                          ? worker.info_.accelerators_ - worker.reserved_
                          : 0;
           });
}

// Whether the gang fits with its adjacency if each worker has this capacity.
// A task is never split, so accelerators may be left over on a worker.
bool zone_scheduler::fits_with_capacity(
    const job_spec& spec,
    const std::function<int(const pool_worker&)>& capacity) const
{
    if (spec.accelerators_ == 0)
        return pool_.size() > 0;
    int total_tasks = 0;
    for (const pool_rack& rack : pool_.racks()) {
        int in_rack = 0;
        for (worker_index index : rack.workers_) {
            int tasks = capacity(pool_.at(index)) / spec.accelerators_;
            if (tasks >= spec.tasks_)
                return true;
            in_rack += tasks;
        }
        if (spec.within_ != adjacency::worker && in_rack >= spec.tasks_)
            return true;
        total_tasks += in_rack;
    }
    return spec.within_ == adjacency::any && total_tasks >= spec.tasks_;
}

// Ends jobs that may wait forever, so that their owner learns that they have
// not run.
void zone_scheduler::end_unplaceable_jobs(instant now, action_list& out)
{
    if (now - last_unplaceable_check_ < unplaceable_check_interval)
        return;
    last_unplaceable_check_ = now;
    std::vector<job_id> unplaceable;
    for (const auto& [position, id] : queue_.in_order()) {
        job_entry& job = jobs_.at(id);
        const job_spec& spec = job.record_.spec_;
        if (spec.repeatable_ || fits_permanently(spec)) {
            job.unplaceable_since_.reset();
            continue;
        }
        if (!job.unplaceable_since_)
            job.unplaceable_since_ = now;
        if (now - *job.unplaceable_since_ >= unplaceable_timeout)
            unplaceable.push_back(id);
    }
    for (const job_id& id : unplaceable)
        end_job(jobs_.at(id), job_state::not_run, unplaceable_reason, out);
}

std::string zone_scheduler::refusal_reason(const job_spec& spec) const
{
    bool sizes_fit = spec.tasks_ >= 1 && spec.tasks_ <= 4096 &&
                     spec.accelerators_ >= 0 && spec.processors_ >= 0 &&
                     spec.memory_mb_ >= 0 && spec.accelerators_ <= 1024;
    if (!sizes_fit)
        return "sizes are out of range";
    auto team = rules_.teams_.find(spec.team_);
    if (team == rules_.teams_.end())
        return "team '" + spec.team_.str() + "' is unknown";
    if (queue_.size() >= max_waiting_jobs)
        return "too many jobs wait in this zone";
    if (queue_.size_of(spec.team_) >=
        static_cast<std::size_t>(team->second.queued_jobs_))
        return "the team has its limit of waiting jobs";
    if (!spec.repeatable_ && pool_.size() > 0 && fits_pool(spec) &&
        !fits_permanently(spec))
        return unplaceable_reason;
    auto zone = rules_.zones_.find(options_.zone_);
    if (zone == rules_.zones_.end())
        return {};
    const zone_rule& rule = zone->second;
    int in_worker = spec.accelerators_ == 0
                        ? spec.tasks_
                        : rule.accelerators_ / spec.accelerators_;
    int in_rack = in_worker * rule.workers_per_rack_;
    int max_tasks = spec.within_ == adjacency::worker ? in_worker
                    : spec.within_ == adjacency::rack ? in_rack
                                                      : in_rack * rule.racks_;
    bool planned = spec.tasks_ <= max_tasks;
    if (planned || fits_pool(spec))
        return {};
    return "no " + to_text(spec.within_) + " in zone '" + options_.zone_.str() +
           "' could ever hold " + std::to_string(spec.total_accelerators()) +
           " accelerators, " + std::to_string(spec.accelerators_) + " a task";
}

// The bucket holds the jobs of one minute and refills continuously.
bool zone_scheduler::take_submit_token(const team_name& team, instant now)
{
    double burst = rules_.teams_.at(team).jobs_per_minute_;
    auto [found, inserted] = submit_buckets_.try_emplace(team);
    submit_bucket& bucket = found->second;
    std::chrono::duration<double> elapsed = now - bucket.filled_at_;
    bucket.tokens_ =
        inserted
            ? burst
            : std::min(burst, bucket.tokens_ + elapsed.count() * burst / 60);
    bucket.filled_at_ = now;
    if (bucket.tokens_ < 1)
        return false;
    bucket.tokens_ -= 1;
    return true;
}

void zone_scheduler::submit(const job_spec& spec, instant now, action_list& out)
{
    // A repeated submit of a known job is ignored.
    if (jobs_.contains(spec.id_))
        return;
    std::string reason = refusal_reason(spec);
    if (reason.empty() && !take_submit_token(spec.team_, now))
        reason = "the team has submitted its limit of jobs for this minute";
    if (!reason.empty()) {
        job_record refused;
        refused.spec_ = spec;
        refused.state_ = job_state::not_run;
        refused.reason_ = reason;
        out.push_back(job_changed{refused});
        return;
    }
    job_entry& job = jobs_[spec.id_];
    job.record_.spec_ = spec;
    job.arrived_at_ = now;
    requeue(job, now, out);
}

void zone_scheduler::cancel(const job_id& id, instant now, action_list& out)
{
    auto found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    job_entry& job = found->second;
    job.cancel_requested_ = true;
    if (!job.gang_) {
        // An earlier gang may have been preempted; nothing runs now.
        end_job(job, job_state::cancelled, "cancelled by request", out);
        return;
    }
    gang& item = gangs_.at(*job.gang_);
    stop_gang(item, stop_cause::cancelled, now, out);
    update_gang(item, now, out);
}

void zone_scheduler::recover(const job_record& record, instant now)
{
    if (is_final(record.state_) || jobs_.contains(record.spec_.id_))
        return;
    job_entry& job = jobs_[record.spec_.id_];
    job.record_ = record;
    job.arrived_at_ = now;
    job.queued_at_ = now;
    bool had_gang = record.state_ == job_state::acquiring ||
                    record.state_ == job_state::running ||
                    record.state_ == job_state::stopping;
    if (!had_gang)
        queue_.insert(record.spec_, now, duration::zero());
}

// --- Job records

void zone_scheduler::set_state(job_entry& job, job_state state,
                               const std::string& reason, action_list& out)
{
    job.record_.state_ = state;
    job.record_.reason_ = reason;
    out.push_back(job_changed{job.record_});
}

void zone_scheduler::end_job(job_entry& job, job_state state,
                             const std::string& reason, action_list& out)
{
    job_id id = job.record_.spec_.id_;
    queue_.erase(id, job.record_.spec_.team_);
    reservations_.erase(id);
    failure_tracker_->forget_job(id);
    set_state(job, state, reason, out);
    jobs_.erase(id);
}

void zone_scheduler::requeue(job_entry& job, instant now, action_list& out)
{
    const job_spec& spec = job.record_.spec_;
    job.queued_at_ = now;
    queue_.insert(spec, job.arrived_at_, job.attained_);
    urgent_waiting_ = urgent_waiting_ || spec.urgent_;
    pass_pending_ = true;
    bool fits = pool_.size() == 0 || fits_pool(spec);
    set_state(job, fits ? job_state::queued : job_state::parked,
              fits ? std::string()
                   : "no worker of the pool as it is now could hold it",
              out);
}

void zone_scheduler::tick(instant now, action_list& out)
{
    if (recovering_until_ && now >= *recovering_until_)
        end_recovery(now, out);
    while (!wakeup_times_.empty() && *wakeup_times_.begin() <= now) {
        wakeup_times_.erase(wakeup_times_.begin());
        pass_pending_ = true;
    }
    expire_leases(now, out);
    end_quarantines(now);
    check_gang_progress(now, out);
    if (ledger_dirty_ && !recovering_until_) {
        bool may_repack = now - last_repack_ >= repack_interval;
        ledger_dirty_ = !may_repack && !ledger_.shortages().empty();
        if (may_repack)
            last_repack_ = now;
        ledger_.place_missing_blocks(may_repack);
    }
    if (!recovering_until_)
        end_unplaceable_jobs(now, out);
    if (!recovering_until_ && options_.preempt_) {
        defragment_for_starving_jobs(now, out);
        preempt_for_shorter_jobs(now, out);
    }
}

const std::deque<worker_command>&
zone_scheduler::outbox(const worker_name& worker,
                       const std::string& incarnation) const
{
    static const std::deque<worker_command> empty;
    auto index = pool_.find(worker);
    if (!index)
        return empty;
    if (pool_.at(*index).incarnation_ == incarnation)
        return driver_->outbox(*index);
    auto found = newcomers_.find(*index);
    bool is_newcomer =
        found != newcomers_.end() && found->second.incarnation_ == incarnation;
    return is_newcomer ? found->second.commands_ : empty;
}

} // namespace dandelioncrank
