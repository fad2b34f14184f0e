// Worker tracking of zone_scheduler: reports, leases, orphaned tasks,
// quarantine and recovery of gangs that an earlier scheduler started.
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

void zone_scheduler::apply_report(const worker_report& report, instant now,
                                  action_list& out)
{
    worker_index index = pool_.find_or_add(report.info_);
    if (!is_confirmed(index, report))
        return;
    update_worker(index, report, now, out);
    apply_reported_parts(index, report, now, out);
    handle_unknown_parts(index, report, now, out);
    clear_orphans(index, report);
}

// A report of another incarnation is no proof that the live one has ended: it
// may be a late one of an earlier process, or of another writer. A process that
// applies a command sent after its first report is alive, so the worker has
// restarted.
bool zone_scheduler::is_confirmed(worker_index index,
                                  const worker_report& report)
{
    const pool_worker& worker = pool_.at(index);
    if (!worker.alive_) {
        newcomers_.erase(index);
        return true;
    }
    if (worker.incarnation_ == report.incarnation_)
        return true;
    newcomer& item = newcomers_[index];
    bool is_known = item.incarnation_ == report.incarnation_;
    if (is_known && report.epoch_ == options_.epoch_ &&
        report.applied_command_ >= item.commands_.front().number_) {
        newcomers_.erase(index);
        return true;
    }
    if (is_known)
        return false;
    worker_command command;
    command.kind_ = command_kind::confirm;
    command.epoch_ = options_.epoch_;
    pool_.change(index, [&command](pool_worker& changed) {
        command.number_ = ++changed.last_command_;
    });
    item = {report.incarnation_, {command}};
    return false;
}

void zone_scheduler::update_worker(worker_index index,
                                   const worker_report& report, instant now,
                                   action_list& out)
{
    const pool_worker& worker = pool_.at(index);
    bool restarted = !worker.incarnation_.empty() &&
                     worker.incarnation_ != report.incarnation_;
    if (worker.alive_ && restarted)
        handle_worker_loss(index, restarted, now, out);
    // The rack is part of a worker's identity. A worker that moves to another
    // rack needs a new name; a changed rack is ignored.
    worker_info info = report.info_;
    info.rack_ = worker.info_.rack_;
    if (worker.alive_)
        resize_worker(index, info, now, out);
    bool could_carry_guarantees = worker.can_carry_guarantees();
    bool was_suspect = worker.suspect_;
    by_report_.erase({worker.last_report_, index});
    by_report_.insert({now, index});
    bool same_epoch = report.epoch_ == options_.epoch_;
    pool_.change(index, [&](pool_worker& item) {
        if (restarted) {
            item.orphaned_ = 0;
            item.acknowledged_ = 0;
        }
        // Command numbers continue after the highest that was applied.
        if (same_epoch)
            item.last_command_ =
                std::max(item.last_command_, report.applied_command_);
        if (!item.alive_) {
            item.info_ = info;
            item.resizing_ = false;
        }
        item.incarnation_ = report.incarnation_;
        item.last_report_ = now;
        item.alive_ = true;
        item.suspect_ = false;
        if (same_epoch)
            item.acknowledged_ = report.applied_command_;
    });
    if (restarted) {
        driver_->clear_outbox(index);
        forget_orphans(index);
    }
    if (same_epoch)
        driver_->acknowledge(index, report.applied_command_);
    if (report.draining_ && !worker.draining_) {
        pool_.change(index, [](pool_worker& item) { item.draining_ = true; });
        withdraw_guarantees(index, out);
    } else if (!report.draining_ && worker.draining_) {
        pool_.change(index, [](pool_worker& item) { item.draining_ = false; });
    }
    if (!could_carry_guarantees && worker.can_carry_guarantees()) {
        ledger_dirty_ = true;
        pass_pending_ = true;
    }
    pass_pending_ = pass_pending_ || was_suspect;
}

