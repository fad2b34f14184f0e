#include "unanswered_calls.hpp"

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// Calls without an answer are carried out some seconds later at the latest.
constexpr duration max_call_delay = 15s;
// Bounds the memory when very many calls are lost.
constexpr std::size_t max_entries = 65536;

} // namespace

duration unanswered_calls::max_delay()
{
    return max_call_delay;
}

void unanswered_calls::clear()
{
    entries_.clear();
    leases_.clear();
}

void unanswered_calls::add_lease(const worker_name& worker,
                                 std::int64_t incarnation, instant now)
{
    leases_[worker] = {incarnation, now};
    if (leases_.size() > max_entries)
        leases_.erase(leases_.begin());
}

std::optional<instant>
unanswered_calls::last_lease_lost_at(const worker_name& worker,
                                     std::int64_t incarnation) const
{
    auto found = leases_.find(worker);
    if (found == leases_.end() || found->second.incarnation_ == incarnation)
        return std::nullopt;
    return found->second.lost_at_;
}

void unanswered_calls::add_start(const worker_name& worker, const run_ref& run,
                                 instant now)
{
    entries_.push_back({worker, run, now});
    if (entries_.size() > max_entries)
        entries_.pop_front();
}

std::set<run_ref> unanswered_calls::starts_for(const worker_name& worker,
                                               instant now)
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
