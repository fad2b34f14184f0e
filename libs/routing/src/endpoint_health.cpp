#include "dandelioncrank/routing/endpoint_health.hpp"

#include <algorithm>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

constexpr int eject_after_failures = 3;
constexpr int min_uses = 10;
constexpr double eject_failure_rate = 0.5;
constexpr double smoothing = 0.2;
constexpr double slowness_smoothing = 0.1;
constexpr int min_slowness_samples = 5;
// Logarithm of 6: an endpoint is slow if it is six times slower than the pool.
constexpr double slow_log_ratio = 1.79;
constexpr duration base_ejection_time = 2s;
constexpr duration max_ejection_time = 60s;
// Earlier ejections are forgotten once all slots are allowed and the failure
// rate is low; until then each one doubles the ejection time up to this limit.
constexpr int max_ejection_doublings = 5;

} // namespace

endpoint_health::endpoint_health(int slots) : slots_(slots), allowed_(slots) {}

void endpoint_health::set_slots(int slots)
{
    if (allowed_ >= slots_)
        allowed_ = slots;
    slots_ = slots;
    allowed_ = std::clamp(allowed_, 1, std::max(1, slots_));
}

duration endpoint_health::record(slot_outcome outcome, double slowness,
                                 double pool_slowness, bool may_hold_back,
                                 instant now)
{
    if (outcome == slot_outcome::unused)
        return duration::zero();
    ++uses_;
    // A refusal means that the endpoint is full rather than unhealthy, but it
    // counts as a failure: otherwise fast refusals would attract traffic.
    bool failed = outcome != slot_outcome::succeeded;
    failure_rate_ += smoothing * ((failed ? 1.0 : 0.0) - failure_rate_);
    if (failed) {
        reduce_after_failure(may_hold_back);
        bool eject_now = may_hold_back && should_eject() && !is_ejected(now);
        return eject_now ? eject(now) : duration::zero();
    }
    failures_in_row_ = 0;
    update_slowness(slowness);
    if (is_slow(pool_slowness) && may_hold_back) {
        allowed_ = 1;
        return duration::zero();
    }
    if (!is_slow(pool_slowness) && allowed_ < slots_)
        ++allowed_;
    if (allowed_ >= slots_ && failure_rate_ < 0.05)
        ejections_ = 0;
    return duration::zero();
}

void endpoint_health::record_overdue(double slowness, double pool_slowness,
                                     bool may_hold_back)
{
    update_slowness(slowness);
    if (is_slow(pool_slowness) && may_hold_back)
        allowed_ = 1;
}

void endpoint_health::update_slowness(double slowness)
{
    ++slowness_samples_;
    slowness_ += slowness_smoothing * (slowness - slowness_);
}

bool endpoint_health::is_slow(double pool_slowness) const
{
    return slowness_samples_ >= min_slowness_samples &&
           slowness_ - pool_slowness > slow_log_ratio;
}

void endpoint_health::reduce_after_failure(bool may_hold_back)
{
    ++failures_in_row_;
    if (may_hold_back)
        allowed_ = std::max(1, allowed_ / 2);
}

bool endpoint_health::should_eject() const
{
    return failures_in_row_ >= eject_after_failures ||
           (uses_ >= min_uses && failure_rate_ > eject_failure_rate);
}

duration endpoint_health::eject(instant now)
{
    int doublings = std::min(ejections_, max_ejection_doublings);
    duration length =
        std::min(max_ejection_time, base_ejection_time * (1 << doublings));
    ++ejections_;
    failures_in_row_ = 0;
    failure_rate_ = 0;
    uses_ = 0;
    allowed_ = 1;
    ejected_until_ = now + length;
    return length;
}

int endpoint_health::allowed_slots(instant now) const
{
    return is_ejected(now) ? 0 : allowed_;
}

bool endpoint_health::is_ejected(instant now) const
{
    return now < ejected_until_;
}

bool endpoint_health::is_held_back(instant now) const
{
    return is_ejected(now) || allowed_ * 2 < slots_;
}

} // namespace dandelioncrank
