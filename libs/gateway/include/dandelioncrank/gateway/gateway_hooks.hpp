#pragma once

#include "dandelioncrank/routing/routing_events.hpp"
#include "dandelioncrank/state/state_commands.hpp"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace dandelioncrank {

/// Slot request as sent to a dispatcher. The id is unique for each attempt.
struct slot_request_message
{
    slot_request_id id_;
    service_name service_;
    team_name team_;
    std::string route_;
    /// Time left until the caller's deadline.
    duration time_left_{};
    int attempt_ = 1;
    std::vector<endpoint_name> excluded_endpoints_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(id_, service_, team_, route_, time_left_, attempt_,
                excluded_endpoints_);
    }
};

using slot_decision = std::variant<slot_granted, slot_refused>;

/// Recorded outcome of a request.
struct outcome_record
{
    request_id id_;
    request_outcome request_outcome_ = request_outcome::unknown;
    int status_ = 0;
    std::string reason_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(id_, request_outcome_, status_, reason_);
    }
};

/// Measurements of one finished request.
struct request_metrics
{
    request_outcome request_outcome_ = request_outcome::unknown;
    std::string reason_;
    duration total_{};
    duration queued_{};
};

/// Functions that the gateway's threads call in the rest of the daemon. All
/// may be called from any thread; results are delivered in the thread that the
/// given post function posts to.
struct gateway_hooks
{
    using post = std::function<void(std::function<void()>)>;

    std::function<void(slot_request_message, post,
                       std::function<void(slot_decision)>)>
        request_slot_;
    std::function<void(slot_request_id, service_name)> withdraw_;
    std::function<void(slot_returned, service_name)> return_slot_;

    /// The result is empty if no quorum was reached in time.
    std::function<void(acquire_claim, duration, post,
                       std::function<void(std::optional<claim_result>)>)>
        claim_;
    std::function<void(settle_claim)> settle_;
    std::function<void(outcome_record, request_metrics)> record_outcome_;
    std::function<void(request_id, post,
                       std::function<void(std::optional<outcome_record>)>)>
        find_outcome_;
};

} // namespace dandelioncrank
