#include "dandelioncrank/logging/line_budget.hpp"

#include <algorithm>
#include <utility>

namespace dandelioncrank {

line_budget::line_budget(double per_second, double burst, time_point now)
    : per_second_(per_second), burst_(burst), left_(burst), filled_at_(now)
{
}

bool line_budget::take(time_point now)
{
    std::chrono::duration<double> passed = now - filled_at_;
    filled_at_ = now;
    left_ = std::min(burst_, left_ + passed.count() * per_second_);
    if (left_ < 1) {
        ++dropped_;
        return false;
    }
    left_ -= 1;
    return true;
}

std::uint64_t line_budget::take_dropped()
{
    return std::exchange(dropped_, 0);
}

} // namespace dandelioncrank
