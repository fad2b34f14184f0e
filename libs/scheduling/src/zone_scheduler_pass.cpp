// The part of zone_scheduler that decides what starts next.
#include "dandelioncrank/scheduling/zone_scheduler.hpp"

#include "gang_driver.hpp"
#include "preemption_index.hpp"
#include "reclaim_planner.hpp"
#include "worker_evidence.hpp"

#include <algorithm>
#include <tuple>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

// Jobs of one team that are tried inside its guarantee in one pass.
constexpr int max_guaranteed_tries = 4;
// Jobs that may fail to be placed before a pass ends.
constexpr int max_failed_tries = 64;
// Wait of a job that is not urgent before its team's guarantee is taken
// back from work that would lose its progress.
constexpr duration reclaim_patience = 60s;
// A gang that waits this long although enough accelerators are free gets
// room by moving borrowed work.
constexpr duration rescue_after = 15s;
// A gang that waits this long gets room even where not enough is free.
constexpr duration starving_after = 10min;
constexpr duration rescue_interval = 1s;
constexpr int max_rescues = 8;
constexpr int max_looked_at = 256;
constexpr duration swap_interval = 1s;
constexpr int max_swaps = 8;
// Running gangs that are looked at as places for shorter jobs.
constexpr std::size_t max_swap_candidates = 256;
// Running gangs that may be moved for a starving one.
constexpr std::size_t max_rescue_candidates = 1024;
// A gang that has waited this long gets workers kept free for it.
constexpr duration reserve_after = 20s;
constexpr duration reservation_interval = 1s;
constexpr std::size_t max_reservations = 4;
// A gang is left alone for this long after it has started to run.
constexpr duration shortest_run = 30s;
// How much longer a running job must be expected to need than the waiting
// one that takes its place.
constexpr int swap_factor = 3;

/// Jobs alike in what they need; if one cannot be placed, none can.
using demand_key = std::tuple<int, int, int, int, adjacency, bool>;

demand_key demand_of(const job_spec& spec)
{
    return {spec.tasks_,     spec.accelerators_, spec.processors_,
            spec.memory_mb_, spec.within_,       spec.repeatable_};
}

tenure borrowed_terms(const job_spec& spec)
{
    return spec.repeatable_ ? tenure::borrowed : tenure::pinned;
}

} // namespace

void zone_scheduler::run_pass(instant now, action_list& out)
{
    pass_wanted_ = false;
    urgent_waiting_ = false;
    last_pass_ = now;
    // The baseline has one queue and nothing else.
    if (options_.backfill_)
        pass_guaranteed(now, out);
    pass_borrowed(now, out);
}

void zone_scheduler::pass_guaranteed(instant now, action_list& out)
{
    for (const team_name& team : queue_.waiting_teams()) {
        const auto* own = queue_.of_team(team);
        std::vector<job_id> candidates;
        for (const auto& [place, id] : *own) {
            if (candidates.size() >= max_guaranteed_tries)
                break;
            if (ledger_.has_room_for(jobs_.at(id).record_.spec_))
                candidates.push_back(id);
        }
        for (const job_id& id : candidates)
            try_guaranteed(jobs_.at(id), now, out);
    }
}

bool zone_scheduler::try_guaranteed(job_entry& job, instant now,
                                    action_list& out)
{
    const job_spec& spec = job.record_.spec_;
    if (job.not_before_ > now)
        return false;
    auto plan = ledger_.plan(spec);
    if (!plan)
        return false;
    if (plan->shortfall_ > 0) {
        // Free accelerators elsewhere spare others the preemption; the
        // guarantee stays whole for later.
        if (spec.repeatable_ &&
            try_borrowed(job, placer(pool_, options_.placement_), now, out))
            return true;
        std::map<worker_index, int> needs;
        for (const planned_part& part : plan->parts_)
            needs[part.worker_] += part.tasks_ * spec.accelerators_;
        if (!options_.preempt_ || !reclaim_for(job, needs, now, out))
            return false;
    }
    ledger_.use(spec, *plan);
    start_gang(job, plan->parts_, tenure::guaranteed, plan->blocks_, now, out);
    return true;
}

