#pragma once

#include "dandelioncrank/core/name.hpp"
#include "dandelioncrank/core/time.hpp"
#include "dandelioncrank/core/wire.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace dandelioncrank::pool {

/// Resources required by one task or provided by one worker.
struct resources
{
    /// In thousandths of a core.
    std::int64_t cpu_ = 0;
    std::int64_t memory_mb_ = 0;
    std::int64_t accelerators_ = 0;

    [[nodiscard]] bool fits_into(const resources& available) const
    {
        return cpu_ <= available.cpu_ && memory_mb_ <= available.memory_mb_ &&
               accelerators_ <= available.accelerators_;
    }

    resources& operator+=(const resources& other);
    resources& operator-=(const resources& other);

    auto operator<=>(const resources&) const = default;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(cpu_, memory_mb_, accelerators_);
    }
};

/// A group of identical tasks within a job.
struct step_spec
{
    std::uint32_t count_ = 0;
    resources need_;
    /// Declared run time of one task; often inaccurate.
    duration estimate_{};
    /// Indexes of the earlier steps that must complete first.
    std::vector<std::uint32_t> depends_on_;
    /// All tasks must run at the same time (gang scheduling).
    bool is_gang_ = false;
    /// Runs slower, by the site's remote factor, when spread over racks.
    bool is_rack_sensitive_ = false;
    /// Saves checkpoints from which a later run can resume.
    bool supports_checkpoints_ = false;
    /// Runs until the job is cancelled.
    bool is_long_running_ = false;
    /// Label that the worker must have; empty if none.
    std::string required_label_;
    /// Rack that holds the input data; empty if none.
    std::string data_rack_;
    /// Maximum number of tasks of this step per worker; 0 means no limit.
    std::uint32_t per_worker_limit_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(count_, need_, estimate_, depends_on_, is_gang_,
                is_rack_sensitive_, supports_checkpoints_, is_long_running_,
                required_label_, data_rack_, per_worker_limit_);
    }
};

/// A job as submitted by a client.
struct job_spec
{
    job_id id_;
    /// Opaque data passed to the workers.
    std::string payload_;
    std::vector<step_spec> steps_;
    /// Number of occurrences; number K is due at first_due + K * interval.
    std::uint32_t repeats_ = 1;
    std::int64_t first_due_ms_ = 0;
    std::int64_t interval_ms_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(id_, payload_, steps_, repeats_, first_due_ms_, interval_ms_);
    }
};

/// Identifies one task of one occurrence of a job.
struct task_ref
{
    job_id job_;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;
    std::uint32_t index_ = 0;

    auto operator<=>(const task_ref&) const = default;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(job_, occurrence_, step_, index_);
    }
};

/// Identifies one execution of a task. Runs are numbered from 1; all tasks of
/// a gang share the number.
struct run_ref
{
    task_ref task_;
    std::uint32_t run_ = 0;

    auto operator<=>(const run_ref&) const = default;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(task_, run_);
    }
};

struct run_hash
{
    std::size_t operator()(const run_ref& value) const
    {
        const task_ref& task = value.task_;
        std::size_t hash = std::hash<job_id>()(task.job_);
        for (std::uint32_t part :
             {task.occurrence_, task.step_, task.index_, value.run_})
            hash = hash * 31 + part;
        return hash;
    }
};

/// Formats a task for the log: "JOB.OCCURRENCE.STEP.INDEX".
[[nodiscard]] std::string to_text(const task_ref& value);

/// Formats a run for the log: "JOB.OCCURRENCE.STEP.INDEX run N".
[[nodiscard]] std::string to_text(const run_ref& value);

/// How a run ended.
enum class run_outcome
{
    done,
    /// The task or its worker failed; counts as an attempt.
    failed,
    stopped,
    /// The worker's lease expired.
    lapsed,
    /// Another member of the gang ended first.
    broken,
    /// The other members of the gang did not join.
    alone,
    /// The worker refused the start request; the run never started.
    refused,
    /// The worker's incarnation ended.
    lost
};

[[nodiscard]] std::string to_text(run_outcome value);

/// The outcome of a run as reported by its worker.
struct reported_outcome
{
    /// Numbers the outcomes of one incarnation of the worker, from 1.
    std::uint64_t sequence_ = 0;
    run_ref run_;
    run_outcome outcome_ = run_outcome::done;
    /// Last checkpoint; empty if none.
    std::string checkpoint_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(sequence_, run_, outcome_, checkpoint_);
    }
};

/// A worker's description of itself.
struct worker_info
{
    worker_name name_;
    /// Start of this incarnation, in milliseconds since the epoch by the
    /// worker's clock.
    std::int64_t incarnation_ = 0;
    service_name service_;
    zone_name zone_;
    /// Address on which it accepts calls, as IP:PORT.
    std::string address_;
    resources capacity_;
    std::set<std::string> labels_;
    rack_name rack_;
    /// Accepts no new work.
    bool is_draining_ = false;

    auto operator<=>(const worker_info&) const = default;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(name_, incarnation_, service_, zone_, address_, capacity_,
                labels_, rack_, is_draining_);
    }
};

} // namespace dandelioncrank::pool
