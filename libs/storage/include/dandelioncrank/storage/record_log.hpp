#pragma once

#include "dandelioncrank/storage/disk_calls.hpp"

#include <QByteArray>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandelioncrank {

/// Result of recovery when a log is opened.
struct log_recovery
{
    /// Bytes of an incomplete write that were truncated from the end.
    std::uint64_t torn_bytes_ = 0;
};

/// Append-only file of checksummed records.
///
/// An invalid record with no valid record after it is a torn write from a
/// crash. It was never acknowledged, so it is truncated. An invalid record
/// before a valid one is corruption and raises storage_error.
class record_log
{
  public:
    /// Opens or creates the file and reads its records. Throws storage_error.
    record_log(std::string path, disk_calls calls);
    ~record_log();

    record_log(const record_log&) = delete;
    record_log& operator=(const record_log&) = delete;

    [[nodiscard]] const std::vector<QByteArray>& records() const
    {
        return records_;
    }
    /// Frees the records read when the log was opened.
    void release_records() { records_.clear(); }
    [[nodiscard]] const log_recovery& recovery() const { return recovery_; }

    /// Buffers a record until the next sync().
    void append(const QByteArray& payload);
    /// Writes and syncs the buffered records. Throws storage_error; after a
    /// failure every later call fails too.
    void sync();

    [[nodiscard]] std::uint64_t size() const { return size_; }

    /// Encodes one record as it is stored in the file.
    [[nodiscard]] static QByteArray encode_record(const QByteArray& payload);
    /// The part of a record before its payload.
    [[nodiscard]] static QByteArray encode_header(const QByteArray& payload);
    /// Payload of bytes that are exactly one valid record, or nothing.
    [[nodiscard]] static std::optional<QByteArray>
    decode_record(QByteArray bytes);

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
