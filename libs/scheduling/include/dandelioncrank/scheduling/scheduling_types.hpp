#pragma once

#include "dandelioncrank/core/name.hpp"
#include "dandelioncrank/core/time.hpp"
#include "dandelioncrank/manifest/configuration.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dandelioncrank {

/// One job: a gang of identical tasks that start together or not at all.
struct job_spec
{
    job_id id_;
    team_name team_;
    int tasks_ = 1;
    /// Resources of each task.
    int accelerators_ = 0;
    int processors_ = 1;
    int memory_mb_ = 0;
    adjacency within_ = adjacency::any;
    bool urgent_ = false;
    /// Whether a task can checkpoint and resume on another worker.
    bool checkpoints_ = false;
    /// Whether the job may be started more than once.
    bool repeatable_ = true;
    /// Run time estimate of the submitter, often inaccurate; zero if none.
    duration declared_run_time_{};

    [[nodiscard]] int total_accelerators() const
    {
        return tasks_ * accelerators_;
    }

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(id_, team_, tasks_, accelerators_, processors_, memory_mb_,
                within_, urgent_, checkpoints_, repeatable_,
                declared_run_time_);
    }
};

enum class job_state
{
    queued,
    /// Waiting, but the present pool could not hold it even if idle.
    parked,
    acquiring,
    running,
    stopping,
    completed,
    failed,
    cancelled,
    /// Rejected or given up before any task was started.
    not_run,
    /// May have run; its result cannot be determined any more.
    unknown
};

[[nodiscard]] std::string to_text(job_state value);
[[nodiscard]] bool is_final(job_state value);

/// Identifies one attempt to run a job.
struct gang_key
{
    job_id job_;
    std::uint64_t attempt_ = 0;

    auto operator<=>(const gang_key&) const = default;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(job_, attempt_);
    }
};

struct worker_info
{
    worker_name name_;
    rack_name rack_;
    int accelerators_ = 0;
    int processors_ = 0;
    int memory_mb_ = 0;

    auto operator<=>(const worker_info&) const = default;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(name_, rack_, accelerators_, processors_, memory_mb_);
    }
};

/// State of a gang's tasks on one worker, as the worker reports it.
enum class part_state
{
    held,
    running,
    checkpointed,
    finished,
    failed,
    /// The worker lacks the resources for the hold.
    refused
};

[[nodiscard]] std::string to_text(part_state value);
[[nodiscard]] std::optional<part_state>
parse_part_state(const std::string& text);

struct reported_part
{
    gang_key gang_;
    part_state state_ = part_state::held;
    int tasks_ = 0;
    int accelerators_ = 0;
};

/// Complete status report of one worker.
struct worker_report
{
    worker_info info_;
    /// Changes when the worker restarts; no task survives a restart.
    std::string incarnation_;
    /// Highest epoch from which the worker has accepted commands.
    std::uint64_t epoch_ = 0;
    /// Number of the last command of that epoch that was applied.
    std::uint64_t applied_command_ = 0;
    std::vector<reported_part> parts_;
    bool draining_ = false;
};

enum class command_kind
{
    hold,
    start,
    checkpoint,
    throttle,
    stop,
    /// Does nothing; applying it shows that the worker's process is alive.
    confirm
};

[[nodiscard]] std::string to_text(command_kind value);

/// Command to one worker. Workers reject epochs older than their newest one.
struct worker_command
{
    command_kind kind_ = command_kind::hold;
    std::uint64_t epoch_ = 0;
    std::uint64_t number_ = 0;
    gang_key gang_;
    int tasks_ = 0;
    /// Resources of each task.
    int accelerators_ = 0;
    int processors_ = 0;
    int memory_mb_ = 0;
};

/// Persistent record of one job.
struct job_record
{
    job_spec spec_;
    job_state state_ = job_state::queued;
    std::uint64_t attempt_ = 0;
    /// Whether its current gang is allocated within a guarantee.
    bool guaranteed_ = false;
    /// Why it ended or was rejected, in one line.
    std::string reason_;
    /// Attempts in a row that a restart of a worker ended soon after the start.
    int crashed_attempts_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(spec_, state_, attempt_, guaranteed_, reason_);
        archive.appended(crashed_attempts_);
    }
};

/// Whether the record is from before the stored one, of the same job: a write
/// that was delayed or repeated.
[[nodiscard]] bool is_outdated(const job_record& record,
                               const job_record& stored);

/// Faults that tests inject to show that the random runs detect them.
enum class scheduling_fault
{
    none,
    start_before_all_hold,
    free_before_stop_confirmed,
    pinned_work_ignores_guarantees,
    job_forgotten_after_loss,
    guarantees_stay_on_lost_workers,
    gang_survives_lost_part,
    unlimited_quarantine
};

struct job_submitted
{
    job_spec spec_;
};

struct job_cancelled
{
    job_id id_;
};

/// A job loaded from the persistent state of an earlier scheduler.
struct job_recovered
{
    job_record record_;
};

struct worker_reported
{
    worker_report report_;
};

/// The start of a job that may run only once has been persisted, as requested
/// by start_record_requested.
struct start_recorded
{
    gang_key gang_;
};

struct scheduler_ticked
{
};

using scheduling_event =
    std::variant<job_submitted, job_cancelled, job_recovered, worker_reported,
                 start_recorded, scheduler_ticked>;

struct command_issued
{
    worker_name worker_;
    worker_command command_;
};

/// A job's state changed; the caller has to persist the record.
struct job_changed
{
    job_record record_;
};

/// The caller has to persist the start and then answer with start_recorded;
/// the gang does not start before that.
struct start_record_requested
{
    gang_key gang_;
};

/// A condition that needs an operator's attention.
struct alarm_raised
{
    std::string message_;
};

using scheduling_action = std::variant<command_issued, job_changed,
                                       start_record_requested, alarm_raised>;

using scheduling_actions = std::vector<scheduling_action>;

} // namespace dandelioncrank
