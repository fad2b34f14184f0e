#include "replica_log.hpp"

#include "dandelioncrank/core/invariant.hpp"

namespace dandelioncrank {

replica_log::replica_log(log_snapshot base, std::vector<log_entry> entries)
    : base_(std::move(base)), entries_(entries.begin(), entries.end())
{
    reload_members();
}

term_number replica_log::last_term() const
{
    return entries_.empty() ? base_.term_ : entries_.back().term_;
}

std::optional<term_number> replica_log::term_at(log_index index) const
{
    if (index == base_.index_)
        return base_.term_;
    if (index < base_.index_ || index > last_index())
        return std::nullopt;
    return at(index).term_;
}

const log_entry& replica_log::at(log_index index) const
{
    require_invariant(index > base_.index_ && index <= last_index(),
                      "log entry must be within the retained log");
    return entries_[index - base_.index_ - 1];
}

void replica_log::append(log_entry entry)
{
    require_invariant(entry.index_ == last_index() + 1,
                      "log entry index must follow the last index");
    bool is_membership = entry.kind_ == entry_kind::membership;
    entries_.push_back(std::move(entry));
    if (is_membership)
        reload_members();
}

void replica_log::truncate_from(log_index index)
{
    while (!entries_.empty() && last_index() >= index)
        entries_.pop_back();
    reload_members();
}

void replica_log::compact(log_snapshot base)
{
    if (base.index_ <= base_.index_)
        return;
    log_index dropped = base.index_ - base_.index_;
    entries_.erase(entries_.begin(),
                   entries_.begin() + static_cast<std::ptrdiff_t>(dropped));
    base_ = std::move(base);
    reload_members();
}

void replica_log::reset(log_snapshot base)
{
    entries_.clear();
    base_ = std::move(base);
    reload_members();
}

std::vector<log_entry> replica_log::slice(log_index from,
                                          std::size_t max_entries,
                                          std::size_t max_bytes) const
{
    std::vector<log_entry> result;
    std::size_t size = 0;
    for (log_index index = from; index <= last_index(); ++index) {
        const log_entry& entry = at(index);
        size += static_cast<std::size_t>(entry.data_.size());
        bool full = result.size() >= max_entries ||
                    (size > max_bytes && !result.empty());
        if (full)
            break;
        result.push_back(entry);
    }
    return result;
}

void replica_log::reload_members()
{
    members_ = base_.members_;
    members_index_ = base_.index_;
    for (auto it = entries_.rbegin(); it != entries_.rend(); ++it) {
        if (it->kind_ != entry_kind::membership)
            continue;
        members_ = from_wire<membership>(it->data_);
        members_index_ = it->index_;
        return;
    }
}

} // namespace dandelioncrank
