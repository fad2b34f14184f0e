#pragma once

#include "dandelioncrank/pool/job_model.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace dandelioncrank::pool {

/// Starts and leases that got no answer and may still be carried out, by
/// whichever incarnation has their worker's name then.
class unanswered_calls
{
  public:
    /// How late a call without an answer may be carried out.
    [[nodiscard]] static duration max_delay();

    void add_start(const worker_name& worker, const run_ref& run, instant now);
    /// Records a call that grants a lease by the clock of an incarnation.
    void add_lease(const worker_name& worker, std::int64_t incarnation,
                   instant now);
    /// Returns the runs whose starts may still be carried out by a worker.
    [[nodiscard]] std::set<run_ref> starts_for(const worker_name& worker,
                                               instant now);
    /// When a lease by the clock of another incarnation was last granted to a
    /// worker without an answer.
    [[nodiscard]] std::optional<instant>
    last_lease_lost_at(const worker_name& worker,
                       std::int64_t incarnation) const;
    void clear();

  private:
    struct entry
    {
        worker_name worker_;
        run_ref run_;
        instant since_{};
    };

    struct lost_lease
    {
        std::int64_t incarnation_ = 0;
        instant lost_at_{};
    };

    /// Oldest first.
    std::deque<entry> entries_;
    /// The last one of each worker.
    std::map<worker_name, lost_lease> leases_;
};

} // namespace dandelioncrank::pool
