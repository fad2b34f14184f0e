#include "run_pace.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

// Number of times between rises that are kept. More would keep a worker that
// was slow for a while from counting as recovered.
constexpr std::size_t max_recent = 8;
// Number of them from which they tell more than other runs do.
constexpr std::size_t min_recent = 2;

} // namespace

bool run_pace::observe(int percent, instant reported_at)
{
    // After a gap in the listings nothing is known of the time between.
    if (reported_at - reported_at_ > max_hold_gap) {
        rise_at_ = reported_at;
        is_watched_ = false;
        first_rise_.reset();
    }
    reported_at_ = std::max(reported_at_, reported_at);
    if (percent <= percent_)
        return false;
    instant at = std::max(reported_at, rise_at_);
    if (is_watched_) {
        recent_.push_back((at - rise_at_) / (percent - percent_));
        if (recent_.size() > max_recent)
            recent_.pop_front();
    }
    percent_ = percent;
    rise_at_ = at;
    is_watched_ = true;
    if (!first_rise_)
        first_rise_ = rise{percent, at};
    return true;
}

std::optional<duration> run_pace::slowest_percent() const
{
    if (recent_.size() < min_recent)
        return std::nullopt;
    return *std::max_element(recent_.begin(), recent_.end());
}

std::optional<duration> run_pace::mean_percent() const
{
    if (!first_rise_ || percent_ <= first_rise_->percent_)
        return std::nullopt;
    return (rise_at_ - first_rise_->at_) / (percent_ - first_rise_->percent_);
}

} // namespace dandelioncrank::pool
