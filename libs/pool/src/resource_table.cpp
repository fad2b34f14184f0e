#include "resource_table.hpp"

#include "job_value.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

// Overhead of a stop and a restart, in addition to the lost work.
constexpr double restart_overhead_seconds = 1.0;

} // namespace

resource_table::resource_table(const pool_state& state,
                               const planner_input& input,
                               const std::set<job_id>& guaranteed)
    : state_(state), input_(input), guaranteed_(guaranteed)
{
    for (const auto& [name, failures] : input_.usable_workers_) {
        auto found = state_.workers().find(name);
        if (found == state_.workers().end() || found->second.info_.is_draining_)
            continue;
        const worker_info& info = found->second.info_;
        worker_index index = workers_.size();
        worker_resources item{&info, failures, info.capacity_, {}, {}};
        for (const run_ref& run : state_.runs_on(name)) {
            item.free_ -= state_.spec_of(run.task_).need_;
            const task_ref& task = run.task_;
            step_key step{task.job_, task.occurrence_, task.step_};
            if (state_.spec_of(task).per_worker_limit_ > 0)
                ++placed_[{step, index}];
        }
        free_accelerators_ += item.free_.accelerators_;
        total_accelerators_ += info.capacity_.accelerators_;
        workers_.push_back(std::move(item));
        all_workers_.push_back(index);
        by_name_.emplace(name, index);
        racks_[info.rack_.str()].push_back(index);
    }
    for (const job_id& id : state_.active_jobs())
        add_victims_of(*state_.find_job(id));
    for (worker_resources& item : workers_) {
        std::sort(item.victims_.begin(), item.victims_.end(),
                  [this](victim_index a, victim_index b) {
                      return victims_[a].cost_ < victims_[b].cost_;
                  });
    }
}

std::int64_t resource_table::free_in_rack(const std::string& rack) const
{
    std::int64_t sum = 0;
    for (worker_index index : racks_.at(rack))
        sum += std::max<std::int64_t>(0, workers_[index].free_.accelerators_);
    return sum;
}

std::uint32_t resource_table::placed(const step_key& step,
                                     worker_index where) const
{
    auto found = placed_.find({step, where});
    return found == placed_.end() ? 0 : found->second;
}

void resource_table::assess(const job_record& job, victim& item) const
{
    for (const victim::member& member : item.members_) {
        const step_spec& spec = job.spec_.steps_[member.run_.task_.step_];
        duration lost{};
        auto seen = input_.runs_.find(member.run_);
        // Tasks that support checkpoints save one when they are stopped.
        bool is_seen = seen != input_.runs_.end();
        if (!spec.supports_checkpoints_ && is_seen)
            lost = input_.now_ - seen->second.started_at_;
        item.is_ending_ = item.is_ending_ ||
                          (is_seen && seen->second.is_stopping_) ||
                          !pool_state::is_desired(job, member.run_);
        item.cost_ += (to_seconds(lost) + restart_overhead_seconds) *
                      core_equivalents(spec.need_);
    }
    if (item.is_ending_)
        item.cost_ = 0;
}

void resource_table::add_victims_of(const job_record& job)
{
    for (std::uint32_t k = 0; k < job.occurrences_.size(); ++k) {
        const auto& steps = job.occurrences_[k].steps_;
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
                    found.back().priority_ = job.queue_.priority_;
                    found.back().is_guaranteed_ =
                        guaranteed_.contains(job.spec_.id_);
                }
                found.back().members_.push_back(
                    {{{job.spec_.id_, k, s, i}, task.run_}, index});
            }
            for (victim& item : found) {
                assess(job, item);
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

void resource_table::allocate(worker_index where, const resources& need,
                              const step_key& step)
{
    workers_[where].free_ -= need;
    free_accelerators_ -= need.accelerators_;
    ++placed_[{step, where}];
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

void resource_table::reserve(worker_index where, const resources& need,
                             const step_key& step)
{
    worker_resources& item = workers_[where];
    resources from_releasing{
        std::min(need.cpu_, item.releasing_.cpu_),
        std::min(need.memory_mb_, item.releasing_.memory_mb_),
        std::min(need.accelerators_, item.releasing_.accelerators_)};
    item.releasing_ -= from_releasing;
    resources from_free = need;
    from_free -= from_releasing;
    item.free_ -= from_free;
    free_accelerators_ -= from_free.accelerators_;
    ++placed_[{step, where}];
}

} // namespace dandelioncrank::pool
