#pragma once

#include "dandelioncrank/consensus/consensus_types.hpp"

#include <deque>

namespace dandelioncrank {

/// Log of one replica: the last snapshot and the entries after it.
class replica_log
{
  public:
    replica_log(log_snapshot base, std::vector<log_entry> entries);

    [[nodiscard]] log_index first_index() const { return base_.index_ + 1; }
    [[nodiscard]] log_index last_index() const
    {
        return base_.index_ + entries_.size();
    }
    [[nodiscard]] term_number last_term() const;
    [[nodiscard]] const log_snapshot& base() const { return base_; }

    /// Term at an index; nothing if the index is compacted or past the end.
    [[nodiscard]] std::optional<term_number> term_at(log_index index) const;
    [[nodiscard]] const log_entry& at(log_index index) const;

    void append(log_entry entry);
    void truncate_from(log_index index);
    /// Drops the entries that a newer snapshot covers.
    void compact(log_snapshot base);
    /// Replaces the whole log by a snapshot.
    void reset(log_snapshot base);

    /// Entries from an index on, bounded by count and payload bytes. Contains
    /// at least one entry if there is any.
    [[nodiscard]] std::vector<log_entry>
    slice(log_index from, std::size_t max_entries, std::size_t max_bytes) const;

    /// Latest membership in the log. It takes effect when it is appended, not
    /// when it is committed.
    [[nodiscard]] const membership& members() const { return members_; }
    [[nodiscard]] log_index members_index() const { return members_index_; }

  private:
    void reload_members();

    log_snapshot base_;
    std::deque<log_entry> entries_;
    membership members_;
    log_index members_index_ = 0;
};

} // namespace dandelioncrank
