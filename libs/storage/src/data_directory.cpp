#include "dandelioncrank/storage/data_directory.hpp"

#include "dandelioncrank/core/json.hpp"
#include "dandelioncrank/storage/storage_error.hpp"

#include <QFile>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace dandelioncrank {

disk_calls disk_calls::system()
{
    return {[](int descriptor, const void* bytes, std::size_t size) {
                return ::write(descriptor, bytes, size);
            },
            [](int descriptor) { return ::fdatasync(descriptor); }};
}

data_directory::data_directory(std::string path, disk_calls calls)
    : path_(std::move(path)), calls_(std::move(calls))
{
    std::error_code error;
    std::filesystem::create_directories(path_, error);
    std::string name = file_path("LOCK");
    lock_descriptor_ = ::open(name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    if (lock_descriptor_ < 0)
        throw storage_error(name, 0, std::strerror(errno),
                            "check that the directory is writable");
    if (::flock(lock_descriptor_, LOCK_EX | LOCK_NB) != 0) {
        ::close(lock_descriptor_);
        throw storage_error(
            name, 0, "another process has locked this data directory",
            "stop that process or use a different data directory");
    }
}

data_directory::~data_directory()
{
    if (lock_descriptor_ >= 0)
        ::close(lock_descriptor_);
}

std::string data_directory::file_path(const std::string& name) const
{
    return path_ + '/' + name;
}

void data_directory::replace_file(const std::string& name,
                                  const std::vector<QByteArray>& parts)
{
    std::string temporary = file_path(name + ".new");
    int descriptor = ::open(temporary.c_str(),
                            O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (descriptor < 0)
        throw storage_error(
            temporary, 0, std::strerror(errno),
            "check free space and permissions of the directory");
    std::size_t total = 0;
    bool ok = true;
    for (const QByteArray& bytes : parts) {
        std::size_t done = 0;
        auto size = static_cast<std::size_t>(bytes.size());
        while (ok && done < size) {
            auto written = calls_.write_(descriptor, bytes.constData() + done,
                                         size - done);
            ok = written > 0;
            done += ok ? static_cast<std::size_t>(written) : 0;
        }
        total += done;
    }
    ok = ok && calls_.sync_(descriptor) == 0;
    int cause = errno;
    ::close(descriptor);
    if (!ok)
        throw storage_error(temporary, total, std::strerror(cause),
                            "free disk space or replace the disk");
    if (std::rename(temporary.c_str(), file_path(name).c_str()) != 0)
        throw storage_error(file_path(name), 0, std::strerror(errno),
                            "check the permissions of the directory");
    sync_directory();
}

std::optional<QByteArray>
data_directory::read_file(const std::string& name) const
{
    QFile source(to_qt(file_path(name)));
    if (!source.exists())
        return std::nullopt;
    if (!source.open(QIODevice::ReadOnly))
        throw storage_error(file_path(name), 0,
                            source.errorString().toStdString(),
                            "check the permissions of the file");
    return source.readAll();
}

void data_directory::remove_file(const std::string& name)
{
    ::unlink(file_path(name).c_str());
}

void data_directory::sync_directory()
{
    int descriptor = ::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    bool ok = descriptor >= 0 && ::fsync(descriptor) == 0;
    int cause = errno;
    if (descriptor >= 0)
        ::close(descriptor);
    if (!ok)
        throw storage_error(path_, 0, std::strerror(cause), "replace the disk");
}

} // namespace dandelioncrank
