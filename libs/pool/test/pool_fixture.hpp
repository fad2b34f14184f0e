#pragma once

#include "dandelioncrank/pool/placement_planner.hpp"
#include "dandelioncrank/pool/pool_state.hpp"

#include <string>

namespace dandelioncrank::pool {

/// A pool of workers, by default six per rack, for tests that submit jobs, plan
/// and commit explicitly.
class pool_fixture
{
  public:
    explicit pool_fixture(int workers, int per_rack = 6)
    {
        for (int i = 0; i < workers; ++i)
            add_worker(i, i / per_rack);
        input_.now_ = instant(std::chrono::hours(1));
    }

    void add_worker(int number, int rack)
    {
        worker_info info;
        info.name_ = name_of(number);
        info.incarnation_ = 1;
        info.service_ = service_name("rota");
        info.address_ = "10.0.0." + std::to_string(number) + ":1";
        info.capacity_ = {64'000, 131'072, 8};
        info.rack_ = rack_name("r" + std::to_string(rack));
        info.labels_ = {"a", info.rack_.str()};
        state_.apply(put_worker{info});
        input_.usable_workers_[info.name_] = 0;
    }

    [[nodiscard]] static worker_name name_of(int number)
    {
        // Two digits make names sort in the order of the numbers.
        std::string digits = std::to_string(number);
        return worker_name(digits.size() < 2 ? "w0" + digits : "w" + digits);
    }

    /// Returns a step whose tasks mainly need accelerators.
    [[nodiscard]] static step_spec
    make_step(std::uint32_t count, std::int64_t accelerators, bool is_gang)
    {
        step_spec step;
        step.count_ = count;
        step.need_ = {1'000, 1'000, accelerators};
        step.estimate_ = std::chrono::seconds(5);
        step.is_gang_ = is_gang;
        return step;
    }

    job_id submit(const std::string& id, std::vector<step_spec> steps,
                  int priority = 1, const std::string& team = "t")
    {
        accept_job job;
        job.spec_.id_ = job_id(id);
        job.spec_.steps_ = std::move(steps);
        job.access_ = grant_queue_access(priority, team);
        job.accepted_ms_ = next_ms_++;
        job.request_ = "call-" + id;
        state_.apply(job);
        input_.accepted_at_[job.spec_.id_] = input_.now_;
        return job.spec_.id_;
    }

    /// Returns a team's access to the queue of a priority, configuring both if
    /// necessary.
    queue_access grant_queue_access(int priority, const std::string& team)
    {
        std::string name = "queue-" + std::to_string(priority);
        queue_access access{"a.example", '/' + name + '/', "key-of-" + team};
        if (config_.authorize(access).verdict_ == access_verdict::granted)
            return access;
        if (config_.find_route(access.host_, access.path_) == nullptr) {
            queue_route route{access.host_, access.path_, false, {}};
            route.policy_.name_ = name;
            route.policy_.service_ = service_name("rota");
            route.policy_.priority_ = priority;
            route.policy_.attempts_ = 2;
            route.policy_.stretch_ = 3.0;
            config_.routes_.push_back(route);
        }
        config_.teams_[team_name(team)].keys_ = {access.key_};
        config_.version_ += 1;
        state_.apply(put_config{config_});
        return access;
    }

    /// Number of waiting jobs of the queue of a priority.
    [[nodiscard]] std::uint64_t waiting_jobs(int priority) const
    {
        const std::string prefix = "/queue-" + std::to_string(priority) + '/';
        const queue_route* route = config_.find_route("a.example", prefix);
        return route == nullptr ? 0 : state_.waiting_jobs(*route);
    }

    /// Puts a changed copy of the configuration in force.
    template <class Change>
    void reconfigure(Change change)
    {
        change(config_);
        config_.version_ += 1;
        state_.apply(put_config{config_});
    }

    void guarantee(const std::string& team, std::int64_t accelerators)
    {
        config_.version_ += 1;
        config_.teams_[team_name(team)].guaranteed_accelerators_ = accelerators;
        state_.apply(put_config{config_});
    }

    [[nodiscard]] placement_plan plan() { return make_plan(state_, input_); }

    /// Plans and commits the starts.
    placement_plan plan_and_start()
    {
        placement_plan result = plan();
        for (const start_run& command : result.starts_) {
            state_.apply(command);
            for (const task_assignment& assignment : command.assignments_) {
                run_ref run{{command.job_, command.occurrence_, command.step_,
                             assignment.index_},
                            command.run_};
                input_.runs_[run] = {input_.now_, 0, false};
            }
        }
        return result;
    }

    /// Reports the same outcome for every run of a job.
    void end_all(const job_id& id, run_outcome outcome)
    {
        std::uint64_t& sequence = sequence_;
        for (const auto& [name, record] : state_.workers()) {
            std::set<run_ref> runs = state_.runs_on(name);
            for (const run_ref& run : runs) {
                if (run.task_.job_ == id)
                    state_.apply(record_outcomes{
                        name, 1, {{++sequence, run, outcome, {}}}});
            }
        }
    }

    /// Reports the outcome of one run.
    void end_run(const run_ref& run, run_outcome outcome)
    {
        const task_ref& at = run.task_;
        worker_name worker = state_.find_job(at.job_)
                                 ->occurrences_.at(at.occurrence_)
                                 .steps_[at.step_]
                                 .tasks_[at.index_]
                                 .worker_;
        state_.apply(
            record_outcomes{worker, 1, {{++sequence_, run, outcome, {}}}});
    }

    pool_state state_;
    planner_input input_;

  private:
    pool_config config_;
    std::int64_t next_ms_ = 1;
    std::uint64_t sequence_ = 0;
};

} // namespace dandelioncrank::pool
