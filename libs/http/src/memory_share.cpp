#include "dandelioncrank/http/memory_share.hpp"

#include <algorithm>

#include <sys/sysinfo.h>

namespace dandelioncrank {

namespace {

constexpr std::size_t mebibyte = 1024 * 1024;
// One part in so many of the memory is for buffers of connections. The kernel's
// buffers, state, logs and copies within a request take the others.
constexpr std::size_t buffer_share_divisor = 8;
// A process in a part of a machine may be told the size of the whole machine.
// This fits an entry host of 120 MB.
constexpr std::size_t max_reported_share_bytes = 48 * mebibyte;
// A body is held in up to three copies while its request is handled.
constexpr std::size_t bodies_per_part = 3;
constexpr std::size_t hundred_percent = 100;

} // namespace

std::size_t buffer_bytes_of(std::size_t memory_mib)
{
    if (memory_mib > 0)
        return memory_mib * mebibyte / buffer_share_divisor;
    struct sysinfo report
    {
    };
    if (::sysinfo(&report) != 0)
        return max_reported_share_bytes;
    std::size_t total = report.totalram * report.mem_unit;
    return std::min(total / buffer_share_divisor, max_reported_share_bytes);
}

std::size_t part_of_buffers(std::size_t buffer_bytes, std::size_t percent,
                            std::size_t body_bytes)
{
    return std::max(buffer_bytes / hundred_percent * percent,
                    bodies_per_part * body_bytes);
}

} // namespace dandelioncrank
