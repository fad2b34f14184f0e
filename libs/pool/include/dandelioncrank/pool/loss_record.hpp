#pragma once

#include "dandelioncrank/pool/job_model.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelioncrank::pool {

/// Why the incarnation of a worker ended.
enum class incarnation_end_cause
{
    /// Not recorded by the build that wrote it.
    unspecified,
    /// The worker left the pool on notice.
    left,
    /// It crashed, and nothing but its tasks is known to explain that.
    crashed,
    /// It was lost for a reason that lies outside of its tasks: cut off, lost
    /// together with many others, or known to crash under any task.
    disturbed
};

[[nodiscard]] std::string to_text(incarnation_end_cause value);

/// A run that may have been under way when its worker was lost.
struct exposed_run
{
    run_ref run_;
    /// How long it had certainly been under way.
    duration age_{};
    /// Its worker had confirmed it; otherwise it may never have begun.
    bool is_confirmed_ = false;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(run_, age_, is_confirmed_);
    }
};

/// One worker that was lost under a task.
struct worker_loss
{
    std::uint32_t run_ = 0;
    worker_name worker_;
    std::int64_t incarnation_ = 0;
    std::string address_;
    /// Whether the task may have caused it, and whether nothing else may.
    bool is_suspected_ = false;
    bool is_sole_ = false;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(run_, worker_, incarnation_, address_, is_suspected_, is_sole_);
    }
};

/// The workers that were lost under one task.
struct loss_record
{
    /// The latest ones, oldest first.
    std::vector<worker_loss> losses_;
    /// Losses in a row, none of them after a long run.
    std::uint32_t count_ = 0;
    /// Those of them that it may have caused.
    std::uint32_t suspected_count_ = 0;
    /// The latest of these in a row for which nothing else was to blame.
    std::uint32_t sole_count_ = 0;
    /// Runs that were given up because their worker's lease expired.
    std::uint32_t lapses_ = 0;
    /// It may be what crashes its workers.
    bool is_suspect_ = false;

    /// How long a run must last before it is no longer suspected.
    [[nodiscard]] duration probation() const;
    [[nodiscard]] bool is_on_probation(duration age) const
    {
        return is_suspect_ && age < probation();
    }
    /// Whether a worker at this address was lost.
    [[nodiscard]] bool has_loss_at(const std::string& address) const;
    /// Whether it has crashed so many workers that it must not start again.
    [[nodiscard]] bool is_to_blame() const;
    /// Adds a loss under a run of this age.
    void add(const worker_loss& loss, duration age);
    void add_lapse();

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(losses_, count_, suspected_count_, sole_count_, lapses_,
                is_suspect_);
    }
};

/// Formats the losses for the log: "run N on WORKER (incarnation I), ...".
[[nodiscard]] std::string to_text(const loss_record& value);

/// Age up to which a run that crashed its worker is the likely cause.
[[nodiscard]] duration usual_crash_age();

} // namespace dandelioncrank::pool
