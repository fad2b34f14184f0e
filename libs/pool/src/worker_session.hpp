#pragma once

#include "dandelioncrank/pool/pool_owner.hpp"
#include "fencing_tokens.hpp"
#include "loss_monitor.hpp"
#include "performance_model.hpp"
#include "progress_monitor.hpp"
#include "proposal_tracker.hpp"

#include <deque>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace dandelioncrank::pool {

/// Minimum interval between two proposals of the same kind. That it has passed
/// does not tell that the first one is not committed.
constexpr duration proposal_interval = std::chrono::milliseconds(400);

/// Manages the calls to, and the runs of, one incarnation of one worker.
class pool_owner::worker_session
{
  public:
    worker_session(const pool_state& state, const owner_timing& timing,
                   fencing_tokens& tokens, const proposal_tracker& proposals,
                   worker_name worker, std::int64_t incarnation, instant now,
                   bool is_inherited, duration clock_wait);
    /// Limits the leases that earlier owners may have granted to those that
    /// last until then at most.
    void limit_inherited_lease(instant end)
    {
        settled_lease_end_ = std::min(settled_lease_end_, end);
    }

    [[nodiscard]] const worker_name& worker() const { return worker_; }
    [[nodiscard]] std::int64_t incarnation() const { return incarnation_; }
    [[nodiscard]] const std::string& address() const { return info().address_; }

    /// Updates the runs to match the state.
    void sync_with_state(instant now);
    /// Returns whether a call is due now, or starts that have waited for the
    /// worker's clock.
    bool record_announcement(std::int64_t clock_ms, instant now);
    void handle_result(std::uint64_t call, const call_result& result,
                       instant now, owner_output& out);
    /// Sends all calls that are due.
    void advance(instant now, std::uint64_t& next_call, owner_output& out);
    /// Requests a stop of a run that is preempted, stalled or moved. Returns
    /// false if a stop was requested before or the run is unknown.
    bool request_stop(const run_ref& run);
    /// Records a failure of a job on this worker, once per job.
    void record_failure(const job_id& job, instant now);
    void clear_failures();
    /// Prepares for the shutdown of the worker: stops its runs and records
    /// their outcomes before the incarnation ends.
    void retire(instant now);
    /// Whether a retiring worker has had its time to report outcomes.
    [[nodiscard]] bool may_leave(instant now) const
    {
        return retire_deadline_ && now >= *retire_deadline_;
    }

    [[nodiscard]] bool is_usable(instant now) const;
    [[nodiscard]] int failure_count() const;
    void add_run_observations(planner_input& input) const;
    /// Adds what the listings show of the runs that may exist.
    void add_progress(std::vector<progress_report>& reports, instant now) const;
    /// Returns the runs under way that the state does not hold. Their tasks do
    /// not start until these have ended.
    [[nodiscard]] std::set<run_ref> stray_runs(instant now) const
    {
        return now > lease_end() ? std::set<run_ref>() : listed_unknown_;
    }
    /// Returns, once each, runs that the worker has confirmed while nothing in
    /// the state showed that their job had started.
    [[nodiscard]] std::vector<run_ref> take_confirmed_starts()
    {
        return std::exchange(confirmed_starts_, {});
    }
    /// Returns, once each, what listings have told of runs.
    [[nodiscard]] std::vector<run_sighting> take_sightings()
    {
        return std::exchange(sightings_, {});
    }
    /// Whether nothing may start on the worker, by the zone that it is in.
    [[nodiscard]] bool is_evacuated() const;
    /// Returns, once each, the members of gangs that were withheld since the
    /// worker is evacuated.
    [[nodiscard]] std::vector<run_ref> take_withheld_gang_runs()
    {
        return std::exchange(withheld_gang_runs_, {});
    }
    [[nodiscard]] std::vector<std::uint64_t> open_calls() const;
    /// Whether an open call may change what an incarnation runs or reports,
    /// also one that it was not sent to.
    [[nodiscard]] bool has_open_effects() const;
    /// Returns the end of this incarnation, with the checkpoints seen.
    [[nodiscard]] end_incarnation
    incarnation_end(incarnation_end_cause cause) const;
    [[nodiscard]] bool is_out_of_contact() const { return lost_calls_ > 0; }
    /// Describes the loss of this worker, which is now at the latest.
    [[nodiscard]] lost_worker describe_loss(instant now) const;
    /// Records that another incarnation answers under the worker's name, or,
    /// without a successor, that another worker answers at its address. This
    /// incarnation ends once none of its runs can exist any more. The evidence
    /// is for the log.
    void replace(std::optional<std::int64_t> successor,
                 const std::string& evidence, instant now);
    /// Records that another incarnation answers under the worker's name, with
    /// its listing and the token of the call.
    void handle_successor(const call_answer& listing, std::uint64_t token,
                          instant now, owner_output& out);
    [[nodiscard]] bool is_replaced() const { return is_replaced_; }
    /// Logs once what is lost with this incarnation, and why.
    void report_loss(const loss_verdict& verdict, owner_output& out);
    [[nodiscard]] const std::optional<loss_verdict>& verdict() const
    {
        return verdict_;
    }

