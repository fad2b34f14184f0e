#include "preemption_index.hpp"

#include <algorithm>

namespace dandelioncrank {

void preemption_index::insert(const gang_key& gang, instant started_at,
                              duration attained, duration declared_run_time)
{
    erase(gang);
    entry item{started_at - attained,
               started_at - attained + declared_run_time};
    entries_[gang] = item;
    by_start_.emplace(item.effective_start_, gang);
    by_end_.emplace(item.declared_end_, gang);
}

void preemption_index::erase(const gang_key& gang)
{
    auto found = entries_.find(gang);
    if (found == entries_.end())
        return;
    by_start_.erase({found->second.effective_start_, gang});
    by_end_.erase({found->second.declared_end_, gang});
    entries_.erase(found);
}

std::vector<std::pair<duration, gang_key>>
preemption_index::longest(instant now, std::size_t limit) const
{
    std::map<gang_key, duration> found;
    for (auto it = by_end_.rbegin();
         it != by_end_.rend() && found.size() < limit && it->first > now; ++it)
        found[it->second] = it->first - now;
    std::size_t examined = 0;
    for (auto it = by_start_.begin(); it != by_start_.end() && examined < limit;
         ++it, ++examined) {
        duration& remaining = found[it->second];
        remaining = std::max(remaining, now - it->first);
    }
    std::vector<std::pair<duration, gang_key>> result;
    for (const auto& [gang, remaining] : found)
        result.emplace_back(remaining, gang);
    std::sort(result.begin(), result.end(), [](const auto& a, const auto& b) {
        return std::pair(b.first, a.second) < std::pair(a.first, b.second);
    });
    if (result.size() > limit)
        result.resize(limit);
    return result;
}

} // namespace dandelioncrank
