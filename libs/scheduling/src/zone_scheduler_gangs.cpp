// Gang life cycle of zone_scheduler.
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

void zone_scheduler::start_gang(job_entry& job, const placement_plan& plan,
                                allocation_class allocation,
                                const std::vector<std::size_t>& blocks,
                                instant now, action_list& out)
{
    const job_spec& spec = job.record_.spec_;
    queue_.erase(spec.id_, spec.team_);
    reservations_.erase(spec.id_);
    gang_key key{spec.id_, ++job.record_.attempt_};
    while (gangs_.contains(key))
        key.attempt_ = ++job.record_.attempt_;
    gang& item = gangs_[key];
    item.key_ = key;
    item.spec_ = spec;
    item.allocation_ = allocation;
    item.created_at_ = now;
    item.start_allowed_ = spec.repeatable_;
    for (std::size_t i = 0; i < plan.size(); ++i) {
        gang_part part;
        part.worker_ = plan[i].worker_;
        part.tasks_ = plan[i].tasks_;
        part.phase_since_ = now;
        if (!blocks.empty())
            part.block_ = blocks[i];
        pool_.allocate(part.worker_, gang_driver::amount_of(item, part),
                       allocation);
        pool_.change(part.worker_, [&key](pool_worker& worker) {
            worker.gangs_.insert(key);
        });
        item.parts_.push_back(part);
    }
    job.gang_ = key;
    job.record_.guaranteed_ = allocation == allocation_class::guaranteed;
    gangs_in_transition_.insert(key);
    set_state(job, job_state::acquiring, {}, out);
    driver_->advance(item, now, out);
}

void zone_scheduler::update_gang(gang& item, instant now, action_list& out)
{
    // Gangs of an earlier scheduler are evaluated after all reports are in.
    if (recovering_until_)
        return;
    gang_phase before = item.phase_;
    driver_->advance(item, now, out);
    for (gang_part& part : item.parts_) {
        if (part.phase_ == part_phase::ended)
            release_part(item, part);
    }
    auto found = jobs_.find(item.key_.job_);
    bool is_current = found != jobs_.end() && found->second.gang_ == item.key_;
    if (item.phase_ == gang_phase::running) {
        if (is_current && before != gang_phase::running)
            set_state(found->second, job_state::running, {}, out);
        if (before != gang_phase::running)
            index_preemptible_gang(item);
        gangs_in_transition_.erase(item.key_);
        if (all_finished(item))
            stop_gang(item, stop_cause::finished, now, out);
    }
    // The gang finished while its checkpoint was pending.
    if (item.phase_ == gang_phase::stopping && is_current &&
        item.cause_ == stop_cause::preempted && all_finished(item)) {
        found->second.gang_.reset();
        end_job(found->second, job_state::completed, {}, out);
    }
    if (item.phase_ == gang_phase::stopping && gang_driver::all_ended(item))
        finish_gang(item, now, out);
}

void zone_scheduler::stop_gang(gang& item, stop_cause cause, instant now,
                               action_list& out)
{
    if (item.phase_ == gang_phase::stopping || recovering_until_)
        return;
    if (options_.fault_ == scheduling_fault::gang_survives_lost_part &&
        (cause == stop_cause::part_lost || cause == stop_cause::worker_crashed))
        return;
    job_entry& job = jobs_.at(item.key_.job_);
    if (item.phase_ == gang_phase::running)
        job.attained_ += now - item.running_since_;
    bool checkpoint = cause == stop_cause::preempted && item.spec_.checkpoints_;
    driver_->stop(item, cause, checkpoint, now, out);
    preemption_index_->erase(item.key_);
    gangs_in_transition_.insert(item.key_);
    // All tasks have finished, so the job is complete even if workers are
    // lost during clean-up.
    if (cause == stop_cause::finished)
        end_job(job, job_state::completed, {}, out);
    else
        set_state(job, job_state::stopping, {}, out);
    pass_pending_ = true;
}

void zone_scheduler::release_part(gang& item, gang_part& part)
{
    if (part.released_)
        return;
    part.released_ = true;
    resource_amount amount = gang_driver::amount_of(item, part);
    pool_.release(part.worker_, amount, item.allocation_);
    pool_.change(part.worker_, [&](pool_worker& worker) {
        worker.gangs_.erase(item.key_);
        if (part.counted_stopping_)
            worker.stopping_ -= amount.accelerators_;
    });
    part.counted_stopping_ = false;
    if (part.block_)
        ledger_.release(*part.block_, part.worker_, amount.accelerators_);
    part.block_.reset();
    pass_pending_ = true;
}

// The gang keeps its accelerators but becomes borrowed.
void zone_scheduler::demote_gang(gang& item)
{
    if (item.allocation_ != allocation_class::guaranteed)
        return;
    for (gang_part& part : item.parts_) {
        if (part.released_)
            continue;
        resource_amount amount = gang_driver::amount_of(item, part);
        pool_.release(part.worker_, amount, allocation_class::guaranteed);
        if (part.block_)
            ledger_.release(*part.block_, part.worker_, amount.accelerators_);
        part.block_.reset();
        pool_.allocate(part.worker_, amount, allocation_class::borrowed);
    }
    item.allocation_ = allocation_class::borrowed;
    auto found = jobs_.find(item.key_.job_);
    if (found != jobs_.end())
        found->second.record_.guaranteed_ = false;
    if (item.phase_ == gang_phase::running)
        index_preemptible_gang(item);
}

