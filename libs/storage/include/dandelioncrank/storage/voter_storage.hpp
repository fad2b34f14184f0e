#pragma once

#include "dandelioncrank/consensus/consensus_core.hpp"
#include "dandelioncrank/storage/data_directory.hpp"
#include "dandelioncrank/storage/record_log.hpp"

#include <memory>
#include <optional>
#include <string>

namespace dandelioncrank {

/// Durable state of one voter in one data folder.
class voter_storage
{
  public:
    /// Opens the folder. Throws storage_error.
    explicit voter_storage(std::string path,
                           disk_calls calls = disk_calls::system());
    ~voter_storage();

    /// Whether the folder has held a voter before.
    [[nodiscard]] bool has_identity() const { return !identity_.empty(); }

    /// Gives an empty folder its identity and the group's first members.
    void initialize(const voter_name& identity, const membership& members);

    /// What to start the replica from. Call once.
    [[nodiscard]] persistent_state load();

    /// Stores the first four parts of the output; returns once they are on
    /// disk. Throws storage_error.
    void store(const consensus_output& output);

    [[nodiscard]] const log_recovery& recovery() const;

  private:
    void open_log();
    void start_segment(const log_snapshot& snapshot);
    [[nodiscard]] std::string segment_name(std::uint64_t number) const;

    data_directory directory_;
    std::unique_ptr<record_log> log_;
    voter_name identity_;
    std::uint64_t segment_ = 0;
    hard_state hard_state_;
    log_snapshot snapshot_;
    std::vector<log_entry> entries_;
};

} // namespace dandelioncrank
