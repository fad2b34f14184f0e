#pragma once

#include "dandelioncrank/consensus/consensus_types.hpp"
#include "dandelioncrank/control/client_call.hpp"

#include <string>
#include <variant>
#include <vector>

namespace dandelioncrank::control {

/// A daemon says who it is and asks where the leader is.
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

struct hello_answer
{
    /// Whether the answering host leads and has a configuration.
    bool leads_ = false;
    bool is_configured_ = false;
    /// Internal addresses: the leader's, empty if unknown, and those of all
    /// control hosts that the sender has heard of.
    std::string leader_;
    std::vector<std::string> control_hosts_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(leads_, is_configured_, leader_, control_hosts_);
    }
};

using control_payload = std::variant<hello, consensus_message, client_call>;

/// Version of the messages between daemons.
inline constexpr std::uint32_t control_version = 1;

struct control_message
{
    std::uint32_t version_ = control_version;
    control_payload payload_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(version_, payload_);
    }
};

} // namespace dandelioncrank::control
