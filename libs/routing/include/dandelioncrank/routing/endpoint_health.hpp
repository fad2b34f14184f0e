#pragma once

#include "dandelioncrank/routing/routing_events.hpp"

namespace dandelioncrank {

/// Evidence about one endpoint, and the share of its slots that it may use.
///
/// A failure halves the allowed slots, a success in good time raises them
/// by one. Three failures in a row, or mostly failures, eject the endpoint
/// for a time that doubles with each ejection; it returns with one slot.
class endpoint_health
{
  public:
    explicit endpoint_health(int slots);

    void set_slots(int slots);

    /// Records one use. The expected time is what the route usually takes.
    /// May_punish is false while too much of the pool is held back already.
    /// Returns how long the endpoint is ejected from now; zero if it is not.
    duration record(slot_outcome outcome, duration run_time, duration expected,
                    bool may_punish, instant now);

    /// A request in flight has taken far longer than expected.
    void record_overdue(double times_expected, bool may_punish);

    [[nodiscard]] int allowed_slots(instant now) const;
    [[nodiscard]] bool is_ejected(instant now) const;
    /// Whether the endpoint is ejected or has less than half of its slots.
    [[nodiscard]] bool is_held_back(instant now) const;
    [[nodiscard]] double slowness() const { return slowness_; }

  private:
    void punish_failure(bool may_punish);
    [[nodiscard]] bool should_eject() const;
    duration eject(instant now);

    int slots_;
    int allowed_;
    int failures_in_row_ = 0;
    int uses_ = 0;
    int ejections_ = 0;
    double failure_rate_ = 0;
    double slowness_ = 1.0;
    instant ejected_until_{};
};

} // namespace dandelioncrank
