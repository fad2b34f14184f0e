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

/// One job: a gang of equal tasks that run together or not at all.
struct job_spec
{
    job_id id_;
    team_name team_;
    int tasks_ = 1;
    /// Each of these is needed by every task.
    int accelerators_ = 0;
    int processors_ = 1;
    int memory_mb_ = 0;
    adjacency within_ = adjacency::any;
    bool urgent_ = false;
    /// Whether a task can save its progress and go on elsewhere.
    bool checkpoints_ = false;
    /// Whether the job may be started again after it has started once.
    bool repeatable_ = true;
    /// Run time as declared; zero if unknown. Often far off.
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
    /// Fits no worker now; waits for the pool to grow again.
    parked,
    acquiring,
    running,
    stopping,
    completed,
    failed,
    cancelled,
    /// Refused: it never ran and never will.
    not_run,
    /// It may have run; nothing more can be learned.
    unknown
};

[[nodiscard]] std::string to_text(job_state value);
[[nodiscard]] bool is_final(job_state value);

/// One try at running a job.
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
    /// The worker cannot hold it.
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

/// Everything that one worker says about itself.
struct worker_report
{
    worker_info info_;
    /// Changes when the worker restarts; then nothing of before runs on.
    std::string incarnation_;
    /// Newest epoch that the worker has obeyed.
    std::uint64_t epoch_ = 0;
    /// Number of the last command of that epoch that it has carried out.
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
    stop
};

[[nodiscard]] std::string to_text(command_kind value);

/// Order to one worker. Workers refuse an epoch older than they have seen.
struct worker_command
{
    command_kind kind_ = command_kind::hold;
    std::uint64_t epoch_ = 0;
    std::uint64_t number_ = 0;
    gang_key gang_;
    int tasks_ = 0;
    /// Of each task.
    int accelerators_ = 0;
    int processors_ = 0;
    int memory_mb_ = 0;
};

/// What the durable state keeps of one job.
struct job_record
{
    job_spec spec_;
    job_state state_ = job_state::queued;
    std::uint64_t attempt_ = 0;
    /// Whether its present gang has its accelerators under a guarantee.
    bool guaranteed_ = false;
    /// Why it ended or was refused, in one line.
    std::string reason_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(spec_, state_, attempt_, guaranteed_, reason_);
    }
};

/// Deliberate faults for the tests that show that the runs catch them.
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

/// A job known from the durable state of an earlier scheduler.
struct job_recovered
{
    job_record record_;
};

struct worker_reported
{
    worker_report report_;
};

/// The start of a job that may run only once is on record.
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

/// A job's state changed; the record is to be kept.
struct job_changed
{
    job_record record_;
};

/// Ask for start_recorded before this gang may start.
struct start_claim_requested
{
    gang_key gang_;
};

/// Something an operator should know.
struct alarm_raised
{
    std::string message_;
};

using scheduling_action = std::variant<command_issued, job_changed,
                                       start_claim_requested, alarm_raised>;

using scheduling_actions = std::vector<scheduling_action>;

} // namespace dandelioncrank
