#pragma once

#include "dandelioncrank/pool/cold_start_limiter.hpp"
#include "dandelioncrank/pool/placement_planner.hpp"
#include "dandelioncrank/pool/pool_state.hpp"
#include "dandelioncrank/pool/state_weight.hpp"
#include "dandelioncrank/pool/worker_calls.hpp"
#include "dandelioncrank/pool/worker_speed_summary.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace dandelioncrank::pool {

/// Timeouts and intervals of the pool owner.
struct owner_timing
{
    /// Duration of the lease that each renewal grants.
    duration lease_ = std::chrono::milliseconds(5500);
    /// Lease that a start call requests at most. A start that is delayed is
    /// void when its lease is over; with the time of a replaced owner and the
    /// drift of clocks that is within 5 s of the commit of an evacuation. Hold
    /// calls guarantee no more than this either.
    duration start_lease_ = std::chrono::milliseconds(3500);
    /// Longest lease that a worker accepts from any owner.
    duration longest_lease_ = std::chrono::milliseconds(6000);
    /// How long a replaced owner may go on renewing leases: a leader without a
    /// quorum steps down within two election timeouts.
    duration replaced_owner_time_ = std::chrono::milliseconds(1200);
    /// How long a hold call may wait at the worker.
    duration hold_wait_ = std::chrono::milliseconds(2000);
    /// How long to wait for the answer to a start or stop call.
    duration call_timeout_ = std::chrono::milliseconds(400);
    /// Delay before an unanswered call is repeated; grows with lost calls.
    duration retry_delay_ = std::chrono::milliseconds(100);
    /// A worker silent for this long gets no new work.
    duration silence_timeout_ = std::chrono::milliseconds(4000);
    /// How long a worker that failed several jobs gets no new work.
    duration quarantine_ = std::chrono::milliseconds(5000);
    /// Shortest time without progress after which a run counts as stalled.
    duration stall_timeout_ = std::chrono::milliseconds(4500);
};

/// Returns the duration of the leases to grant where workers accept leases of
/// up to `longest_lease`.
[[nodiscard]] duration lease_within(duration longest_lease);

/// A decision or observation, for the log.
struct owner_event
{
    std::string subject_;
    std::string message_;
    /// Metric that counts events of this kind; null if none does.
    const char* counter_ = nullptr;
};

/// Actions that the host has to carry out for the owner.
struct owner_output
{
    std::vector<worker_call> calls_;
    /// Observations to commit. proposal_settled() must follow with the number
    /// below.
    pool_batch observations_;
    std::uint64_t proposal_ = 0;
    /// Starts to commit; starts_resolved() must follow.
    pool_batch starts_;
    std::vector<owner_event> events_;
};

/// What the plans of this process have cost, for metrics.
struct planning_totals
{
    double preempted_core_seconds_ = 0;
    std::uint64_t tasks_backfilled_ = 0;
    /// Percentage of idle accelerators that no waiting work can use, in the
    /// latest plan; 0 while this process is not the owner.
    double idle_unusable_percent_ = 0;
};

class fencing_tokens;
class guarantee_forecast;
class loss_monitor;
class performance_model;
class progress_monitor;
class proposal_tracker;

/// Manages a pool of workers during one term: plans placements, sends start
/// and stop calls, renews leases and records outcomes.
///
/// Performs no I/O: the time and the results of calls are passed in, and all
/// durable changes go through the log first. A start call is sent only for a
/// run that is in the committed state.
class pool_owner
{
  public:
    pool_owner(const pool_state& state, owner_timing timing,
               std::uint64_t weight_limit = default_weight_limit);
    ~pool_owner();

    /// Takes over the pool for a term. An earlier owner may have sent start
    /// calls for runs in the state.
    void begin(std::uint64_t term, instant now);
    /// Stops acting on the loss of leadership.
    void end();
    [[nodiscard]] bool is_active() const { return term_ != 0; }

    /// Opens a session for a worker whose change has just been committed;
    /// call before record_announcement(). tick() handles the remaining changes.
    void add_worker(const worker_name& worker, instant now);
    /// Records that a worker has announced itself, and for how long it will be
    /// slow after its start.
    void record_announcement(const worker_name& worker,
                             std::int64_t incarnation, std::int64_t clock_ms,
                             instant now, duration cold_remaining = {});
    /// Prepares for the shutdown of a worker: ends its incarnation once its
    /// runs are over, and the outcomes that it reports are recorded. Returns
    /// false if the owner does not manage that incarnation.
    bool retire_worker(const worker_name& worker, std::int64_t incarnation,
                       instant now);
    /// Returns the fencing token for a call to a worker that asks for its
    /// listing only.
    [[nodiscard]] std::uint64_t
    fencing_token_for(const worker_name& worker) const;
    /// Whether a retiring worker has had its time to report outcomes. Its runs
    /// may still exist.
    [[nodiscard]] bool may_leave(const worker_name& worker,
                                 std::int64_t incarnation, instant now) const;
    /// Ends the incarnations that a worker has replaced, by its name or at its
    /// address, once none of their runs can exist any more. The worker has
    /// confirmed that with its answer to a hold call with that token.
    void replace_incarnations(const worker_info& successor,
                              const call_answer& listing, std::uint64_t token,
                              instant now);
    void handle_result(std::uint64_t call, const call_result& result,
                       instant now);
    /// Must be called after each state change, before the next tick().
    void state_changed();
    /// Must be called after each state change, also while another process owns
    /// the pool: the leases of a worker that was out of contact with the owner
    /// end by the time at which this process has learnt of that.
    void observe_contacts(instant now);
    /// The starts of the last output have been applied or never will be.
    void starts_resolved();
    /// All observations of an output have been applied or never will be.
    void proposal_settled(std::uint64_t proposal, instant now);
    void tick(instant now, std::int64_t wall_ms);

