#include "speed_class.hpp"

#include "dandelioncrank/pool/performance_estimates.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

// Work on a slower worker holds its resources, and those of its gang, for more
// than three times as long, which costs more than a wait of some seconds.
constexpr double very_slow_limit = 0.35;

using class_order = std::array<speed_class, speed_class_count>;

constexpr class_order urgent_order = {speed_class::fast, speed_class::normal,
                                      speed_class::slow,
                                      speed_class::very_slow};
// What can wait leaves the faster workers to urgent work.
constexpr class_order other_order = {speed_class::slow, speed_class::normal,
                                     speed_class::fast, speed_class::very_slow};

} // namespace

speed_class classify_speed(double speed)
{
    if (speed < very_slow_limit)
        return speed_class::very_slow;
    if (speed * least_speed_difference <= 1)
        return speed_class::slow;
    return speed >= least_speed_difference ? speed_class::fast
                                           : speed_class::normal;
}

const class_order& preferred_classes(int priority)
{
    return priority <= 0 ? urgent_order : other_order;
}

int preference_of(int priority, speed_class value)
{
    const class_order& order = preferred_classes(priority);
    return static_cast<int>(std::find(order.begin(), order.end(), value) -
                            order.begin());
}

std::string to_text(speed_class value)
{
    switch (value) {
    case speed_class::very_slow:
        return "very slow";
    case speed_class::slow:
        return "slow";
    case speed_class::normal:
        return "normal";
    case speed_class::fast:
        break;
    }
    return "fast";
}

} // namespace dandelioncrank::pool
