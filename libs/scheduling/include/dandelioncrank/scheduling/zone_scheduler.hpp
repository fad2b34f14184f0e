#pragma once

#include "dandelioncrank/scheduling/guarantee_ledger.hpp"
#include "dandelioncrank/scheduling/job_queue.hpp"
#include "dandelioncrank/scheduling/placement.hpp"
#include "dandelioncrank/scheduling/scheduling_types.hpp"
#include "dandelioncrank/scheduling/worker_pool.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace dandelioncrank {

struct gang;
struct gang_part;
enum class stop_cause;
class gang_driver;
class preemption_index;
class failure_tracker;

struct scheduler_options
{
    zone_name zone_;
    /// Fencing epoch: each new scheduler of the zone has a higher one.
    std::uint64_t epoch_ = 1;
    order_policy order_ = order_policy::attained_service;
    placement_policy placement_ = placement_policy::best_fit;
    /// A worker stops its tasks this long after it sent the newest report that
    /// was answered, and is considered lost this time plus a margin after its
    /// newest report was received.
    duration lease_ = std::chrono::seconds(10);
    /// Collect reports for one lease before starting any job, because tasks
    /// of an earlier scheduler may still be running.
    bool wait_for_reports_ = true;
    /// Preempt borrowed work, reserve workers and defragment the pool; off
    /// for the baselines of the benchmarks.
    bool preempt_ = true;
    /// Later jobs may start while an earlier one does not fit; off for a
    /// baseline of the benchmarks, which then ignores guarantees as well.
    bool backfill_ = true;
    scheduling_fault fault_ = scheduling_fault::none;
};

/// One team as `team show` prints it; counts are accelerators.
struct team_view
{
    team_name name_;
    int guaranteed_ = 0;
    int used_ = 0;
    int borrowed_ = 0;
    /// Unused part of the guarantee, available now by preemption if needed.
    int reclaimable_ = 0;
    /// Guaranteed accelerators that no worker can provide now.
    int shortage_ = 0;
    std::size_t waiting_ = 0;
    /// Upper estimate of the time that a reclaim would take now.
    duration reclaim_time_{};
};

struct job_view
{
    job_record record_;
    duration waited_{};
    /// Why the job is not running yet, in one line; empty if it is.
    std::string pending_reason_;
    std::vector<worker_name> workers_;
};

struct pool_summary
{
    std::size_t workers_ = 0;
    std::size_t alive_ = 0;
    std::size_t quarantined_ = 0;
    int accelerators_ = 0;
    int free_ = 0;
    std::size_t waiting_ = 0;
    std::size_t gangs_ = 0;
    bool recovering_ = false;
};

/// Scheduler of one availability zone. An event-driven state machine: takes
/// events with their time and returns actions; uses no thread, clock, socket
/// or file.
class zone_scheduler
{
  public:
    explicit zone_scheduler(scheduler_options options);
    ~zone_scheduler();

    zone_scheduler(const zone_scheduler&) = delete;
    zone_scheduler& operator=(const zone_scheduler&) = delete;

    void configure(const configuration& rules, instant now);

    [[nodiscard]] scheduling_actions handle(const scheduling_event& event,
                                            instant now);

    /// Commands that this incarnation of the worker has not yet acknowledged,
    /// oldest first.
    [[nodiscard]] const std::deque<worker_command>&
    outbox(const worker_name& worker, const std::string& incarnation) const;

    [[nodiscard]] std::vector<team_view> teams(instant now) const;
    [[nodiscard]] std::optional<job_view> job(const job_id& id,
                                              instant now) const;
    [[nodiscard]] std::vector<job_view> jobs(instant now) const;
    [[nodiscard]] pool_summary summary() const;
    [[nodiscard]] const worker_pool& pool() const { return pool_; }
    [[nodiscard]] const guarantee_ledger& guarantees() const { return ledger_; }

    /// Checks all invariants over the whole pool; for tests and dumps.
    void check_invariants() const;

  private:
    struct job_entry
    {
        job_record record_;
        instant arrived_at_{};
        instant queued_at_{};
        duration attained_{};
        std::optional<gang_key> gang_;
        /// Not placed before this time.
        instant not_before_{};
        /// Since when only accelerators reserved for others could hold it.
        std::optional<instant> unplaceable_since_;
        bool cancel_requested_ = false;
        int failures_ = 0;
        std::set<worker_index> failed_on_;
    };

    struct orphan
    {
        int accelerators_ = 0;
        /// Number of the stop command that was sent for it.
        std::uint64_t command_ = 0;
    };

    /// Process that reports under the name of a live worker and has not yet
    /// been confirmed as its next incarnation.
    struct newcomer
    {
        std::string incarnation_;
        std::deque<worker_command> commands_;
    };

    using action_list = scheduling_actions;

    // Events.
    void submit(const job_spec& spec, instant now, action_list& out);
    void cancel(const job_id& id, instant now, action_list& out);
    void recover(const job_record& record, instant now);
    void apply_report(const worker_report& report, instant now,
                      action_list& out);
    void apply_start_record(const gang_key& key, instant now, action_list& out);
    void tick(instant now, action_list& out);

    // Admission.
    [[nodiscard]] std::string refusal_reason(const job_spec& spec) const;
    /// Takes a token of the team's rate limit; false if none is left.
    bool take_submit_token(const team_name& team, instant now);
    [[nodiscard]] bool fits_pool(const job_spec& spec) const;
    /// Whether a job that may run only once fits beside all guarantees or
    /// within its own team's.
    [[nodiscard]] bool fits_permanently(const job_spec& spec) const;
    [[nodiscard]] bool fits_with_capacity(
        const job_spec& spec,
        const std::function<int(const pool_worker&)>& capacity) const;
    void end_unplaceable_jobs(instant now, action_list& out);

