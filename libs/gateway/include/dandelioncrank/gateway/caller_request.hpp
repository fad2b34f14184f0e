#pragma once

#include "dandelioncrank/gateway/routing_table.hpp"
#include "dandelioncrank/http/http_message.hpp"
#include "dandelioncrank/routing/request_outcome.hpp"

#include <optional>
#include <string>
#include <variant>

namespace dandelioncrank {

/// A caller's request, understood.
struct caller_request
{
    request_id id_;
    service_name service_;
    team_name team_;
    /// Part of the target that tells kinds of work apart.
    std::string route_;
    bool repeatable_ = false;
    /// Empty if the caller gave none.
    std::string idempotency_key_;
    /// Hash of method, target and body.
    std::uint64_t digest_ = 0;
    duration deadline_{};
    /// As it goes to the endpoint, but for the deadline that is left.
    http_request forwarded_;
};

/// A request that cannot be served, and never left this host.
struct request_refused
{
    request_id id_;
    refusal_reason reason_ = refusal_reason::bad_request;
    std::string detail_;
};

using caller_request_result = std::variant<caller_request, request_refused>;

/// Reads a request to /services/NAME/REST against the table.
[[nodiscard]] caller_request_result
parse_caller_request(const http_request& request, const routing_table& table,
                     const std::string& generated_id);

/// Id in a target of the form /requests/ID.
[[nodiscard]] std::optional<request_id>
parse_outcome_target(const std::string& target);

/// Answer to a request that did not run.
[[nodiscard]] http_response refusal_response(const request_id& id,
                                             refusal_reason reason,
                                             const std::string& detail,
                                             duration retry_after);

/// Adds the request's id and fate to an answer.
void set_outcome_headers(http_response& response, const request_id& id,
                         request_outcome value);

/// Removes headers that concern one connection only.
void remove_hop_by_hop_headers(header_list& headers);

} // namespace dandelioncrank
