#pragma once

#include <cstddef>
#include <functional>

#include <sys/types.h>

namespace dandelioncrank {

/// System calls that fail when the disk is full or broken; tests replace
/// them to inject errors.
struct disk_calls
{
    std::function<ssize_t(int, const void*, std::size_t)> write_;
    std::function<int(int)> sync_;

    /// write(2) and fdatasync(2).
    [[nodiscard]] static disk_calls system();
};

} // namespace dandelioncrank
