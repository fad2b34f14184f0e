#pragma once

#include "dandelioncrank/gateway/routing_table.hpp"
#include "dandelioncrank/http/http_message.hpp"
#include "dandelioncrank/routing/request_outcome.hpp"

#include <optional>
#include <string>
#include <variant>

namespace dandelioncrank {

/// Parsed request of a caller.
struct caller_request
{
    request_id id_;
    service_name service_;
    team_name team_;
    /// HTTP method and first path segment, which classify requests by run time.
    std::string route_;
    bool repeatable_ = false;
    /// Prefixed with the service name; empty if the caller sent none.
    std::string idempotency_key_;
    /// Hash of method, target and body.
    std::uint64_t digest_ = 0;
    duration deadline_{};
    /// Request for the endpoint; the remaining deadline is set per attempt.
    http_request forwarded_;
};

/// Request that was refused before it left this host.
struct request_refused
{
    request_id id_;
    refusal_reason reason_ = refusal_reason::bad_request;
    std::string detail_;
};

using caller_request_result = std::variant<caller_request, request_refused>;

/// Parses a request to /services/NAME/REST and checks it against the routing
/// table.
[[nodiscard]] caller_request_result
parse_caller_request(const http_request& request, const routing_table& table,
                     const std::string& generated_id);

/// Returns the id if the target has the form /requests/ID.
[[nodiscard]] std::optional<request_id>
parse_outcome_target(const std::string& target);

/// Creates the response to a request that did not run.
[[nodiscard]] http_response refusal_response(const request_id& id,
                                             refusal_reason reason,
                                             const std::string& detail,
                                             duration retry_after);

/// Sets the headers X-Request-Id and X-Fate of a response.
void set_outcome_headers(http_response& response, const request_id& id,
                         request_outcome value);

/// Removes headers that apply to a single connection only.
void remove_hop_by_hop_headers(header_list& headers);

} // namespace dandelioncrank