// The tasks of a live worker go on whatever it reports as its resources, so
// smaller ones count only when the gangs beyond them are confirmed as ended.
void zone_scheduler::resize_worker(worker_index index, const worker_info& info,
                                   instant now, action_list& out)
{
    const pool_worker& worker = pool_.at(index);
    if (worker.info_ == info) {
        pool_.change(index, [](pool_worker& item) { item.resizing_ = false; });
        return;
    }
    bool is_larger = info.accelerators_ >= worker.info_.accelerators_ &&
                     info.processors_ >= worker.info_.processors_ &&
                     info.memory_mb_ >= worker.info_.memory_mb_;
    if (!is_larger && (!worker.resizing_ || worker.reserved_ > 0)) {
        pool_.change(index, [](pool_worker& item) { item.resizing_ = true; });
        withdraw_guarantees(index, out);
    }
    if (!is_larger)
        stop_gangs_beyond(index, info, now, out);
    bool fits = worker.allocated_ + worker.orphaned_ <= info.accelerators_ &&
                worker.processors_ <= info.processors_ &&
                worker.memory_mb_ <= info.memory_mb_;
    if (!is_larger && !fits)
        return;
    pool_.change(index, [&info](pool_worker& item) {
        item.info_ = info;
        item.resizing_ = false;
    });
    ledger_dirty_ = true;
    pass_pending_ = true;
}

// Gangs that may run only once are the last to be stopped.
void zone_scheduler::stop_gangs_beyond(worker_index index,
                                       const worker_info& info, instant now,
                                       action_list& out)
{
    std::set<std::pair<bool, gang_key>> gangs;
    for (const gang_key& key : pool_.at(index).gangs_)
        gangs.insert({gangs_.at(key).spec_.repeatable_, key});
    resource_amount kept{pool_.at(index).orphaned_, 0, 0};
    for (const auto& [repeatable, key] : gangs) {
        auto found = gangs_.find(key);
        if (found == gangs_.end() ||
            found->second.phase_ == gang_phase::stopping)
            continue;
        resource_amount total = kept;
        for (const gang_part& part : found->second.parts_) {
            if (part.worker_ != index)
                continue;
            resource_amount amount =
                gang_driver::amount_of(found->second, part);
            total.accelerators_ += amount.accelerators_;
            total.processors_ += amount.processors_;
            total.memory_mb_ += amount.memory_mb_;
        }
        bool fits = total.accelerators_ <= info.accelerators_ &&
                    total.processors_ <= info.processors_ &&
                    total.memory_mb_ <= info.memory_mb_;
        if (fits) {
            kept = total;
            continue;
        }
        stop_gang(found->second, stop_cause::part_lost, now, out);
        update_gang(found->second, now, out);
    }
}

// The worker restarted or its lease expired: none of its tasks runs on.
void zone_scheduler::handle_worker_loss(worker_index index, bool has_restarted,
                                        instant now, action_list& out)
{
    // Command numbers are not reset: the same incarnation may come back and
    // would ignore smaller numbers as commands that it has applied already.
    pool_.change(index, [](pool_worker& item) { item.alive_ = false; });
    driver_->clear_outbox(index);
    std::set<gang_key> affected = pool_.at(index).gangs_;
    for (const gang_key& key : affected) {
        gang& item = gangs_.at(key);
        for (gang_part& part : item.parts_) {
            if (part.worker_ == index && part.phase_ != part_phase::ended)
                driver_->mark_part_lost(item, part, now);
        }
        bool has_crashed = has_restarted && item.started_ &&
                           now - item.created_at_ < max_crash_age;
        stop_gang(item,
                  has_crashed ? stop_cause::worker_crashed
                              : stop_cause::part_lost,
                  now, out);
        update_gang(item, now, out);
    }
    withdraw_guarantees(index, out);
    failure_tracker_->forget_worker(pool_.at(index).info_.name_);
    pass_pending_ = true;
}

