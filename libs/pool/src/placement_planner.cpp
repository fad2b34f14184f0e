#include "dandelioncrank/pool/placement_planner.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <tuple>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// Core-seconds that one accelerator-second stands for; from the platform's
// price of lost work.
constexpr double cores_per_accelerator = 8.0;
// A job that ends later than this many times its objective has no value.
constexpr int late_factor = 3;
// Time that a stop and a new start cost besides the work lost.
constexpr double restart_seconds = 1.0;
// Work of others that may be lost for each unit of work that begins at once:
// urgent work is worth several times as much for each core-second.
constexpr double max_lost_per_work = 2.0;
// A guaranteed job waits so long for room that costs less; the rest of the
// time to reclaim is for the stops.
constexpr duration patience = 900ms;

// Share of the unused guarantees that work without urgency leaves free, in
// percent, by priority from 1 on: an urgent job that finds room begins a
// stop's time earlier, and nothing is thrown away for it.
constexpr std::array<std::int64_t, 2> headroom_percent = {5, 20};

// Added to the rank of jobs that have nothing left to win.
constexpr int worthless_rank = 100;

double seconds(duration value)
{
    return static_cast<double>(value.count()) / 1e6;
}

double cores_of(const resources& need)
{
    return static_cast<double>(need.cpu_) / 1000.0 +
           cores_per_accelerator * static_cast<double>(need.accelerators_);
}