  private:
    enum class run_phase
    {
        /// Possibly started by an earlier owner; the worker will report it.
        inherited,
        unsent,
        /// Start call sent, not answered yet.
        unconfirmed,
        confirmed,
        /// Has certainly ended, or will never start.
        over
    };

    struct run_entry
    {
        run_phase phase_ = run_phase::unsent;
        bool stop_requested_ = false;
        /// An unanswered start call may still reach the worker.
        bool may_arrive_late_ = false;
        /// Number of start calls of this owner without an answer, and the
        /// highest token of these.
        int unanswered_starts_ = 0;
        std::uint64_t unanswered_token_ = 0;
        /// This incarnation has listed it. An answer to a start call does not
        /// tell which incarnation has taken it.
        bool was_listed_ = false;
        /// The listing of the incarnation that has replaced this one rules it
        /// out there.
        bool is_absent_ = false;
        /// When the worker confirmed that it will not start the run any more.
        std::optional<instant> blocked_at_;
        /// When its task was first seen to be done.
        std::optional<instant> done_at_;
        std::optional<std::uint64_t> call_id_;
        /// The proposal that holds its end, and when it was made. While that is
        /// undecided, the run must not start.
        std::optional<std::uint64_t> end_proposal_;
        instant end_proposed_at_{};
        run_outcome proposed_outcome_ = run_outcome::lost;
        bool is_withheld_ = false;
        instant next_attempt_at_{};
        instant started_at_{};
        /// When its worker first confirmed to this owner that it is under way.
        std::optional<instant> confirmed_at_;
        int progress_percent_ = 0;
        /// Last reported checkpoint; it outlives the worker.
        std::string checkpoint_;
        /// When it was last reported.
        instant reported_at_{};
    };

    struct open_call
    {
        std::variant<start_call, stop_call, hold_call> operation_;
        std::string address_;
        instant sent_at_{};
        std::uint64_t token_ = 0;
        /// Latest end of the lease that it grants; the epoch if it grants none.
        instant lease_end_{};
    };