// Moves guarantees off a worker that can no longer carry them.
void zone_scheduler::withdraw_guarantees(worker_index index, action_list& out)
{
    if (options_.fault_ == scheduling_fault::guarantees_stay_on_lost_workers)
        return;
    std::size_t shortages_before = ledger_.shortages().size();
    std::set<gang_key> affected = pool_.at(index).gangs_;
    for (const gang_key& key : affected)
        demote_gang(gangs_.at(key));
    ledger_.relocate_blocks(index, [this](std::size_t block) {
        for (auto& [key, item] : gangs_) {
            bool uses = std::any_of(item.parts_.begin(), item.parts_.end(),
                                    [block](const gang_part& part) {
                                        return part.block_ == block;
                                    });
            if (uses)
                demote_gang(item);
        }
    });
    for (std::size_t i = shortages_before; i < ledger_.shortages().size();
         ++i) {
        const guarantee_shortage& item = ledger_.shortages()[i];
        out.push_back(alarm_raised{"Team '" + item.team_.str() + "' lacks " +
                                   std::to_string(item.missing_) +
                                   " guaranteed accelerators: the "
                                   "live workers in zone '" +
                                   options_.zone_.str() +
                                   "' cannot hold a block of " +
                                   std::to_string(item.accelerators_) +
                                   " within " + to_text(item.within_) + "."});
    }
    pass_pending_ = true;
}

void zone_scheduler::apply_reported_parts(worker_index index,
                                          const worker_report& report,
                                          instant now, action_list& out)
{
    std::map<gang_key, const reported_part*> reported;
    for (const reported_part& part : report.parts_)
        reported[part.gang_] = &part;
    std::uint64_t applied =
        report.epoch_ == options_.epoch_ ? report.applied_command_ : 0;
    std::set<gang_key> affected = pool_.at(index).gangs_;
    for (const gang_key& key : affected) {
        auto entry = gangs_.find(key);
        if (entry == gangs_.end())
            continue;
        gang& item = entry->second;
        stop_cause cause = stop_cause::none;
        for (gang_part& part : item.parts_) {
            if (part.worker_ != index)
                continue;
            auto found = reported.find(key);
            const reported_part* reported_entry =
                found == reported.end() ? nullptr : found->second;
            part_phase before = part.phase_;
            cause = driver_->apply(item, part, reported_entry, applied, now);
            if (before != part.phase_ && part.phase_ == part_phase::finished)
                failure_tracker_->record_success(report.info_.name_);
        }
        if (cause == stop_cause::task_failed &&
            item.phase_ != gang_phase::stopping) {
            failure_tracker_->record_failure(report.info_.name_, key.job_);
            jobs_.at(key.job_).failed_on_.insert(index);
        }
        if (cause != stop_cause::none)
            stop_gang(item, cause, now, out);
        update_gang(item, now, out);
        if (cause == stop_cause::task_failed)
            quarantine_if_faulty(index, now, out);
    }
}

void zone_scheduler::handle_unknown_parts(worker_index index,
                                          const worker_report& report,
                                          instant now, action_list& out)
{
    for (const reported_part& part : report.parts_) {
        if (pool_.at(index).gangs_.contains(part.gang_))
            continue;
        if (recovering_until_ && adopt_part(index, part, now, out))
            continue;
        auto& known = orphans_[index];
        if (known.contains(part.gang_))
            continue;
        // All of the worker is the most that they can occupy.
        int amount = std::min(part.tasks_ * part.accelerators_,
                              pool_.at(index).info_.accelerators_);
        pool_.change(index,
                     [amount](pool_worker& item) { item.orphaned_ += amount; });
        known[part.gang_] = {amount,
                             driver_->stop_orphan(index, part.gang_, out)};
    }
}

