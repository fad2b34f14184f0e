#pragma once

#include "dandelioncrank/pool/worker_calls.hpp"

#include <map>
#include <vector>

namespace dandelioncrank::pool {

/// A worker in virtual time that follows the worker specification: it may
/// enforce its capacity, obeys the highest fencing token, ends all runs when
/// its lease expires, and refuses runs that were stopped or have ended there.
/// It cannot tell calls that were meant for an earlier incarnation with its
/// name, and only its answers to hold calls name its incarnation.
class fake_worker
{
  public:
    struct active_run
    {
        run_ref run_;
        step_spec spec_;
        instant started_at_{};
        instant ends_at_{};
        run_outcome outcome_ = run_outcome::done;
        bool is_stopping_ = false;
    };

    fake_worker(worker_info info, instant now);

    /// Executes a call and returns the answer that the caller would get.
    call_answer execute(const worker_call& call, const step_spec& spec,
                        duration run_time, bool fails, instant now);
    /// Answers the hold call by which an owner has an announcement confirmed.
    call_answer confirm(std::uint64_t fencing_token, instant now);
    /// Advances the time: ends runs that are due or whose lease has expired.
    void advance(instant now);
    /// Drops all state and begins a new incarnation.
    void restart(instant now);

    [[nodiscard]] std::int64_t clock_ms(instant now) const;

    worker_info info_;
    /// Rejects starts beyond its capacity.
    bool guards_capacity_ = true;
    std::map<run_ref, active_run> running_;
    std::vector<reported_outcome> ended_;
    std::map<task_ref, std::uint32_t> blocked_;
    std::uint64_t token_ = 0;
    std::uint64_t next_end_ = 1;
    std::int64_t lease_until_ms_ = 0;
    instant started_at_{};

  private:
    void finish(const run_ref& run, run_outcome outcome);
    call_answer start(const start_call& request, const step_spec& spec,
                      duration run_time, bool fails, instant now);
    void extend_lease(std::int64_t until_ms, instant now);
};

} // namespace dandelioncrank::pool