    // Workers.
    [[nodiscard]] bool is_confirmed(worker_index index,
                                    const worker_report& report);
    void update_worker(worker_index index, const worker_report& report,
                       instant now, action_list& out);
    void resize_worker(worker_index index, const worker_info& info, instant now,
                       action_list& out);
    void stop_gangs_beyond(worker_index index, const worker_info& info,
                           instant now, action_list& out);
    void handle_worker_loss(worker_index index, bool has_restarted, instant now,
                            action_list& out);
    void withdraw_guarantees(worker_index index, action_list& out);
    void apply_reported_parts(worker_index index, const worker_report& report,
                              instant now, action_list& out);
    void handle_unknown_parts(worker_index index, const worker_report& report,
                              instant now, action_list& out);
    bool adopt_part(worker_index index, const reported_part& part, instant now,
                    action_list& out);
    void clear_orphans(worker_index index, const worker_report& report);
    void forget_orphans(worker_index index);
    void expire_leases(instant now, action_list& out);
    void quarantine_if_faulty(worker_index index, instant now,
                              action_list& out);
    void end_quarantines(instant now);
    void restore_allocation(gang& item);
    void end_recovery(instant now, action_list& out);

    // Gangs.
    void start_gang(job_entry& job, const placement_plan& plan,
                    allocation_class allocation,
                    const std::vector<std::size_t>& blocks, instant now,
                    action_list& out);
    void update_gang(gang& item, instant now, action_list& out);
    void stop_gang(gang& item, stop_cause cause, instant now, action_list& out);
    void release_part(gang& item, gang_part& part);
    void demote_gang(gang& item);
    void finish_gang(gang& item, instant now, action_list& out);
    void requeue_or_end_job(job_entry& job, const gang& item, instant now,
                            action_list& out);
    /// Counts an attempt that crashed its workers, and requeues or ends the
    /// job.
    void count_crashed_attempt(job_entry& job, instant now, action_list& out);
    void check_gang_progress(instant now, action_list& out);
    [[nodiscard]] bool has_overdue_command(const gang& item, instant now) const;
    void suspect_unresponsive_workers(const gang& item, instant now);

    // Job records.
    void set_state(job_entry& job, job_state state, const std::string& reason,
                   action_list& out);
    void end_job(job_entry& job, job_state state, const std::string& reason,
                 action_list& out);
    void requeue(job_entry& job, instant now, action_list& out);

    // Scheduling passes.
    void run_pass(instant now, action_list& out);
    void pass_guaranteed(instant now, action_list& out);
    void pass_borrowed(instant now, action_list& out);
    bool try_start_guaranteed(job_entry& job, instant now, action_list& out);
    bool try_start_borrowed(job_entry& job, const placement_finder& finder,
                            instant now, action_list& out);
    bool reclaim_for(const job_entry& job,
                     const std::map<worker_index, int>& needs, instant now,
                     action_list& out);
    void update_reservations(instant now);
    [[nodiscard]] std::set<worker_index>
    choose_reserved_workers(const job_spec& spec,
                            const std::set<worker_index>& taken) const;
    void defragment_for_starving_jobs(instant now, action_list& out);
    bool defragment_for(job_entry& job, instant now, action_list& out);
    [[nodiscard]] bool can_migrate(const gang& item, instant now) const;
    void preempt_for_shorter_jobs(instant now, action_list& out);
    /// Longest holds running gangs by remaining time, longest first.
    bool preempt_longer_gangs(
        job_entry& job,
        const std::vector<std::pair<duration, gang_key>>& longest, instant now,
        action_list& out);
    void index_preemptible_gang(const gang& item);
    bool preempt_until_fits(job_entry& job,
                            const std::vector<const gang*>& candidates,
                            instant now, action_list& out);
    [[nodiscard]] std::string binding_constraint(const job_entry& job) const;
    [[nodiscard]] std::string pending_confirmations(const gang& item) const;

    scheduler_options options_;
    configuration rules_;
    worker_pool pool_;
    guarantee_ledger ledger_;
    job_queue queue_;
    std::unique_ptr<gang_driver> driver_;
    std::unique_ptr<failure_tracker> failure_tracker_;
    std::unique_ptr<preemption_index> preemption_index_;
    std::map<gang_key, gang> gangs_;
    /// Gangs that are acquiring, starting or stopping.
    std::set<gang_key> gangs_in_transition_;
    std::unordered_map<job_id, job_entry> jobs_;
    std::map<worker_index, std::map<gang_key, orphan>> orphans_;
    std::map<worker_index, newcomer> newcomers_;
    std::set<std::pair<instant, worker_index>> by_report_;
    std::map<worker_index, instant> quarantine_ends_;
    bool recovery_pending_ = false;
    std::optional<instant> recovering_until_;
    struct submit_bucket
    {
        double tokens_ = 0;
        instant filled_at_{};
    };
    std::map<team_name, submit_bucket> submit_buckets_;
    instant last_repack_{};
    bool pass_pending_ = false;
    bool urgent_waiting_ = false;
    bool ledger_dirty_ = false;
    instant last_pass_{};
    instant last_defragmentation_{};
    instant last_srpt_preemption_{};
    instant last_unplaceable_check_{};
    /// Workers reserved for gangs that have waited long.
    std::map<job_id, std::set<worker_index>> reservations_;
    instant last_reservation_{};
    /// Times at which a scheduling pass is due for a delayed job.
    std::set<instant> wakeup_times_;
};

} // namespace dandelioncrank
