#pragma once

#include "dandelioncrank/routing/routing_events.hpp"
#include "dandelioncrank/state/state_commands.hpp"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace dandelioncrank {

/// Asks for a slot; the id is unique for this try.
struct slot_order
{
    ticket_id id_;
    service_name service_;
    team_name team_;
    std::string route_;
    /// Time left until the caller's deadline.
    duration left_{};
    int attempt_ = 1;
    std::vector<endpoint_name> avoid_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(id_, service_, team_, route_, left_, attempt_, avoid_);
    }
};

using slot_decision = std::variant<slot_granted, ticket_refused>;

/// What is known of a request's fate.
struct fate_record
{
    request_id id_;
    fate fate_ = fate::unknown;
    int status_ = 0;
    std::string reason_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(id_, fate_, status_, reason_);
    }
};

/// Numbers of one finished request, for metrics.
struct request_figures
{
    fate fate_ = fate::unknown;
    std::string reason_;
    duration total_{};
    duration queued_{};
};

/// What the gateway's threads ask of the rest of the daemon. All may be
/// called from any thread; answers come in the thread that the given post
/// function leads to.
struct gateway_hooks
{
    using post = std::function<void(std::function<void()>)>;

    std::function<void(slot_order, post, std::function<void(slot_decision)>)>
        order_slot_;
    std::function<void(ticket_id, service_name)> withdraw_;
    std::function<void(slot_returned, service_name)> return_slot_;
    /// Nothing if no quorum could be had in time.
    std::function<void(acquire_claim, duration, post,
                       std::function<void(std::optional<claim_result>)>)>
        claim_;
    std::function<void(settle_claim)> settle_;
    std::function<void(fate_record, request_figures)> record_fate_;
    std::function<void(request_id, post,
                       std::function<void(std::optional<fate_record>)>)>
        find_fate_;
};

} // namespace dandelioncrank
