#include "run_forecast.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// Workers answer a hold call after 2 s at the latest; a listing that is older
// says nothing about the run any more.
constexpr duration max_listing_age = 3s;
// A run that exceeds its run time by this has been misjudged.
constexpr duration max_overdue_time = 500ms;

} // namespace

// Percents are rounded down, so that the run time lies between two bounds. A
// task that takes several times as long as others shows a low percent, which
// the expected run time must not override.
std::optional<duration> remaining_time(const run_observation& run,
                                       duration expected, instant now)
{
    if (!run.running_since_)
        return std::nullopt;
    duration age = now - *run.running_since_;
    duration total = expected;
    if (run.listed_at_) {
        if (now - *run.listed_at_ > max_listing_age)
            return std::nullopt;
        duration seen =
            std::max(duration::zero(), *run.listed_at_ - *run.running_since_);
        int percent = std::clamp(run.progress_percent_, 0, 99);
        total = std::max(total, seen * 100 / (percent + 1));
        if (percent > 0)
            total = expected > duration::zero()
                        ? std::min(total, seen * 100 / percent)
                        : seen * 100 / percent;
        else if (expected <= duration::zero())
            return std::nullopt;
    }
    if (total <= duration::zero() || age > total + max_overdue_time)
        return std::nullopt;
    return std::max(duration::zero(), total - age);
}

} // namespace dandelioncrank::pool