// Adopts a part that an earlier scheduler of the zone started.
bool zone_scheduler::adopt_part(worker_index index, const reported_part& part,
                                instant now, action_list& out)
{
    auto found = jobs_.find(part.gang_.job_);
    if (found == jobs_.end())
        return false;
    job_entry& job = found->second;
    bool matches = !queue_.contains(part.gang_.job_) &&
                   job.record_.attempt_ == part.gang_.attempt_ &&
                   part.tasks_ <= job.record_.spec_.tasks_ &&
                   part.accelerators_ == job.record_.spec_.accelerators_;
    if (!matches)
        return false;
    auto [entry, inserted] = gangs_.try_emplace(part.gang_);
    gang& item = entry->second;
    if (inserted) {
        item.key_ = part.gang_;
        item.spec_ = job.record_.spec_;
        item.adopted_ = true;
        item.created_at_ = now;
        item.running_since_ = now;
        item.started_ = job.record_.state_ != job_state::acquiring;
        item.phase_ = gang_phase::running;
        job.gang_ = part.gang_;
    }
    gang_part adopted_part;
    adopted_part.worker_ = index;
    adopted_part.tasks_ = part.tasks_;
    adopted_part.phase_since_ = now;
    switch (part.state_) {
    case part_state::held:
        adopted_part.phase_ = part_phase::held;
        break;
    case part_state::finished:
        adopted_part.phase_ = part_phase::finished;
        break;
    case part_state::checkpointed:
        adopted_part.phase_ = part_phase::checkpointed;
        break;
    case part_state::running:
        adopted_part.phase_ = part_phase::running;
        break;
    case part_state::failed:
    case part_state::refused:
        adopted_part.phase_ = part_phase::failed;
        break;
    }
    item.started_ = item.started_ || adopted_part.phase_ != part_phase::held;
    resource_amount amount = gang_driver::amount_of(item, adopted_part);
    item.parts_.push_back(adopted_part);
    pool_.change(index, [&](pool_worker& worker) {
        int used = worker.occupied_ + amount.accelerators_;
        // A worker that shrank may still run what it held before.
        if (used > worker.info_.accelerators_) {
            worker.info_.accelerators_ = used;
            worker.resizing_ = true;
        }
    });
    pool_.allocate(index, amount, item.allocation_);
    pool_.change(index, [&](pool_worker& worker) {
        worker.occupied_ += amount.accelerators_;
        worker.gangs_.insert(item.key_);
    });
    // Reports of the earlier epoch can overtake each other: one that does not
    // list the part may be older than this one.
    driver_->confirm(item, item.parts_.back(), now, out);
    return true;
}

void zone_scheduler::clear_orphans(worker_index index,
                                   const worker_report& report)
{
    auto found = orphans_.find(index);
    if (found == orphans_.end() || report.epoch_ != options_.epoch_)
        return;
    std::erase_if(found->second, [&](const auto& entry) {
        const gang_key& gang = entry.first;
        const orphan& item = entry.second;
        bool listed = std::any_of(
            report.parts_.begin(), report.parts_.end(),
            [&gang](const reported_part& part) { return part.gang_ == gang; });
        if (listed || report.applied_command_ < item.command_)
            return false;
        pool_.change(index, [&item](pool_worker& worker) {
            worker.orphaned_ -= item.accelerators_;
        });
        pass_pending_ = true;
        return true;
    });
    if (found->second.empty())
        orphans_.erase(found);
}

void zone_scheduler::forget_orphans(worker_index index)
{
    orphans_.erase(index);
}

void zone_scheduler::expire_leases(instant now, action_list& out)
{
    duration limit = options_.lease_ + lease_margin;
    while (!by_report_.empty() && by_report_.begin()->first + limit <= now) {
        worker_index index = by_report_.begin()->second;
        by_report_.erase(by_report_.begin());
        pool_.change(index, [](pool_worker& item) { item.orphaned_ = 0; });
        forget_orphans(index);
        handle_worker_loss(index, false, now, out);
        out.push_back(alarm_raised{"Worker '" +
                                   pool_.at(index).info_.name_.str() +
                                   "' was lost: its lease expired."});
    }
}

void zone_scheduler::quarantine_if_faulty(worker_index index, instant now,
                                          action_list& out)
{
    const pool_worker& worker = pool_.at(index);
    if (worker.quarantined_ ||
        !failure_tracker_->is_worker_faulty(worker.info_.name_))
        return;
    std::size_t max_quarantined = pool_.size() * max_quarantined_percent / 100;
    if (pool_.size() >= min_pool_for_quarantine)
        max_quarantined = std::max<std::size_t>(max_quarantined, 1);
    if (options_.fault_ == scheduling_fault::unlimited_quarantine)
        max_quarantined = pool_.size();
    if (pool_.quarantined() >= max_quarantined) {
        out.push_back(alarm_raised{"Worker '" + worker.info_.name_.str() +
                                   "' is faulty but was not quarantined: the "
                                   "quarantine limit is reached."});
        return;
    }
    pool_.change(index, [](pool_worker& item) { item.quarantined_ = true; });
    quarantine_ends_[index] = now + quarantine_duration;
    failure_tracker_->forget_worker(worker.info_.name_);
    withdraw_guarantees(index, out);
    out.push_back(alarm_raised{"Worker '" + worker.info_.name_.str() +
                               "' was quarantined: several different jobs "
                               "failed on it in a row."});
}

