// Scheduling passes of zone_scheduler: placement, preemption, reservations.
#include "dandelioncrank/scheduling/zone_scheduler.hpp"

#include "failure_tracker.hpp"
#include "gang_driver.hpp"
#include "preemption_index.hpp"
#include "reclaim_planner.hpp"

#include <algorithm>
#include <tuple>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

// Jobs per team and pass that are tried within its guarantee.
constexpr int max_guaranteed_candidates = 4;
// A pass ends after this many jobs could not be placed.
constexpr int max_placement_failures = 64;
// Wait of a job that is not urgent before its team's guarantee is reclaimed
// from gangs that would lose their progress.
constexpr duration reclaim_grace_period = 60s;
// Wait of a job, although enough accelerators are free, before borrowed gangs
// are migrated for it.
constexpr duration defragmentation_delay = 15s;
// Time since arrival after which this is done even if too few are free.
constexpr duration starvation_threshold = 10min;
constexpr duration defragmentation_interval = 1s;
constexpr int max_defragmentations = 8;
constexpr int max_starvation_scan = 256;
constexpr duration srpt_interval = 1s;
constexpr int max_srpt_jobs = 8;
// Running gangs that are considered for preemption by shorter jobs.
constexpr std::size_t max_srpt_candidates = 256;
// Running gangs that are considered for migration for a starving job.
constexpr std::size_t max_migration_candidates = 1024;
// Wait of a gang before workers are reserved for it.
constexpr duration reservation_delay = 20s;
constexpr duration reservation_interval = 1s;
constexpr std::size_t max_reservations = 4;
// Limits thrashing: a gang is not migrated before it has run this long.
constexpr duration min_run_before_preemption = 30s;
// Least ratio of the expected remaining time of a running gang to that of the
// waiting job that preempts it.
constexpr int min_srpt_ratio = 3;

/// Jobs with equal demands: if one cannot be placed, none can.
using demand_key = std::tuple<int, int, int, int, adjacency, bool>;

demand_key demand_of(const job_spec& spec)
{
    return {spec.tasks_,     spec.accelerators_, spec.processors_,
            spec.memory_mb_, spec.within_,       spec.repeatable_};
}

allocation_class unguaranteed_allocation(const job_spec& spec)
{
    return spec.repeatable_ ? allocation_class::borrowed
                            : allocation_class::pinned;
}

} // namespace

void zone_scheduler::run_pass(instant now, action_list& out)
{
    pass_pending_ = false;
    urgent_waiting_ = false;
    last_pass_ = now;
    // The baseline without backfill has one queue and no guarantees.
    if (options_.backfill_)
        pass_guaranteed(now, out);
    pass_borrowed(now, out);
}

void zone_scheduler::pass_guaranteed(instant now, action_list& out)
{
    for (const team_name& team : queue_.waiting_teams()) {
        const auto* team_queue = queue_.of_team(team);
        std::vector<job_id> candidates;
        for (const auto& [position, id] : *team_queue) {
            if (candidates.size() >= max_guaranteed_candidates)
                break;
            if (ledger_.has_room_for(jobs_.at(id).record_.spec_))
                candidates.push_back(id);
        }
        for (const job_id& id : candidates)
            try_start_guaranteed(jobs_.at(id), now, out);
    }
}

bool zone_scheduler::try_start_guaranteed(job_entry& job, instant now,
                                          action_list& out)
{
    const job_spec& spec = job.record_.spec_;
    if (job.not_before_ > now)
        return false;
    auto plan = ledger_.plan(spec);
    if (!plan)
        return false;
    if (plan->shortfall_ > 0) {
        // Free accelerators elsewhere avoid a preemption and leave the
        // guarantee unused for later.
        if (spec.repeatable_ &&
            try_start_borrowed(
                job, placement_finder(pool_, options_.placement_), now, out))
            return true;
        std::map<worker_index, int> needs;
        for (const planned_part& part : plan->parts_)
            needs[part.worker_] += part.tasks_ * spec.accelerators_;
        if (!options_.preempt_ || !reclaim_for(job, needs, now, out))
            return false;
    }
    ledger_.acquire(spec, *plan);
    start_gang(job, plan->parts_, allocation_class::guaranteed, plan->blocks_,
               now, out);
    return true;
}

