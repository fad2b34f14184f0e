#pragma once

#include "dandelioncrank/storage/disk_calls.hpp"

#include <QByteArray>

#include <cstdint>
#include <string>
#include <vector>

namespace dandelioncrank {

/// What opening a log found besides its records.
struct log_recovery
{
    /// Bytes of an unfinished write that were cut off the end.
    std::uint64_t torn_bytes_ = 0;
};

/// Append-only file of checksummed records.
///
/// A damaged record with nothing readable behind it is a write that a crash
/// cut short; it was never promised to anybody and is cut off. A damaged
/// record with readable ones behind it is corruption: storage_error.
class record_log
{
  public:
    /// Opens or creates the file. Throws storage_error.
    record_log(std::string path, disk_calls calls);
    ~record_log();

    record_log(const record_log&) = delete;
    record_log& operator=(const record_log&) = delete;

    [[nodiscard]] const std::vector<QByteArray>& records() const
    {
        return records_;
    }
    /// Frees what opening has read.
    void release_records() { records_.clear(); }
    [[nodiscard]] const log_recovery& recovery() const { return recovery_; }

    /// Buffers a record until sync().
    void append(const QByteArray& payload);
    /// Writes and syncs; on failure the log refuses everything after.
    /// Throws storage_error.
    void sync();

    [[nodiscard]] std::uint64_t size() const { return size_; }

    /// Bytes of one record as in the file.
    [[nodiscard]] static QByteArray encode_record(const QByteArray& payload);

  private:
    void load();
    [[nodiscard]] static bool has_record_after(const QByteArray& bytes,
                                               qsizetype offset);

    std::string path_;
    disk_calls calls_;
    int descriptor_ = -1;
    std::uint64_t size_ = 0;
    bool failed_ = false;
    QByteArray pending_;
    std::vector<QByteArray> records_;
    log_recovery recovery_;
};

} // namespace dandelioncrank