void zone_scheduler::end_quarantines(instant now)
{
    for (auto it = quarantine_ends_.begin(); it != quarantine_ends_.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        pool_.change(it->first,
                     [](pool_worker& item) { item.quarantined_ = false; });
        ledger_dirty_ = true;
        pass_pending_ = true;
        it = quarantine_ends_.erase(it);
    }
}

void zone_scheduler::end_recovery(instant now, action_list& out)
{
    recovering_until_.reset();
    std::vector<gang_key> adopted;
    for (const auto& [key, item] : gangs_)
        adopted.push_back(key);
    ledger_.configure(rules_, options_.zone_);
    for (const gang_key& key : adopted)
        restore_allocation(gangs_.at(key));
    ledger_.place_missing_blocks(true);
    for (const gang_key& key : adopted) {
        gang& item = gangs_.at(key);
        job_entry& job = jobs_.at(key.job_);
        int tasks = 0;
        bool healthy = true;
        for (const gang_part& part : item.parts_) {
            tasks += part.tasks_;
            healthy = healthy && (part.phase_ == part_phase::running ||
                                  part.phase_ == part_phase::finished ||
                                  part.phase_ == part_phase::checkpointed);
        }
        bool complete = healthy && tasks == item.spec_.tasks_;
        if (!complete || job.cancel_requested_) {
            stop_gang(item,
                      job.cancel_requested_ ? stop_cause::cancelled
                                            : stop_cause::part_lost,
                      now, out);
            update_gang(item, now, out);
            continue;
        }
        set_state(job, job_state::running, {}, out);
        index_preemptible_gang(item);
        update_gang(item, now, out);
    }
    // Jobs whose gang no worker has reported have lost it.
    std::vector<job_id> lost_jobs;
    for (const auto& [id, job] : jobs_) {
        if (!job.gang_ && !queue_.contains(id))
            lost_jobs.push_back(id);
    }
    for (const job_id& id : lost_jobs) {
        job_entry& job = jobs_.at(id);
        bool may_have_run = job.record_.state_ != job_state::acquiring;
        if (may_have_run && !job.record_.spec_.repeatable_)
            end_job(job, job_state::unknown,
                    "its workers were lost with the scheduler", out);
        // Without an earlier crash, the loss is no evidence against the job.
        else if (may_have_run && job.record_.crashed_attempts_ > 0)
            count_crashed_attempt(job, now, out);
        else
            requeue(job, now, out);
    }
    ledger_dirty_ = true;
    pass_pending_ = true;
}

// Restores the allocation class that an adopted gang had under the earlier
// scheduler, if the pool still permits it.
void zone_scheduler::restore_allocation(gang& item)
{
    const job_entry& job = jobs_.at(item.key_.job_);
    allocation_class allocation = allocation_class::borrowed;
    std::optional<std::vector<std::size_t>> blocks;
    if (job.record_.guaranteed_) {
        placement_plan parts;
        for (const gang_part& part : item.parts_)
            parts.push_back({part.worker_, part.tasks_});
        blocks = ledger_.adopt(item.spec_, parts);
        allocation =
            blocks ? allocation_class::guaranteed : allocation_class::borrowed;
    }
    bool pinned = !blocks && !item.spec_.repeatable_;
    for (const gang_part& part : item.parts_) {
        int need = gang_driver::amount_of(item, part).accelerators_;
        pinned = pinned && pool_.at(part.worker_).unreserved() >= need;
    }
    if (pinned)
        allocation = allocation_class::pinned;
    if (allocation == allocation_class::borrowed)
        return;
    for (std::size_t i = 0; i < item.parts_.size(); ++i) {
        gang_part& part = item.parts_[i];
        resource_amount amount = gang_driver::amount_of(item, part);
        pool_.release(part.worker_, amount, item.allocation_);
        pool_.allocate(part.worker_, amount, allocation);
        if (blocks)
            part.block_ = (*blocks)[i];
    }
    item.allocation_ = allocation;
}

} // namespace dandelioncrank
