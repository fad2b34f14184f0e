#include "speed_simulation.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

constexpr duration interval = 100ms;
constexpr int waiting_jobs_kept = 3;

} // namespace

speed_simulation::speed_simulation(int workers, std::uint64_t seed)
    : pool_fixture(workers), random_(seed)
{
    for (const auto& [name, record] : state_.workers()) {
        model_.add_worker(name, record.info_.rack_, input_.now_);
        speeds_[name] = 1.0;
    }
}

void speed_simulation::set_speed(int worker, double speed)
{
    speeds_[name_of(worker)] = speed;
}

void speed_simulation::restart(int worker)
{
    const worker_name name = name_of(worker);
    model_.remove_worker(name);
    model_.add_worker(name, state_.worker_at(name).info_.rack_, input_.now_);
}

double speed_simulation::next_length()
{
    return 5.0 + static_cast<double>(random_() % 5'000) / 1'000;
}

void speed_simulation::submit_jobs()
{
    int kept =
        std::max<int>(waiting_jobs_kept,
                      static_cast<int>(state_.workers().size()) * 8 / 39 + 4);
    while (static_cast<int>(state_.active_jobs().size()) < kept) {
        job_id id = submit("job" + std::to_string(jobs_++),
                           {make_step(39, 1, false)}, 2);
        lengths_[id] = next_length();
    }
}

void speed_simulation::start_runs()
{
    input_.estimates_ = model_.estimates();
    for (const start_run& command : plan_and_start().starts_) {
        for (const task_assignment& item : command.assignments_) {
            bool is_long = random_() % 100 < long_tasks_percent_;
            running_[{
                {command.job_, command.occurrence_, command.step_, item.index_},
                command.run_}] = {item.worker_, input_.now_,
                                  lengths_.at(command.job_) * (is_long ? 7 : 1),
                                  0};
        }
    }
}

void speed_simulation::advance_runs()
{
    double passed = std::chrono::duration<double>(interval).count();
    for (auto it = running_.begin(); it != running_.end();) {
        auto& [run, item] = *it;
        item.done_ += passed * speeds_.at(item.worker_);
        bool is_done = item.done_ >= item.work_;
        run_sighting sighting{
            run, input_.now_,
            std::min(100, static_cast<int>(item.done_ / item.work_ * 100))};
        if (is_done)
            sighting.run_time_ = input_.now_ - item.started_at_;
        model_.observe(item.worker_, sighting);
        if (is_done)
            end_run(run, run_outcome::done);
        it = is_done ? running_.erase(it) : std::next(it);
    }
}

void speed_simulation::run_for(duration time)
{
    for (instant end = input_.now_ + time; input_.now_ < end;) {
        submit_jobs();
        start_runs();
        input_.now_ += interval;
        advance_runs();
        model_.refresh(input_.now_);
        most_marked_ = std::max(most_marked_, marked());
    }
}

} // namespace dandelioncrank::pool
