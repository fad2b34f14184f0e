#pragma once

#include "dandelioncrank/scheduling/scheduling_types.hpp"

#include <map>
#include <set>
#include <vector>

namespace dandelioncrank {

/// Running gangs that may be preempted, by how long they are expected to
/// run on. Changes cost the logarithm of their number.
///
/// A gang within its declared time needs what is left of it, so the order by
/// declared end holds as time passes. One that has outlived it is expected to
/// need as long again as it has run, so the order by start holds.
class preemption_index
{
  public:
    void insert(const gang_key& gang, instant started_at, duration attained,
                duration declared);
    void erase(const gang_key& gang);

    /// Gangs with most to run, longest first, at most that many.
    [[nodiscard]] std::vector<std::pair<duration, gang_key>>
    longest(instant now, std::size_t limit) const;

    [[nodiscard]] std::size_t size() const { return entries_.size(); }

  private:
    struct entry
    {
        /// Start of the run, moved back by earlier progress.
        instant effective_start_;
        instant declared_end_;
    };

    std::map<gang_key, entry> entries_;
    std::set<std::pair<instant, gang_key>> by_start_;
    std::set<std::pair<instant, gang_key>> by_end_;
};

} // namespace dandelioncrank
