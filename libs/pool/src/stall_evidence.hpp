#pragma once

#include "dandelioncrank/pool/job_model.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace dandelioncrank::pool {

/// A worker that may be why a run has stalled.
struct stall_suspicion
{
    worker_name worker_;
    job_id job_;
    /// For the log.
    std::string evidence_;
};

/// Progress and stalls of the past on each worker, and the stops of each task
/// as stalled.
class stall_evidence
{
  public:
    /// Whether a job is not final, or may still have runs.
    using job_query = std::function<bool(const job_id&)>;

    explicit stall_evidence(job_query is_active)
        : is_active_(std::move(is_active))
    {
    }

    /// Records that a run on a worker has progressed. What has stalled there
    /// before then is no evidence any more.
    void note_progress(const worker_name& worker, instant at);
    [[nodiscard]] bool has_progressed_since(const worker_name& worker,
                                            instant at) const;
    /// Records that a run has progressed for the first time, after `waited`.
    /// Returns the worker on which its task has stalled before, if only that
    /// one explains it.
    [[nodiscard]] std::optional<stall_suspicion>
    note_first_progress(const run_ref& run,
                        const std::vector<worker_name>& workers,
                        duration waited, instant now);
    /// Records that a run was stopped as stalled. Without suspects, any of its
    /// workers may be at fault, or none.
    void note_stall(const run_ref& run, const std::vector<worker_name>& workers,
                    const std::vector<worker_name>& suspects, duration standing,
                    instant now);
    /// Whether another task has stalled on a worker that was the only one of
    /// its run, or suspected, and nothing has progressed there since. Tasks of
    /// the same job may be at fault themselves, and count only on request.
    [[nodiscard]] bool has_stalled(const worker_name& worker,
                                   const task_ref& except,
                                   bool same_job_counts) const;
    /// Whether a run has stalled on a worker, whatever the cause, and nothing
    /// has progressed there since.
    [[nodiscard]] bool is_doubtful(const worker_name& worker) const;
    /// The only one of several workers on which a gang has stalled before
    /// without a suspect; null if there are several or none.
    [[nodiscard]] const worker_name*
    common_worker(const std::vector<worker_name>& workers) const;
    /// How often a task was stopped as stalled.
    [[nodiscard]] int stops_of(const task_ref& task) const;
    /// Drops what is old, and the stops of jobs that are over.
    void forget_old(instant now);
    void forget_worker(const worker_name& worker) { workers_.erase(worker); }

  private:
    struct stall
    {
        task_ref task_;
        instant at_{};
        /// No other worker may be at fault.
        bool is_certain_ = false;
    };

    struct worker_history
    {
        instant progressed_at_{};
        std::deque<stall> stalls_;
    };

    struct task_history
    {
        int stops_ = 0;
        std::uint32_t run_ = 0;
        /// Workers of that run, if none of them is suspected.
        std::vector<worker_name> workers_;
        duration standing_{};
        instant stopped_at_{};
    };

    void add_stall(const worker_name& worker, const stall& item);

    job_query is_active_;
    std::unordered_map<worker_name, worker_history> workers_;
    std::map<task_ref, task_history> tasks_;
};

} // namespace dandelioncrank::pool
