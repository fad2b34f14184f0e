#pragma once

#include "dandelioncrank/storage/disk_calls.hpp"

#include <QByteArray>

#include <optional>
#include <string>

namespace dandelioncrank {

/// One folder with durable files, locked against a second process.
class data_folder
{
  public:
    /// Creates the folder if need be. Throws storage_error if another
    /// process holds it or it cannot be written.
    explicit data_folder(std::string path,
                         disk_calls calls = disk_calls::real());
    ~data_folder();

    data_folder(const data_folder&) = delete;
    data_folder& operator=(const data_folder&) = delete;

    [[nodiscard]] std::string file(const std::string& name) const;
    [[nodiscard]] const disk_calls& calls() const { return calls_; }

    /// Replaces a file as a whole: a crash leaves the old or the new one.
    void replace_file(const std::string& name, const QByteArray& bytes);
    /// Content of a file, or nothing if there is none.
    [[nodiscard]] std::optional<QByteArray>
    read_file(const std::string& name) const;
    void remove_file(const std::string& name);

    /// Makes new and renamed names durable.
    void sync_names();

  private:
    std::string path_;
    disk_calls calls_;
    int lock_ = -1;
};

} // namespace dandelioncrank
