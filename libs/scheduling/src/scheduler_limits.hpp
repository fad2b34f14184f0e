#pragma once

#include "gang.hpp"

#include <algorithm>

// Times and limits of zone_scheduler, whose sources share them.

namespace dandelioncrank {

// A lost worker's tasks end with its lease; the margin covers clock rates.
inline constexpr duration lease_margin = std::chrono::seconds(1);
inline constexpr duration quarantine_duration = std::chrono::minutes(10);
// Share of the workers that may be in quarantine at once.
inline constexpr std::size_t max_quarantined_percent = 10;
// In a smaller pool one worker would be more than a quarter of it.
inline constexpr std::size_t min_pool_for_quarantine = 4;
// Waiting jobs of all teams together.
inline constexpr std::size_t max_waiting_jobs = 100000;
inline constexpr duration pass_interval = std::chrono::milliseconds(20);
inline constexpr duration command_ack_timeout = std::chrono::seconds(1);
inline constexpr duration hold_confirm_timeout = std::chrono::seconds(2);
// Placing all guarantees anew looks at the whole pool.
inline constexpr duration repack_interval = std::chrono::seconds(2);
// Wait before a job is tried again that a worker refused to hold.
inline constexpr duration refused_hold_backoff = std::chrono::seconds(1);
// Tries of a job whose tasks fail, however few workers there are.
inline constexpr int max_failures = 6;
// Doubles with each failure of the job.
inline constexpr duration initial_failure_backoff =
    std::chrono::milliseconds(500);

// A queued job that may run once and fits nowhere for good is given up on
// after this time; the pool may have shrunk for a moment only.
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