// Gangs that can checkpoint are preempted at once. Others would lose their
// progress and get a grace period, unless the job is urgent.
bool zone_scheduler::reclaim_for(const job_entry& job,
                                 const std::map<worker_index, int>& needs,
                                 instant now, action_list& out)
{
    auto victims = reclaim_planner(pool_, gangs_).victims_for(needs, now);
    if (!victims)
        return false;
    bool loses_work = std::any_of(victims->begin(), victims->end(),
                                  [this](const gang_key& key) {
                                      return !gangs_.at(key).spec_.checkpoints_;
                                  });
    bool in_grace_period = !job.record_.spec_.urgent_ &&
                           now - job.queued_at_ < reclaim_grace_period;
    if (loses_work && in_grace_period) {
        wakeup_times_.insert(job.queued_at_ + reclaim_grace_period);
        return false;
    }
    for (const gang_key& key : *victims) {
        auto found = gangs_.find(key);
        if (found == gangs_.end())
            continue;
        stop_gang(found->second, stop_cause::preempted, now, out);
        update_gang(found->second, now, out);
    }
    return true;
}

void zone_scheduler::pass_borrowed(instant now, action_list& out)
{
    update_reservations(now);
    placement_finder default_finder(pool_, options_.placement_);
    std::set<worker_index> reserved;
    for (const auto& entry : reservations_)
        reserved.insert(entry.second.begin(), entry.second.end());
    default_finder.exclude(reserved);
    if (options_.fault_ == scheduling_fault::pinned_work_ignores_guarantees)
        default_finder.ignore_guarantees();
    std::set<demand_key> failed_demands;
    int failures = 0;
    // Starting a gang modifies the queue, so the position is kept by value.
    queue_position next{false, instant::min(), 0};
    while (failures < max_placement_failures && pool_.usable_free() > 0) {
        auto it = queue_.in_order().upper_bound(next);
        if (it == queue_.in_order().end())
            break;
        next = it->first;
        job_entry& job = jobs_.at(it->second);
        if (job.not_before_ > now)
            continue;
        auto own_reservation = reservations_.find(it->second);
        if (own_reservation != reservations_.end()) {
            // All workers except those reserved for other jobs.
            std::set<worker_index> others = reserved;
            for (worker_index index : own_reservation->second)
                others.erase(index);
            placement_finder finder(pool_, options_.placement_);
            finder.exclude(std::move(others));
            failures += !try_start_borrowed(job, finder, now, out);
            continue;
        }
        demand_key demand = demand_of(job.record_.spec_);
        if (failed_demands.contains(demand))
            continue;
        if (try_start_borrowed(job, default_finder, now, out))
            continue;
        failed_demands.insert(demand);
        ++failures;
        if (!options_.backfill_)
            break;
    }
}

bool zone_scheduler::try_start_borrowed(job_entry& job,
                                        const placement_finder& finder,
                                        instant now, action_list& out)
{
    allocation_class allocation = unguaranteed_allocation(job.record_.spec_);
    std::optional<placement_plan> plan;
    if (!job.failed_on_.empty()) {
        placement_finder avoiding_finder = finder;
        avoiding_finder.avoid(job.failed_on_);
        plan = avoiding_finder.find(job.record_.spec_, allocation);
    }
    if (!plan)
        plan = finder.find(job.record_.spec_, allocation);
    if (!plan)
        return false;
    start_gang(job, *plan, allocation, {}, now, out);
    return true;
}

// --- Reservations and starving jobs

// Reserves workers for gangs at the head of the queue that cannot be placed.
// Jobs that start later, with however inaccurate declared times, then cannot
// delay them. At most a quarter of the pool is reserved.
void zone_scheduler::update_reservations(instant now)
{
    if (!options_.preempt_ || now - last_reservation_ < reservation_interval)
        return;
    last_reservation_ = now;
    std::set<worker_index> taken;
    for (const auto& entry : reservations_)
        taken.insert(entry.second.begin(), entry.second.end());
    std::size_t examined = 0;
    for (const auto& [position, id] : queue_.in_order()) {
        if (++examined > max_reservations * 2 ||
            reservations_.size() >= max_reservations)
            break;
        const job_entry& job = jobs_.at(id);
        const job_spec& spec = job.record_.spec_;
        bool due = now - job.queued_at_ >= reservation_delay &&
                   spec.tasks_ > 1 && !reservations_.contains(id) &&
                   fits_pool(spec);
        if (!due)
            continue;
        std::set<worker_index> chosen = choose_reserved_workers(spec, taken);
        bool too_many = (taken.size() + chosen.size()) * 4 > pool_.size();
        if (chosen.empty() || too_many)
            continue;
        taken.insert(chosen.begin(), chosen.end());
        reservations_[id] = std::move(chosen);
    }
}