    void advance_run(const run_ref& run, run_entry& entry, instant now,
                     std::uint64_t& next_call, owner_output& out);
    /// Ends a run that has not begun if the worker is evacuated.
    void withhold_if_evacuated(const run_ref& run, run_entry& entry,
                               owner_output& out);
    void advance_hold(instant now, std::uint64_t& next_call, owner_output& out);
    /// Asks a new incarnation for the runs that it may have taken.
    void advance_successor_hold(instant now, std::uint64_t& next_call,
                                owner_output& out);
    void propose_lapsed_run_ends(instant now, owner_output& out);
    /// Proposes that the worker is out of contact, or in contact again.
    void propose_contact(instant now, owner_output& out);
    [[nodiscard]] bool is_contact_undecided() const;
    /// Whether the state says, or may come to say, that the worker is out of
    /// contact. No lease may be granted then.
    [[nodiscard]] bool may_be_recorded_lost() const;
    /// Ends the incarnation of a retiring worker once nothing runs there.
    void propose_incarnation_end(instant now, owner_output& out);
    [[nodiscard]] bool may_propose_incarnation_end(instant now) const;
    std::uint64_t send(std::variant<start_call, stop_call, hold_call> what,
                       duration timeout, instant now, std::uint64_t& next_call,
                       owner_output& out, instant lease_end = {});
    /// Takes note of whether a call that has its result may have granted its
    /// lease.
    void settle_lease(const open_call& call, const call_result& result);
    void handle_lost_call(const open_call& call, const call_lost& lost,
                          instant now, owner_output& out);
    /// Sends a call again that a later one of this owner has overtaken.
    void repeat_overtaken(const open_call& call, instant now);
    /// Whether lost calls show that the process of a retiring worker is gone.
    [[nodiscard]] bool shows_departure(const call_lost& lost) const;
    void handle_start_answer(const start_call& call, const call_answer& answer,
                             instant now, owner_output& out);
    void handle_stop_result(const stop_call& call, const call_answer& answer,
                            instant now);
    void handle_stop_answer(const stop_call& call, instant now);
    [[nodiscard]] static bool has_effect(const open_call& call);
    void handle_hold_answer(const hold_call& call, const call_answer& answer,
                            std::uint64_t token, instant sent_at, instant now,
                            owner_output& out);
    /// Logs the first of several refused hold calls, and the first one that is
    /// not refused any more.
    void report_refusal(call_verdict verdict, instant now, owner_output& out);
    void reconcile(const call_answer& answer, std::uint64_t token,
                   instant sent_at, instant now, owner_output& out);
    /// Stops runs that are listed and not in the state. Unless the listing is
    /// newer than those before and whole, it shows no end of others.
    void update_stray_runs(std::set<run_ref> runs, bool replaces, instant now,
                           owner_output& out);
    /// Handles the listing of the incarnation that has replaced this one.
    void handle_successor_listing(const call_answer& answer,
                                  std::uint64_t token, instant now,
                                  owner_output& out);
    /// Whether the run may be under way at the worker.
    [[nodiscard]] static bool may_exist(const run_entry& entry);
    /// Whether the next incarnation of the worker may have taken the run, or
    /// may still do so.
    [[nodiscard]] bool may_outlive(const run_ref& run,
                                   const run_entry& entry) const;
    /// Ends a replaced incarnation once all of its runs are over.
    void propose_replaced_end(instant now, owner_output& out);
    void propose_run_end(const run_ref& run, run_entry& entry,
                         run_outcome outcome, instant now, owner_output& out);
    /// Whether an end of the run is proposed that may still be committed.
    [[nodiscard]] bool is_end_undecided(const run_entry& entry) const;
    /// Whether an end of the run may be proposed now.
    [[nodiscard]] bool may_propose_end(const run_entry& entry,
                                       instant now) const;
    /// Whether a whole listing without the run, requested with a token, shows
    /// that the starts which the worker has left unanswered are void.
    [[nodiscard]] static bool is_start_void(const run_entry& entry,
                                            std::uint64_t token);
    /// Gives a run up whose starts are void, and its worker no new work for a
    /// while.
    void give_up_start(const run_ref& run, run_entry& entry, instant now,
                       owner_output& out);
    /// Logs once that a run is not started since its end is undecided.
    void report_withheld(const run_ref& run, run_entry& entry, instant now,
                         owner_output& out);
    void note_confirmed(const run_ref& run);
    /// Notes the run time of a run that was in sight from its start on.
    void note_end(const run_ref& run, instant now);
    /// How long a run has certainly been under way.
    [[nodiscard]] duration age_of(const run_entry& entry) const;
    /// Whether starts cannot exceed a capacity that has changed meanwhile.
    [[nodiscard]] bool is_capacity_known(instant now) const;
    /// Whether the state holds all runs that may be under way there.
    [[nodiscard]] bool knows_all_runs(instant now) const;
    /// Whether a restart or the end of a run must be noticed soon on a worker
    /// without runs in the state.
    [[nodiscard]] bool is_watched(instant now) const;
    /// Whether its listings have been whole and not refused, or not for long.
    [[nodiscard]] bool can_list_runs(instant now) const;
    [[nodiscard]] std::int64_t clock_at(instant now) const;
    /// The end of a lease from now on, by the worker's clock.
    [[nodiscard]] std::int64_t lease_until(instant now, duration lease) const;
    /// Latest end of such a lease, by this host's clock.
    [[nodiscard]] static instant latest_lease_end(instant now, duration lease);
    /// Latest end of any lease of this worker, by this host's clock.
    [[nodiscard]] instant lease_end() const;
    /// Time after which any lease of the worker has ended by this host's clock.
    [[nodiscard]] duration longest_lease_time() const;
    [[nodiscard]] const worker_info& info() const;

