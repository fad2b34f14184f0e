#include "late_starts.hpp"

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// Calls without an answer are carried out some seconds later at the latest.
constexpr duration max_call_delay = 15s;
// Bounds the memory when very many calls are lost.
constexpr std::size_t max_entries = 65536;

} // namespace

duration late_starts::max_delay()
{
    return max_call_delay;
}

void late_starts::clear()
{
    entries_.clear();
    leases_.clear();
}

void late_starts::add_lease(const worker_name& worker, std::int64_t incarnation,
                            instant now)
{
    leases_[worker] = {incarnation, now};
    if (leases_.size() > max_entries)
        leases_.erase(leases_.begin());
}

std::optional<instant>
late_starts::last_lease_lost_at(const worker_name& worker,
                                std::int64_t incarnation) const
{
    auto found = leases_.find(worker);
    if (found == leases_.end() || found->second.incarnation_ == incarnation)
        return std::nullopt;
    return found->second.lost_at_;
}

void late_starts::add(const worker_name& worker, const run_ref& run,
                      instant now)
{
    entries_.push_back({worker, run, now});
    if (entries_.size() > max_entries)
        entries_.pop_front();
}

std::set<run_ref> late_starts::runs_for(const worker_name& worker, instant now)
{
    while (!entries_.empty() && now - entries_.front().since_ > max_call_delay)
        entries_.pop_front();
    std::set<run_ref> result;
    for (const entry& item : entries_) {
        if (item.worker_ == worker)
            result.insert(item.run_);
    }
    return result;
}

} // namespace dandelioncrank::pool
