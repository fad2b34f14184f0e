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

/// Names one request for a slot: the entry host and its own number.
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

/// A request that wants a slot on an endpoint.
struct slot_request
{
    slot_request_id id_;
    service_name service_;
    team_name team_;
    /// Part of the target that tells kinds of work apart.
    std::string route_;
    instant deadline_;
    /// 1 for the first try, 2 for the first retry.
    int attempt_ = 1;
    /// Endpoints that this request has been tried on.
    std::vector<endpoint_name> excluded_endpoints_;
};

/// What an endpoint says about itself.
struct endpoint_info
{
    endpoint_name name_;
    service_name service_;
    zone_name zone_;
    host_port address_;
    int slots_ = 8;
    int connections_ = 64;
    bool leaving_ = false;
    /// How long the announcement holds unless renewed.
    duration time_to_live_ = std::chrono::seconds(5);

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(name_, service_, zone_, address_, slots_, connections_,
                leaving_, time_to_live_);
    }
};

/// How the use of a slot ended.
enum class slot_outcome
{
    succeeded,
    /// The endpoint answered with a server error or broke off.
    failed,
    /// The caller's deadline passed first. It speaks against the endpoint
    /// only if the request had far longer than it usually takes.
    timed_out,
    /// The endpoint could not be reached; nothing was sent.
    unreachable,
    /// The endpoint said that it did not run the request.
    refused,
    /// The caller went away before anything was sent.
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

struct slot_returned
{
    slot_request_id id_;
    slot_outcome outcome_ = slot_outcome::succeeded;
    duration run_time_{};
};

/// Tells a dispatcher that has just taken over of a slot in use.
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

/// An entry host died or is out of reach; its slots come free after the
/// grace time, in which its connections end.
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
    /// When it is worth asking again.
    duration retry_after_{};

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(id_, reason_, retry_after_);
    }
};

/// For the log: an endpoint was taken out or let back in.
struct endpoint_ejected
{
    endpoint_name name_;
    duration length_{};
};

using routing_action =
    std::variant<slot_granted, slot_refused, endpoint_ejected>;

} // namespace dandelioncrank
