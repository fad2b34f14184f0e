#include "dandelioncrank/metrics/activity_meter.hpp"

#include <utility>

namespace dandelioncrank {

activity_meter::activity_meter(std::vector<std::string> names,
                               clock_reader read_clock)
    : names_(std::move(names)), read_clock_(std::move(read_clock)),
      totals_(names_.size()), switched_at_(read_clock_())
{
}

activity_meter::activity activity_meter::switch_to(activity next)
{
    std::chrono::nanoseconds now = read_clock_();
    totals_.at(current_) += now - switched_at_;
    switched_at_ = now;
    return std::exchange(current_, next);
}

std::vector<std::chrono::nanoseconds> activity_meter::totals()
{
    switch_to(current_);
    return totals_;
}

std::chrono::nanoseconds activity_meter::steady_time()
{
    return std::chrono::steady_clock::now().time_since_epoch();
}

} // namespace dandelioncrank
