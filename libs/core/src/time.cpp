#include "dandelioncrank/core/time.hpp"

#include <algorithm>
#include <ctime>

namespace dandelioncrank {

instant steady_now()
{
    // CLOCK_BOOTTIME keeps counting while the machine is suspended, so that
    // leases and election timeouts expire across a suspension.
    timespec boot_time{};
    ::clock_gettime(CLOCK_BOOTTIME, &boot_time);
    auto since_boot = std::chrono::seconds(boot_time.tv_sec) +
                      std::chrono::nanoseconds(boot_time.tv_nsec);
    return instant(std::chrono::duration_cast<duration>(since_boot));
}

std::chrono::sys_seconds wall_now()
{
    return std::chrono::floor<std::chrono::seconds>(
        std::chrono::system_clock::now());
}

std::int64_t wall_milliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

duration time_left(instant now, instant deadline)
{
    return std::max(duration::zero(), deadline - now);
}

double to_milliseconds(duration value)
{
    return static_cast<double>(value.count()) / 1000.0;
}

} // namespace dandelioncrank
