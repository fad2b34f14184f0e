#pragma once

#include "dandelioncrank/pool/job_model.hpp"
#include "dandelioncrank/pool/loss_record.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace dandelioncrank::pool {

/// State of one task.
struct task_record
{
    /// Number of its latest run; 0 before the first.
    std::uint32_t run_ = 0;
    std::uint32_t failures_ = 0;
    bool is_done_ = false;
    /// Where its latest run may still exist; empty if that run is over.
    worker_name worker_;
    std::int64_t incarnation_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(run_, failures_, is_done_, worker_, incarnation_);
    }
};

/// Checkpoint from which a task resumes.
struct checkpoint_record
{
    std::string value_;
    /// The run that saved it, and whether its worker reported it with the
    /// outcome.
    std::uint32_t run_ = 0;
    bool is_reported_ = false;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(value_, run_, is_reported_);
    }
};

struct step_record
{
    std::vector<task_record> tasks_;
    /// Checkpoints by task; a gang has a single one, under index 0.
    std::map<std::uint32_t, checkpoint_record> checkpoints_;
    /// Number of failed runs of the gang, and the last of them.
    std::uint32_t gang_failures_ = 0;
    std::uint32_t last_failed_run_ = 0;
    /// Lost workers by task.
    std::map<std::uint32_t, loss_record> losses_;
    /// Number of tasks whose latest run may still exist; derived.
    std::uint32_t running_ = 0;

    [[nodiscard]] bool is_done() const;
    /// The record that makes a task suspect, or any member of its gang; null
    /// if there is none.
    [[nodiscard]] const loss_record* suspicion(std::uint32_t task,
                                               bool is_gang) const;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(tasks_, checkpoints_, gang_failures_, last_failed_run_);
        archive.appended(losses_);
    }
};

struct occurrence_record
{
    std::vector<step_record> steps_;

    [[nodiscard]] bool is_done() const;
    /// Whether a run of any task may still exist.
    [[nodiscard]] bool has_runs() const;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(steps_);
    }
};

/// The occurrences of a job. Only those under way have records of their tasks:
/// from their first start until all tasks are done.
class occurrence_table
{
  public:
    /// The occurrences under way, by number.
    [[nodiscard]] const std::map<std::uint32_t, occurrence_record>&
    records() const
    {
        return records_;
    }
    /// The record of an occurrence; null if it is not under way.
    [[nodiscard]] const occurrence_record* find(std::uint32_t number) const;
    [[nodiscard]] occurrence_record* find(std::uint32_t number);
    /// The record of an occurrence that is under way. Throws std::out_of_range.
    [[nodiscard]] const occurrence_record& at(std::uint32_t number) const;
    [[nodiscard]] occurrence_record& at(std::uint32_t number);
    [[nodiscard]] bool is_done(std::uint32_t number) const;
    /// Whether all of the first `count` occurrences are done.
    [[nodiscard]] bool are_done(std::uint32_t count) const;
    /// Whether a run of any task may still exist.
    [[nodiscard]] bool have_runs() const;
    /// The first occurrences below `end` that have not started, at most
    /// `limit`.
    [[nodiscard]] std::vector<std::uint32_t> unstarted(std::uint32_t end,
                                                       std::size_t limit) const;

    /// Returns the record of an occurrence; its first call makes it.
    occurrence_record& open(std::uint32_t number,
                            const std::vector<step_spec>& steps);
    /// Drops the record of an occurrence whose tasks are all done and have no
    /// runs. Returns false if it is not such an occurrence.
    bool close_if_done(std::uint32_t number);
    /// Drops all records; none may have runs.
    void drop_records() { records_.clear(); }
    /// Takes over the occurrences of a job stored by an earlier build, which
    /// kept records of all of them.
    void adopt(std::vector<occurrence_record> all);

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(records_, done_before_, done_later_);
    }

  private:
    void mark_done(std::uint32_t number);

    std::map<std::uint32_t, occurrence_record> records_;
    /// All occurrences below this one are done.
    std::uint32_t done_before_ = 0;
    /// The other ones that are done.
    std::set<std::uint32_t> done_later_;
};

} // namespace dandelioncrank::pool
