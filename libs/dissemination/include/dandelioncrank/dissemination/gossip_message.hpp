#pragma once

#include "dandelioncrank/core/name.hpp"
#include "dandelioncrank/core/time.hpp"
#include "dandelioncrank/routing/routing_events.hpp"

#include <cstdint>
#include <vector>

namespace dandelioncrank {

/// What a daemon says of itself in each message.
struct host_status
{
    host_name name_;
    zone_name zone_;
    /// Grows with each start of the daemon.
    std::uint64_t incarnation_ = 0;
    /// Configuration in force there.
    std::uint64_t revision_ = 0;
    bool is_gateway_ = false;
    bool is_scheduler_ = false;
    bool is_voter_ = false;
    /// It is stopping and takes nothing new.
    bool leaving_ = false;
    /// It serves callers.
    bool serving_ = false;
    /// Epoch under which it owns its zone's workers; 0 if it does not.
    std::uint64_t zone_epoch_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(name_, zone_, incarnation_, revision_, is_gateway_,
                is_scheduler_, is_voter_, leaving_, serving_, zone_epoch_);
    }
};

/// One endpoint's announcement on its way between daemons.
struct endpoint_entry
{
    endpoint_info info_;
    /// Rises with each announcement of the endpoint.
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
    /// Hash of all endpoints that the sender knows, with their states.
    std::uint64_t digest_ = 0;
    /// The receiver should send everything that it knows.
    bool wants_full_state_ = false;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(status_, entries_, digest_, wants_full_state_);
    }
};

} // namespace dandelioncrank
