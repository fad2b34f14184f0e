#include "peer_registry.hpp"

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

// A connection on which a consensus message is not acknowledged within this
// time is replaced. Exceeds the longest sync of a slow disk.
constexpr duration post_timeout = 1s;

} // namespace

peer_registry::peer_registry(std::string self) : self_(std::move(self)) {}

peer_registry::~peer_registry() = default;

void peer_registry::add_control_host(const std::string& address)
{
    if (address != self_ && !address.empty())
        control_hosts_.insert(address);
}

peer_link& peer_registry::link_to(const std::string& address)
{
    std::unique_ptr<peer_link>& link = links_[address];
    if (!link) {
        findings faults;
        link = std::make_unique<peer_link>(
            parse_host_port(address, "peer", faults));
    }
    return *link;
}

void peer_registry::post(const std::string& address, control_payload payload)
{
    control_message message{control_protocol_version, std::move(payload)};
    link_to(address).post(to_wire(message), post_timeout);
}

void peer_registry::send(const std::string& address, control_payload payload,
                         duration timeout,
                         peer_link::response_handler on_response)
{
    control_message message{control_protocol_version, std::move(payload)};
    link_to(address).send(to_wire(message), timeout, std::move(on_response));
}

} // namespace dandelioncrank::control
