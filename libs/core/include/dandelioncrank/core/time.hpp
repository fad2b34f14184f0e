#pragma once

#include <chrono>
#include <cstdint>

namespace dandelioncrank {

/// Length of time, in microseconds.
using duration = std::chrono::microseconds;

/// Clock of the pure cores. It has no now(): the caller passes the time.
struct core_clock
{
    using duration = dandelioncrank::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<core_clock>;
    static constexpr bool is_steady = true;
};

/// Point in time of the core clock.
using instant = core_clock::time_point;

/// Reads the steady clock of this host as an instant.
[[nodiscard]] instant steady_now();

/// Seconds since the epoch of the wall clock, for texts shown to people.
[[nodiscard]] std::chrono::sys_seconds wall_now();

/// Milliseconds of the wall clock since the epoch, for times that are shared
/// with other hosts. It may jump.
[[nodiscard]] std::int64_t wall_milliseconds();

/// Time left from now until deadline; never negative.
[[nodiscard]] duration time_left(instant now, instant deadline);

/// Length of time as a floating-point number of milliseconds.
[[nodiscard]] double to_milliseconds(duration value);

} // namespace dandelioncrank
