#pragma once

#include "progress_monitor.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dandelioncrank::pool {

/// Runs on workers of given speeds whose listings a monitor judges.
class progress_simulation
{
  public:
    struct sim_run
    {
        run_ref run_;
        std::size_t worker_ = 0;
        /// Run time on a typical worker.
        duration work_{};
        double percent_ = 0;
        /// Percent and time of the last listing.
        int listed_ = 0;
        instant listed_at_{};
    };

    explicit progress_simulation(std::size_t workers)
    {
        for (std::size_t i = 0; i < workers; ++i) {
            worker_info info;
            info.name_ = worker_name("w" + std::to_string(100 + i));
            info.rack_ = rack_name("r" + std::to_string(i % 4));
            workers_.push_back(info);
        }
    }

    job_record& add_job(const std::string& id, std::uint32_t tasks,
                        duration estimate, bool is_gang = false)
    {
        job_record& job = jobs_[job_id(id)];
        job.spec_.id_ = job_id(id);
        step_spec step;
        step.count_ = tasks;
        step.estimate_ = estimate;
        step.is_gang_ = is_gang;
        job.spec_.steps_ = {step};
        return job;
    }

    void start(const std::string& job, std::uint32_t index, std::size_t worker,
               duration work, std::uint32_t run = 1)
    {
        runs_.push_back({{{job_id(job), 0, 0, index}, run}, worker, work});
    }

    /// Advances the time by one listing of all workers.
    void advance()
    {
        now_ += interval_;
        std::map<job_id, double> gang_speeds;
        for (const sim_run& run : runs_) {
            double speed = speed_(run.worker_, now_);
            auto [found, is_new] =
                gang_speeds.try_emplace(run.run_.task_.job_, speed);
            found->second = std::min(found->second, speed);
        }
        std::vector<progress_report> reports;
        for (sim_run& run : runs_) {
            const job_id& id = run.run_.task_.job_;
            const job_record& job = jobs_.at(id);
            const step_spec& spec = job.spec_.steps_[0];
            double speed =
                spec.is_gang_ ? gang_speeds.at(id) : speed_(run.worker_, now_);
            run.percent_ =
                std::min(100.0, run.percent_ +
                                    100.0 * speed *
                                        static_cast<double>(interval_.count()) /
                                        static_cast<double>(run.work_.count()));
            bool answers = !frozen_.contains(run.worker_);
            if (answers) {
                run.listed_ = static_cast<int>(run.percent_);
                run.listed_at_ = now_;
            }
            reports.push_back({&run.run_, &job, &spec, &workers_[run.worker_],
                               run.listed_, run.listed_at_, false, false,
                               answers});
        }
        stall_findings found = monitor_.judge(reports, estimates_, now_);
        for (const stalled_unit& item : found.stalled_) {
            stalled_.push_back(item);
            std::erase_if(runs_, [&item](const sim_run& run) {
                return std::find(item.runs_.begin(), item.runs_.end(),
                                 run.run_) != item.runs_.end();
            });
        }
        for (const stall_suspicion& item : found.suspicions_)
            suspected_.insert(item.worker_);
        std::erase_if(runs_, [](const sim_run& run) {
            return run.percent_ >= 100 && run.listed_ >= 100;
        });
    }

    void advance_until(instant end)
    {
        while (now_ < end)
            advance();
    }

    [[nodiscard]] bool has_run(const std::string& job) const
    {
        return std::any_of(runs_.begin(), runs_.end(), [&](const auto& run) {
            return run.run_.task_.job_ == job_id(job);
        });
    }

    /// Work of a typical worker that a worker does in a second.
    std::function<double(std::size_t worker, instant now)> speed_ =
        [](std::size_t, instant) { return 1.0; };
    std::set<std::size_t> frozen_;
    duration interval_ = std::chrono::milliseconds(500);
    instant now_{std::chrono::hours(1)};
    std::vector<worker_info> workers_;
    std::map<job_id, job_record> jobs_;
    std::vector<sim_run> runs_;
    std::vector<stalled_unit> stalled_;
    std::set<worker_name> suspected_;
    performance_estimates estimates_;
    progress_monitor monitor_{
        std::chrono::milliseconds(4500),
        [this](const job_id& id) { return jobs_.contains(id); }};
};

} // namespace dandelioncrank::pool
