#pragma once

#include "dandelioncrank/pool/job_model.hpp"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace dandelioncrank::pool {

/// Time per percent of the runs of each step, converted to a typical worker
/// with the data at hand. Runs that have ended stay known for a while: on a
/// worker without progress a run outlasts the others of its step.
class step_paces
{
  public:
    /// Sets the pace of a run.
    void set(const run_ref& run, const worker_name& worker, duration percent,
             instant now);
    /// Typical time per percent of the runs on other workers; nothing if too
    /// few are known.
    [[nodiscard]] std::optional<duration>
    elsewhere(const task_ref& task, const worker_name& worker) const;
    /// Drops the steps without progress for a long time.
    void forget_old(instant now);

  private:
    struct sample
    {
        task_ref task_;
        worker_name worker_;
        duration percent_{};
    };

    struct step_samples
    {
        std::vector<sample> samples_;
        /// The one to replace next.
        std::size_t oldest_ = 0;
        instant changed_at_{};
    };

    /// Occurrences of a job have the same steps.
    using key = std::pair<job_id, std::uint32_t>;

    std::map<key, step_samples> steps_;
};

} // namespace dandelioncrank::pool
