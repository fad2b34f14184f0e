#pragma once

#include "dandelioncrank/core/name.hpp"
#include "dandelioncrank/core/time.hpp"
#include "dandelioncrank/routing/routing_events.hpp"

#include <cstdint>
#include <vector>

namespace dandelioncrank {

/// Status of the sending daemon, carried in every message.
struct host_status
{
    host_name name_;
    zone_name zone_;
    /// Increases with each start of the daemon.
    std::uint64_t incarnation_ = 0;
    /// Revision of the configuration in force.
    std::uint64_t revision_ = 0;
    bool is_gateway_ = false;
    bool is_scheduler_ = false;
    bool is_voter_ = false;
    /// The daemon is stopping and accepts no new work.
    bool leaving_ = false;
    /// The daemon serves callers.
    bool serving_ = false;
    /// Epoch in which the daemon owns the workers of its zone, or 0.
    std::uint64_t zone_epoch_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(name_, zone_, incarnation_, revision_, is_gateway_,
                is_scheduler_, is_voter_, leaving_, serving_, zone_epoch_);
    }
};

/// Endpoint announcement as exchanged between daemons.
struct endpoint_entry
{
    endpoint_info info_;
    /// Increases with each announcement of the endpoint.
    std::uint64_t sequence_ = 0;
    /// Time since the endpoint announced it.
    duration age_{};

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(info_, sequence_, age_);
    }
};

struct gossip_message
{
    host_status status_;
    std::vector<endpoint_entry> entries_;
    /// Hash of the names, addresses and states of all known endpoints.
    std::uint64_t digest_ = 0;
    /// Requests all endpoints that the receiver knows.
    bool wants_full_state_ = false;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(status_, entries_, digest_, wants_full_state_);
    }
};

} // namespace dandelioncrank