    [[nodiscard]] owner_output take_output();
    /// The workers that are known to be slower or faster than most, with at
    /// most `limit` in each list.
    [[nodiscard]] worker_speed_summary
    summarize_worker_speeds(std::size_t limit) const;
    [[nodiscard]] const planning_totals& totals() const { return totals_; }

    /// Runs each plan, if set; lets the caller measure its cost.
    std::function<void(const std::function<void()>& plan)> around_plan_;

  private:
    class worker_session;

    /// A waiting step, and what was last logged about it.
    struct wait_entry
    {
        instant since_{};
        wait_reason logged_reason_{};
        std::optional<instant> logged_at_;
    };

    /// What the state says of a worker that is out of contact.
    struct observed_loss
    {
        std::int64_t incarnation_ = 0;
        /// Which loss of contact it is.
        std::uint64_t number_ = 0;
        /// When this process has learnt of it.
        instant observed_at_{};
    };

    /// The first run of a job that a worker has confirmed.
    struct confirmed_start
    {
        run_ref run_;
        worker_name worker_;
        std::optional<instant> proposed_at_;
    };

    /// Whether the incarnation of a session is still in the state.
    [[nodiscard]] bool is_current(const worker_session& session) const;
    /// Opens and closes sessions to match the workers in the state.
    void sync_with_state();
    void open_session(const worker_name& worker, std::int64_t incarnation,
                      instant now, bool is_inherited);
    void close_session(const worker_session& session, instant now);
    /// When the leases that earlier owners may have granted to a worker have
    /// ended, as far as the state tells.
    [[nodiscard]] std::optional<instant>
    recorded_lease_end(const worker_name& worker) const;
    /// Logs the workers that were out of contact before this owner began.
    void report_inherited_losses(instant now);
    /// Keeps what a worker has confirmed, once for each job.
    void note_confirmed_starts(worker_session& session);
    void note_sightings(worker_session& session);
    /// Proposes the starts confirmed since the last interval, together.
    void propose_confirmed_starts(instant now);
    /// Judges once why an incarnation was lost that has been replaced.
    void judge_loss(worker_session& session, instant now);
    [[nodiscard]] std::unique_ptr<loss_monitor> make_loss_monitor() const;
    /// Delays the next start of tasks whose runs have lapsed repeatedly.
    void delay_lapsed(std::size_t first_observation);
    void log_notices();
    /// Adds the workers whose runs have changed to those that are due.
    void add_changed_workers();
    void add_all_workers();
    /// Returns false if a stop was requested before or the run is unknown.
    bool request_stop(const run_ref& run);
    /// Notices changes of the evacuated zones.
    void follow_evacuations();
    /// Ends the gangs of which a member may not start any more, before their
    /// other members stop waiting for it.
    void end_split_gangs(worker_session& session);
    /// Stops the runs that leave an evacuated zone.
    void stop_moved(const std::vector<run_ref>& runs);
    void advance_sessions(const std::set<worker_name>& workers, instant now);
    void plan(instant now, std::int64_t wall_ms);
    [[nodiscard]] planner_input make_input(instant now, std::int64_t wall_ms);
    [[nodiscard]] std::unique_ptr<progress_monitor>
    make_progress_monitor() const;
    /// Stops runs that make no progress.
    void detect_stalls(instant now);
    /// Updates the waiting steps. Logs long waits and changes of their reason,
    /// at a limited rate.
    void update_waits(const std::map<step_key, wait_reason>& waits,
                      instant now);

    const pool_state& state_;
    owner_timing timing_;
    std::uint64_t weight_limit_;
    std::uint64_t term_ = 0;
    std::uint64_t next_call_ = 1;
    std::map<worker_name, std::unique_ptr<worker_session>> sessions_;
    /// Workers with events since their sessions were last advanced.
    std::set<worker_name> due_;
    std::uint64_t seen_run_changes_ = 0;
    std::unordered_map<std::uint64_t, worker_name> calls_;
    /// By the contact revision of the state that is noted with them.
    std::map<worker_name, observed_loss> observed_losses_;
    std::uint64_t observed_contact_revision_ = 0;
    std::map<job_id, instant> accepted_at_;
    /// Confirmed starts that the state does not show yet.
    std::map<job_id, confirmed_start> confirmed_starts_;
    instant starts_proposed_at_{};
    std::map<step_key, clearing> clearings_;
    std::map<step_key, instant> held_since_;
    std::map<step_key, wait_entry> waits_;
    std::unique_ptr<guarantee_forecast> forecast_;
    std::unique_ptr<loss_monitor> losses_;
    std::unique_ptr<progress_monitor> progress_;
    /// When the progress of all runs was last judged.
    instant judged_at_{};
    std::unique_ptr<performance_model> performance_;
    std::unique_ptr<fencing_tokens> tokens_;
    std::unique_ptr<proposal_tracker> proposals_;
    /// When tasks whose runs have lapsed repeatedly may start again.
    std::map<task_ref, instant> restart_at_;
    /// Those of them whose lapse is undecided, by its proposal.
    std::multimap<std::uint64_t, task_ref> lapsing_tasks_;
    cold_start_limiter cold_starts_;
    std::set<zone_name> seen_evacuated_zones_;
    std::uint64_t seen_notices_ = 0;
    bool is_dirty_ = true;
    /// Workers revision of the state that the sessions match.
    std::optional<std::uint64_t> workers_revision_;
    instant now_{};
    instant swept_at_{};
    bool starts_pending_ = false;
    instant planned_at_{};
    owner_output output_;
    planning_totals totals_;
};

} // namespace dandelioncrank::pool
