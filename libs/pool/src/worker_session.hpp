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
                   worker_name worker, std::int64_t life, std::uint64_t term,
                   instant now, bool is_inherited, duration clock_wait);

    [[nodiscard]] const worker_name& worker() const { return worker_; }
    [[nodiscard]] std::int64_t life() const { return life_; }

    /// Takes over which runs the state holds for this worker.
    void follow_state(instant now);
    void hear(std::int64_t clock_ms, instant now);
    void take_result(std::uint64_t call, const call_result& result, instant now,
                     owner_output& out);
    /// Whether something has happened since the last advance().
    [[nodiscard]] bool has_news() const;
    /// Sends what is due.
    void advance(instant now, std::uint64_t& next_call, owner_output& out);
    /// Stops a run that gives way to another.
    void request_stop(const run_ref& run);
    /// Counts evidence against the worker, once for each job.
    void note_trouble(const job_id& job, instant now);
    void note_success();
    /// The worker is about to end: what runs there is stopped and its ends
    /// are noted before its life is.
    void retire(instant now);

    [[nodiscard]] bool is_usable(instant now) const;
    [[nodiscard]] int trouble() const;
    void describe_runs(planner_view& view) const;
    /// Runs that report no progress though they should.
    [[nodiscard]] std::vector<run_ref> stalled(instant now) const;
    [[nodiscard]] std::vector<std::uint64_t> open_calls() const;
    /// The end of this life, with the progress that was seen in it.
    [[nodiscard]] end_life end_of_life() const;

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
        std::optional<instant> barred_at_;
        /// When its gang was seen to be complete.
        std::optional<instant> done_at_;
        std::optional<std::uint64_t> call_;
        instant next_try_{};
        instant started_at_{};
        int percent_ = 0;
        /// Progress as last listed; it outlives the worker.
        std::string saved_;
        /// When it was last listed, and when its progress last rose.
        instant listed_at_{};
        instant progress_at_{};
    };

    struct open_call
    {
        std::variant<start_call, stop_call, hold_call> what_;
        instant sent_at_{};
    };

    void advance_run(const run_ref& run, run_entry& entry, instant now,
                     std::uint64_t& next_call, owner_output& out);
    void advance_hold(instant now, std::uint64_t& next_call, owner_output& out);
    void conclude_lapsed(instant now, owner_output& out);
    /// Ends the life of a worker that retires once nothing runs there.
    void conclude_life(instant now, owner_output& out);
    std::uint64_t send(std::variant<start_call, stop_call, hold_call> what,
                       duration limit, instant now, std::uint64_t& next_call,
                       owner_output& out);
    void take_lost(const open_call& call, bool not_sent, instant now);
    void take_start(const start_call& call, const call_answer& answer,
                    instant now, owner_output& out);
    void take_stop(const stop_call& call, instant now);
    void take_hold(const hold_call& call, const call_answer& answer,
                   instant sent_at, instant now, owner_output& out);
    void compare(const call_answer& answer, instant sent_at, instant now,
                 owner_output& out);
    void conclude(const run_ref& run, run_end end, owner_output& out);
    [[nodiscard]] std::int64_t clock_at(instant now) const;
    [[nodiscard]] std::int64_t grant_lease(instant now);
    [[nodiscard]] const worker_info& info() const;

    const pool_state& state_;
    const owner_timing& timing_;
    worker_name worker_;
    std::int64_t life_;
    std::uint64_t term_;
    /// Without its clock until then, the worker is asked for it.
    instant asks_clock_at_;
    std::optional<std::int64_t> clock_ms_;
    instant clock_read_at_{};
    /// No lease of this worker lasts longer, by this host's clock.
    instant lease_end_{};
    instant heard_at_{};
    /// Calls lost since the last answer.
    int lost_calls_ = 0;
    instant avoid_until_{};
    std::set<job_id> troubled_jobs_;
    instant trouble_at_{};
    std::map<run_ref, run_entry> runs_;
    std::set<run_ref> strays_;
    std::uint64_t runs_revision_ = 0;
    bool has_result_ = true;
    std::map<std::uint64_t, open_call> calls_;
    std::optional<std::uint64_t> hold_;
    bool hold_again_ = false;
    instant next_hold_{};
    std::uint64_t cursor_told_ = 0;
    /// Set while the worker retires: its life ends then at the latest.
    std::optional<instant> retire_until_;
    /// It takes no calls any more.
    bool is_gone_ = false;
    instant next_life_end_{};
    /// Last end that was proposed, and when.
    std::uint64_t proposed_ends_ = 0;
    instant proposed_at_{};
};

} // namespace dandelioncrank::pool
