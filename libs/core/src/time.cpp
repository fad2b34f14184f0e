#include "dandelioncrank/core/time.hpp"

#include <algorithm>

namespace dandelioncrank {

instant steady_now()
{
    auto since = std::chrono::steady_clock::now().time_since_epoch();
    return instant(std::chrono::duration_cast<duration>(since));
}

std::chrono::sys_seconds wall_now()
{
    return std::chrono::floor<std::chrono::seconds>(
        std::chrono::system_clock::now());
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
