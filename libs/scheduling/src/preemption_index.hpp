#pragma once

#include "dandelioncrank/scheduling/scheduling_types.hpp"

#include <map>
#include <set>
#include <vector>

namespace dandelioncrank {

/// Running gangs that may be preempted, ordered by expected remaining time.
/// Insert and erase take logarithmic time.
///
/// The gangs are kept in two orders that do not change as time passes. A gang
/// within its declared run time is expected to need the rest of it, so such
/// gangs are ordered by declared end. A gang that has exceeded it is expected
/// to need as long again as it has run, so such gangs are ordered by start.
class preemption_index
{
  public:
    void insert(const gang_key& gang, instant started_at, duration attained,
                duration declared_run_time);
    void erase(const gang_key& gang);

    /// At most limit gangs with the longest remaining time, longest first.
    [[nodiscard]] std::vector<std::pair<duration, gang_key>>
    longest(instant now, std::size_t limit) const;

    [[nodiscard]] std::size_t size() const { return entries_.size(); }

  private:
    struct entry
    {
        /// Start of the run minus the service attained before it.
        instant effective_start_;
        instant declared_end_;
    };

    std::map<gang_key, entry> entries_;
    std::set<std::pair<instant, gang_key>> by_start_;
    std::set<std::pair<instant, gang_key>> by_end_;
};

} // namespace dandelioncrank
