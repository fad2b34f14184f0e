#include "room_table.hpp"

#include "job_value.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

// Time that a stop and a new start cost besides the work lost.
constexpr double restart_seconds = 1.0;

} // namespace

room_table::room_table(const pool_state& state, const planner_view& view,
                       const std::set<job_id>& guaranteed)
    : state_(state), view_(view), guaranteed_(guaranteed)
{
    for (const auto& [name, failures] : view_.usable_) {
        auto found = state_.workers().find(name);
        if (found == state_.workers().end() || found->second.info_.is_draining_)
            continue;
        const worker_info& info = found->second.info_;
        room_index index = rooms_.size();
        room item{&info, failures, info.capacity_, {}, {}};
        for (const run_ref& run : state_.runs_on(name)) {
            item.free_ -= state_.spec_of(run.task_).need_;
            const task_ref& task = run.task_;
            step_key step{task.job_, task.occurrence_, task.step_};
            if (state_.spec_of(task).per_worker_limit_ > 0)
                ++placed_[{step, index}];
        }
        free_ += item.free_.accelerators_;
        capacity_ += info.capacity_.accelerators_;
        rooms_.push_back(std::move(item));
        all_.push_back(index);
        by_name_.emplace(name, index);
        racks_[info.rack_.str()].push_back(index);
    }
    for (const job_id& id : state_.active_jobs())
        add_victims_of(*state_.find_job(id));
    for (room& item : rooms_) {
        std::sort(item.victims_.begin(), item.victims_.end(),
                  [this](victim_index a, victim_index b) {
                      return victims_[a].cost_ < victims_[b].cost_;
                  });
    }
}

std::int64_t room_table::free_in_rack(const std::string& rack) const
{
    std::int64_t sum = 0;
    for (room_index index : racks_.at(rack))
        sum += std::max<std::int64_t>(0, rooms_[index].free_.accelerators_);
    return sum;
}

std::uint32_t room_table::placed(const step_key& step, room_index where) const
{
    auto found = placed_.find({step, where});
    return found == placed_.end() ? 0 : found->second;
}

void room_table::rate(const job_record& job, victim& item) const
{
    for (const victim::member& member : item.members_) {
        const step_spec& spec = job.order_.steps_[member.run_.task_.step_];
        duration lost{};
        auto seen = view_.runs_.find(member.run_);
        // Progress is saved when a task is stopped, if it can be.
        bool is_seen = seen != view_.runs_.end();
        if (!spec.saves_progress_ && is_seen)
            lost = view_.now_ - seen->second.started_at_;
        item.is_ending_ = item.is_ending_ ||
                          (is_seen && seen->second.is_stopping_) ||
                          !pool_state::is_wanted(job, member.run_);
        item.cost_ +=
            (to_seconds(lost) + restart_seconds) * cores_of(spec.need_);
    }
    if (item.is_ending_)
        item.cost_ = 0;
}

void room_table::add_victims_of(const job_record& job)
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
                auto where = by_name_.find(task.worker_);
                // On a worker that is not usable it is in nobody's way, but
                // its gang may be.
                room_index room =
                    where == by_name_.end() ? rooms_.size() : where->second;
                if (found.empty() || !spec.is_gang_) {
                    found.emplace_back();
                    found.back().need_ = spec.need_;
                    found.back().priority_ = job.queue_.priority_;
                    found.back().is_guaranteed_ =
                        guaranteed_.contains(job.order_.id_);
                }
                found.back().members_.push_back(
                    {{{job.order_.id_, k, s, i}, task.run_}, room});
            }
            for (victim& item : found) {
                rate(job, item);
                for (const victim::member& member : item.members_) {
                    if (member.room_ == rooms_.size())
                        continue;
                    auto& list = rooms_[member.room_].victims_;
                    // A gang may have several members here.
                    if (list.empty() || list.back() != victims_.size())
                        list.push_back(victims_.size());
                }
                victims_.push_back(std::move(item));
            }
        }
    }
}

void room_table::take(room_index where, const resources& need,
                      const step_key& step)
{
    rooms_[where].free_ -= need;
    free_ -= need.accelerators_;
    ++placed_[{step, where}];
}

void room_table::release(victim_index index)
{
    for (const victim::member& member : victims_[index].members_) {
        if (member.room_ == rooms_.size())
            continue;
        rooms_[member.room_].pending_ += victims_[index].need_;
        std::erase(rooms_[member.room_].victims_, index);
    }
}

void room_table::reserve(room_index where, const resources& need,
                         const step_key& step)
{
    room& item = rooms_[where];
    resources later{std::min(need.cpu_, item.pending_.cpu_),
                    std::min(need.memory_mb_, item.pending_.memory_mb_),
                    std::min(need.accelerators_, item.pending_.accelerators_)};
    item.pending_ -= later;
    resources now = need;
    now -= later;
    item.free_ -= now;
    free_ -= now.accelerators_;
    ++placed_[{step, where}];
}

} // namespace dandelioncrank::pool
