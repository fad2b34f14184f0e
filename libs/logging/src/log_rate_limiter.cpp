#include "dandelioncrank/logging/log_rate_limiter.hpp"

#include <algorithm>
#include <utility>

namespace dandelioncrank {

log_rate_limiter::log_rate_limiter(double lines_per_second, double burst,
                                   time_point now)
    : lines_per_second_(lines_per_second), burst_(burst), tokens_(burst),
      refilled_at_(now)
{
}

bool log_rate_limiter::try_acquire(time_point now)
{
    std::chrono::duration<double> elapsed = now - refilled_at_;
    refilled_at_ = now;
    tokens_ = std::min(burst_, tokens_ + elapsed.count() * lines_per_second_);
    if (tokens_ < 1) {
        ++dropped_;
        return false;
    }
    tokens_ -= 1;
    return true;
}

std::uint64_t log_rate_limiter::take_dropped_count()
{
    return std::exchange(dropped_, 0);
}

} // namespace dandelioncrank
