#include "dandelioncrank/routing/request_outcome.hpp"

namespace dandelioncrank {

std::string to_text(request_outcome value)
{
    switch (value) {
    case request_outcome::completed:
        return "completed";
    case request_outcome::not_run:
        return "not-run";
    case request_outcome::unknown:
        break;
    }
    return "unknown";
}

std::string to_text(refusal_reason value)
{
    switch (value) {
    case refusal_reason::unknown_service:
        return "unknown-service";
    case refusal_reason::no_endpoint:
        return "no-endpoint";
    case refusal_reason::dependency_down:
        return "dependency-down";
    case refusal_reason::queue_full:
        return "queue-full";
    case refusal_reason::team_queue_full:
        return "team-queue-full";
    case refusal_reason::would_miss_deadline:
        return "would-miss-deadline";
    case refusal_reason::deadline_passed:
        return "deadline-passed";
    case refusal_reason::retry_budget_spent:
        return "retry-budget-spent";
    case refusal_reason::wrong_zone:
        return "wrong-zone";
    case refusal_reason::stopping:
        return "stopping";
    case refusal_reason::no_quorum:
        return "no-quorum";
    case refusal_reason::endpoint_refused:
        return "endpoint-refused";
    case refusal_reason::bad_request:
        return "bad-request";
    case refusal_reason::dispatcher_unreachable:
        break;
    }
    return "dispatcher-unreachable";
}

int status_of(refusal_reason value)
{
    switch (value) {
    case refusal_reason::unknown_service:
        return 404;
    case refusal_reason::wrong_zone:
        return 421;
    case refusal_reason::bad_request:
        return 400;
    case refusal_reason::queue_full:
    case refusal_reason::team_queue_full:
        return 429;
    case refusal_reason::deadline_passed:
        return 504;
    default:
        return 503;
    }
}

} // namespace dandelioncrank
