#include "dandelioncrank/scheduling/zone_scheduler.hpp"

#include "dandelioncrank/core/invariant.hpp"
#include "dandelioncrank/core/overloaded.hpp"
#include "gang_driver.hpp"
#include "preemption_index.hpp"
#include "reclaim_planner.hpp"
#include "worker_evidence.hpp"

#include <algorithm>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

// A lost worker's tasks end with its lease; the margin covers clock rates.
constexpr duration lease_margin = 1s;
constexpr duration quarantine_time = 10min;
// Share of the workers that may be in quarantine at once.
constexpr std::size_t quarantine_cap_percent = 10;
// In a smaller pool one worker would be more than a quarter of it.
constexpr std::size_t least_pool_for_quarantine = 4;
// Waiting jobs of all teams together.
constexpr std::size_t max_waiting_jobs = 100000;
constexpr duration pass_interval = 20ms;
constexpr duration command_answer_time = 1s;
constexpr duration hold_time = 2s;
// Placing all guarantees anew looks at the whole pool.
constexpr duration repack_interval = 2s;
// Wait before a job is tried again that a worker refused to hold.
constexpr duration refused_hold_wait = 1s;
// Tries of a job whose tasks fail, however few workers there are.
constexpr int max_failures = 6;
// Doubles with each failure of the job.
constexpr duration first_failure_wait = 500ms;

// A queued job that may run once and fits nowhere for good is given up on
// after this time; the pool may have shrunk for a moment only.
constexpr duration unfit_time = 2min;
constexpr duration unfit_check_interval = 10s;
const char* const unfit_reason =
    "it may run only once, and only accelerators kept for other teams' "
    "guarantees could hold it";

bool all_finished(const gang& item)
{
    return std::all_of(item.parts_.begin(), item.parts_.end(),
                       [](const gang_part& part) {
                           return part.phase_ == part_phase::finished;
                       });
}

} // namespace

zone_scheduler::zone_scheduler(scheduler_options options)
    : options_(std::move(options)), ledger_(pool_), queue_(options_.order_),
      driver_(std::make_unique<gang_driver>(pool_, options_.epoch_,
                                            options_.fault_)),
      evidence_(std::make_unique<worker_evidence>()),
      preemptable_(std::make_unique<preemption_index>()),
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
    // While reports of an earlier owner's gangs come in, blocks wait, so
    // that they can be placed around the gangs that run.
    if (!recovering_until_) {
        ledger_.configure(rules_, options_.zone_);
        ledger_.restore(true);
    }
    pass_wanted_ = true;
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
                take_report(item.report_, now, out);
            },
            [&](const start_recorded& item) {
                take_start_record(item.gang_, now, out);
            },
            [&](const scheduler_ticked&) { tick(now, out); }},
        event);
    bool due = urgent_waiting_ || now - last_pass_ >= pass_interval;
    if (pass_wanted_ && due && !recovering_until_)
        run_pass(now, out);
    return out;
}

// --- Admission

bool zone_scheduler::fits_pool(const job_spec& spec) const
{
    return fits_in_rooms(spec, [](const pool_worker& worker) {
        return worker.info_.accelerators_;
    });
}

bool zone_scheduler::fits_for_good(const job_spec& spec) const
{
    bool has_own_place = spec.accelerators_ == 0 || ledger_.could_hold(spec);
    return has_own_place || fits_in_rooms(spec, [](const pool_worker& worker) {
               return worker.dependable()
                          ? worker.info_.accelerators_ - worker.reserved_
                          : 0;
           });
}

// Whether the gang fits its adjacency if each worker has so much room. Tasks
// are not split, so a worker may have accelerators left over.
bool zone_scheduler::fits_in_rooms(
    const job_spec& spec,
    const std::function<int(const pool_worker&)>& room) const
{
    if (spec.accelerators_ == 0)
        return pool_.size() > 0;
    int all = 0;
    for (const pool_rack& rack : pool_.racks()) {
        int in_rack = 0;
        for (worker_index index : rack.workers_) {
            int tasks = room(pool_.at(index)) / spec.accelerators_;
            if (tasks >= spec.tasks_)
                return true;
            in_rack += tasks;
        }
        if (spec.within_ != adjacency::worker && in_rack >= spec.tasks_)
            return true;
        all += in_rack;
    }
    return spec.within_ == adjacency::any && all >= spec.tasks_;
}

