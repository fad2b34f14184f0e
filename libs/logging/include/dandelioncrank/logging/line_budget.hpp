#pragma once

#include <chrono>
#include <cstdint>

namespace dandelioncrank {

/// Bounds how many log lines are written: a burst, then so many a second.
/// Lines beyond are dropped and counted.
class line_budget
{
  public:
    using time_point = std::chrono::steady_clock::time_point;

    line_budget(double per_second, double burst, time_point now);

    /// Whether one more line may be written.
    [[nodiscard]] bool take(time_point now);
    void note_dropped() { ++dropped_; }
    /// Lines dropped since the last call.
    [[nodiscard]] std::uint64_t take_dropped();

  private:
    double per_second_;
    double burst_;
    double left_;
    time_point filled_at_;
    std::uint64_t dropped_ = 0;
};

} // namespace dandelioncrank
