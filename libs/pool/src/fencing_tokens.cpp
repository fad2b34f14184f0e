#include "fencing_tokens.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// Calls without an answer are carried out some seconds later at the latest.
constexpr duration max_call_delay = 15s;
// Tokens stay below 2^53, the integers that every reader of JSON holds exactly:
// 29 bits of the term, 24 bits of the count.
constexpr int count_bits = 24;
constexpr std::uint64_t max_count = (std::uint64_t{1} << count_bits) - 1;
// Bounds the memory in pools whose workers change their names often.
constexpr std::size_t max_entries = 65536;

} // namespace

void fencing_tokens::begin(std::uint64_t term)
{
    // In the same term the workers have seen the counts so far, and calls may
    // be open.
    if (term == term_) {
        default_.raise();
        for (auto& item : entries_)
            item.second.raise();
        return;
    }
    entries_.clear();
    default_ = {};
    term_ = term;
}

void fencing_tokens::entry::raise()
{
    count_ = std::min(count_ + 1, max_count);
}

std::uint64_t fencing_tokens::token_for(const worker_name& worker) const
{
    auto found = entries_.find(worker);
    const entry& item = found == entries_.end() ? default_ : found->second;
    return (term_ << count_bits) + item.count_;
}

void fencing_tokens::raise(const worker_name& worker)
{
    entry_of(worker).raise();
}

void fencing_tokens::record_lost_call(const worker_name& worker, instant now)
{
    raise(worker);
    entries_.at(worker).late_until_ = now + max_call_delay;
}

instant fencing_tokens::late_until(const worker_name& worker) const
{
    auto found = entries_.find(worker);
    return found == entries_.end()
               ? default_.late_until_
               : std::max(found->second.late_until_, default_.late_until_);
}

// A worker without an entry gets the highest count of those that were dropped,
// since its name may be one of theirs.
fencing_tokens::entry& fencing_tokens::entry_of(const worker_name& worker)
{
    auto found = entries_.find(worker);
    if (found != entries_.end())
        return found->second;
    if (entries_.size() >= max_entries) {
        const entry& dropped = entries_.begin()->second;
        default_.count_ = std::max(default_.count_, dropped.count_);
        default_.late_until_ =
            std::max(default_.late_until_, dropped.late_until_);
        entries_.erase(entries_.begin());
    }
    return entries_.emplace(worker, default_).first->second;
}

} // namespace dandelioncrank::pool