/// Longest chain of declared run times; only steps not yet done if asked.
duration longest_chain(const job_record& job,
                       const occurrence_record* undone_in)
{
    std::vector<duration> ends;
    duration longest{};
    for (std::size_t s = 0; s < job.order_.steps_.size(); ++s) {
        const step_spec& spec = job.order_.steps_[s];
        duration begin{};
        for (std::uint32_t earlier : spec.after_)
            begin = std::max(begin, ends.at(earlier));
        bool counts =
            undone_in == nullptr || !undone_in->steps_.at(s).is_done();
        ends.push_back(begin + (counts ? spec.estimate_ : duration::zero()));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

std::int64_t accelerators_of(const job_record& job)
{
    std::int64_t sum = 0;
    for (const step_spec& spec : job.order_.steps_)
        sum += spec.need_.accelerators_ * spec.count_;
    return sum;
}

} // namespace

const step_spec& placement_planner::unit::spec() const
{
    return job_->order_.steps_[step_];
}

step_key placement_planner::unit::key() const
{
    return {job_->order_.id_, occurrence_, step_};
}

placement_planner::placement_planner(const pool_state& state,
                                     const planner_view& view)
    : state_(state), view_(view)
{
}

placement_planner::~placement_planner() = default;

placement_plan placement_planner::plan()
{
    survey_rooms();
    survey_guarantees();
    survey_victims();
    collect_units();
    std::stable_sort(
        units_.begin(), units_.end(), [](const unit& a, const unit& b) {
            return std::tie(a.rank_, a.work_) < std::tie(b.rank_, b.work_);
        });
    for (const unit& item : units_)
        serve(item);
    return std::move(plan_);
}

// --- What there is

void placement_planner::survey_rooms()
{
    for (const auto& [name, failures] : view_.usable_) {
        auto found = state_.workers().find(name);
        if (found == state_.workers().end() || found->second.info_.is_draining_)
            continue;
        room item{&found->second, found->second.info_.capacity_, {}, {}};
        for (const run_ref& run : state_.runs_on(name)) {
            item.free_ -= state_.spec_of(run.task_).need_;
            const task_ref& task = run.task_;
            ++step_counts_[{{task.job_, task.occurrence_, task.step_}, name}];
        }
        racks_[found->second.info_.rack_.str()] += item.free_.accelerators_;
        rooms_.emplace(name, std::move(item));
    }
}

// A team's open jobs of priority 0 are within its guarantee, in the order
// of their acceptance, as long as all of them together need no more.
void placement_planner::survey_guarantees()
{
    std::map<team_name, std::vector<const job_record*>> by_team;
    for (const job_id& id : state_.active_jobs()) {
        const job_record& job = *state_.find_job(id);
        if (job.queue_.priority_ == 0 && !job.is_final())
            by_team[job.team_].push_back(&job);
    }
    for (const auto& [team, rule] : state_.config().teams_) {
        std::int64_t rest = rule.guaranteed_accelerators_;
        std::vector<const job_record*>& jobs = by_team[team];
        std::sort(jobs.begin(), jobs.end(),
                  [](const job_record* a, const job_record* b) {
                      return std::tie(a->accepted_ms_, a->order_.id_) <
                             std::tie(b->accepted_ms_, b->order_.id_);
                  });
        for (const job_record* job : jobs) {
            rest -= accelerators_of(*job);
            if (rest >= 0)
                guaranteed_.insert(job->order_.id_);
        }
        unused_guarantees_ += std::max<std::int64_t>(0, rest);
    }
}

bool placement_planner::is_ending(const run_ref& run) const
{
    auto seen = view_.runs_.find(run);
    bool is_stopping = seen != view_.runs_.end() && seen->second.is_stopping_;
    return is_stopping || !state_.is_wanted(run);
}

void placement_planner::rate_victim(const job_record& job, victim& item) const
{
    for (const auto& [run, worker] : item.runs_) {
        item.is_ending_ = item.is_ending_ || is_ending(run);
        const step_spec& spec = job.order_.steps_[run.task_.step_];
        duration lost{};
        auto seen = view_.runs_.find(run);
        // Progress is saved when a task is stopped, if it can be.
        if (!spec.saves_progress_ && seen != view_.runs_.end())
            lost = view_.now_ - seen->second.started_at_;
        item.cost_ += (seconds(lost) + restart_seconds) * cores_of(spec.need_);
    }
    if (item.is_ending_)
        item.cost_ = 0;
}

void placement_planner::survey_victims()
{
    for (const job_id& id : state_.active_jobs())
        add_victims_of(*state_.find_job(id));
    for (std::size_t i = 0; i < victims_.size(); ++i) {
        for (const auto& [run, worker] : victims_[i].runs_) {
            auto found = rooms_.find(worker);
            if (found != rooms_.end())
                found->second.victims_.push_back(i);
        }
    }
}

void placement_planner::add_victims_of(const job_record& job)
{
    for (std::uint32_t k = 0; k < job.occurrences_.size(); ++k) {
        const auto& steps = job.occurrences_[k].steps_;
        for (std::uint32_t s = 0; s < steps.size(); ++s) {
            const step_spec& spec = job.order_.steps_[s];
            std::vector<victim> found;
            for (std::uint32_t i = 0; i < steps[s].tasks_.size(); ++i) {
                const task_record& task = steps[s].tasks_[i];
                if (task.worker_.empty())
                    continue;
                if (found.empty() || !spec.is_gang_) {
                    found.emplace_back();
                    found.back().need_ = spec.need_;
                    found.back().priority_ = job.queue_.priority_;
                    found.back().is_guaranteed_ =
                        guaranteed_.contains(job.order_.id_);
                }
                found.back().runs_.emplace_back(
                    run_ref{{job.order_.id_, k, s, i}, task.run_},
                    task.worker_);
            }
            for (victim& item : found) {
                rate_victim(job, item);
                victims_.push_back(std::move(item));
            }
        }
    }
}

// --- What waits

void placement_planner::collect_units()
{
    for (const job_id& id : state_.active_jobs()) {
        const job_record& job = *state_.find_job(id);
        if (!job.is_final())
            collect_units_of(job);
    }
}

void placement_planner::collect_units_of(const job_record& job)
{
    for (std::uint32_t k = 0; k < job.occurrences_.size(); ++k) {
        std::int64_t due =
            job.order_.first_due_ms_ + k * job.order_.interval_ms_;
        if (job.order_.first_due_ms_ > 0 && due > view_.wall_ms_)
            continue;
        const auto& steps = job.occurrences_[k].steps_;
        for (std::uint32_t s = 0; s < steps.size(); ++s) {
            const step_spec& spec = job.order_.steps_[s];
            if (steps[s].is_done() || !job.is_ready(k, s))
                continue;
            unit gang;
            gang.job_ = &job;
            gang.occurrence_ = k;
            gang.step_ = s;
            gang.is_guaranteed_ = guaranteed_.contains(job.order_.id_);
            bool gang_is_whole = true;
            for (std::uint32_t i = 0; i < steps[s].tasks_.size(); ++i) {
                const task_record& task = steps[s].tasks_[i];
                bool waits = !task.is_done_ && task.worker_.empty();
                gang_is_whole = gang_is_whole && waits;
                if (!waits)
                    continue;
                if (spec.is_gang_) {
                    gang.tasks_.push_back(i);
                    gang.next_run_ = std::max(gang.next_run_, task.run_ + 1);
                    continue;
                }
                unit single = gang;
                single.tasks_ = {i};
                single.next_run_ = task.run_ + 1;
                rank(single);
                units_.push_back(std::move(single));
            }
            if (spec.is_gang_ && gang_is_whole) {
                rank(gang);
                units_.push_back(std::move(gang));
            }
        }
    }
}

// Lower goes first. A job that can no longer end within the late bound has
// nothing to win and comes last.
void placement_planner::rank(unit& item) const
{
    const job_record& job = *item.job_;
    duration age{};
    auto accepted = view_.accepted_at_.find(job.order_.id_);
    if (accepted != view_.accepted_at_.end())
        age = view_.now_ - accepted->second;
    item.age_ = age;
    duration chain = longest_chain(job, nullptr);
    duration rest = longest_chain(job, &job.occurrences_[item.occurrence_]);
    auto objective =
        std::chrono::duration_cast<duration>(chain * job.queue_.stretch_) +
        job.queue_.target_;
    int lateness = 0;
    if (age + rest > late_factor * objective)
        lateness = 2;
    else if (age + rest > objective)
        lateness = 1;
    item.rank_ = 2 * std::min(job.queue_.priority_, 40) + lateness + 1;
    if (lateness == 2)
        item.rank_ += worthless_rank;
    if (item.is_guaranteed_)
        item.rank_ = 0;
    const step_spec& spec = item.spec();
    item.work_ = seconds(spec.estimate_) * cores_of(spec.need_) * spec.count_;
}

// --- Placement

void placement_planner::serve(const unit& item)
{
    if (!leaves_headroom(item))
        return;
    if (auto where = place(item, false)) {
        start(item, *where);
        return;
    }
    // Work that goes first only for its priority, yet waits behind others as
    // it has nothing left to win, would lose the room to them again.
    bool goes_first =
        item.job_->queue_.priority_ == 0 && item.rank_ < worthless_rank;
    if (!goes_first)
        return;
    auto where = place(item, true);
    if (!where || !pays_off(item, *where))
        return;
    for (std::size_t index : where->victims_) {
        for (const auto& [run, worker] : victims_[index].runs_) {
            if (!is_ending(run))
                plan_.stops_.push_back({run, item.job_->order_.id_});
        }
    }
    reserve(item, *where);
}

bool placement_planner::leaves_headroom(const unit& item) const
{
    int priority = item.job_->queue_.priority_;
    if (priority <= 0)
        return true;
    auto level = std::min<std::size_t>(static_cast<std::size_t>(priority),
                                       headroom_percent.size());
    std::int64_t free = 0;
    for (const auto& entry : racks_)
        free += entry.second;
    std::int64_t need = item.spec().need_.accelerators_ *
                        static_cast<std::int64_t>(item.tasks_.size());
    std::int64_t headroom =
        unused_guarantees_ * headroom_percent[level - 1] / 100;
    return need == 0 || free - need >= headroom;
}

bool placement_planner::pays_off(const unit& item, const choice& where) const
{
    bool is_due = item.is_guaranteed_ && item.age_ >= patience;
    return is_due || where.cost_ <= max_lost_per_work * item.work_;
}

bool placement_planner::may_evict(const unit& item, const victim& what) const
{
    if (what.is_ending_)
        return true;
    if (what.priority_ > item.job_->queue_.priority_)
        return true;
    return item.is_guaranteed_ && !what.is_guaranteed_;
}

bool placement_planner::is_eligible(const unit& item, const room& where) const
{
    const worker_info& info = where.worker_->info_;
    const step_spec& spec = item.spec();
    return info.service_ == item.job_->queue_.service_ &&
           spec.need_.fits_into(info.capacity_) &&
           (spec.required_label_.empty() ||
            info.labels_.contains(spec.required_label_));
}

// Whether a rack could hold the unit if nothing else ran there.
bool placement_planner::rack_can_hold(const unit& item,
                                      const std::string& rack) const
{
    const step_spec& spec = item.spec();
    std::size_t places = 0;
    for (const auto& [name, where] : rooms_) {
        if (where.worker_->info_.rack_.str() != rack ||
            !is_eligible(item, where))
            continue;
        resources left = where.worker_->info_.capacity_;
        std::size_t here = 0;
        while (here < item.tasks_.size() && spec.need_.fits_into(left) &&
               (spec.per_worker_limit_ == 0 || here < spec.per_worker_limit_)) {
            left -= spec.need_;
            ++here;
        }
        places += here;
    }
    return places >= item.tasks_.size();
}

std::optional<placement_planner::choice>
placement_planner::place(const unit& item, bool may_evict) const
{
    const step_spec& spec = item.spec();
    if (!spec.data_rack_.empty() && rack_can_hold(item, spec.data_rack_))
        return place_within(item, spec.data_rack_, may_evict);
    bool one_rack = spec.wants_one_rack_ && item.tasks_.size() > 1;
    if (!one_rack)
        return place_within(item, {}, may_evict);
    // A rack whose clearing has begun is kept to: changing racks would stop
    // work in both.
    auto cleared = view_.cleared_racks_.find(item.key());
    if (may_evict && cleared != view_.cleared_racks_.end() &&
        rack_can_hold(item, cleared->second)) {
        if (auto here = place_within(item, cleared->second, true))
            return here;
    }
    std::optional<choice> best;
    bool some_rack_can = false;
    for (const auto& [rack, free] : racks_) {
        if (!rack_can_hold(item, rack))
            continue;
        some_rack_can = true;
        auto here = place_within(item, rack, may_evict);
        if (here && (!best || here->cost_ < best->cost_))
            best = std::move(here);
    }
    return some_rack_can ? best : place_within(item, {}, may_evict);
}

// Takes the cheapest worker for one task after another. Without evictions
// the cost is what stays unused on the worker, so that workers fill up.
std::optional<placement_planner::choice>
placement_planner::place_within(const unit& item, const std::string& rack,
                                bool may_evict) const
{
    const step_spec& spec = item.spec();
    struct candidate
    {
        const room* room_ = nullptr;
        resources free_;
        std::uint32_t used_ = 0;
        int failures_ = 0;
    };
    std::map<worker_name, candidate> candidates;
    for (const auto& [name, where] : rooms_) {
        bool in_rack = rack.empty() || where.worker_->info_.rack_.str() == rack;
        if (!in_rack || !is_eligible(item, where))
            continue;
        candidate entry{&where, where.free_, 0, view_.usable_.at(name)};
        if (may_evict)
            entry.free_ += where.pending_;
        auto placed = step_counts_.find({item.key(), name});
        if (placed != step_counts_.end())
            entry.used_ = placed->second;
        candidates.emplace(name, entry);
    }
    choice result;
    std::set<std::size_t> evicted;
    for (std::size_t n = 0; n < item.tasks_.size(); ++n) {
        candidate* best = nullptr;
        std::vector<std::size_t> best_victims;
        // Evictions, recent failures, accelerators left on the worker and in
        // its rack, processor left: whole workers and racks stay free.
        std::tuple<double, int, std::int64_t, std::int64_t, std::int64_t>
            best_key;
        for (auto& [name, entry] : candidates) {
            if (spec.per_worker_limit_ > 0 &&
                entry.used_ >= spec.per_worker_limit_)
                continue;
            resources left = entry.free_;
            double cost = 0;
            std::vector<std::size_t> chosen;
            if (!spec.need_.fits_into(left)) {
                if (!may_evict)
                    continue;
                std::vector<std::size_t> options;
                for (std::size_t index : entry.room_->victims_) {
                    if (!evicted.contains(index) &&
                        this->may_evict(item, victims_[index]))
                        options.push_back(index);
                }
                std::sort(options.begin(), options.end(),
                          [this](std::size_t a, std::size_t b) {
                              return victims_[a].cost_ < victims_[b].cost_;
                          });
                for (std::size_t index : options) {
                    if (spec.need_.fits_into(left))
                        break;
                    // A gang may have several members here.
                    if (std::find(chosen.begin(), chosen.end(), index) !=
                        chosen.end())
                        continue;
                    for (const auto& [run, worker] : victims_[index].runs_) {
                        if (worker == name)
                            left += victims_[index].need_;
                    }
                    cost += victims_[index].cost_;
                    chosen.push_back(index);
                }
                if (!spec.need_.fits_into(left))
                    continue;
            }
            left -= spec.need_;
            std::tuple rating(
                cost, entry.failures_, left.accelerators_,
                racks_.at(entry.room_->worker_->info_.rack_.str()), left.cpu_);
            if (best == nullptr || rating < best_key) {
                best = &entry;
                best_key = rating;
                best_victims = chosen;
            }
        }
        if (best == nullptr)
            return std::nullopt;
        for (std::size_t index : best_victims) {
            evicted.insert(index);
            result.victims_.push_back(index);
            result.cost_ += victims_[index].cost_;
            for (const auto& [run, worker] : victims_[index].runs_) {
                auto found = candidates.find(worker);
                if (found != candidates.end())
                    found->second.free_ += victims_[index].need_;
            }
        }
        best->free_ -= spec.need_;
        ++best->used_;
        result.workers_.push_back(best->room_->worker_->info_.name_);
    }
    // Among racks of equal cost the fullest one is taken.
    for (const auto& [name, entry] : candidates) {
        constexpr double tie_weight = 1e-6;
        result.cost_ += tie_weight * static_cast<double>(std::max<std::int64_t>(
                                         0, entry.free_.accelerators_));
    }
    return result;
}

void placement_planner::start(const unit& item, const choice& where)
{
    start_run order{item.job_->order_.id_,
                    item.occurrence_,
                    item.step_,
                    item.next_run_,
                    {}};
    for (std::size_t n = 0; n < item.tasks_.size(); ++n) {
        const worker_name& name = where.workers_[n];
        order.places_.push_back(
            {item.tasks_[n], name, rooms_.at(name).worker_->info_.life_});
    }
    for (const worker_name& name : where.workers_) {
        room& taken = rooms_.at(name);
        taken.free_ -= item.spec().need_;
        racks_.at(taken.worker_->info_.rack_.str()) -=
            item.spec().need_.accelerators_;
        ++step_counts_[{item.key(), name}];
    }
    plan_.starts_.push_back(std::move(order));
}

// What the victims leave over is nobody's before they have ended, and room
// that is free now but promised is not given to those that come after.
void placement_planner::reserve(const unit& item, const choice& where)
{
    for (std::size_t index : where.victims_) {
        victim& gone = victims_[index];
        for (const auto& [run, worker] : gone.runs_) {
            auto found = rooms_.find(worker);
            if (found == rooms_.end())
                continue;
            found->second.pending_ += gone.need_;
            std::erase(found->second.victims_, index);
        }
        gone.runs_.clear();
    }
    const resources& need = item.spec().need_;
    for (const worker_name& name : where.workers_) {
        room& taken = rooms_.at(name);
        resources later{
            std::min(need.cpu_, taken.pending_.cpu_),
            std::min(need.memory_mb_, taken.pending_.memory_mb_),
            std::min(need.accelerators_, taken.pending_.accelerators_)};
        taken.pending_ -= later;
        resources now = need;
        now -= later;
        taken.free_ -= now;
        ++step_counts_[{item.key(), name}];
    }
    if (item.spec().wants_one_rack_)
        plan_.cleared_racks_[item.key()] =
            rooms_.at(where.workers_.front()).worker_->info_.rack_.str();
}

} // namespace dandelioncrank::pool
