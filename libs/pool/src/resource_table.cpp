#include "resource_table.hpp"

#include "job_value.hpp"
#include "run_forecast.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

// Overhead of a stop and a restart, in addition to the lost work.
constexpr double restart_overhead_seconds = 1.0;

// A worker that has shrunk below what runs there has no accelerators for
// others, and takes none from them.
std::int64_t usable_accelerators(const worker_resources& worker)
{
    return std::max<std::int64_t>(0, worker.free_.accelerators_);
}

} // namespace

std::size_t count_fits(const resources& need, const resources& available,
                       std::size_t limit)
{
    auto fits = static_cast<std::int64_t>(limit);
    auto apply_dimension = [&fits](std::int64_t needed, std::int64_t there) {
        if (needed > 0)
            fits = std::min(fits, std::max<std::int64_t>(0, there) / needed);
    };
    apply_dimension(need.cpu_, available.cpu_);
    apply_dimension(need.memory_mb_, available.memory_mb_);
    apply_dimension(need.accelerators_, available.accelerators_);
    return static_cast<std::size_t>(fits);
}

resource_table::resource_table(const pool_state& state,
                               const planner_input& input,
                               const std::set<job_id>& guaranteed)
    : state_(state), input_(input), guaranteed_(guaranteed)
{
    for (const auto& [name, failures] : input_.usable_workers_) {
        auto found = state_.workers().find(name);
        if (found != state_.workers().end() &&
            !found->second.info_.is_draining_ &&
            !state_.is_evacuated(found->second.info_.zone_))
            add_worker(found->second.info_, failures);
    }
    for (rack_index rack = 0; rack < racks_.size(); ++rack)
        racks_by_free_.emplace(racks_[rack].free_accelerators_, rack);
    for (const job_id& id : state_.active_jobs())
        add_victims_of(*state_.find_job(id));
    for (worker_resources& item : workers_) {
        std::sort(
            item.victims_.begin(), item.victims_.end(),
            [this](victim_index a, victim_index b) {
                return std::pair(victims_[a].cost_, -victims_[a].priority_) <
                       std::pair(victims_[b].cost_, -victims_[b].priority_);
            });
    }
}

void resource_table::add_worker(const worker_info& info, int failures)
{
    worker_index index = workers_.size();
    worker_resources item;
    item.info_ = &info;
    item.failures_ = failures;
    item.speed_ = classify_speed(input_.estimates_.speed_of(info.name_));
    speed_classes_.insert(item.speed_);
    item.free_ = info.capacity_;
    auto cold = input_.cold_shares_.find(info.name_);
    if (cold != input_.cold_shares_.end()) {
        std::int64_t withheld = 100 - cold->second;
        item.withheld_ = {info.capacity_.cpu_ * withheld / 100,
                          info.capacity_.memory_mb_ * withheld / 100,
                          info.capacity_.accelerators_ * withheld / 100};
        has_cold_workers_ = true;
    }
    item.service_ =
        services_.try_emplace(info.service_, services_.size()).first->second;
    free_workers_.resize(services_.size());
    auto [rack, is_new_rack] =
        racks_by_name_.try_emplace(info.rack_.str(), racks_.size());
    item.rack_ = rack->second;
    if (is_new_rack)
        racks_.push_back({rack->first, {}, 0});
    for (const run_ref& run : state_.runs_on(info.name_)) {
        const step_spec& spec = state_.spec_of(run.task_);
        item.free_ -= spec.need_;
        item.used_cores_ += core_equivalents(spec.need_);
        const task_ref& task = run.task_;
        if (!item.hosts_suspect_ && is_on_probation(run))
            mark_suspect_host(item);
        if (spec.per_worker_limit_ > 0)
            ++placed_[{{task.job_, task.occurrence_, task.step_}, index}];
    }
    free_accelerators_ += usable_accelerators(item);
    total_accelerators_ += info.capacity_.accelerators_;
    racks_[item.rack_].workers_.push_back(index);
    racks_[item.rack_].free_accelerators_ += usable_accelerators(item);
    workers_.push_back(std::move(item));
    all_workers_.push_back(index);
    by_name_.emplace(info.name_, index);
    free_workers_[workers_.back().service_].insert(key_of(index));
}

