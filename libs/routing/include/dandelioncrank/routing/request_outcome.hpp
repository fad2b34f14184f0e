#pragma once

#include "dandelioncrank/core/time.hpp"

#include <string>

namespace dandelioncrank {

/// Result of a request as reported to the caller (X-Fate header).
enum class request_outcome
{
    /// The caller was given the complete response of the endpoint.
    completed,
    /// The request certainly did not run: no byte was sent, or the endpoint
    /// reported that it refused the request.
    not_run,
    /// Bytes were sent, but no complete response was received.
    unknown
};

[[nodiscard]] std::string to_text(request_outcome value);

/// Reason why a request was not run.
enum class refusal_reason
{
    unknown_service,
    no_endpoint,
    dependency_down,
    queue_full,
    team_queue_full,
    would_miss_deadline,
    deadline_passed,
    retry_budget_spent,
    wrong_zone,
    stopping,
    no_quorum,
    endpoint_refused,
    bad_request,
    dispatcher_unreachable
};

[[nodiscard]] std::string to_text(refusal_reason value);

/// Returns the HTTP status code for a refusal.
[[nodiscard]] int status_of(refusal_reason value);

} // namespace dandelioncrank
