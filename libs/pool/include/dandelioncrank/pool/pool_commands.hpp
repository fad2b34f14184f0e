#pragma once

#include "dandelioncrank/pool/job_model.hpp"
#include "dandelioncrank/pool/loss_record.hpp"
#include "dandelioncrank/pool/pool_config.hpp"

#include <optional>
#include <variant>
#include <vector>

namespace dandelioncrank::pool {

/// What identifies the queue of a job.
enum class queue_identity
{
    /// In commands of earlier builds.
    route_name,
    address
};

/// Stores a job. Whether it is accepted, and its queue policy, follow from the
/// configuration in force at the command's position in the log.
struct accept_job
{
    job_spec spec_;
    queue_access access_;
    /// Wall-clock time of the leader on receipt of the job.
    std::int64_t accepted_ms_ = 0;
    /// Request identifier of the client's call, as in the logs.
    std::string request_;
    /// Weight of the state in bytes up to which the job is accepted. Part of
    /// the command, so that all replicas decide alike; 0 means no limit.
    std::uint64_t weight_limit_ = 0;
    queue_identity identity_ = queue_identity::address;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(spec_, access_, accepted_ms_, request_);
        archive.appended(weight_limit_);
        archive.appended_with(queue_identity::route_name, identity_);
    }
};

/// Authorized by the configuration in force at its position in the log.
struct cancel_job
{
    job_id id_;
    queue_access access_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(id_, access_);
    }
};

struct put_config
{
    pool_config config_;
    queue_identity identity_ = queue_identity::address;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(config_);
        archive.appended_with(queue_identity::route_name, identity_);
    }
};

/// Adds a worker or updates its description.
struct put_worker
{
    worker_info info_;
    /// The process at its address has confirmed it to the owner, which proves
    /// more than incarnations that are known from announcements.
    bool is_confirmed_ = false;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(info_);
        archive.appended(is_confirmed_);
    }
};

/// The last checkpoint of a run that the owner has seen.
struct observed_checkpoint
{
    run_ref run_;
    std::string checkpoint_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(run_, checkpoint_);
    }
};

/// Ends one incarnation of a worker and all runs in it.
struct end_incarnation
{
    worker_name worker_;
    std::int64_t incarnation_ = 0;
    /// Last seen checkpoints of its runs.
    std::vector<observed_checkpoint> checkpoints_;
    incarnation_end_cause cause_ = incarnation_end_cause::unspecified;
    /// The runs that may have been under way.
    std::vector<exposed_run> exposed_ = {};

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(worker_, incarnation_, checkpoints_);
        archive.appended(cause_, exposed_);
    }
};

struct task_assignment
{
    std::uint32_t index_ = 0;
    worker_name worker_;
    std::int64_t incarnation_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(index_, worker_, incarnation_);
    }
};

/// Starts tasks of one step under one run number. It is committed before any
/// start request is sent, so that every leader knows each run that may exist.
/// Whether a worker has begun the run shows later; see confirm_start.
struct start_run
{
    job_id job_;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;
    std::uint32_t run_ = 0;
    std::vector<task_assignment> assignments_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(job_, occurrence_, step_, run_, assignments_);
    }
};

/// Records outcomes reported by a worker; it may then discard those up to the
/// last one.
struct record_outcomes
{
    worker_name worker_;
    std::int64_t incarnation_ = 0;
    std::vector<reported_outcome> outcomes_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(worker_, incarnation_, outcomes_);
    }
};

/// Ends a run for which its worker has reported no outcome.
struct end_unreported_run
{
    worker_name worker_;
    std::int64_t incarnation_ = 0;
    run_ref run_;
    run_outcome outcome_ = run_outcome::lost;
    /// Last seen checkpoint; empty if none.
    std::string checkpoint_;
    /// How long the run had certainly been under way.
    duration age_{};

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(worker_, incarnation_, run_, outcome_, checkpoint_);
        archive.appended(age_);
    }
};

/// A worker has confirmed that this run is, or was, under way. Needed only
/// while nothing else shows that its job has started.
struct confirm_start
{
    run_ref run_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(run_);
    }
};

/// Requests that nothing more starts on the workers of a zone, or withdraws
/// that request. The order of the log decides between several requests.
struct set_evacuation
{
    zone_name zone_;
    bool is_evacuated_ = false;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(zone_, is_evacuated_);
    }
};

/// The owner is out of contact with a worker that may have runs, or in contact
/// again. From the proposal of the first on, no owner grants the worker a lease
/// until the second is committed.
struct set_contact
{
    worker_name worker_;
    std::int64_t incarnation_ = 0;
    /// Time from the proposal after which no lease of the worker can last any
    /// more; none if it is in contact.
    std::optional<duration> lease_left_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(worker_, incarnation_, lease_left_);
    }
};

/// The order is that of the stored commands; new ones go last.
using pool_command = std::variant<accept_job, cancel_job, put_config,
                                  put_worker, end_incarnation, start_run,
                                  record_outcomes, end_unreported_run,
                                  confirm_start, set_evacuation, set_contact>;

/// The commands of one log entry; applied in order.
using pool_batch = std::vector<pool_command>;

enum class pool_reply
{
    applied,
    /// Duplicate job, or a configuration that is not newer.
    unchanged,
    /// Unknown job, or a start that is no longer valid.
    rejected,
    /// The configuration in force does not authorize the client's call.
    unknown_route,
    unknown_key,
    /// The job would not fit into the memory for the state; it is not stored.
    no_room
};

} // namespace dandelioncrank::pool
