#pragma once

#include "dandelioncrank/pool/pool_state.hpp"

#include <unordered_map>

namespace dandelioncrank::pool {

/// Workers whose speeds differ by less than this factor are treated as alike.
constexpr double least_speed_difference = 1.15;

class run_time_model;

/// What the owner has learned of the speed of workers and the run time of
/// tasks. Where nothing is known, workers are alike and tasks take what their
/// jobs declare.
struct performance_estimates
{
    /// Relative to a typical worker; only workers that differ from it.
    std::unordered_map<worker_name, double> worker_speeds_;
    /// Must outlive the estimates; null if no run times are known.
    const run_time_model* run_times_ = nullptr;

    [[nodiscard]] double speed_of(const worker_name& worker) const;
    /// Run time of one task on a typical worker.
    [[nodiscard]] duration run_time_of(const job_record& job,
                                       const step_spec& spec) const;
};

} // namespace dandelioncrank::pool
