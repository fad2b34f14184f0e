#pragma once

#include "dandelioncrank/core/name.hpp"
#include "dandelioncrank/core/time.hpp"

#include <cstdint>
#include <deque>
#include <vector>

namespace dandelioncrank::pool {

/// Final jobs that are kept for clients to ask for, oldest first, with a lower
/// bound of how long they have been kept. Part of the replicated state: the
/// time is that of the commands.
class retained_jobs
{
  public:
    [[nodiscard]] const std::deque<job_id>& jobs() const { return jobs_; }
    void add(const job_id& id);
    void remove_oldest();
    /// Advances the time to that of a command.
    void advance(std::int64_t wall_ms);
    /// Whether the oldest job has certainly been kept for this long.
    [[nodiscard]] bool is_oldest_kept_for(duration time) const;
    /// Replaces the jobs without a change of the time.
    void assign(const std::vector<job_id>& jobs);

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(clock_ms_, wall_ms_, added_, marks_);
    }

  private:
    /// A time at which the first `added_` jobs had been added.
    struct mark
    {
        std::int64_t clock_ms_ = 0;
        std::uint64_t added_ = 0;

        template <class Archive>
        void fields(Archive& archive)
        {
            archive(clock_ms_, added_);
        }
    };

    std::deque<job_id> jobs_;
    /// Time that has passed, and the wall clock of the last command. Clocks of
    /// successive leaders differ, so only plausible differences count.
    std::int64_t clock_ms_ = 0;
    std::int64_t wall_ms_ = 0;
    /// Number of jobs added so far.
    std::uint64_t added_ = 0;
    /// Oldest first.
    std::vector<mark> marks_;
};

} // namespace dandelioncrank::pool