// Only gangs that can be checkpointed are preempted for other borrowed work.
void zone_scheduler::index_preemptible_gang(const gang& item)
{
    bool migratable = item.allocation_ == allocation_class::borrowed &&
                      item.spec_.checkpoints_ &&
                      item.spec_.total_accelerators() > 0;
    auto found = jobs_.find(item.key_.job_);
    if (!migratable || found == jobs_.end())
        return;
    duration declared = expected_remaining(item.spec_, duration::zero());
    preemption_index_->insert(item.key_, item.running_since_,
                              found->second.attained_, declared);
}

void zone_scheduler::finish_gang(gang& item, instant now, action_list& out)
{
    gang_key key = item.key_;
    auto found = jobs_.find(key.job_);
    bool is_current = found != jobs_.end() && found->second.gang_ == key;
    if (is_current) {
        found->second.gang_.reset();
        requeue_or_end_job(found->second, item, now, out);
    }
    gangs_in_transition_.erase(key);
    gangs_.erase(key);
    pass_pending_ = true;
}

// Requeues the job with a delay, or ends it after too many such attempts.
void zone_scheduler::count_crashed_attempt(job_entry& job, instant now,
                                           action_list& out)
{
    int attempts = ++job.record_.crashed_attempts_;
    if (attempts >= max_crashed_attempts) {
        end_job(job, job_state::failed,
                "its workers restarted soon after the start of " +
                    std::to_string(attempts) + " attempts in a row",
                out);
        return;
    }
    job.not_before_ = now + initial_failure_backoff * (1 << attempts);
    wakeup_times_.insert(job.not_before_);
    requeue(job, now, out);
}

// Called when the gang of a job has ended without finishing.
void zone_scheduler::requeue_or_end_job(job_entry& job, const gang& item,
                                        instant now, action_list& out)
{
    if (!item.checkpoint_done_ && item.started_)
        job.attained_ = duration::zero();
    if (job.cancel_requested_) {
        end_job(job, job_state::cancelled, "cancelled by request", out);
        return;
    }
    bool may_repeat = item.spec_.repeatable_ || !item.started_;
    if (item.cause_ == stop_cause::task_failed) {
        std::size_t workers =
            failure_tracker_->workers_failed_on(item.key_.job_);
        bool job_faulty = failure_tracker_->is_job_faulty(item.key_.job_) ||
                          ++job.failures_ >= max_failures;
        if (job_faulty || !may_repeat) {
            end_job(job, job_state::failed,
                    "tasks failed on " + std::to_string(workers) +
                        " different workers",
                    out);
            return;
        }
        job.not_before_ = now + initial_failure_backoff * (1 << job.failures_);
        wakeup_times_.insert(job.not_before_);
    }
    if (item.started_ && now - item.created_at_ >= max_crash_age)
        job.record_.crashed_attempts_ = 0;
    if (item.cause_ == stop_cause::hold_refused) {
        job.not_before_ = now + refused_hold_backoff;
        wakeup_times_.insert(job.not_before_);
    }
    if (options_.fault_ == scheduling_fault::job_forgotten_after_loss &&
        (item.cause_ == stop_cause::part_lost ||
         item.cause_ == stop_cause::worker_crashed))
        return;
    if (may_repeat && item.cause_ == stop_cause::worker_crashed)
        count_crashed_attempt(job, now, out);
    else if (may_repeat)
        requeue(job, now, out);
    else
        end_job(job, job_state::unknown,
                "its workers were lost after it had started, and it may run "
                "only once",
                out);
}

void zone_scheduler::apply_start_record(const gang_key& key, instant now,
                                        action_list& out)
{
    auto found = gangs_.find(key);
    if (found == gangs_.end())
        return;
    found->second.start_allowed_ = true;
    update_gang(found->second, now, out);
}

bool zone_scheduler::has_overdue_command(const gang& item, instant now) const
{
    return std::any_of(
        item.parts_.begin(), item.parts_.end(), [&](const gang_part& part) {
            return part.is_occupying() &&
                   part.command_ > pool_.at(part.worker_).acknowledged_ &&
                   now - part.command_at_ >= command_ack_timeout;
        });
}

void zone_scheduler::suspect_unresponsive_workers(const gang& item, instant now)
{
    for (const gang_part& part : item.parts_) {
        bool unresponsive =
            part.is_occupying() &&
            part.command_ > pool_.at(part.worker_).acknowledged_ &&
            now - part.command_at_ >= command_ack_timeout;
        if (unresponsive && !pool_.at(part.worker_).suspect_) {
            pool_.change(part.worker_,
                         [](pool_worker& worker) { worker.suspect_ = true; });
        }
    }
}

// Marks workers that leave commands unacknowledged as suspect and stops gangs
// that wait for a hold on them, so that their jobs are placed elsewhere.
void zone_scheduler::check_gang_progress(instant now, action_list& out)
{
    std::set<gang_key> in_transition = gangs_in_transition_;
    for (const gang_key& key : in_transition) {
        auto found = gangs_.find(key);
        if (found == gangs_.end())
            continue;
        gang& item = found->second;
        if (has_overdue_command(item, now))
            suspect_unresponsive_workers(item, now);
        bool stuck = false;
        for (const gang_part& part : item.parts_) {
            bool slow_hold = part.phase_ == part_phase::hold_sent &&
                             now - part.phase_since_ >= hold_confirm_timeout;
            bool unresponsive = pool_.at(part.worker_).suspect_;
            stuck = stuck || slow_hold || unresponsive;
        }
        if (stuck && item.phase_ == gang_phase::acquiring)
            stop_gang(item, stop_cause::hold_timeout, now, out);
        update_gang(item, now, out);
    }
}

} // namespace dandelioncrank
