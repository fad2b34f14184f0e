#pragma once

#include "dandelioncrank/pool/performance_estimates.hpp"
#include "run_pace.hpp"
#include "stall_evidence.hpp"
#include "step_paces.hpp"

#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace dandelioncrank::pool {

/// What is known of a run now, from the last listing of its worker.
struct progress_report
{
    const run_ref* run_ = nullptr;
    const job_record* job_ = nullptr;
    const step_spec* spec_ = nullptr;
    const worker_info* worker_ = nullptr;
    int percent_ = 0;
    instant reported_at_{};
    bool has_checkpoint_ = false;
    bool is_stopping_ = false;
    /// Whether the run was listed, and its worker goes on answering.
    bool is_current_ = false;
};

/// A run without progress for too long, with all members of a gang.
struct stalled_unit
{
    std::vector<run_ref> runs_;
    duration standing_{};
    duration allowed_{};
    /// How the allowed time was found, for the log.
    std::string basis_;
};

struct stall_findings
{
    std::vector<stalled_unit> stalled_;
    std::vector<stall_suspicion> suspicions_;
};

/// Finds runs that have stalled, and the workers that are why.
///
/// The time within which a run's next percent is due follows from its own
/// progress; without enough of it, from other runs of its step or its expected
/// run time. A gang is judged as one run. A worker is suspected only with
/// evidence: other runs stand there too, or its task progresses elsewhere.
class progress_monitor
{
  public:
    /// Nothing is stalled before `shortest` has passed without progress.
    progress_monitor(duration shortest, stall_evidence::job_query is_active)
        : shortest_(shortest), evidence_(std::move(is_active))
    {
    }

    /// Judges the runs under way; those not among the reports are over.
    [[nodiscard]] stall_findings
    judge(const std::vector<progress_report>& reports,
          const performance_estimates& estimates, instant now);
    /// Whether other workers are preferred, since a run has stalled there.
    [[nodiscard]] bool is_doubtful(const worker_name& worker) const
    {
        return evidence_.is_doubtful(worker);
    }
    /// Drops what is known of a worker whose incarnation has ended.
    void forget_worker(const worker_name& worker)
    {
        evidence_.forget_worker(worker);
    }

  private:
    using report_list = std::vector<const progress_report*>;

    /// A run, or all members of a run of a gang.
    struct unit
    {
        std::optional<run_pace> pace_;
        instant first_listed_at_{};
        bool is_stopping_ = false;
        /// Of this round: those that are current, and all.
        report_list current_;
        report_list members_;
    };

    /// A unit without progress for the shortest time at least.
    struct candidate
    {
        run_ref run_;
        const unit* unit_ = nullptr;
        /// When the next percent was due, and where that is known from.
        duration due_{};
        std::string basis_;
        /// Known from its own progress.
        bool has_own_pace_ = false;
        /// Known from other runs of the step, which progress on other workers.
        bool has_siblings_ = false;
        /// How many times the due time it has stood.
        double overdue_ = 0;
    };

    /// What the runs of each worker show now.
    struct worker_view
    {
        /// Runs that have stood for long.
        std::unordered_map<worker_name, std::vector<const candidate*>>
            standing_;
        /// Workers with a run that has progressed and whose next percent is
        /// hardly due yet.
        std::unordered_set<worker_name> progressing_;
    };

    /// The run of a unit: members of a gang have the first one's.
    [[nodiscard]] static run_ref unit_run(const progress_report& report);
    [[nodiscard]] static std::vector<worker_name>
    workers_of(const report_list& reports);
    /// Time that work takes here for what takes a typical worker with the data
    /// at hand one second.
    [[nodiscard]] static double
    slowdown_of(const report_list& reports,
                const performance_estimates& estimates);
    void observe(const std::vector<progress_report>& reports,
                 const performance_estimates& estimates, instant now,
                 stall_findings& findings);
    void observe_unit(const run_ref& run, unit& item,
                      const performance_estimates& estimates, instant now,
                      stall_findings& findings);
    void note_rise(const run_ref& run, unit& item,
                   const performance_estimates& estimates, instant now,
                   stall_findings& findings);
    [[nodiscard]] worker_view
    make_view(const std::vector<candidate>& candidates,
              const performance_estimates& estimates) const;
    /// Time of a percent by the expected run time.
    [[nodiscard]] static duration
    expected_percent(const unit& item, const performance_estimates& estimates);
    [[nodiscard]] candidate
    make_candidate(const run_ref& run, const unit& item,
                   const performance_estimates& estimates) const;
    /// Whether other work on a worker progresses while a unit stands.
    [[nodiscard]] bool is_in_favor(const candidate& item,
                                   const worker_name& worker,
                                   const worker_view& view) const;
    /// Evidence that a worker makes no progress, besides a unit on it; empty
    /// if there is none.
    [[nodiscard]] std::string find_evidence(const candidate& item,
                                            const worker_name& worker,
                                            const worker_view& view) const;
    /// Whether that evidence holds although declared run times may be wrong.
    [[nodiscard]] bool is_supported(const candidate& item,
                                    const worker_name& worker,
                                    const worker_view& view) const;
    /// How long a unit may stand; completes the basis.
    [[nodiscard]] duration allowed_time(candidate& item,
                                        const worker_view& view) const;
    void report_stall(const candidate& item, duration allowed,
                      const worker_view& view, instant now,
                      stall_findings& findings);

    duration shortest_;
    stall_evidence evidence_;
    step_paces paces_;
    std::unordered_map<run_ref, unit, run_hash> units_;
    instant cleaned_at_{};
};

} // namespace dandelioncrank::pool
