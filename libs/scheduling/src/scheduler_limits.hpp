#pragma once

#include "gang.hpp"

#include <algorithm>

// Time-outs and limits that the sources of zone_scheduler share.

namespace dandelioncrank {

// A lost worker's tasks end with its lease; the margin covers clock drift.
inline constexpr duration lease_margin = std::chrono::seconds(1);
inline constexpr duration quarantine_duration = std::chrono::minutes(10);
// Share of all workers that may be in quarantine at the same time.
inline constexpr std::size_t max_quarantined_percent = 10;
// In a smaller pool, one worker would exceed a quarter of it.
inline constexpr std::size_t min_pool_for_quarantine = 4;
// Over all teams.
inline constexpr std::size_t max_waiting_jobs = 100000;
inline constexpr duration pass_interval = std::chrono::milliseconds(20);
inline constexpr duration command_ack_timeout = std::chrono::seconds(1);
inline constexpr duration hold_confirm_timeout = std::chrono::seconds(2);
// Limits how often repacking scans the whole pool.
inline constexpr duration repack_interval = std::chrono::seconds(2);
// Before a job is placed again after a worker refused a hold.
inline constexpr duration refused_hold_backoff = std::chrono::seconds(1);
// Attempts after which a job fails even if few workers were involved.
inline constexpr int max_failures = 6;
// Attempts in a row that end with a restart of a worker, after which a job is
// taken for the cause, and the age up to which an attempt counts.
inline constexpr int max_crashed_attempts = 3;
inline constexpr duration max_crash_age = std::chrono::minutes(1);
// Doubles with each failed attempt of the job.
inline constexpr duration initial_failure_backoff =
    std::chrono::milliseconds(500);

// A queued job that may run only once and that only reserved accelerators
// could hold ends after this time; the pool may have shrunk temporarily.
inline constexpr duration unplaceable_timeout = std::chrono::minutes(2);
inline constexpr duration unplaceable_check_interval = std::chrono::seconds(10);
inline constexpr const char* unplaceable_reason =
    "it may run only once, and only accelerators kept for other teams' "
    "guarantees could hold it";

inline bool all_finished(const gang& item)
{
    return std::all_of(item.parts_.begin(), item.parts_.end(),
                       [](const gang_part& part) {
                           return part.phase_ == part_phase::finished;
                       });
}

} // namespace dandelioncrank
