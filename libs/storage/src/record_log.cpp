#include "dandelioncrank/storage/record_log.hpp"

#include "dandelioncrank/core/json.hpp"
#include "dandelioncrank/core/wire.hpp"
#include "dandelioncrank/storage/storage_error.hpp"

#include <QFile>
#include <QtEndian>

#include <cerrno>
#include <cstring>
#include <optional>

#include <fcntl.h>
#include <unistd.h>

namespace dandelioncrank {

namespace {

// Each record has a header of magic number, payload size and checksum.
constexpr quint32 record_magic = 0xdc10c0de;
constexpr qsizetype header_bytes = 16;
constexpr quint32 max_payload_bytes = 256u * 1024 * 1024;

quint64 checksum(const QByteArray& bytes, qsizetype at, qsizetype size)
{
    return stable_hash(
        {bytes.constData() + at, static_cast<std::size_t>(size)});
}

/// Payload size if a complete, valid record starts at the offset.
std::optional<qsizetype> payload_size_at(const QByteArray& bytes,
                                         qsizetype offset)
{
    if (bytes.size() - offset < header_bytes)
        return std::nullopt;
    const char* header = bytes.constData() + offset;
    auto magic = qFromLittleEndian<quint32>(header);
    auto size = qFromLittleEndian<quint32>(header + 4);
    auto expected_checksum = qFromLittleEndian<quint64>(header + 8);
    bool complete =
        magic == record_magic && size <= max_payload_bytes &&
        bytes.size() - offset - header_bytes >= static_cast<qsizetype>(size);
    if (!complete ||
        checksum(bytes, offset + header_bytes, size) != expected_checksum)
        return std::nullopt;
    return static_cast<qsizetype>(size);
}

} // namespace

QByteArray record_log::encode_record(const QByteArray& payload)
{
    return encode_header(payload) + payload;
}

std::optional<QByteArray> record_log::decode_record(QByteArray bytes)
{
    auto size = payload_size_at(bytes, 0);
    if (!size || header_bytes + *size != bytes.size())
        return std::nullopt;
    bytes.remove(0, header_bytes);
    return bytes;
}

QByteArray record_log::encode_header(const QByteArray& payload)
{
    QByteArray bytes(header_bytes, '\0');
    qToLittleEndian<quint32>(record_magic, bytes.data());
    qToLittleEndian<quint32>(static_cast<quint32>(payload.size()),
                             bytes.data() + 4);
    qToLittleEndian<quint64>(checksum(payload, 0, payload.size()),
                             bytes.data() + 8);
    return bytes;
}

record_log::record_log(std::string path, disk_calls calls)
    : path_(std::move(path)), calls_(std::move(calls))
{
    descriptor_ =
        ::open(path_.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (descriptor_ < 0)
        throw storage_error(path_, 0, std::strerror(errno),
                            "check the permissions of the directory");
    try {
        load();
    } catch (...) {
        ::close(descriptor_);
        throw;
    }
}

record_log::~record_log()
{
    ::close(descriptor_);
}

void record_log::load()
{
    QFile source(to_qt(path_));
    if (!source.open(QIODevice::ReadOnly))
        throw storage_error(path_, 0, source.errorString().toStdString(),
                            "check the permissions of the file");
    QByteArray bytes = source.readAll();
    qsizetype offset = 0;
    while (offset < bytes.size()) {
        auto size = payload_size_at(bytes, offset);
        if (!size)
            break;
        records_.push_back(bytes.mid(offset + header_bytes, *size));
        offset += header_bytes + *size;
    }
    size_ = static_cast<std::uint64_t>(offset);
    if (offset == bytes.size())
        return;
    if (has_record_after(bytes, offset + 1))
        throw storage_error(path_, size_,
                            "invalid record followed by valid records",
                            "replace this voter with a new one; its log "
                            "is corrupt");
    recovery_.torn_bytes_ = static_cast<std::uint64_t>(bytes.size() - offset);
    bool truncated =
        ::ftruncate(descriptor_, static_cast<off_t>(offset)) == 0 &&
        calls_.sync_(descriptor_) == 0;
    if (!truncated)
        throw storage_error(path_, size_, std::strerror(errno),
                            "replace the disk");
}

bool record_log::has_record_after(const QByteArray& bytes, qsizetype offset)
{
    QByteArray magic(4, '\0');
    qToLittleEndian<quint32>(record_magic, magic.data());
    for (qsizetype at = bytes.indexOf(magic, offset); at >= 0;
         at = bytes.indexOf(magic, at + 1)) {
        if (payload_size_at(bytes, at))
            return true;
    }
    return false;
}

void record_log::append(const QByteArray& payload)
{
    pending_ += encode_record(payload);
}

void record_log::sync()
{
    if (failed_)
        throw storage_error(path_, size_, "a previous write or sync failed",
                            "fix the disk and restart the voter");
    if (pending_.isEmpty())
        return;
    qsizetype done = 0;
    while (done < pending_.size()) {
        auto written =
            calls_.write_(descriptor_, pending_.constData() + done,
                          static_cast<std::size_t>(pending_.size() - done));
        if (written <= 0) {
            failed_ = true;
            throw storage_error(path_, size_ + static_cast<quint64>(done),
                                std::strerror(errno), "free disk space");
        }
        done += written;
    }
    // After a failed sync the content of the disk is unknown.
    if (calls_.sync_(descriptor_) != 0) {
        failed_ = true;
        throw storage_error(path_, size_, std::strerror(errno),
                            "replace the disk and the voter");
    }
    size_ += static_cast<std::uint64_t>(pending_.size());
    pending_.clear();
}

} // namespace dandelioncrank
