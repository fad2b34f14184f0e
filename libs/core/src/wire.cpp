#include "dandelioncrank/core/wire.hpp"

#include <xxhash.h>

namespace dandelioncrank {

namespace {

// Limits recursion on malicious input.
constexpr int max_nesting_depth = 24;

} // namespace

wire_reader::wire_reader(const QByteArray& bytes) : stream_(bytes) {}

void wire_reader::enter_array()
{
    if (!stream_.isArray() || ++depth_ > max_nesting_depth)
        throw wire_error("not an array, or nested too deeply");
    if (!stream_.enterContainer())
        throw wire_error("truncated array");
}

void wire_reader::leave_array()
{
    // Forward compatibility: skip fields appended by newer versions.
    while (stream_.hasNext()) {
        if (!stream_.next(max_nesting_depth))
            throw wire_error("truncated array");
    }
    if (stream_.lastError() != QCborError::NoError || !stream_.leaveContainer())
        throw wire_error("truncated array");
    --depth_;
}

bool wire_reader::has_next() const
{
    return stream_.hasNext();
}

bool wire_reader::read_bool()
{
    if (!stream_.isBool())
        throw wire_error("expected a boolean");
    bool value = stream_.toBool();
    stream_.next();
    return value;
}

std::int64_t wire_reader::read_integer()
{
    if (!stream_.isInteger())
        throw wire_error("expected an integer");
    // Unsigned values above the signed range keep their bit pattern.
    std::int64_t value =
        stream_.isUnsignedInteger()
            ? static_cast<std::int64_t>(stream_.toUnsignedInteger())
            : stream_.toInteger();
    stream_.next();
    return value;
}

double wire_reader::read_double()
{
    if (!stream_.isDouble())
        throw wire_error("expected a number");
    double value = stream_.toDouble();
    stream_.next();
    return value;
}

QByteArray wire_reader::read_bytes()
{
    if (!stream_.isByteArray())
        throw wire_error("expected a byte string");
    QByteArray bytes;
    auto chunk = stream_.readByteArray();
    while (chunk.status == QCborStreamReader::Ok) {
        bytes += chunk.data;
        chunk = stream_.readByteArray();
    }
    if (chunk.status == QCborStreamReader::Error)
        throw wire_error("truncated byte string");
    return bytes;
}

void wire_reader::finish()
{
    if (stream_.lastError() != QCborError::NoError)
        throw wire_error("truncated value");
    if (stream_.currentOffset() != 0 && stream_.hasNext())
        throw wire_error("trailing bytes after the value");
}

std::uint64_t stable_hash(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace dandelioncrank