// Waiting for accelerators that may never be had is no answer: the job has
// not run, and its owner is told so.
void zone_scheduler::give_up_on_unfit(instant now, action_list& out)
{
    if (now - last_unfit_check_ < unfit_check_interval)
        return;
    last_unfit_check_ = now;
    std::vector<job_id> given_up;
    for (const auto& [place, id] : queue_.in_order()) {
        job_entry& job = jobs_.at(id);
        const job_spec& spec = job.record_.spec_;
        if (spec.repeatable_ || fits_for_good(spec)) {
            job.unfit_since_.reset();
            continue;
        }
        if (!job.unfit_since_)
            job.unfit_since_ = now;
        if (now - *job.unfit_since_ >= unfit_time)
            given_up.push_back(id);
    }
    for (const job_id& id : given_up)
        end_job(jobs_.at(id), job_state::not_run, unfit_reason, out);
}

std::string zone_scheduler::refusal(const job_spec& spec) const
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
        !fits_for_good(spec))
        return unfit_reason;
    auto zone = rules_.zones_.find(options_.zone_);
    if (zone == rules_.zones_.end())
        return {};
    const zone_rule& rule = zone->second;
    int in_worker = spec.accelerators_ == 0
                        ? spec.tasks_
                        : rule.accelerators_ / spec.accelerators_;
    int in_rack = in_worker * rule.workers_per_rack_;
    int most = spec.within_ == adjacency::worker ? in_worker
               : spec.within_ == adjacency::rack ? in_rack
                                                 : in_rack * rule.racks_;
    bool planned = spec.tasks_ <= most;
    if (planned || fits_pool(spec))
        return {};
    return "no " + to_text(spec.within_) + " in zone '" + options_.zone_.str() +
           "' could ever hold " + std::to_string(spec.total_accelerators()) +
           " accelerators, " + std::to_string(spec.accelerators_) + " a task";
}

