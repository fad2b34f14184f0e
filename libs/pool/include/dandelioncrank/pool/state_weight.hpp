#pragma once

#include "dandelioncrank/pool/pool_state.hpp"

#include <cstdint>

namespace dandelioncrank::pool {

/// Default limit of pool_state::weight() for new jobs, in bytes. It holds on
/// hosts with 256 MB.
inline constexpr std::uint64_t default_weight_limit = 144ULL * 1024 * 1024;

/// Memory that a job needs at the peak, in bytes: its record and the copies of
/// its encoding while a snapshot is written, sent or read. A job that is not
/// final counts one occurrence in advance, so that it can always proceed.
///
/// A function of the record alone, so that replicas and restarted hosts agree.
[[nodiscard]] std::uint64_t weight_of(const job_record& job);

/// What a job counts at least when it is accepted.
[[nodiscard]] std::uint64_t initial_weight_of(const job_spec& spec);

/// What one more occurrence under way adds.
[[nodiscard]] std::uint64_t weight_of_occurrence(const job_spec& spec);

} // namespace dandelioncrank::pool