// Work that can save its progress is preempted at once. Work that would lose
// it is left alone for a while, unless the job is urgent.
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
    bool may_wait =
        !job.record_.spec_.urgent_ && now - job.queued_at_ < reclaim_patience;
    if (loses_work && may_wait) {
        wake_ups_.insert(job.queued_at_ + reclaim_patience);
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
    placer open_to_all(pool_, options_.placement_);
    std::set<worker_index> reserved;
    for (const auto& entry : reservations_)
        reserved.insert(entry.second.begin(), entry.second.end());
    open_to_all.close(reserved);
    if (options_.fault_ == scheduling_fault::pinned_work_ignores_guarantees)
        open_to_all.ignore_guarantees();
    std::set<demand_key> failed;
    int failures = 0;
    // Starting a gang changes the queue, hence the copy of the next key.
    queue_position next{false, instant::min(), 0};
    while (failures < max_failed_tries && pool_.usable_free() > 0) {
        auto it = queue_.in_order().upper_bound(next);
        if (it == queue_.in_order().end())
            break;
        next = it->first;
        job_entry& job = jobs_.at(it->second);
        if (job.not_before_ > now)
            continue;
        auto own = reservations_.find(it->second);
        if (own != reservations_.end()) {
            // Everything but what is kept for other gangs.
            std::set<worker_index> others = reserved;
            for (worker_index index : own->second)
                others.erase(index);
            placer places(pool_, options_.placement_);
            places.close(std::move(others));
            failures += !try_borrowed(job, places, now, out);
            continue;
        }
        demand_key demand = demand_of(job.record_.spec_);
        if (failed.contains(demand))
            continue;
        if (try_borrowed(job, open_to_all, now, out))
            continue;
        failed.insert(demand);
        ++failures;
        if (!options_.backfill_)
            break;
    }
}

bool zone_scheduler::try_borrowed(job_entry& job, const placer& places,
                                  instant now, action_list& out)
{
    tenure terms = borrowed_terms(job.record_.spec_);
    std::optional<placement_plan> plan;
    if (!job.failed_on_.empty()) {
        placer elsewhere = places;
        elsewhere.avoid(job.failed_on_);
        plan = elsewhere.find(job.record_.spec_, terms);
    }
    if (!plan)
        plan = places.find(job.record_.spec_, terms);
    if (!plan)
        return false;
    start_gang(job, *plan, terms, {}, now, out);
    return true;
}

// --- Starving gangs

// Gangs at the head of the order that cannot be placed get workers of their
// own to wait for: whatever starts later, and however wrong its declared
// time, cannot delay them. Only a share of the pool is kept so.
void zone_scheduler::update_reservations(instant now)
{
    if (!options_.preempt_ || now - last_reservation_ < reservation_interval)
        return;
    last_reservation_ = now;
    std::set<worker_index> taken;
    for (const auto& entry : reservations_)
        taken.insert(entry.second.begin(), entry.second.end());
    std::size_t looked_at = 0;
    for (const auto& [place, id] : queue_.in_order()) {
        if (++looked_at > max_reservations * 2 ||
            reservations_.size() >= max_reservations)
            break;
        const job_entry& job = jobs_.at(id);
        const job_spec& spec = job.record_.spec_;
        bool due = now - job.queued_at_ >= reserve_after && spec.tasks_ > 1 &&
                   !reservations_.contains(id) && fits_pool(spec);
        if (!due)
            continue;
        std::set<worker_index> chosen = choose_reservation(spec, taken);
        bool too_many = (taken.size() + chosen.size()) * 4 > pool_.size();
        if (chosen.empty() || too_many)
            continue;
        taken.insert(chosen.begin(), chosen.end());
        reservations_[id] = std::move(chosen);
    }
}

// The worker, rack or racks that have most free now.
std::set<worker_index>
zone_scheduler::choose_reservation(const job_spec& spec,
                                   const std::set<worker_index>& taken) const
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

void zone_scheduler::rescue_starving(instant now, action_list& out)
{
    if (now - last_rescue_ < rescue_interval)
        return;
    last_rescue_ = now;
    int rescues = 0;
    int looked_at = 0;
    std::vector<job_id> starving;
    for (const auto& [place, id] : queue_.in_order()) {
        if (++looked_at > max_looked_at || rescues >= max_rescues)
            break;
        const job_entry& job = jobs_.at(id);
        duration waited = now - job.queued_at_;
        bool enough_free =
            pool_.usable_free() >= job.record_.spec_.total_accelerators();
        bool due = (waited >= rescue_after && enough_free) ||
                   now - job.arrived_at_ >= starving_after;
        if (!due || job.record_.spec_.total_accelerators() == 0)
            continue;
        starving.push_back(id);
        ++rescues;
    }
    for (const job_id& id : starving)
        rescue(jobs_.at(id), now, out);
}

bool zone_scheduler::may_move(const gang& item, instant now) const
{
    return reclaim_planner::may_preempt(item) &&
           item.phase_ == gang_phase::running && item.spec_.checkpoints_ &&
           now - item.running_since_ >= shortest_run;
}

// Makes room by moving smaller borrowed gangs that can save their progress.
bool zone_scheduler::rescue(job_entry& job, instant now, action_list& out)
{
    std::vector<const gang*> movable;
    int size = job.record_.spec_.total_accelerators();
    for (const auto& [rest, key] :
         preemptable_->longest(now, max_rescue_candidates)) {
        auto found = gangs_.find(key);
        bool suits = found != gangs_.end() && may_move(found->second, now) &&
                     found->second.spec_.total_accelerators() < size;
        if (suits)
            movable.push_back(&found->second);
    }
    std::sort(movable.begin(), movable.end(), [](const gang* a, const gang* b) {
        return std::pair(a->spec_.total_accelerators(), a->key_) <
               std::pair(b->spec_.total_accelerators(), b->key_);
    });
    return preempt_until_fits(job, movable, now, out);
}