// Selects the worker, rack or racks with the most free accelerators.
std::set<worker_index> zone_scheduler::choose_reserved_workers(
    const job_spec& spec, const std::set<worker_index>& taken) const
{
    std::set<worker_index> chosen;
    if (spec.accelerators_ == 0)
        return chosen;
    int tasks_left = spec.tasks_;
    const auto& by_free = pool_.workers_by_free();
    const auto& racks = pool_.racks_by_free();
    auto tasks_on = [&](worker_index index) {
        const pool_worker& worker = pool_.at(index);
        bool usable = worker.usable() && !taken.contains(index);
        return usable ? worker.info_.accelerators_ / spec.accelerators_ : 0;
    };
    bool one_worker = spec.within_ == adjacency::worker;
    for (auto it = by_free.rbegin(); one_worker && it != by_free.rend(); ++it) {
        for (worker_index index : *it) {
            if (tasks_on(index) >= spec.tasks_)
                return {index};
        }
    }
    for (auto it = racks.rbegin(); !one_worker && it != racks.rend(); ++it) {
        std::set<worker_index> in_rack;
        int room = 0;
        for (worker_index index : pool_.rack(it->second).workers_) {
            if (tasks_on(index) > 0)
                in_rack.insert(index);
            room += tasks_on(index);
        }
        if (spec.within_ == adjacency::rack && room < spec.tasks_)
            continue;
        chosen.insert(in_rack.begin(), in_rack.end());
        tasks_left -= room;
        if (tasks_left <= 0)
            return chosen;
    }
    return {};
}

void zone_scheduler::defragment_for_starving_jobs(instant now, action_list& out)
{
    if (now - last_defragmentation_ < defragmentation_interval)
        return;
    last_defragmentation_ = now;
    int starving_count = 0;
    int examined = 0;
    std::vector<job_id> starving;
    for (const auto& [position, id] : queue_.in_order()) {
        if (++examined > max_starvation_scan ||
            starving_count >= max_defragmentations)
            break;
        const job_entry& job = jobs_.at(id);
        duration waited = now - job.queued_at_;
        bool enough_free =
            pool_.usable_free() >= job.record_.spec_.total_accelerators();
        bool due = (waited >= defragmentation_delay && enough_free) ||
                   now - job.arrived_at_ >= starvation_threshold;
        if (!due || job.record_.spec_.total_accelerators() == 0)
            continue;
        starving.push_back(id);
        ++starving_count;
    }
    for (const job_id& id : starving)
        defragment_for(jobs_.at(id), now, out);
}

bool zone_scheduler::can_migrate(const gang& item, instant now) const
{
    return reclaim_planner::may_preempt(item) &&
           item.phase_ == gang_phase::running && item.spec_.checkpoints_ &&
           now - item.running_since_ >= min_run_before_preemption;
}

// Makes room by preempting smaller borrowed gangs that can checkpoint.
bool zone_scheduler::defragment_for(job_entry& job, instant now,
                                    action_list& out)
{
    std::vector<const gang*> migratable;
    int size = job.record_.spec_.total_accelerators();
    for (const auto& [remaining, key] :
         preemption_index_->longest(now, max_migration_candidates)) {
        auto found = gangs_.find(key);
        bool suitable = found != gangs_.end() &&
                        can_migrate(found->second, now) &&
                        found->second.spec_.total_accelerators() < size;
        if (suitable)
            migratable.push_back(&found->second);
    }
    std::sort(migratable.begin(), migratable.end(),
              [](const gang* a, const gang* b) {
                  return std::pair(a->spec_.total_accelerators(), a->key_) <
                         std::pair(b->spec_.total_accelerators(), b->key_);
              });
    return preempt_until_fits(job, migratable, now, out);
}

// --- Shortest remaining processing time first (SRPT)

void zone_scheduler::preempt_for_shorter_jobs(instant now, action_list& out)
{
    if (options_.order_ != order_policy::attained_service ||
        now - last_srpt_preemption_ < srpt_interval || queue_.size() == 0)
        return;
    last_srpt_preemption_ = now;
    std::vector<job_id> waiting;
    for (const auto& [position, id] : queue_.in_order()) {
        if (waiting.size() >= max_srpt_jobs)
            break;
        waiting.push_back(id);
    }
    auto longest = preemption_index_->longest(now, max_srpt_candidates);
    for (const job_id& id : waiting) {
        auto found = jobs_.find(id);
        if (found != jobs_.end())
            preempt_longer_gangs(found->second, longest, now, out);
    }
}

bool zone_scheduler::preempt_longer_gangs(
    job_entry& job, const std::vector<std::pair<duration, gang_key>>& longest,
    instant now, action_list& out)
{
    const job_spec& spec = job.record_.spec_;
    if (spec.total_accelerators() == 0)
        return false;
    duration job_remaining = expected_remaining(spec, job.attained_);
    std::vector<const gang*> candidates;
    for (const auto& [remaining, key] : longest) {
        if (remaining < job_remaining * min_srpt_ratio)
            break;
        auto found = gangs_.find(key);
        if (found != gangs_.end() && can_migrate(found->second, now))
            candidates.push_back(&found->second);
    }
    return preempt_until_fits(job, candidates, now, out);
}

