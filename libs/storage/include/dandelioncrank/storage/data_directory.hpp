#pragma once

#include "dandelioncrank/storage/disk_calls.hpp"

#include <QByteArray>

#include <optional>
#include <string>
#include <vector>

namespace dandelioncrank {

/// Directory of durable files, locked against use by a second process.
class data_directory
{
  public:
    /// Creates the directory if it does not exist. Throws storage_error if
    /// another process holds the lock or the directory is not writable.
    explicit data_directory(std::string path,
                            disk_calls calls = disk_calls::system());
    ~data_directory();

    data_directory(const data_directory&) = delete;
    data_directory& operator=(const data_directory&) = delete;

    [[nodiscard]] std::string file_path(const std::string& name) const;
    [[nodiscard]] const disk_calls& calls() const { return calls_; }

    /// Replaces a file atomically: a crash leaves either the old or the new
    /// content.
    void replace_file(const std::string& name, const QByteArray& bytes)
    {
        replace_file(name, std::vector{bytes});
    }
    /// The same for content in several parts, which need not be copied.
    void replace_file(const std::string& name,
                      const std::vector<QByteArray>& parts);
    /// Content of a file, or nothing if it does not exist.
    [[nodiscard]] std::optional<QByteArray>
    read_file(const std::string& name) const;
    void remove_file(const std::string& name);

    /// Syncs the directory, which makes created and renamed files durable.
    void sync_directory();

  private:
    std::string path_;
    disk_calls calls_;
    int lock_descriptor_ = -1;
};

} // namespace dandelioncrank
