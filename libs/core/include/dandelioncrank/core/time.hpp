#pragma once

#include <chrono>
#include <cstdint>

namespace dandelioncrank {

/// Duration with microsecond resolution.
using duration = std::chrono::microseconds;

/// Clock of the deterministic cores. It has no now(): callers pass the current
/// time in, so that the cores do no I/O and tests control the clock.
struct core_clock
{
    using duration = dandelioncrank::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<core_clock>;
    static constexpr bool is_steady = true;
};

/// Time point of core_clock.
using instant = core_clock::time_point;

/// Reads this host's monotonic clock, which includes time spent suspended.
[[nodiscard]] instant steady_now();

/// Wall-clock time in seconds, for display only.
[[nodiscard]] std::chrono::sys_seconds wall_now();

/// Wall-clock milliseconds since the Unix epoch, for timestamps shared with
/// other hosts. Not monotonic: clock adjustments can move it either way.
[[nodiscard]] std::int64_t wall_milliseconds();

/// Time remaining until the deadline, clamped at zero.
[[nodiscard]] duration time_left(instant now, instant deadline);

/// Converts to fractional milliseconds.
[[nodiscard]] double to_milliseconds(duration value);

} // namespace dandelioncrank
