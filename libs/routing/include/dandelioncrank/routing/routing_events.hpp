#pragma once

#include "dandelioncrank/core/name.hpp"
#include "dandelioncrank/core/time.hpp"
#include "dandelioncrank/routing/request_outcome.hpp"
#include "dandelioncrank/settings/settings_reader.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace dandelioncrank {

/// Identifies a slot request by its entry host and a number that is unique
/// there.
struct slot_request_id
{
    host_name host_;
    std::uint64_t number_ = 0;

    auto operator<=>(const slot_request_id&) const = default;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(host_, number_);
    }
};

/// Request for a slot on an endpoint of a service.
struct slot_request
{
    slot_request_id id_;
    service_name service_;
    team_name team_;
    /// HTTP method and first path segment, which classify requests by run time.
    std::string route_;
    instant deadline_;
    /// 1 for the first attempt, 2 for the first retry.
    int attempt_ = 1;
    /// Endpoints on which earlier attempts of this request failed.
    std::vector<endpoint_name> excluded_endpoints_;
};

/// Properties of an endpoint as it announces them.
struct endpoint_info
{
    endpoint_name name_;
    service_name service_;
    zone_name zone_;
    host_port address_;
    int slots_ = 8;
    int connections_ = 64;
    bool leaving_ = false;
    /// Validity of the announcement unless it is renewed.
    duration time_to_live_ = std::chrono::seconds(5);

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(name_, service_, zone_, address_, slots_, connections_,
                leaving_, time_to_live_);
    }
};

/// Result of the use of a slot.
enum class slot_outcome
{
    succeeded,
    /// The endpoint returned a server error or closed the connection early.
    failed,
    /// The caller's deadline passed first. Counts as a failure of the endpoint
    /// only if the request had far more time than its usual run time.
    timed_out,
    /// The connection to the endpoint failed; nothing was sent.
    unreachable,
    /// The endpoint reported that it did not run the request.
    refused,
    /// The slot was released before anything was sent.
    unused
};

struct slot_requested
{
    slot_request request_;
};

struct slot_request_withdrawn
{
    slot_request_id id_;
};

/// Returns a granted slot, whether or not anything was sent to the endpoint.
struct slot_returned
{
    slot_request_id id_;
    slot_outcome outcome_ = slot_outcome::succeeded;
    duration run_time_{};
};

/// Reports a slot in use to a dispatcher that has just taken over the service.
struct slot_reported
{
    slot_request_id id_;
    service_name service_;
    endpoint_name endpoint_;
    std::string route_;
    duration age_{};
};

struct endpoint_announced
{
    endpoint_info info_;
};

struct endpoint_removed
{
    service_name service_;
    endpoint_name name_;
};

/// An entry host failed or is unreachable. Its slots are freed after a grace
/// period in which its connections end.
struct host_lost
{
    host_name host_;
};

struct clock_ticked
{
};

using routing_event =
    std::variant<slot_requested, slot_request_withdrawn, slot_returned,
                 slot_reported, endpoint_announced, endpoint_removed, host_lost,
                 clock_ticked>;

struct slot_granted
{
    slot_request_id id_;
    endpoint_name endpoint_;
    host_port address_;
    int slots_ = 8;
    int connections_ = 64;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(id_, endpoint_, address_, slots_, connections_);
    }
};

struct slot_refused
{
    slot_request_id id_;
    refusal_reason reason_ = refusal_reason::queue_full;
    /// Suggested delay before the caller tries again.
    duration retry_after_{};

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(id_, reason_, retry_after_);
    }
};

/// Reports the ejection of an endpoint, for the log and the metrics.
struct endpoint_ejected
{
    endpoint_name name_;
    duration length_{};
};

using routing_action =
    std::variant<slot_granted, slot_refused, endpoint_ejected>;

} // namespace dandelioncrank
