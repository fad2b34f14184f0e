#pragma once

#include "dandelioncrank/pool/pool_state.hpp"

namespace dandelioncrank::pool {

/// Value of the resources in cores: core-seconds for each second of use.
[[nodiscard]] double core_equivalents(const resources& need);

[[nodiscard]] double to_seconds(duration value);

/// Longest chain of dependent steps by declared run time. With an occurrence,
/// its completed steps count as zero.
[[nodiscard]] duration critical_path(const job_record& job,
                                     const occurrence_record* remaining_in);

/// Total accelerators required by all tasks of a job.
[[nodiscard]] std::int64_t accelerators_of(const job_record& job);

/// Whether a job can still meet its deadline, by declared run times.
enum class job_lateness
{
    on_time,
    late,
    /// So late that its result has no value.
    expired
};

[[nodiscard]] job_lateness lateness_of(const job_record& job,
                                       std::uint32_t occurrence, duration age);

} // namespace dandelioncrank::pool
