#pragma once

#include "dandelioncrank/core/name.hpp"
#include "dandelioncrank/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace dandelioncrank::pool {

/// Run times of the latest tasks of one step, which are alike but for a few.
class sibling_run_times
{
  public:
    struct entry
    {
        /// Identifies the run.
        std::uint64_t run_ = 0;
        /// Key of its sample as long as it is not settled.
        std::uint64_t shared_key_ = 0;
        /// Key of the last sample that was added for it; 0 if none was.
        std::uint64_t counted_key_ = 0;
        worker_name worker_;
        instant ended_at_{};
        duration run_time_{};
        /// The logarithm of the seconds that it takes on a typical worker.
        double log_typical_ = 0;
        /// Compared with enough workers.
        bool is_settled_ = false;
    };

    /// The usual run time on other workers.
    struct reference
    {
        double log_typical_ = 0;
        /// Number of these workers.
        std::size_t workers_ = 0;
    };

    void add(const entry& run);
    /// Returns nothing if too few tasks have ended on other workers.
    [[nodiscard]] std::optional<reference>
    reference_for(const worker_name& worker) const;
    [[nodiscard]] std::vector<entry>& entries() { return entries_; }

  private:
    std::vector<entry> entries_;
    std::size_t next_ = 0;
};

} // namespace dandelioncrank::pool
