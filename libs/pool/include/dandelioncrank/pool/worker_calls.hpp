#pragma once

#include "dandelioncrank/pool/job_model.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dandelioncrank::pool {

/// Starts a run; the same order again changes nothing.
struct start_call
{
    run_ref run_;
    std::string payload_;
    /// Saved progress to resume from; empty for none.
    std::string checkpoint_;
    /// End of the lease, in milliseconds of the worker's clock.
    std::int64_t lease_until_ms_ = 0;
};

/// Ends a run, and bars it if it has not arrived yet.
struct stop_call
{
    run_ref run_;
};

/// Asks what runs and what has ended; renews the lease if told so.
struct hold_call
{
    /// Ends up to this one are committed; the worker may forget them.
    std::uint64_t outcome_cursor_ = 0;
    std::optional<std::int64_t> lease_until_ms_;
    /// How long the worker may wait for an end before it answers.
    duration wait_{};
};

/// One call to one life of a worker.
struct worker_call
{
    std::uint64_t id_ = 0;
    worker_name worker_;
    std::int64_t incarnation_ = 0;
    std::string address_;
    /// Term of the owner; workers ignore owners of lower terms.
    std::uint64_t fencing_token_ = 0;
    std::variant<start_call, stop_call, hold_call> operation_;
    /// When the caller gives up waiting for the answer.
    duration timeout_{};
};

/// What a worker said to a call.
enum class call_verdict
{
    done,
    /// A later owner has called this worker.
    fenced,
    /// The run, or a later one, has ended or was stopped there.
    outdated,
    /// The lease in the order was over when it was carried out.
    lease_expired,
    no_capacity,
    /// It refuses work at the moment.
    unhealthy,
    /// It could not use the order.
    malformed,
    /// Another life answers at this address.
    other_incarnation
};

[[nodiscard]] std::string to_text(call_verdict value);

/// A run as the worker lists it.
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
    /// Reading of the worker's clock, if it gave one.
    std::optional<std::int64_t> clock_ms_;
    /// Life that answered; 0 if it was not said.
    std::int64_t incarnation_ = 0;
    /// Of a hold only.
    std::vector<reported_run> running_;
    std::vector<reported_outcome> ended_;
};

/// No answer came.
struct call_lost
{
    /// No byte of it left this host, so it was not carried out.
    bool certainly_not_sent_ = false;
};

using call_result = std::variant<call_answer, call_lost>;

} // namespace dandelioncrank::pool
