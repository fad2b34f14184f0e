#pragma once

#include <chrono>
#include <cstdint>

namespace dandelioncrank {

/// Token bucket that limits the rate of log lines. Lines over the limit are
/// dropped and counted.
class log_rate_limiter
{
  public:
    using time_point = std::chrono::steady_clock::time_point;

    log_rate_limiter(double lines_per_second, double burst, time_point now);

    /// Takes a token; returns false and counts a dropped line if none is left.
    [[nodiscard]] bool try_acquire(time_point now);
    void count_dropped() { ++dropped_; }
    /// Returns the number of lines dropped since the last call and resets it.
    [[nodiscard]] std::uint64_t take_dropped_count();

  private:
    double lines_per_second_;
    double burst_;
    double tokens_;
    time_point refilled_at_;
    std::uint64_t dropped_ = 0;
};

} // namespace dandelioncrank
