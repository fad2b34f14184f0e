#pragma once

#include "dandelioncrank/pool/job_model.hpp"

#include <map>

namespace dandelioncrank::pool {

/// Fills workers step by step that are slow for some time after a start, as
/// they have announced. Performs no I/O.
class cold_start_limiter
{
  public:
    /// Records how much longer a worker stays slow; zero if it is not.
    void record(const worker_name& worker, std::int64_t incarnation,
                duration remaining, instant now);
    void clear() { workers_.clear(); }
    /// Removes the workers that are not slow any more.
    void expire(instant now);
    /// Percentage of the capacity of each slow worker that should be in use;
    /// workers without an entry are not limited.
    [[nodiscard]] std::map<worker_name, int> shares(instant now) const;

  private:
    struct cold_worker
    {
        std::int64_t incarnation_ = 0;
        instant warm_at_{};
        /// The longest remaining time that this incarnation has announced.
        duration total_{};
    };

    std::map<worker_name, cold_worker> workers_;
};

} // namespace dandelioncrank::pool