// Preempts as many candidates, in their order, as the job needs to fit, and
// starts it in their place. Preempts none if the job would not fit even then.
bool zone_scheduler::preempt_until_fits(
    job_entry& job, const std::vector<const gang*>& candidates, instant now,
    action_list& out)
{
    const job_spec& spec = job.record_.spec_;
    allocation_class allocation = unguaranteed_allocation(spec);
    if (spec.accelerators_ == 0 || job.not_before_ > now)
        return false;
    // Resources gained per worker; tasks that fit per rack and in the pool.
    std::map<worker_index, resource_amount> room;
    std::map<rack_index, int> rack_tasks;
    int all_tasks = 0;
    auto tasks_in = [&](worker_index index) {
        const pool_worker& worker = pool_.at(index);
        if (!worker.usable())
            return 0;
        const resource_amount& gained = room[index];
        int accelerators =
            std::max(0, worker.free_after_stops() + gained.accelerators_);
        if (allocation == allocation_class::pinned)
            accelerators = std::min(accelerators, worker.unreserved());
        int tasks = accelerators / spec.accelerators_;
        int processors =
            worker.info_.processors_ - worker.processors_ + gained.processors_;
        int memory =
            worker.info_.memory_mb_ - worker.memory_mb_ + gained.memory_mb_;
        if (spec.processors_ > 0)
            tasks = std::min(tasks, std::max(0, processors / spec.processors_));
        if (spec.memory_mb_ > 0)
            tasks = std::min(tasks, std::max(0, memory / spec.memory_mb_));
        return tasks;
    };
    auto add_gain = [&](worker_index index, const resource_amount& amount) {
        int before = tasks_in(index);
        room[index].accelerators_ += amount.accelerators_;
        room[index].processors_ += amount.processors_;
        room[index].memory_mb_ += amount.memory_mb_;
        int added_tasks = tasks_in(index) - before;
        rack_tasks[pool_.at(index).rack_] += added_tasks;
        all_tasks += added_tasks;
    };
    for (const auto& [free, rack] : pool_.racks_by_free()) {
        for (worker_index index : pool_.rack(rack).workers_) {
            int tasks = tasks_in(index);
            rack_tasks[rack] += tasks;
            all_tasks += tasks;
        }
    }
    std::optional<rack_index> target_rack;
    std::optional<worker_index> target_worker;
    bool fits = false;
    auto fits_with_gain = [&](worker_index index) {
        rack_index rack = pool_.at(index).rack_;
        if (tasks_in(index) >= spec.tasks_)
            target_worker = index;
        else if (spec.within_ != adjacency::worker &&
                 rack_tasks[rack] >= spec.tasks_)
            target_rack = rack;
        else
            return spec.within_ == adjacency::any && all_tasks >= spec.tasks_;
        return true;
    };
    std::vector<const gang*> preempted;
    for (const gang* item : candidates) {
        preempted.push_back(item);
        for (const gang_part& part : item->parts_) {
            if (part.released_)
                continue;
            add_gain(part.worker_, gang_driver::amount_of(*item, part));
            fits = fits || fits_with_gain(part.worker_);
        }
        if (fits)
            break;
    }
    if (!fits)
        return false;
    // Only gangs on the planned workers have to be preempted.
    placement_plan plan;
    int left = spec.tasks_;
    auto assign = [&](worker_index index) {
        int part = std::min(left, tasks_in(index));
        if (part > 0)
            plan.push_back({index, part});
        left -= part;
    };
    if (target_worker) {
        assign(*target_worker);
    } else if (target_rack) {
        for (worker_index index : pool_.rack(*target_rack).workers_)
            assign(index);
    } else {
        for (const pool_rack& rack : pool_.racks()) {
            for (worker_index index : rack.workers_)
                assign(index);
        }
    }
    if (left > 0)
        return false;
    std::vector<gang_key> victims;
    for (const gang* item : preempted) {
        for (const gang_part& part : item->parts_) {
            bool occupies_needed_room = std::any_of(
                plan.begin(), plan.end(), [&](const planned_part& planned) {
                    const pool_worker& worker = pool_.at(planned.worker_);
                    bool has_room =
                        worker.free_after_stops() >=
                            planned.tasks_ * spec.accelerators_ &&
                        worker.info_.processors_ - worker.processors_ >=
                            planned.tasks_ * spec.processors_ &&
                        worker.info_.memory_mb_ - worker.memory_mb_ >=
                            planned.tasks_ * spec.memory_mb_;
                    return planned.worker_ == part.worker_ && !has_room;
                });
            if (occupies_needed_room) {
                victims.push_back(item->key_);
                break;
            }
        }
    }
    for (const gang_key& key : victims) {
        gang& item = gangs_.at(key);
        stop_gang(item, stop_cause::preempted, now, out);
        update_gang(item, now, out);
    }
    start_gang(job, plan, allocation, {}, now, out);
    return true;
}

} // namespace dandelioncrank
