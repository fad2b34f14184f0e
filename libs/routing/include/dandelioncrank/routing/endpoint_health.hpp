#pragma once

#include "dandelioncrank/routing/routing_events.hpp"

namespace dandelioncrank {

/// Tracks the health of one endpoint and limits its usable slots accordingly.
///
/// A failure halves the allowed slots; a success at normal speed adds one.
/// Three consecutive failures, or a high failure rate, eject the endpoint for
/// a time that doubles with each ejection; it returns with one slot. An
/// endpoint that is several times slower than the pool is limited to one slot
/// until it recovers. Slowness is a mean of logarithms, so that a route with
/// both short and long requests does not make an endpoint appear slow.
class endpoint_health
{
  public:
    explicit endpoint_health(int slots);

    void set_slots(int slots);

    /// Records the outcome of one request. slowness is the logarithm of the
    /// ratio of the run time to the expected run time of the route;
    /// pool_slowness is its mean over all endpoints. may_hold_back is false if
    /// the limit of endpoints that are held back at once, as defined by
    /// is_held_back(), is reached; the endpoint is then neither limited further
    /// nor ejected. Returns the duration of the ejection that this outcome
    /// caused, or zero.
    duration record(slot_outcome outcome, double slowness, double pool_slowness,
                    bool may_hold_back, instant now);

    /// Records a request in flight that has far exceeded its expected run
    /// time.
    void record_overdue(double slowness, double pool_slowness,
                        bool may_hold_back);

    [[nodiscard]] int allowed_slots(instant now) const;
    [[nodiscard]] bool is_ejected(instant now) const;
    /// Whether the endpoint is ejected or limited to less than half of its
    /// slots.
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
