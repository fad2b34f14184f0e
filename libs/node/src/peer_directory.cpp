#include "peer_directory.hpp"

namespace dandelioncrank {

peer_directory::peer_directory(const node_settings& settings)
    : self_(settings.host_), hosts_(settings.hosts_)
{
    for (const peer_setting& item : hosts_) {
        if (item.name_ != self_)
            links_[item.name_] = std::make_unique<peer_link>(item.address_);
    }
}

peer_directory::~peer_directory() = default;

void peer_directory::post(const host_name& to, peer_payload payload)
{
    auto found = links_.find(to);
    if (found == links_.end())
        return;
    peer_message message{peer_protocol_version, self_, revision_,
                         std::move(payload)};
    found->second->post(to_wire(message));
}

void peer_directory::send(const host_name& to, peer_payload payload,
                          duration limit,
                          peer_link::response_handler on_response)
{
    auto found = links_.find(to);
    if (found == links_.end()) {
        on_response(std::nullopt);
        return;
    }
    peer_message message{peer_protocol_version, self_, revision_,
                         std::move(payload)};
    found->second->send(to_wire(message), limit, std::move(on_response));
}

const peer_setting* peer_directory::find(const host_name& name) const
{
    for (const peer_setting& item : hosts_) {
        if (item.name_ == name)
            return &item;
    }
    return nullptr;
}

std::vector<host_name> peer_directory::other_hosts() const
{
    std::vector<host_name> names;
    for (const auto& item : links_)
        names.push_back(item.first);
    return names;
}

std::vector<host_name> peer_directory::voters() const
{
    std::vector<host_name> names;
    for (const peer_setting& item : hosts_) {
        if (item.is_voter_)
            names.push_back(item.name_);
    }
    return names;
}

std::uint64_t peer_directory::sent_bytes() const
{
    std::uint64_t sum = 0;
    for (const auto& item : links_)
        sum += item.second->sent_bytes();
    return sum;
}

std::uint64_t peer_directory::sent_messages() const
{
    std::uint64_t sum = 0;
    for (const auto& item : links_)
        sum += item.second->sent_messages();
    return sum;
}

} // namespace dandelioncrank