speed_class resource_table::preferred_class(int priority) const
{
    for (speed_class item : preferred_classes(priority)) {
        if (speed_classes_.contains(item))
            return item;
    }
    return speed_class::normal;
}

bool resource_table::is_on_probation(const run_ref& run) const
{
    const loss_record* suspicion = state_.suspicion_of(run.task_);
    if (suspicion == nullptr)
        return false;
    auto seen = input_.runs_.find(run);
    duration age{};
    if (seen != input_.runs_.end() && seen->second.running_since_)
        age = input_.now_ - *seen->second.running_since_;
    return suspicion->is_on_probation(age);
}

void resource_table::mark_suspect_host(worker_resources& worker)
{
    suspect_workers_ += worker.hosts_suspect_ ? 0 : 1;
    worker.hosts_suspect_ = true;
}

void resource_table::note_start(worker_index where, const pending_unit& unit)
{
    worker_resources& worker = workers_[where];
    worker.used_cores_ += core_equivalents(unit.spec().need_);
    if (unit.is_suspect())
        mark_suspect_host(worker);
}

free_key resource_table::key_of(worker_index where) const
{
    const worker_resources& item = workers_[where];
    return {item.failures_, item.speed_, item.free_.accelerators_,
            item.free_.cpu_, where};
}

void resource_table::change_free(worker_index where, const resources& taken,
                                 const resources& returned)
{
    worker_resources& item = workers_[where];
    std::set<free_key>& order = free_workers_[item.service_];
    rack_resources& rack = racks_[item.rack_];
    auto key = order.extract(key_of(where));
    racks_by_free_.erase({rack.free_accelerators_, item.rack_});
    std::int64_t before = usable_accelerators(item);
    item.free_ -= taken;
    item.free_ += returned;
    std::int64_t change = usable_accelerators(item) - before;
    free_accelerators_ += change;
    rack.free_accelerators_ += change;
    racks_by_free_.emplace(rack.free_accelerators_, item.rack_);
    key.value() = key_of(where);
    order.insert(std::move(key));
}

std::optional<rack_index>
resource_table::find_rack(const std::string& name) const
{
    auto found = racks_by_name_.find(name);
    return found == racks_by_name_.end() ? std::nullopt
                                         : std::optional(found->second);
}

std::optional<service_index>
resource_table::find_service(const service_name& name) const
{
    auto found = services_.find(name);
    return found == services_.end() ? std::nullopt
                                    : std::optional(found->second);
}

std::uint32_t resource_table::placed(const step_key& step,
                                     worker_index where) const
{
    auto found = placed_.find({step, where});
    return found == placed_.end() ? 0 : found->second;
}

std::optional<duration>
resource_table::remaining_of(const victim::member& member,
                             const run_observation& seen, const step_spec& spec,
                             duration run_time) const
{
    if (spec.is_long_running_)
        return std::nullopt;
    double speed = 1.0;
    if (member.worker_ < workers_.size())
        speed =
            input_.estimates_.speed_of(workers_[member.worker_].info_->name_);
    auto expected = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, duration::period>(run_time) / speed);
    return remaining_time(seen, expected, input_.now_);
}