void zone_scheduler::submit(const job_spec& spec, instant now, action_list& out)
{
    // A doubled submit of a known job changes nothing.
    if (jobs_.contains(spec.id_))
        return;
    std::string reason = refusal(spec);
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
    job.cancel_wanted_ = true;
    if (!job.gang_) {
        // It may have run before and been preempted; nothing runs now.
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

// --- Workers

void zone_scheduler::take_report(const worker_report& report, instant now,
                                 action_list& out)
{
    worker_index index = pool_.upsert(report.info_);
    greet_worker(index, report, now, out);
    take_parts(index, report, now, out);
    take_unknown_parts(index, report, now, out);
    clear_orphans(index, report);
}

void zone_scheduler::greet_worker(worker_index index,
                                  const worker_report& report, instant now,
                                  action_list& out)
{
    const pool_worker& worker = pool_.at(index);
    bool restarted = !worker.incarnation_.empty() &&
                     worker.incarnation_ != report.incarnation_;
    bool changed = worker.info_ != report.info_;
    if (worker.alive_ && (restarted || changed))
        lose_worker(index, now, out);
    bool was_dependable = worker.dependable();
    bool was_suspect = worker.suspect_;
    by_report_.erase({worker.last_report_, index});
    by_report_.insert({now, index});
    bool same_epoch = report.epoch_ == options_.epoch_;
    pool_.change(index, [&](pool_worker& item) {
        if (restarted) {
            item.orphaned_ = 0;
            item.acknowledged_ = 0;
        }
        // Numbers only rise, whatever a worker has obeyed before.
        if (same_epoch)
            item.last_command_ =
                std::max(item.last_command_, report.applied_command_);
        // A worker that moved to another rack keeps its first place: racks
        // are part of its identity, and a new rack needs a new name.
        rack_name rack = item.info_.rack_;
        item.info_ = report.info_;
        item.info_.rack_ = rack;
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
        withdraw_worker(index, now, out);
    } else if (!report.draining_ && worker.draining_) {
        pool_.change(index, [](pool_worker& item) { item.draining_ = false; });
    }
    if (!was_dependable && worker.dependable()) {
        ledger_dirty_ = true;
        pass_wanted_ = true;
    }
    pass_wanted_ = pass_wanted_ || was_suspect;
}

// The worker restarted or its lease ran out: nothing runs on it any more.
void zone_scheduler::lose_worker(worker_index index, instant now,
                                 action_list& out)
{
    // Command numbers go on: the same incarnation may come back and would
    // take smaller numbers for commands that it has carried out already.
    pool_.change(index, [](pool_worker& item) { item.alive_ = false; });
    driver_->clear_outbox(index);
    std::set<gang_key> here = pool_.at(index).gangs_;
    for (const gang_key& key : here) {
        gang& item = gangs_.at(key);
        for (gang_part& part : item.parts_) {
            if (part.worker_ == index && part.phase_ != part_phase::gone)
                driver_->lose_part(item, part, now);
        }
        stop_gang(item, stop_cause::member_lost, now, out);
        update_gang(item, now, out);
    }
    withdraw_worker(index, now, out);
    evidence_->forget_worker(pool_.at(index).info_.name_);
    pass_wanted_ = true;
}

// Guarantees move off a worker that cannot be relied on.
void zone_scheduler::withdraw_worker(worker_index index, instant now,
                                     action_list& out)
{
    if (options_.fault_ == scheduling_fault::guarantees_stay_on_lost_workers)
        return;
    std::size_t short_before = ledger_.shortages().size();
    std::set<gang_key> here = pool_.at(index).gangs_;
    for (const gang_key& key : here)
        demote_gang(gangs_.at(key));
    ledger_.drop_worker(index, [this](std::size_t block) {
        for (auto& [key, item] : gangs_) {
            bool uses = std::any_of(item.parts_.begin(), item.parts_.end(),
                                    [block](const gang_part& part) {
                                        return part.block_ == block;
                                    });
            if (uses)
                demote_gang(item);
        }
    });
    for (std::size_t i = short_before; i < ledger_.shortages().size(); ++i) {
        const guarantee_shortage& item = ledger_.shortages()[i];
        out.push_back(
            alarm_raised{"Team '" + item.team_.str() + "' is short of " +
                         std::to_string(item.missing_) +
                         " guaranteed accelerators: the "
                         "workers alive in zone '" +
                         options_.zone_.str() + "' cannot hold a block of " +
                         std::to_string(item.accelerators_) + " within " +
                         to_text(item.within_) + "."});
    }
    pass_wanted_ = true;
    (void)now;
}

void zone_scheduler::take_parts(worker_index index, const worker_report& report,
                                instant now, action_list& out)
{
    std::map<gang_key, const reported_part*> reported;
    for (const reported_part& part : report.parts_)
        reported[part.gang_] = &part;
    std::uint64_t applied =
        report.epoch_ == options_.epoch_ ? report.applied_command_ : 0;
    std::set<gang_key> here = pool_.at(index).gangs_;
    for (const gang_key& key : here) {
        auto entry = gangs_.find(key);
        if (entry == gangs_.end())
            continue;
        gang& item = entry->second;
        stop_cause cause = stop_cause::none;
        for (gang_part& part : item.parts_) {
            if (part.worker_ != index)
                continue;
            auto found = reported.find(key);
            const reported_part* said =
                found == reported.end() ? nullptr : found->second;
            part_phase before = part.phase_;
            cause = driver_->apply(item, part, said, applied, now);
            if (before != part.phase_ && part.phase_ == part_phase::finished)
                evidence_->record_success(report.info_.name_);
        }
        if (cause == stop_cause::task_failed &&
            item.phase_ != gang_phase::stopping) {
            evidence_->record_failure(report.info_.name_, key.job_);
            jobs_.at(key.job_).failed_on_.insert(index);
        }
        if (cause != stop_cause::none)
            stop_gang(item, cause, now, out);
        update_gang(item, now, out);
        if (cause == stop_cause::task_failed)
            judge_worker(index, now, out);
    }
}

void zone_scheduler::take_unknown_parts(worker_index index,
                                        const worker_report& report,
                                        instant now, action_list& out)
{
    for (const reported_part& part : report.parts_) {
        if (pool_.at(index).gangs_.contains(part.gang_))
            continue;
        if (recovering_until_ && adopt_part(index, part, now))
            continue;
        auto& known = orphans_[index];
        if (known.contains(part.gang_))
            continue;
        int amount = part.tasks_ * part.accelerators_;
        pool_.change(index,
                     [amount](pool_worker& item) { item.orphaned_ += amount; });
        known[part.gang_] = {amount,
                             driver_->stop_orphan(index, part.gang_, out)};
    }
}

// Takes over a part that an earlier owner of the zone started.
bool zone_scheduler::adopt_part(worker_index index, const reported_part& part,
                                instant now)
{
    auto found = jobs_.find(part.gang_.job_);
    if (found == jobs_.end())
        return false;
    job_entry& job = found->second;
    bool matches = !queue_.contains(part.gang_.job_) &&
                   job.record_.attempt_ == part.gang_.attempt_ &&
                   part.accelerators_ == job.record_.spec_.accelerators_;
    if (!matches)
        return false;
    auto [entry, fresh] = gangs_.try_emplace(part.gang_);
    gang& item = entry->second;
    if (fresh) {
        item.key_ = part.gang_;
        item.spec_ = job.record_.spec_;
        item.adopted_ = true;
        item.created_at_ = now;
        item.running_since_ = now;
        item.started_ = job.record_.state_ != job_state::acquiring;
        item.phase_ = gang_phase::running;
        job.gang_ = part.gang_;
    }
    gang_part own;
    own.worker_ = index;
    own.tasks_ = part.tasks_;
    own.since_ = now;
    switch (part.state_) {
    case part_state::held:
        own.phase_ = part_phase::held;
        break;
    case part_state::finished:
        own.phase_ = part_phase::finished;
        break;
    case part_state::checkpointed:
        own.phase_ = part_phase::checkpointed;
        break;
    case part_state::running:
        own.phase_ = part_phase::running;
        break;
    case part_state::failed:
    case part_state::refused:
        own.phase_ = part_phase::failed;
        break;
    }
    item.started_ = item.started_ || own.phase_ != part_phase::held;
    resource_amount amount = gang_driver::amount_of(item, own);
    item.parts_.push_back(own);
    pool_.allocate(index, amount, item.terms_);
    pool_.change(index, [&](pool_worker& worker) {
        worker.occupied_ += amount.accelerators_;
        worker.gangs_.insert(item.key_);
    });
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
        pass_wanted_ = true;
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
        lose_worker(index, now, out);
        out.push_back(alarm_raised{"Worker '" +
                                   pool_.at(index).info_.name_.str() +
                                   "' was lost: its lease ran out."});
    }
}

void zone_scheduler::judge_worker(worker_index index, instant now,
                                  action_list& out)
{
    const pool_worker& worker = pool_.at(index);
    if (worker.quarantined_ || !evidence_->blames_worker(worker.info_.name_))
        return;
    std::size_t most = pool_.size() * quarantine_cap_percent / 100;
    if (pool_.size() >= least_pool_for_quarantine)
        most = std::max<std::size_t>(most, 1);
    if (options_.fault_ == scheduling_fault::unlimited_quarantine)
        most = pool_.size();
    if (pool_.quarantined() >= most) {
        out.push_back(alarm_raised{"Worker '" + worker.info_.name_.str() +
                                   "' fails everything, but the cap on "
                                   "quarantine is reached."});
        return;
    }
    pool_.change(index, [](pool_worker& item) { item.quarantined_ = true; });
    quarantine_ends_[index] = now + quarantine_time;
    evidence_->forget_worker(worker.info_.name_);
    withdraw_worker(index, now, out);
    out.push_back(alarm_raised{"Worker '" + worker.info_.name_.str() +
                               "' is in quarantine: different jobs failed "
                               "on it in a row."});
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
        pass_wanted_ = true;
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
        restore_terms(gangs_.at(key));
    ledger_.restore(true);
    for (const gang_key& key : adopted) {
        gang& item = gangs_.at(key);
        job_entry& job = jobs_.at(key.job_);
        int tasks = 0;
        bool sound = true;
        for (const gang_part& part : item.parts_) {
            tasks += part.tasks_;
            sound = sound && (part.phase_ == part_phase::running ||
                              part.phase_ == part_phase::finished ||
                              part.phase_ == part_phase::checkpointed);
        }
        bool whole = sound && tasks == item.spec_.tasks_;
        if (!whole || job.cancel_wanted_) {
            stop_gang(item,
                      job.cancel_wanted_ ? stop_cause::cancelled
                                         : stop_cause::member_lost,
                      now, out);
            update_gang(item, now, out);
            continue;
        }
        set_state(job, job_state::running, {}, out);
        index_running(item);
        update_gang(item, now, out);
    }
    // A job whose gang nobody reports any more has lost it.
    std::vector<job_id> lost;
    for (const auto& [id, job] : jobs_) {
        if (!job.gang_ && !queue_.contains(id))
            lost.push_back(id);
    }
    for (const job_id& id : lost) {
        job_entry& job = jobs_.at(id);
        bool may_have_run = job.record_.state_ != job_state::acquiring;
        if (may_have_run && !job.record_.spec_.repeatable_)
            end_job(job, job_state::unknown,
                    "its workers were lost with the scheduler", out);
        else
            requeue(job, now, out);
    }
    ledger_dirty_ = true;
    pass_wanted_ = true;
}

// Gives an adopted gang the terms that it had under the earlier owner, as
// far as they can be had.
void zone_scheduler::restore_terms(gang& item)
{
    const job_entry& job = jobs_.at(item.key_.job_);
    tenure terms = tenure::borrowed;
    std::optional<std::vector<std::size_t>> blocks;
    if (job.record_.guaranteed_) {
        placement_plan parts;
        for (const gang_part& part : item.parts_)
            parts.push_back({part.worker_, part.tasks_});
        blocks = ledger_.adopt(item.spec_, parts);
        terms = blocks ? tenure::guaranteed : tenure::borrowed;
    }
    bool pinned = !blocks && !item.spec_.repeatable_;
    for (const gang_part& part : item.parts_) {
        int need = gang_driver::amount_of(item, part).accelerators_;
        pinned = pinned && pool_.at(part.worker_).unreserved() >= need;
    }
    if (pinned)
        terms = tenure::pinned;
    if (terms == tenure::borrowed)
        return;
    for (std::size_t i = 0; i < item.parts_.size(); ++i) {
        gang_part& part = item.parts_[i];
        resource_amount amount = gang_driver::amount_of(item, part);
        pool_.release(part.worker_, amount, item.terms_);
        pool_.allocate(part.worker_, amount, terms);
        if (blocks)
            part.block_ = (*blocks)[i];
    }
    item.terms_ = terms;
}

// --- Gangs

void zone_scheduler::start_gang(job_entry& job, const placement_plan& plan,
                                tenure terms,
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
    item.terms_ = terms;
    item.created_at_ = now;
    item.start_allowed_ = spec.repeatable_;
    for (std::size_t i = 0; i < plan.size(); ++i) {
        gang_part part;
        part.worker_ = plan[i].worker_;
        part.tasks_ = plan[i].tasks_;
        part.since_ = now;
        if (!blocks.empty())
            part.block_ = blocks[i];
        pool_.allocate(part.worker_, gang_driver::amount_of(item, part), terms);
        pool_.change(part.worker_, [&key](pool_worker& worker) {
            worker.gangs_.insert(key);
        });
        item.parts_.push_back(part);
    }
    job.gang_ = key;
    job.record_.guaranteed_ = terms == tenure::guaranteed;
    unsettled_.insert(key);
    set_state(job, job_state::acquiring, {}, out);
    driver_->advance(item, now, out);
}

void zone_scheduler::update_gang(gang& item, instant now, action_list& out)
{
    // What an earlier owner left is judged only once all reports are in.
    if (recovering_until_)
        return;
    gang_phase before = item.phase_;
    driver_->advance(item, now, out);
    for (gang_part& part : item.parts_) {
        if (part.phase_ == part_phase::gone)
            release_part(item, part);
    }
    auto found = jobs_.find(item.key_.job_);
    bool is_current = found != jobs_.end() && found->second.gang_ == item.key_;
    if (item.phase_ == gang_phase::running) {
        if (is_current && before != gang_phase::running)
            set_state(found->second, job_state::running, {}, out);
        if (before != gang_phase::running)
            index_running(item);
        unsettled_.erase(item.key_);
        if (all_finished(item))
            stop_gang(item, stop_cause::finished, now, out);
    }
    // It finished while it was asked to save its progress.
    if (item.phase_ == gang_phase::stopping && is_current &&
        item.cause_ == stop_cause::preempted && all_finished(item)) {
        found->second.gang_.reset();
        end_job(found->second, job_state::completed, {}, out);
    }
    if (item.phase_ == gang_phase::stopping && gang_driver::all_gone(item))
        finish_gang(item, now, out);
}

void zone_scheduler::stop_gang(gang& item, stop_cause cause, instant now,
                               action_list& out)
{
    if (item.phase_ == gang_phase::stopping || recovering_until_)
        return;
    if (options_.fault_ == scheduling_fault::gang_survives_lost_member &&
        cause == stop_cause::member_lost)
        return;
    job_entry& job = jobs_.at(item.key_.job_);
    if (item.phase_ == gang_phase::running)
        job.attained_ += now - item.running_since_;
    bool checkpoint = cause == stop_cause::preempted && item.spec_.checkpoints_;
    driver_->stop(item, cause, checkpoint, now, out);
    preemptable_->erase(item.key_);
    unsettled_.insert(item.key_);
    // All tasks have reported their end: the job is done whatever becomes
    // of the workers while they clean up.
    if (cause == stop_cause::finished)
        end_job(job, job_state::completed, {}, out);
    else
        set_state(job, job_state::stopping, {}, out);
    pass_wanted_ = true;
}

void zone_scheduler::release_part(gang& item, gang_part& part)
{
    if (part.released_)
        return;
    part.released_ = true;
    resource_amount amount = gang_driver::amount_of(item, part);
    pool_.release(part.worker_, amount, item.terms_);
    pool_.change(part.worker_, [&](pool_worker& worker) {
        worker.gangs_.erase(item.key_);
        if (part.counted_stopping_)
            worker.stopping_ -= amount.accelerators_;
    });
    part.counted_stopping_ = false;
    if (part.block_)
        ledger_.release(*part.block_, part.worker_, amount.accelerators_);
    part.block_.reset();
    pass_wanted_ = true;
}

// The gang keeps its accelerators, but no longer under a guarantee.
void zone_scheduler::demote_gang(gang& item)
{
    if (item.terms_ != tenure::guaranteed)
        return;
    for (gang_part& part : item.parts_) {
        if (part.released_)
            continue;
        resource_amount amount = gang_driver::amount_of(item, part);
        pool_.release(part.worker_, amount, tenure::guaranteed);
        if (part.block_)
            ledger_.release(*part.block_, part.worker_, amount.accelerators_);
        part.block_.reset();
        pool_.allocate(part.worker_, amount, tenure::borrowed);
    }
    item.terms_ = tenure::borrowed;
    auto found = jobs_.find(item.key_.job_);
    if (found != jobs_.end())
        found->second.record_.guaranteed_ = false;
    if (item.phase_ == gang_phase::running)
        index_running(item);
}

// Gangs that could be moved to make room for others.
void zone_scheduler::index_running(const gang& item)
{
    bool movable = item.terms_ == tenure::borrowed && item.spec_.checkpoints_ &&
                   item.spec_.total_accelerators() > 0;
    auto found = jobs_.find(item.key_.job_);
    if (!movable || found == jobs_.end())
        return;
    duration declared = expected_remaining(item.spec_, duration::zero());
    preemptable_->insert(item.key_, item.running_since_,
                         found->second.attained_, declared);
}

void zone_scheduler::finish_gang(gang& item, instant now, action_list& out)
{
    gang_key key = item.key_;
    auto found = jobs_.find(key.job_);
    bool is_current = found != jobs_.end() && found->second.gang_ == key;
    if (is_current) {
        found->second.gang_.reset();
        settle_job(found->second, item, now, out);
    }
    unsettled_.erase(key);
    gangs_.erase(key);
    pass_wanted_ = true;
}

// Decides what becomes of a job whose gang has ended without finishing.
void zone_scheduler::settle_job(job_entry& job, const gang& item, instant now,
                                action_list& out)
{
    if (!item.checkpoint_done_ && item.started_)
        job.attained_ = duration::zero();
    if (job.cancel_wanted_) {
        end_job(job, job_state::cancelled, "cancelled by request", out);
        return;
    }
    bool may_repeat = item.spec_.repeatable_ || !item.started_;
    if (item.cause_ == stop_cause::task_failed) {
        std::size_t workers = evidence_->workers_failed_on(item.key_.job_);
        bool blamed = evidence_->blames_job(item.key_.job_) ||
                      ++job.failures_ >= max_failures;
        if (blamed || !may_repeat) {
            end_job(job, job_state::failed,
                    "tasks failed on " + std::to_string(workers) +
                        " different workers",
                    out);
            return;
        }
        job.not_before_ = now + first_failure_wait * (1 << job.failures_);
        wake_ups_.insert(job.not_before_);
    }
    if (item.cause_ == stop_cause::hold_refused) {
        job.not_before_ = now + refused_hold_wait;
        wake_ups_.insert(job.not_before_);
    }
    if (options_.fault_ == scheduling_fault::job_forgotten_after_loss &&
        item.cause_ == stop_cause::member_lost)
        return;
    if (may_repeat)
        requeue(job, now, out);
    else
        end_job(job, job_state::unknown,
                "its workers were lost after it had started, and it may run "
                "only once",
                out);
}

void zone_scheduler::take_start_record(const gang_key& key, instant now,
                                       action_list& out)
{
    auto found = gangs_.find(key);
    if (found == gangs_.end())
        return;
    found->second.start_allowed_ = true;
    update_gang(found->second, now, out);
}

bool zone_scheduler::has_unanswered_command(const gang& item, instant now) const
{
    return std::any_of(
        item.parts_.begin(), item.parts_.end(), [&](const gang_part& part) {
            return part.has_room() &&
                   part.command_ > pool_.at(part.worker_).acknowledged_ &&
                   now - part.command_at_ >= command_answer_time;
        });
}

void zone_scheduler::suspect_silent_workers(const gang& item, instant now)
{
    for (const gang_part& part : item.parts_) {
        bool silent = part.has_room() &&
                      part.command_ > pool_.at(part.worker_).acknowledged_ &&
                      now - part.command_at_ >= command_answer_time;
        if (silent && !pool_.at(part.worker_).suspect_) {
            pool_.change(part.worker_,
                         [](pool_worker& worker) { worker.suspect_ = true; });
        }
    }
}

// Gangs that do not move: silent workers are suspected, and a gang that
// waits for one of them is placed anew elsewhere.
void zone_scheduler::watch_gangs(instant now, action_list& out)
{
    std::set<gang_key> watched = unsettled_;
    for (const gang_key& key : watched) {
        auto found = gangs_.find(key);
        if (found == gangs_.end())
            continue;
        gang& item = found->second;
        if (has_unanswered_command(item, now))
            suspect_silent_workers(item, now);
        bool stuck = false;
        for (const gang_part& part : item.parts_) {
            bool slow_hold = part.phase_ == part_phase::hold_sent &&
                             now - part.since_ >= hold_time;
            bool silent = pool_.at(part.worker_).suspect_;
            stuck = stuck || slow_hold || silent;
        }
        if (stuck && item.phase_ == gang_phase::acquiring)
            stop_gang(item, stop_cause::hold_timeout, now, out);
        update_gang(item, now, out);
    }
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
    evidence_->forget_job(id);
    set_state(job, state, reason, out);
    jobs_.erase(id);
}

void zone_scheduler::requeue(job_entry& job, instant now, action_list& out)
{
    const job_spec& spec = job.record_.spec_;
    job.queued_at_ = now;
    queue_.insert(spec, job.arrived_at_, job.attained_);
    urgent_waiting_ = urgent_waiting_ || spec.urgent_;
    pass_wanted_ = true;
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
    while (!wake_ups_.empty() && *wake_ups_.begin() <= now) {
        wake_ups_.erase(wake_ups_.begin());
        pass_wanted_ = true;
    }
    expire_leases(now, out);
    end_quarantines(now);
    watch_gangs(now, out);
    if (ledger_dirty_ && !recovering_until_) {
        bool may_repack = now - last_repack_ >= repack_interval;
        ledger_dirty_ = !may_repack && !ledger_.shortages().empty();
        if (may_repack)
            last_repack_ = now;
        ledger_.restore(may_repack);
    }
    if (!recovering_until_)
        give_up_on_unfit(now, out);
    if (!recovering_until_ && options_.preempt_) {
        rescue_starving(now, out);
        swap_for_shorter(now, out);
    }
}

const std::deque<worker_command>&
zone_scheduler::commands_for(const worker_name& worker) const
{
    static const std::deque<worker_command> nothing;
    auto index = pool_.find(worker);
    return index ? driver_->outbox(*index) : nothing;
}

} // namespace dandelioncrank