    const pool_state& state_;
    const owner_timing& timing_;
    fencing_tokens& tokens_;
    const proposal_tracker& proposals_;
    worker_name worker_;
    std::int64_t incarnation_;
    instant opened_at_;
    /// When to ask the worker for its clock if it has not reported it.
    instant clock_request_at_;
    std::optional<std::int64_t> clock_ms_;
    instant clock_read_at_{};
    /// When its capacity was last announced to this owner.
    std::optional<instant> announced_at_;
    /// Latest end of the leases that the worker may hold from calls that are
    /// not open any more.
    instant settled_lease_end_{};
    /// A call without an answer may have granted a lease, and the worker has
    /// not accepted a call since.
    bool is_lease_uncertain_ = false;
    instant last_contact_at_{};
    /// Number of calls lost since the last answer.
    int lost_calls_ = 0;
    /// When the first of these was lost, and whether by a closed connection.
    instant contact_lost_at_{};
    bool was_closed_ = false;
    /// Whether it has listed its runs in full since it was last out of contact.
    bool has_listed_ = false;
    /// Whether it has ever done so for this owner.
    bool was_listed_once_ = false;
    /// The proposals on that which may be undecided, oldest first.
    std::vector<std::uint64_t> contact_proposals_;
    /// What the last of them says.
    bool is_proposed_lost_ = false;
    instant next_contact_proposal_{};
    /// Since when the worker has refused hold calls, while it does.
    std::optional<instant> refusing_since_;
    /// Why its incarnation ended, once that was judged.
    std::optional<loss_verdict> verdict_;
    /// A later owner has called the worker. After a restart the worker has
    /// forgotten that, but this owner must not start anything there any more.
    bool is_fenced_ = false;
    bool is_replaced_ = false;
    /// How that was noticed.
    std::string replaced_evidence_;
    /// The incarnation that answers under the worker's name now, and the lowest
    /// token that no call from before that had.
    std::optional<std::int64_t> successor_;
    std::uint64_t successor_token_ = 0;
    /// Whether its last listing shows only runs of this one, and no call from
    /// before can add to it.
    bool is_successor_clean_ = false;
    /// Nothing starts before the first listing: the worker may have carried out
    /// calls that were sent to its earlier incarnations.
    bool awaits_listing_ = false;
    instant backoff_until_{};
    std::set<job_id> failed_jobs_;
    instant last_failure_at_{};
    std::map<run_ref, run_entry> runs_;
    /// Runs that the state does not hold and that are to be stopped, with the
    /// time of the next attempt.
    std::map<run_ref, instant> unknown_runs_;
    /// Those of the last listing, also of the incarnation that has replaced
    /// this one.
    std::set<run_ref> listed_unknown_;
    /// When such a run was listed last.
    instant unknown_listed_at_{};
    std::vector<run_ref> confirmed_starts_;
    std::vector<run_sighting> sightings_;
    std::vector<run_ref> withheld_gang_runs_;
    std::uint64_t runs_revision_ = 0;
    std::map<std::uint64_t, open_call> calls_;
    std::optional<std::uint64_t> hold_call_id_;
    bool hold_requested_ = false;
    /// Runs have lapsed whose outcomes the worker may still report.
    bool has_unread_outcomes_ = false;
    /// Since when listings are not complete.
    std::optional<instant> incomplete_since_;
    instant next_hold_at_{};
    std::uint64_t acked_cursor_ = 0;
    /// Set while the worker retires: until when it is to report outcomes.
    std::optional<instant> retire_deadline_;
    /// When the worker closed the connection of a call in order, if it has not
    /// answered since.
    std::optional<instant> closed_at_;
    /// The process of the retiring worker is gone.
    bool has_left_ = false;
    std::optional<std::uint64_t> incarnation_end_proposal_;
    instant next_incarnation_end_{};
    /// Last outcome proposed to the log, and when.
    std::uint64_t proposed_cursor_ = 0;
    instant proposed_at_{};
};

} // namespace dandelioncrank::pool