void resource_table::assess(const job_record& job, duration run_time,
                            victim& item) const
{
    bool is_end_known = true;
    duration remaining{};
    for (const victim::member& member : item.members_) {
        const step_spec& spec = job.spec_.steps_[member.run_.task_.step_];
        duration lost{};
        auto seen = input_.runs_.find(member.run_);
        // Tasks that support checkpoints save one when they are stopped.
        bool is_seen = seen != input_.runs_.end();
        if (!spec.supports_checkpoints_ && is_seen)
            lost = input_.now_ - seen->second.started_at_;
        auto rest = is_seen && is_end_known
                        ? remaining_of(member, seen->second, spec, run_time)
                        : std::nullopt;
        is_end_known = rest.has_value();
        remaining = std::max(remaining, rest.value_or(duration::zero()));
        item.is_ending_ = item.is_ending_ ||
                          (is_seen && seen->second.is_stopping_) ||
                          !pool_state::is_desired(job, member.run_);
        item.cost_ += (to_seconds(lost) + restart_overhead_seconds) *
                      core_equivalents(spec.need_);
    }
    if (item.is_ending_)
        item.cost_ = 0;
    if (is_end_known)
        item.remaining_ = remaining;
}

void resource_table::add_victims_of(const job_record& job)
{
    for (const auto& [k, occurrence] : job.occurrences_.records()) {
        const auto& steps = occurrence.steps_;
        for (std::uint32_t s = 0; s < steps.size(); ++s) {
            const step_spec& spec = job.spec_.steps_[s];
            std::vector<victim> found;
            for (std::uint32_t i = 0; i < steps[s].tasks_.size(); ++i) {
                const task_record& task = steps[s].tasks_[i];
                if (task.worker_.empty())
                    continue;
                auto where = by_name_.find(task.worker_);
                // A run on an unusable worker blocks nothing itself, but other
                // members of its gang may.
                worker_index index =
                    where == by_name_.end() ? workers_.size() : where->second;
                if (found.empty() || !spec.is_gang_) {
                    found.emplace_back();
                    found.back().need_ = spec.need_;
                    found.back().priority_ = job.policy().priority_;
                    found.back().is_guaranteed_ =
                        guaranteed_.contains(job.spec_.id_);
                }
                found.back().members_.push_back(
                    {{{job.spec_.id_, k, s, i}, task.run_}, index});
            }
            duration run_time{};
            if (!found.empty())
                run_time = input_.estimates_.run_time_of(job, spec);
            for (victim& item : found) {
                assess(job, run_time, item);
                for (const victim::member& member : item.members_) {
                    if (member.worker_ == workers_.size())
                        continue;
                    auto& list = workers_[member.worker_].victims_;
                    // Several members of a gang may run on this worker.
                    if (list.empty() || list.back() != victims_.size())
                        list.push_back(victims_.size());
                }
                victims_.push_back(std::move(item));
            }
        }
    }
}

void resource_table::count_placed(worker_index where, const pending_unit& unit,
                                  int change)
{
    if (unit.spec().per_worker_limit_ > 0)
        placed_[{unit.key(), where}] += static_cast<std::uint32_t>(change);
}

void resource_table::allocate(worker_index where, const pending_unit& unit)
{
    change_free(where, unit.spec().need_, {});
    count_placed(where, unit, 1);
}

void resource_table::deallocate(worker_index where, const pending_unit& unit)
{
    change_free(where, {}, unit.spec().need_);
    count_placed(where, unit, -1);
}

void resource_table::mark_releasing(victim_index index)
{
    for (const victim::member& member : victims_[index].members_) {
        if (member.worker_ == workers_.size())
            continue;
        workers_[member.worker_].releasing_ += victims_[index].need_;
        std::erase(workers_[member.worker_].victims_, index);
    }
}

void resource_table::reserve(worker_index where, const pending_unit& unit)
{
    const resources& need = unit.spec().need_;
    worker_resources& item = workers_[where];
    resources from_releasing{
        std::min(need.cpu_, item.releasing_.cpu_),
        std::min(need.memory_mb_, item.releasing_.memory_mb_),
        std::min(need.accelerators_, item.releasing_.accelerators_)};
    item.releasing_ -= from_releasing;
    resources from_free = need;
    from_free -= from_releasing;
    change_free(where, from_free, {});
    count_placed(where, unit, 1);
}

} // namespace dandelioncrank::pool
