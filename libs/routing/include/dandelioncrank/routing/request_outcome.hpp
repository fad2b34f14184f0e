#pragma once

#include "dandelioncrank/core/time.hpp"

#include <string>

namespace dandelioncrank {

/// What became of a request.
enum class request_outcome
{
    /// The endpoint's whole answer was given to the caller.
    completed,
    /// Proved: no byte was sent, or the endpoint said that it refused.
    not_run,
    /// Bytes left, and no whole answer came back.
    unknown
};

[[nodiscard]] std::string to_text(request_outcome value);

/// Why a request was not run.
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

/// HTTP status that goes with a refusal.
[[nodiscard]] int status_of(refusal_reason value);

} // namespace dandelioncrank
