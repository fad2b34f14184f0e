#pragma once

#include "dandelioncrank/pool/performance_estimates.hpp"
#include "dandelioncrank/pool/placement_planner.hpp"
#include "dandelioncrank/pool/worker_speed_summary.hpp"
#include "run_time_model.hpp"
#include "sibling_run_times.hpp"
#include "speed_model.hpp"

#include <map>
#include <optional>
#include <unordered_map>

namespace dandelioncrank::pool {

/// What a worker's listing tells of one run.
struct run_sighting
{
    run_ref run_;
    instant at_{};
    int progress_percent_ = 0;
    /// From its confirmation to its end, if it has ended as done and was in
    /// sight all the time.
    std::optional<duration> run_time_ = std::nullopt;
};

/// Learns the speed of workers and the run times of queues from what runs.
///
/// A run is compared with its siblings on other workers, or with its queue
/// where those are few and its run times are predictable. Gangs advance at the
/// pace of their slowest member, so they tell nothing of single workers.
class performance_model
{
  public:
    explicit performance_model(const pool_state& state) : state_(state) {}

    /// Registers an incarnation of a worker.
    void add_worker(const worker_name& worker, const rack_name& rack,
                    instant now)
    {
        speeds_.add_worker(worker, rack, now);
    }
    void remove_worker(const worker_name& worker)
    {
        speeds_.remove_worker(worker);
    }
    /// Records what a listing tells, before its outcomes are committed.
    void observe(const worker_name& worker, const run_sighting& sighting);
    /// Updates the estimates, at a limited rate.
    void refresh(instant now);

    /// Valid as long as the model.
    [[nodiscard]] performance_estimates estimates() const
    {
        return {speeds_.speeds(), &run_times_};
    }
    [[nodiscard]] worker_speed_summary summarize(std::size_t limit) const
    {
        return summarize_speeds(speeds_.speeds(), limit);
    }

  private:
    /// A point in the progress of a run.
    struct progress_mark
    {
        instant at_{};
        int progress_percent_ = 0;
        instant seen_at_{};
        /// Key of the last sample that was added for the run; 0 if none was.
        std::uint64_t counted_key_ = 0;
    };

    struct step_entry
    {
        sibling_run_times run_times_;
        instant used_at_{};
    };

    /// How long like tasks take on a typical worker.
    struct reference
    {
        duration run_time_{};
        std::uint64_t sample_key_ = 0;
    };

    void observe_end(const worker_name& worker, const run_sighting& sighting,
                     const job_record& job, const step_spec& spec);
    /// Compares the ends of a step's tasks with each other.
    void compare_siblings(sibling_run_times& siblings);
    void observe_gang_end(const run_sighting& sighting, const job_record& job,
                          const step_spec& spec);
    void observe_progress(const worker_name& worker,
                          const run_sighting& sighting, const job_record& job,
                          const step_spec& spec);
    [[nodiscard]] std::optional<reference>
    find_reference(const worker_name& worker, const run_ref& run,
                   const job_record& job, const step_spec& spec) const;
    [[nodiscard]] sibling_run_times& siblings_of(const step_key& step,
                                                 instant now);
    [[nodiscard]] bool is_under_way(const step_key& step) const;

    const pool_state& state_;
    speed_model speeds_;
    run_time_model run_times_;
    std::map<step_key, step_entry> steps_;
    std::unordered_map<run_ref, progress_mark, run_hash> marks_;
    /// Gangs of which a member has ended, by the run of the first task.
    std::unordered_map<run_ref, instant, run_hash> ended_gangs_;
    instant refreshed_at_{};
};

} // namespace dandelioncrank::pool
