#pragma once

#include "dandelioncrank/pool/job_model.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dandelioncrank::pool {

/// Starts a run; idempotent.
struct start_call
{
    run_ref run_;
    std::string payload_;
    /// Checkpoint to resume from; empty if none.
    std::string checkpoint_;
    /// End of the lease, in milliseconds by the worker's clock.
    std::int64_t lease_until_ms_ = 0;
};

/// Stops a run, and blocks it if its start call has not arrived yet.
struct stop_call
{
    run_ref run_;
};

/// Long poll for the running and ended runs; may also renew the lease.
struct hold_call
{
    /// Outcomes up to this one are committed; the worker may discard them.
    std::uint64_t outcome_cursor_ = 0;
    std::optional<std::int64_t> lease_until_ms_;
    /// How long the worker may wait for an outcome before it answers.
    duration wait_{};
};

/// One call to one incarnation of a worker.
struct worker_call
{
    std::uint64_t id_ = 0;
    worker_name worker_;
    std::int64_t incarnation_ = 0;
    std::string address_;
    /// Workers do nothing for a token below the highest that they have seen.
    std::uint64_t fencing_token_ = 0;
    std::variant<start_call, stop_call, hold_call> operation_;
    /// How long the caller waits for the answer.
    duration timeout_{};
};

/// A worker's answer to a call.
enum class call_verdict
{
    done,
    /// The worker has received a call with a higher token.
    fenced,
    /// This run or a later one of its task has ended or was stopped there.
    outdated,
    /// The lease in the call had expired when the worker handled it.
    lease_expired,
    no_capacity,
    /// The worker currently refuses work.
    unhealthy,
    /// The worker could not interpret the call.
    malformed,
    /// Another incarnation answers at this address.
    other_incarnation
};

[[nodiscard]] std::string to_text(call_verdict value);

/// A run reported as running by its worker.
struct reported_run
{
    run_ref run_;
    std::string checkpoint_;
    /// Progress, 0 to 100.
    int progress_percent_ = 0;
};

struct call_answer
{
    call_verdict verdict_ = call_verdict::done;
    /// The worker's clock, if reported.
    std::optional<std::int64_t> clock_ms_;
    /// Incarnation that answered; 0 if not reported.
    std::int64_t incarnation_ = 0;
    /// Hold calls only.
    std::vector<reported_run> running_;
    std::vector<reported_outcome> ended_;
    /// Whether the lists hold all runs and outcomes of the worker.
    bool is_complete_ = true;
};

/// No answer was received.
struct call_lost
{
    /// No byte of the call left this host, so the worker cannot have seen it.
    bool certainly_not_sent_ = false;
    /// The connection was closed or refused; otherwise there was silence.
    bool was_closed_ = false;
    /// The worker's host has refused the connection: no process listens there.
    bool was_refused_ = false;
    /// The worker's host has closed the connection in order, which a link that
    /// resets connections does not.
    bool was_closed_in_order_ = false;
};

using call_result = std::variant<call_answer, call_lost>;

} // namespace dandelioncrank::pool
