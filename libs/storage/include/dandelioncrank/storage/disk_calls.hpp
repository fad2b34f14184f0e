#pragma once

#include <cstddef>
#include <functional>

#include <sys/types.h>

namespace dandelioncrank {

/// The calls that can fail for want of space or a working disk, so that
/// tests can make them fail.
struct disk_calls
{
    std::function<ssize_t(int, const void*, std::size_t)> write_;
    std::function<int(int)> sync_;

    /// The kernel's own.
    [[nodiscard]] static disk_calls system();
};

} // namespace dandelioncrank
