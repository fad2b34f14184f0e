#include "preemption_index.hpp"

#include <algorithm>

namespace dandelioncrank {

void preemption_index::insert(const gang_key& gang, instant started_at,
                              duration attained, duration declared)
{
    erase(gang);
    entry item{started_at - attained, started_at - attained + declared};
    entries_[gang] = item;
    by_start_.emplace(item.start_, gang);
    by_end_.emplace(item.declared_end_, gang);
}

void preemption_index::erase(const gang_key& gang)
{
    auto found = entries_.find(gang);
    if (found == entries_.end())
        return;
    by_start_.erase({found->second.start_, gang});
    by_end_.erase({found->second.declared_end_, gang});
    entries_.erase(found);
}

std::vector<std::pair<duration, gang_key>>
preemption_index::longest(instant now, std::size_t most) const
{
    std::map<gang_key, duration> found;
    for (auto it = by_end_.rbegin();
         it != by_end_.rend() && found.size() < most && it->first > now; ++it)
        found[it->second] = it->first - now;
    std::size_t looked_at = 0;
    for (auto it = by_start_.begin(); it != by_start_.end() && looked_at < most;
         ++it, ++looked_at) {
        duration& rest = found[it->second];
        rest = std::max(rest, now - it->first);
    }
    std::vector<std::pair<duration, gang_key>> result;
    for (const auto& [gang, rest] : found)
        result.emplace_back(rest, gang);
    std::sort(result.begin(), result.end(), [](const auto& a, const auto& b) {
        return std::pair(b.first, a.second) < std::pair(a.first, b.second);
    });
    if (result.size() > most)
        result.resize(most);
    return result;
}

} // namespace dandelioncrank
