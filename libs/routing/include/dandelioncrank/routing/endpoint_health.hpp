#pragma once

#include "dandelioncrank/routing/routing_events.hpp"

namespace dandelioncrank {

/// Evidence about one endpoint, and the share of its slots that it may use.
///
/// A failure halves the allowed slots, a success in good time raises them
/// by one. Three failures in a row, or mostly failures, eject the endpoint
/// for a time that doubles with each ejection; it returns with one slot.
/// An endpoint that is several times slower than the pool gets one slot
/// until it has caught up. Slowness is a mean of logarithms, so that a route
/// that mixes short and long work makes no endpoint look slow.
class endpoint_health
{
  public:
    explicit endpoint_health(int slots);

    void set_slots(int slots);

    /// Records one use. Slowness is the logarithm of the run time over the
    /// time that the route usually takes, pool_slowness its mean over all
    /// endpoints. May_punish is false while too much of the pool is held
    /// back already. Returns how long the endpoint is ejected from now; zero
    /// if it is not.
    duration record(slot_outcome outcome, double slowness, double pool_slowness,
                    bool may_hold_back, instant now);

    /// A request in flight has taken far longer than expected.
    void record_overdue(double slowness, double pool_slowness,
                        bool may_hold_back);

    [[nodiscard]] int allowed_slots(instant now) const;
    [[nodiscard]] bool is_ejected(instant now) const;
    /// Whether the endpoint is ejected or has less than half of its slots.
    [[nodiscard]] bool is_held_back(instant now) const;

  private:
    void reduce_after_failure(bool may_hold_back);
    void update_slowness(double slowness);
    [[nodiscard]] bool is_slow(double pool_slowness) const;
    [[nodiscard]] bool should_eject() const;
    duration eject(instant now);

    int slots_;
    int allowed_;
    int failures_in_row_ = 0;
    int uses_ = 0;
    int ejections_ = 0;
    double failure_rate_ = 0;
    int slowness_samples_ = 0;
    double slowness_ = 0;
    instant ejected_until_{};
};

} // namespace dandelioncrank
