#include "sibling_run_times.hpp"

#include <algorithm>
#include <functional>

namespace dandelioncrank::pool {

namespace {

// Number of tasks of a step that are kept.
constexpr std::size_t max_entries = 32;
// With three others, the median is right although one of them is unusual.
constexpr std::size_t min_others = 3;
constexpr std::size_t min_other_workers = 2;

} // namespace

void sibling_run_times::add(const entry& run)
{
    if (entries_.size() < max_entries) {
        entries_.push_back(run);
        return;
    }
    entries_[next_] = run;
    next_ = (next_ + 1) % max_entries;
}

std::optional<sibling_run_times::reference>
sibling_run_times::reference_for(const worker_name& worker) const
{
    std::vector<double> times;
    std::vector<std::size_t> workers;
    for (const entry& item : entries_) {
        if (item.worker_ == worker)
            continue;
        times.push_back(item.log_typical_);
        workers.push_back(std::hash<worker_name>()(item.worker_));
    }
    std::sort(workers.begin(), workers.end());
    workers.erase(std::unique(workers.begin(), workers.end()), workers.end());
    if (times.size() < min_others || workers.size() < min_other_workers)
        return std::nullopt;
    auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return reference{*middle, workers.size()};
}

} // namespace dandelioncrank::pool
