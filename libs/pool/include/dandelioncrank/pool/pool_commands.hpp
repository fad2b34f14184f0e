#pragma once

#include "dandelioncrank/pool/job_model.hpp"
#include "dandelioncrank/pool/pool_config.hpp"

#include <variant>
#include <vector>

namespace dandelioncrank::pool {

/// Whether and how the job is run is decided by the configuration in force
/// where the command stands in the log.
struct accept_job
{
    job_spec spec_;
    queue_access access_;
    /// Wall time of the host that led when the job came.
    std::int64_t accepted_ms_ = 0;
    /// Name of the client's call, as in the logs.
    std::string request_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(spec_, access_, accepted_ms_, request_);
    }
};

/// Allowed by the configuration in force where it stands in the log.
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

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(config_);
    }
};

/// A worker has appeared or changed.
struct put_worker
{
    worker_info info_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(info_);
    }
};

/// Progress that a run had saved when it was last seen.
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

/// One life of a worker has ended, and all that ran in it.
struct end_incarnation
{
    worker_name worker_;
    std::int64_t incarnation_ = 0;
    /// What its runs had saved, as far as it was seen.
    std::vector<observed_checkpoint> checkpoints_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(worker_, incarnation_, checkpoints_);
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

/// Starts tasks of one step under one run number. It is in the log before
/// any order leaves, so that every leader knows each run that may exist.
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

/// Ends that a worker listed; it may forget those up to the last one.
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

/// A run that is over without an end listed by its worker.
struct conclude_run
{
    worker_name worker_;
    std::int64_t incarnation_ = 0;
    run_ref run_;
    run_outcome outcome_ = run_outcome::lost;
    /// Progress as last seen; empty for none.
    std::string checkpoint_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(worker_, incarnation_, run_, outcome_, checkpoint_);
    }
};

using pool_command =
    std::variant<accept_job, cancel_job, put_config, put_worker,
                 end_incarnation, start_run, record_outcomes, conclude_run>;

/// Commands that one log entry carries; applied in order.
using pool_batch = std::vector<pool_command>;

enum class pool_reply
{
    applied,
    /// The same job again, or a configuration that is not newer.
    unchanged,
    /// No such job, or a start that no longer fits.
    rejected,
    /// The configuration in force does not allow the client's call.
    unknown_route,
    unknown_key
};

} // namespace dandelioncrank::pool
