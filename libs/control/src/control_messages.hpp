#pragma once

#include "dandelioncrank/consensus/consensus_types.hpp"
#include "dandelioncrank/control/client_call.hpp"

#include <string>
#include <variant>
#include <vector>

namespace dandelioncrank::control {

/// Identifies the sending daemon and asks for the address of the leader.
struct hello
{
    /// Internal address of the sender.
    std::string address_;
    /// Identity of a control host's replica; empty on entry hosts.
    voter_name voter_;
    zone_name zone_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(address_, voter_, zone_);
    }
};

/// Response to hello. With default values, it acknowledges messages that need
/// no response of their own.
struct hello_response
{
    /// Whether the responding host is the leader, and has a configuration.
    bool is_leader_ = false;
    bool is_configured_ = false;
    /// Internal addresses of the leader, empty if unknown, and of all control
    /// hosts known to the sender.
    std::string leader_;
    std::vector<std::string> control_hosts_;
    /// Interval until an entry host sends the leader its next hello, in
    /// milliseconds.
    std::int64_t hello_interval_ms_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(is_leader_, is_configured_, leader_, control_hosts_,
                hello_interval_ms_);
    }
};

/// An announcement that changed nothing, acknowledged by a control host on the
/// leader's behalf.
struct relayed_announcement
{
    worker_name worker_;
    std::int64_t incarnation_ = 0;
    /// Reading of the worker's clock.
    std::int64_t clock_ms_ = 0;
    duration cold_remaining_{};

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(worker_, incarnation_, clock_ms_);
        archive.appended(cold_remaining_);
    }
};

/// Announcements relayed to the leader by a control host.
struct relayed_announcements
{
    std::vector<relayed_announcement> announcements_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(announcements_);
    }
};

using control_payload =
    std::variant<hello, consensus_message, client_call, relayed_announcements>;

/// Protocol version of the messages between daemons.
inline constexpr std::uint32_t control_protocol_version = 1;

struct control_message
{
    std::uint32_t version_ = control_protocol_version;
    control_payload payload_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(version_, payload_);
    }
};

} // namespace dandelioncrank::control
