#pragma once

#include "dandelioncrank/storage/disk_calls.hpp"

#include <QByteArray>

#include <optional>
#include <string>

namespace dandelioncrank {

/// One folder with durable files, locked against a second process.
class data_directory
{
  public:
    /// Creates the folder if need be. Throws storage_error if another
    /// process holds it or it cannot be written.
    explicit data_directory(std::string path,
                            disk_calls calls = disk_calls::system());
    ~data_directory();

    data_directory(const data_directory&) = delete;
    data_directory& operator=(const data_directory&) = delete;

    [[nodiscard]] std::string file_path(const std::string& name) const;
    [[nodiscard]] const disk_calls& calls() const { return calls_; }

    /// Replaces a file as a whole: a crash leaves the old or the new one.
    void replace_file(const std::string& name, const QByteArray& bytes);
    /// Content of a file, or nothing if there is none.
    [[nodiscard]] std::optional<QByteArray>
    read_file(const std::string& name) const;
    void remove_file(const std::string& name);

    /// Makes new and renamed names durable.
    void sync_directory();

  private:
    std::string path_;
    disk_calls calls_;
    int lock_descriptor_ = -1;
};

} // namespace dandelioncrank
