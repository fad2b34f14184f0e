#include "dandelioncrank/pool/cold_start_limiter.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

// Number of equal steps in which a worker is filled.
constexpr int steps = 4;

} // namespace

// An announcement that was delayed says more than what remains, but never more
// than the incarnation has announced at most.
void cold_start_limiter::record(const worker_name& worker,
                                std::int64_t incarnation, duration remaining,
                                instant now)
{
    auto found = workers_.find(worker);
    bool is_known =
        found != workers_.end() && found->second.incarnation_ == incarnation;
    if (remaining <= duration::zero()) {
        if (is_known || (found != workers_.end() &&
                         found->second.incarnation_ < incarnation))
            workers_.erase(found);
        return;
    }
    if (!is_known) {
        workers_[worker] = {incarnation, now + remaining, remaining};
        return;
    }
    cold_worker& item = found->second;
    item.warm_at_ = now + remaining;
    item.total_ = std::max(item.total_, remaining);
}

void cold_start_limiter::expire(instant now)
{
    std::erase_if(workers_, [now](const auto& item) {
        return item.second.warm_at_ <= now;
    });
}

std::map<worker_name, int> cold_start_limiter::shares(instant now) const
{
    std::map<worker_name, int> result;
    for (const auto& [worker, item] : workers_) {
        duration remaining = item.warm_at_ - now;
        if (remaining <= duration::zero())
            continue;
        duration passed = std::max(duration::zero(), item.total_ - remaining);
        auto step = static_cast<int>(passed * steps / item.total_) + 1;
        if (step < steps)
            result.emplace(worker, step * 100 / steps);
    }
    return result;
}

} // namespace dandelioncrank::pool
