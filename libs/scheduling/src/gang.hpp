#pragma once

#include "dandelioncrank/scheduling/worker_pool.hpp"

#include <optional>
#include <vector>

namespace dandelioncrank {

enum class gang_phase
{
    acquiring,
    starting,
    running,
    stopping
};

/// Why a gang is being stopped.
enum class stop_cause
{
    none,
    finished,
    cancelled,
    preempted,
    part_lost,
    /// A worker restarted soon after the start of the gang.
    worker_crashed,
    task_failed,
    hold_refused,
    hold_timeout
};

/// State of one worker's part of a gang, as the scheduler knows it.
enum class part_phase
{
    /// The accelerators are allocated, but still occupied by other gangs.
    waiting,
    hold_sent,
    held,
    start_sent,
    running,
    checkpointed,
    finished,
    failed,
    stop_sent,
    /// Confirmed as ended, or the worker's lease has expired.
    ended
};

struct gang_part
{
    worker_index worker_ = 0;
    int tasks_ = 0;
    /// Index of the guaranteed block that it uses, if any.
    std::optional<std::size_t> block_;
    part_phase phase_ = part_phase::waiting;
    /// Number of the last command sent for this part.
    std::uint64_t command_ = 0;
    instant command_at_{};
    instant phase_since_{};
    /// Counted in stopping_ of the worker.
    bool counted_stopping_ = false;
    /// Its resources were released to the pool.
    bool released_ = false;

    /// Whether its accelerators count as occupied on the worker.
    [[nodiscard]] bool is_occupying() const
    {
        return phase_ != part_phase::waiting && phase_ != part_phase::ended;
    }
};

/// One attempt to run a job, on all of its workers.
struct gang
{
    gang_key key_;
    job_spec spec_;
    allocation_class allocation_ = allocation_class::borrowed;
    gang_phase phase_ = gang_phase::acquiring;
    stop_cause cause_ = stop_cause::none;
    std::vector<gang_part> parts_;
    instant created_at_{};
    instant running_since_{};
    /// A start was sent to at least one worker.
    bool started_ = false;
    /// A start may be sent: the job is repeatable or the start persisted.
    bool start_allowed_ = true;
    bool record_requested_ = false;
    /// Rebuilt from worker reports after a restart of the scheduler.
    bool adopted_ = false;
    bool checkpoint_requested_ = false;
    bool checkpoint_done_ = false;
    instant checkpoint_deadline_{};
};

} // namespace dandelioncrank