// --- Shorter work before longer

void zone_scheduler::swap_for_shorter(instant now, action_list& out)
{
    if (options_.order_ != order_policy::attained_service ||
        now - last_swap_ < swap_interval || queue_.size() == 0)
        return;
    last_swap_ = now;
    std::vector<job_id> waiting;
    for (const auto& [place, id] : queue_.in_order()) {
        if (waiting.size() >= max_swaps)
            break;
        waiting.push_back(id);
    }
    auto longest = preemptable_->longest(now, max_swap_candidates);
    for (const job_id& id : waiting) {
        auto found = jobs_.find(id);
        if (found != jobs_.end())
            swap_for(found->second, longest, now, out);
    }
}

bool zone_scheduler::swap_for(
    job_entry& job, const std::vector<std::pair<duration, gang_key>>& longest,
    instant now, action_list& out)
{
    const job_spec& spec = job.record_.spec_;
    if (spec.total_accelerators() == 0)
        return false;
    duration own = expected_remaining(spec, job.attained_);
    std::vector<const gang*> candidates;
    for (const auto& [rest, key] : longest) {
        if (rest < own * swap_factor)
            break;
        auto found = gangs_.find(key);
        if (found != gangs_.end() && may_move(found->second, now))
            candidates.push_back(&found->second);
    }
    return preempt_until_fits(job, candidates, now, out);
}

// Preempts candidates in their order until the job fits, and starts it in
// their place; preempts nothing if it would not fit even then.
bool zone_scheduler::preempt_until_fits(
    job_entry& job, const std::vector<const gang*>& candidates, instant now,
    action_list& out)
{
    const job_spec& spec = job.record_.spec_;
    tenure terms = borrowed_terms(spec);
    if (spec.accelerators_ == 0 || job.not_before_ > now)
        return false;
    // Room that each worker, rack and the whole pool would have.
    std::map<worker_index, resource_amount> room;
    std::map<rack_index, int> rack_tasks;
    int all_tasks = 0;
    auto tasks_in = [&](worker_index index) {
        const pool_worker& worker = pool_.at(index);
        if (!worker.usable())
            return 0;
        const resource_amount& gained = room[index];
        int accelerators =
            std::max(0, worker.free_soon() + gained.accelerators_);
        if (terms == tenure::pinned)
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
    auto note = [&](worker_index index, const resource_amount& amount) {
        int before = tasks_in(index);
        room[index].accelerators_ += amount.accelerators_;
        room[index].processors_ += amount.processors_;
        room[index].memory_mb_ += amount.memory_mb_;
        int grown = tasks_in(index) - before;
        rack_tasks[pool_.at(index).rack_] += grown;
        all_tasks += grown;
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
    auto check = [&](worker_index index) {
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
    std::vector<const gang*> taken;
    for (const gang* item : candidates) {
        taken.push_back(item);
        for (const gang_part& part : item->parts_) {
            if (part.released_)
                continue;
            note(part.worker_, gang_driver::amount_of(*item, part));
            fits = fits || check(part.worker_);
        }
        if (fits)
            break;
    }
    if (!fits)
        return false;
    // Only gangs in the place that was found have to go.
    placement_plan plan;
    int left = spec.tasks_;
    auto take = [&](worker_index index) {
        int part = std::min(left, tasks_in(index));
        if (part > 0)
            plan.push_back({index, part});
        left -= part;
    };
    if (target_worker) {
        take(*target_worker);
    } else if (target_rack) {
        for (worker_index index : pool_.rack(*target_rack).workers_)
            take(index);
    } else {
        for (const pool_rack& rack : pool_.racks()) {
            for (worker_index index : rack.workers_)
                take(index);
        }
    }
    if (left > 0)
        return false;
    std::vector<gang_key> victims;
    for (const gang* item : taken) {
        for (const gang_part& part : item->parts_) {
            bool in_the_way = std::any_of(
                plan.begin(), plan.end(), [&](const planned_part& own) {
                    const pool_worker& worker = pool_.at(own.worker_);
                    bool has_room =
                        worker.free_soon() >= own.tasks_ * spec.accelerators_ &&
                        worker.info_.processors_ - worker.processors_ >=
                            own.tasks_ * spec.processors_ &&
                        worker.info_.memory_mb_ - worker.memory_mb_ >=
                            own.tasks_ * spec.memory_mb_;
                    return own.worker_ == part.worker_ && !has_room;
                });
            if (in_the_way) {
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
    start_gang(job, plan, terms, {}, now, out);
    return true;
}

} // namespace dandelioncrank
