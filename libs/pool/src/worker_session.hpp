#pragma once

#include "dandelioncrank/pool/pool_owner.hpp"

#include <deque>
#include <optional>
#include <set>

namespace dandelioncrank::pool {

/// The owner's dealings with one life of one worker.
class pool_owner::worker_session
{
  public:
    worker_session(const pool_state& state, const owner_timing& timing,
                   worker_name worker, std::int64_t incarnation,
                   std::uint64_t term, instant now, bool is_inherited,
                   duration clock_wait);

    [[nodiscard]] const worker_name& worker() const { return worker_; }
    [[nodiscard]] std::int64_t incarnation() const { return incarnation_; }

    /// Takes over which runs the state holds for this worker.
    void sync_with_state(instant now);
    void record_announcement(std::int64_t clock_ms, instant now);
    void handle_result(std::uint64_t call, const call_result& result,
                       instant now, owner_output& out);
    /// Whether something has happened since the last advance().
    [[nodiscard]] bool needs_advance() const;
    /// Sends what is due.
    void advance(instant now, std::uint64_t& next_call, owner_output& out);
    /// Stops a run that gives way to another.
    void request_stop(const run_ref& run);
    /// Counts evidence against the worker, once for each job.
    void record_failure(const job_id& job, instant now);
    void clear_failures();
    /// The worker is about to end: what runs there is stopped and its ends
    /// are noted before its life is.
    void retire(instant now);

    [[nodiscard]] bool is_usable(instant now) const;
    [[nodiscard]] int failure_count() const;
    void add_run_observations(planner_input& input) const;
    /// Runs that report no progress though they should.
    [[nodiscard]] std::vector<run_ref> stalled_runs(instant now) const;
    [[nodiscard]] std::vector<std::uint64_t> open_calls() const;
    /// The end of this life, with the progress that was seen in it.
    [[nodiscard]] end_incarnation incarnation_end() const;

  private:
    enum class run_phase
    {
        /// Ordered by an earlier owner, or not; the worker will tell.
        inherited,
        unsent,
        /// Ordered, without an answer so far.
        unconfirmed,
        confirmed
    };

    struct run_entry
    {
        run_phase phase_ = run_phase::unsent;
        bool stop_requested_ = false;
        /// An order was given up on and may be carried out later.
        bool may_arrive_late_ = false;
        /// The worker will not begin it any more; set at that moment.
        std::optional<instant> blocked_at_;
        /// When its gang was seen to be complete.
        std::optional<instant> done_at_;
        std::optional<std::uint64_t> call_id_;
        instant next_attempt_at_{};
        instant started_at_{};
        int progress_percent_ = 0;
        /// Progress as last listed; it outlives the worker.
        std::string checkpoint_;
        /// When it was last listed, and when its progress last rose.
        instant reported_at_{};
        instant progress_at_{};
    };

    struct open_call
    {
        std::variant<start_call, stop_call, hold_call> operation_;
        instant sent_at_{};
    };

    void advance_run(const run_ref& run, run_entry& entry, instant now,
                     std::uint64_t& next_call, owner_output& out);
    void advance_hold(instant now, std::uint64_t& next_call, owner_output& out);
    void conclude_lapsed(instant now, owner_output& out);
    /// Ends the life of a worker that retires once nothing runs there.
    void conclude_incarnation(instant now, owner_output& out);
    std::uint64_t send(std::variant<start_call, stop_call, hold_call> what,
                       duration timeout, instant now, std::uint64_t& next_call,
                       owner_output& out);
    void handle_lost_call(const open_call& call, bool not_sent, instant now);
    void handle_start_answer(const start_call& call, const call_answer& answer,
                             instant now, owner_output& out);
    void handle_stop_answer(const stop_call& call, instant now);
    void handle_hold_answer(const hold_call& call, const call_answer& answer,
                            instant sent_at, instant now, owner_output& out);
    void reconcile(const call_answer& answer, instant sent_at, instant now,
                   owner_output& out);
    void conclude(const run_ref& run, run_outcome outcome, owner_output& out);
    [[nodiscard]] std::int64_t clock_at(instant now) const;
    [[nodiscard]] std::int64_t grant_lease(instant now);
    [[nodiscard]] const worker_info& info() const;

    const pool_state& state_;
    const owner_timing& timing_;
    worker_name worker_;
    std::int64_t incarnation_;
    std::uint64_t term_;
    /// Without its clock until then, the worker is asked for it.
    instant clock_request_at_;
    std::optional<std::int64_t> clock_ms_;
    instant clock_read_at_{};
    /// No lease of this worker lasts longer, by this host's clock.
    instant lease_end_{};
    instant last_contact_at_{};
    /// Calls lost since the last answer.
    int lost_calls_ = 0;
    instant backoff_until_{};
    std::set<job_id> failed_jobs_;
    instant last_failure_at_{};
    std::map<run_ref, run_entry> runs_;
    std::set<run_ref> unknown_runs_;
    std::uint64_t runs_revision_ = 0;
    bool needs_advance_ = true;
    std::map<std::uint64_t, open_call> calls_;
    std::optional<std::uint64_t> hold_call_id_;
    bool hold_requested_ = false;
    instant next_hold_at_{};
    std::uint64_t acked_cursor_ = 0;
    /// Set while the worker retires: its life ends then at the latest.
    std::optional<instant> retire_deadline_;
    /// It takes no calls any more.
    bool is_unreachable_ = false;
    instant next_incarnation_end_{};
    /// Last end that was proposed, and when.
    std::uint64_t proposed_cursor_ = 0;
    instant proposed_at_{};
};

} // namespace dandelioncrank::pool
