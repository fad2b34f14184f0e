#include "peer_book.hpp"

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

// A connection on which a consensus message is not acknowledged within this
// time is replaced; beyond the longest sync of a slow disk.
constexpr duration post_time = 1s;

} // namespace

peer_book::peer_book(std::string self) : self_(std::move(self)) {}

peer_book::~peer_book() = default;

void peer_book::add_control_host(const std::string& address)
{
    if (address != self_ && !address.empty())
        control_hosts_.insert(address);
}

peer_link& peer_book::link_to(const std::string& address)
{
    std::unique_ptr<peer_link>& link = links_[address];
    if (!link) {
        findings faults;
        link = std::make_unique<peer_link>(
            parse_host_port(address, "peer", faults));
    }
    return *link;
}

void peer_book::post(const std::string& address, control_payload payload)
{
    control_message message{control_version, std::move(payload)};
    link_to(address).post(to_wire(message), post_time);
}

void peer_book::send(const std::string& address, control_payload payload,
                     duration limit, peer_link::answer_handler on_answer)
{
    control_message message{control_version, std::move(payload)};
    link_to(address).send(to_wire(message), limit, std::move(on_answer));
}

} // namespace dandelioncrank::control
