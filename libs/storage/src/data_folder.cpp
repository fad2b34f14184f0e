#include "dandelioncrank/storage/data_folder.hpp"

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

disk_calls disk_calls::real()
{
    return {[](int descriptor, const void* bytes, std::size_t size) {
                return ::write(descriptor, bytes, size);
            },
            [](int descriptor) { return ::fdatasync(descriptor); }};
}

data_folder::data_folder(std::string path, disk_calls calls)
    : path_(std::move(path)), calls_(std::move(calls))
{
    std::error_code error;
    std::filesystem::create_directories(path_, error);
    std::string name = file("LOCK");
    lock_ = ::open(name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    if (lock_ < 0)
        throw storage_error(name, 0, std::strerror(errno),
                            "check that the folder can be written");
    if (::flock(lock_, LOCK_EX | LOCK_NB) != 0) {
        ::close(lock_);
        throw storage_error(name, 0, "another process uses this folder",
                            "stop it or give this one a folder of its own");
    }
}

data_folder::~data_folder()
{
    if (lock_ >= 0)
        ::close(lock_);
}

std::string data_folder::file(const std::string& name) const
{
    return path_ + '/' + name;
}

void data_folder::replace_file(const std::string& name, const QByteArray& bytes)
{
    std::string temporary = file(name + ".new");
    int descriptor = ::open(temporary.c_str(),
                            O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (descriptor < 0)
        throw storage_error(temporary, 0, std::strerror(errno),
                            "check space and rights of the folder");
    std::size_t done = 0;
    auto size = static_cast<std::size_t>(bytes.size());
    bool good = true;
    while (good && done < size) {
        auto written =
            calls_.write_(descriptor, bytes.constData() + done, size - done);
        good = written > 0;
        done += good ? static_cast<std::size_t>(written) : 0;
    }
    good = good && calls_.sync_(descriptor) == 0;
    int cause = errno;
    ::close(descriptor);
    if (!good)
        throw storage_error(temporary, done, std::strerror(cause),
                            "free space or replace the disk");
    if (std::rename(temporary.c_str(), file(name).c_str()) != 0)
        throw storage_error(file(name), 0, std::strerror(errno),
                            "check the rights of the folder");
    sync_names();
}

std::optional<QByteArray> data_folder::read_file(const std::string& name) const
{
    QFile source(QString::fromStdString(file(name)));
    if (!source.exists())
        return std::nullopt;
    if (!source.open(QIODevice::ReadOnly))
        throw storage_error(file(name), 0, source.errorString().toStdString(),
                            "check the rights of the file");
    return source.readAll();
}

void data_folder::remove_file(const std::string& name)
{
    ::unlink(file(name).c_str());
}

void data_folder::sync_names()
{
    int descriptor = ::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    bool good = descriptor >= 0 && ::fsync(descriptor) == 0;
    int cause = errno;
    if (descriptor >= 0)
        ::close(descriptor);
    if (!good)
        throw storage_error(path_, 0, std::strerror(cause), "replace the disk");
}

} // namespace dandelioncrank
