#pragma once

#include "dandelioncrank/pool/placement_planner.hpp"
#include "dandelioncrank/pool/pool_state.hpp"
#include "dandelioncrank/pool/worker_calls.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dandelioncrank::pool {

/// Times by which the owner of a pool acts.
struct owner_timing
{
    /// Length of the lease that each renewal grants.
    duration lease_ = std::chrono::milliseconds(5500);
    /// Longest lease that a worker accepts from any owner.
    duration longest_lease_ = std::chrono::milliseconds(6000);
    /// Longest wait of a hold at the worker.
    duration hold_wait_ = std::chrono::milliseconds(2000);
    /// Wait for the answer to an order.
    duration call_timeout_ = std::chrono::milliseconds(400);
    /// Pause before an order without an answer is sent again.
    duration retry_delay_ = std::chrono::milliseconds(100);
    /// A worker that has not been heard for so long gets no new work.
    duration silence_timeout_ = std::chrono::milliseconds(4000);
    /// A worker that failed several jobs gets no new work for so long.
    duration quarantine_ = std::chrono::milliseconds(5000);
    /// A run without progress for so long is taken to stand still.
    duration stall_timeout_ = std::chrono::milliseconds(4500);
};

/// A decision or change of belief, for the log.
struct owner_event
{
    std::string subject_;
    std::string message_;
};

/// What the host has to do for the owner.
struct owner_output
{
    std::vector<worker_call> calls_;
    /// Observations to be committed.
    pool_batch observations_;
    /// Starts to be committed; batch_settled() follows.
    pool_batch starts_;
    std::vector<owner_event> events_;
};

/// Owns a pool of workers during one term: decides what runs where, gives
/// the orders, renews the leases and notes the ends.
///
/// Pure: the time comes in with each call, results of calls come in as
/// events, and everything that must last goes through the log first. An order
/// leaves only for a run that the committed state holds.
class pool_owner
{
  public:
    pool_owner(const pool_state& state, owner_timing timing);
    ~pool_owner();

    /// Takes the pool over under a term. Runs that the state holds may have
    /// been ordered by an earlier owner.
    void begin(std::uint64_t term, instant now);
    /// Leadership is lost; nothing more is ordered.
    void end();
    [[nodiscard]] bool is_active() const { return term_ != 0; }

    /// A change of a worker has just been committed; call before the worker
    /// is heard. The rest follows with the next tick().
    void add_worker(const worker_name& worker, instant now);
    /// A worker has announced itself.
    void record_announcement(const worker_name& worker,
                             std::int64_t incarnation, std::int64_t clock_ms,
                             instant now);
    /// A worker is about to end. Its life is over in the state once the ends
    /// of what runs there are noted, or after a second; false if the owner
    /// does not deal with that life.
    bool retire_worker(const worker_name& worker, std::int64_t incarnation,
                       instant now);
    /// What goes to the log before a worker's announcement: the ends of the
    /// older lives of its name and address, with the progress seen in them.
    [[nodiscard]] std::vector<end_incarnation>
    superseded_incarnations(const worker_info& announced) const;
    void handle_result(std::uint64_t call, const call_result& result,
                       instant now);
    /// Call after each change of the state and before the next tick().
    void state_changed();
    /// The starts of the last output are committed, or have failed.
    void starts_resolved();
    void tick(instant now, std::int64_t wall_ms);

    [[nodiscard]] owner_output take_output();

  private:
    class worker_session;

    /// A step that waits, and what was last told of it.
    struct wait_entry
    {
        instant since_{};
        wait_reason logged_reason_{};
        std::optional<instant> logged_at_;
    };

    /// Whether the state still holds the life that a session deals with.
    [[nodiscard]] bool is_current(const worker_session& session) const;
    /// Opens and closes sessions as workers come and go.
    void sync_with_state();
    void open_session(const worker_name& worker, std::int64_t incarnation,
                      instant now, bool is_inherited);
    void close_session(const worker_session& session);
    void plan(instant now, std::int64_t wall_ms);
    [[nodiscard]] planner_input make_input(instant now, std::int64_t wall_ms);
    void detect_stalls(instant now);
    /// Keeps what waits; what waits for long is told of, and each change of
    /// its reason, once in a while.
    void update_waits(const std::map<step_key, wait_reason>& waits,
                      instant now);

    const pool_state& state_;
    owner_timing timing_;
    std::uint64_t term_ = 0;
    std::uint64_t next_call_ = 1;
    std::map<worker_name, std::unique_ptr<worker_session>> sessions_;
    std::map<std::uint64_t, worker_name> calls_;
    std::map<job_id, instant> accepted_at_;
    std::map<step_key, std::string> cleared_racks_;
    std::map<step_key, wait_entry> waits_;
    bool is_dirty_ = true;
    /// The workers of the state that the sessions stand for.
    std::optional<std::uint64_t> workers_revision_;
    instant now_{};
    instant swept_at_{};
    bool starts_pending_ = false;
    instant planned_at_{};
    owner_output output_;
};

} // namespace dandelioncrank::pool
