#pragma once

#include <chrono>
#include <cstdint>

namespace dandelioncrank {

/// Bounds how many log lines are written: a burst, then so many a second.
/// Lines beyond are dropped and counted.
class log_rate_limiter
{
  public:
    using time_point = std::chrono::steady_clock::time_point;

    log_rate_limiter(double lines_per_second, double burst, time_point now);

    /// Whether one more line may be written.
    [[nodiscard]] bool try_acquire(time_point now);
    void count_dropped() { ++dropped_; }
    /// Lines dropped since the last call.
    [[nodiscard]] std::uint64_t take_dropped_count();

  private:
    double lines_per_second_;
    double burst_;
    double tokens_;
    time_point refilled_at_;
    std::uint64_t dropped_ = 0;
};

} // namespace dandelioncrank
