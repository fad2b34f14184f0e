#pragma once

#include "dandelioncrank/pool/pool_state.hpp"

namespace dandelioncrank::pool {

/// Core-seconds that one second of these resources is worth.
[[nodiscard]] double core_equivalents(const resources& need);

[[nodiscard]] double to_seconds(duration value);

/// Longest chain of declared run times; with an occurrence, only of its
/// steps that are not done yet.
[[nodiscard]] duration critical_path(const job_record& job,
                                     const occurrence_record* remaining_in);

/// Accelerators that all tasks of a job need together.
[[nodiscard]] std::int64_t accelerators_of(const job_record& job);

/// Whether a job can still end in time, as far as declared run times tell.
enum class job_lateness
{
    on_time,
    late,
    /// Too late to be of use.
    expired
};

[[nodiscard]] job_lateness lateness_of(const job_record& job,
                                       std::uint32_t occurrence, duration age);

} // namespace dandelioncrank::pool
