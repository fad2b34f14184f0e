#pragma once

#include "dandelioncrank/consensus/consensus_core.hpp"
#include "dandelioncrank/storage/data_directory.hpp"
#include "dandelioncrank/storage/record_log.hpp"

#include <memory>
#include <optional>
#include <string>

namespace dandelioncrank {

/// Durable state of one voter, kept in one data directory.
class voter_storage
{
  public:
    /// Opens the directory. Throws storage_error.
    explicit voter_storage(std::string path,
                           disk_calls calls = disk_calls::system());
    ~voter_storage();

    /// Whether the directory already belongs to a voter.
    [[nodiscard]] bool has_identity() const { return !identity_.empty(); }

    /// Writes the identity and the initial members to an empty directory.
    void initialize(const voter_name& identity, const membership& members);

    /// State from which to start the replica. Call once.
    [[nodiscard]] persistent_state load();

    /// Writes and syncs the first four members of the output. Throws
    /// storage_error.
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
    /// Without its state once that was loaded.
    log_snapshot snapshot_;
    std::vector<log_entry> entries_;
};

} // namespace dandelioncrank
