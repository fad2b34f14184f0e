#pragma once

#include "performance_model.hpp"
#include "pool_fixture.hpp"

#include <random>

namespace dandelioncrank::pool {

/// A pool in virtual time whose workers run at speeds of their own, seen by a
/// performance model whose estimates the planner uses.
class speed_simulation : public pool_fixture
{
  public:
    explicit speed_simulation(int workers, std::uint64_t seed = 7);

    /// Sets the speed of a worker for what it runs from now on.
    void set_speed(int worker, double speed);
    /// Begins a new incarnation of a worker in the eyes of the model.
    void restart(int worker);
    /// Lists all runs and starts what is placed, at each interval. Keeps a few
    /// jobs of 39 tasks of 5 to 10 s waiting.
    void run_for(duration time);

    [[nodiscard]] double speed_of(int worker) const
    {
        return model_.estimates().speed_of(name_of(worker));
    }
    /// Most workers that were estimated to differ at any time so far.
    [[nodiscard]] std::size_t most_marked() const { return most_marked_; }
    [[nodiscard]] std::size_t marked() const
    {
        return model_.estimates().worker_speeds_.size();
    }

    /// Percentage of tasks that take seven times as long.
    unsigned long_tasks_percent_ = 3;

  private:
    struct active_run
    {
        worker_name worker_;
        instant started_at_{};
        /// Seconds of work on a worker of speed 1.
        double work_ = 0;
        double done_ = 0;
    };

    void submit_jobs();
    void start_runs();
    void advance_runs();
    /// Length of the tasks of a step.
    [[nodiscard]] double next_length();

    performance_model model_{state_};
    std::map<worker_name, double> speeds_;
    std::map<run_ref, active_run> running_;
    std::map<job_id, double> lengths_;
    std::mt19937_64 random_;
    int jobs_ = 0;
    std::size_t most_marked_ = 0;
};

} // namespace dandelioncrank::pool
