#pragma once

#include "dandelioncrank/core/name.hpp"
#include "dandelioncrank/core/time.hpp"
#include "dandelioncrank/core/wire.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace dandelioncrank::pool {

/// What one task occupies on a worker, or what a worker offers.
struct resources
{
    /// Thousandths of a core.
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

/// Tasks of one kind within a job.
struct step_spec
{
    std::uint32_t count_ = 0;
    resources need_;
    /// Declared run time of one task; often wrong.
    duration estimate_{};
    /// Earlier steps whose tasks must all be done first.
    std::vector<std::uint32_t> depends_on_;
    /// The tasks run together or not at all.
    bool is_gang_ = false;
    /// Runs slower by the site's remote factor outside a single rack.
    bool is_rack_sensitive_ = false;
    /// Saves its progress, so that a later run can resume.
    bool supports_checkpoints_ = false;
    /// Runs until the job is cancelled.
    bool is_long_running_ = false;
    /// Label that a worker must carry; empty for none.
    std::string required_label_;
    /// Rack that holds the data; empty for none.
    std::string data_rack_;
    /// Most tasks of this step on one worker; 0 for no limit.
    std::uint32_t per_worker_limit_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(count_, need_, estimate_, depends_on_, is_gang_,
                is_rack_sensitive_, supports_checkpoints_, is_long_running_,
                required_label_, data_rack_, per_worker_limit_);
    }
};

/// A job as its client hands it in.
struct job_spec
{
    job_id id_;
    /// Passed to the workers unread.
    std::string payload_;
    std::vector<step_spec> steps_;
    /// How often the steps run; occurrence K is due at first + K x interval.
    std::uint32_t repeats_ = 1;
    std::int64_t first_due_ms_ = 0;
    std::int64_t interval_ms_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(id_, payload_, steps_, repeats_, first_due_ms_, interval_ms_);
    }
};

/// Names one task of one occurrence of a job.
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

/// One start of one task. Runs count from 1; a gang's tasks share a number.
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

/// Text for logs: "JOB.OCCURRENCE.STEP.INDEX run N".
[[nodiscard]] std::string to_text(const run_ref& value);

/// Why a run is over.
enum class run_outcome
{
    done,
    /// Through its own fault or the worker's; counts as an attempt.
    failed,
    stopped,
    /// The worker's lease ended.
    lapsed,
    /// Another member of the gang ended first.
    broken,
    /// The other members of the gang did not arrive.
    alone,
    /// The worker refused the order; the run has never begun.
    refused,
    /// The worker's life ended.
    lost
};

[[nodiscard]] std::string to_text(run_outcome value);

/// An end of a run that a worker has listed.
struct reported_outcome
{
    /// Counts the ends of one life of the worker, from 1.
    std::uint64_t sequence_ = 0;
    run_ref run_;
    run_outcome outcome_ = run_outcome::done;
    /// Saved progress; empty for none.
    std::string checkpoint_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(sequence_, run_, outcome_, checkpoint_);
    }
};

/// A worker as it describes itself.
struct worker_info
{
    worker_name name_;
    /// Start of this life, in milliseconds since the epoch by its own clock.
    std::int64_t incarnation_ = 0;
    service_name service_;
    zone_name zone_;
    /// Where it takes orders, as IP:PORT.
    std::string address_;
    resources capacity_;
    std::set<std::string> labels_;
    rack_name rack_;
    /// It takes no new work.
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
