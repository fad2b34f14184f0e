#include "dandelioncrank/dissemination/disseminator.hpp"

#include "dandelioncrank/core/wire.hpp"

#include <algorithm>

namespace dandelioncrank {

disseminator::disseminator(host_status self, std::vector<host_name> peers,
                           gossip_timing timing)
    : self_(std::move(self)), peers_(std::move(peers)), timing_(timing)
{
}

void disseminator::announce(const endpoint_info& info, std::uint64_t sequence,
                            instant now, gossip_actions& out)
{
    endpoint_entry entry{info, sequence, duration::zero()};
    if (merge(entry, now, out))
        broadcast({entry}, out);
}

// Returns whether the entry is newer than the known one. Renewals count as
// newer: the other daemons need them to keep the endpoint from expiring.
bool disseminator::merge(const endpoint_entry& entry, instant now,
                         gossip_actions& out)
{
    instant announced_at = now - entry.age_;
    if (entry.age_ >= entry.info_.time_to_live_)
        return false;
    auto [found, inserted] = endpoints_.try_emplace(entry.info_.name_);
    known_endpoint& known = found->second;
    if (!inserted && entry.sequence_ <= known.sequence_)
        return false;
    known = {entry.info_, entry.sequence_, announced_at};
    endpoint_info info = entry.info_;
    info.time_to_live_ -= entry.age_;
    out.push_back(endpoint_changed{info});
    return true;
}

void disseminator::receive(const gossip_message& message, instant now,
                           gossip_actions& out)
{
    const host_status& status = message.status_;
    known_host& host = hosts_[status.name_];
    // Messages from an earlier incarnation of the daemon are obsolete.
    if (status.incarnation_ < host.status_.incarnation_)
        return;
    bool restarted =
        host.live_ && status.incarnation_ > host.status_.incarnation_;
    std::uint64_t known_revision = host.status_.revision_;
    bool changed = !host.live_ || restarted ||
                   status.leaving_ != host.status_.leaving_ ||
                   status.serving_ != host.status_.serving_ ||
                   status.zone_epoch_ != host.status_.zone_epoch_;
    if (restarted)
        out.push_back(host_unreachable{status.name_});
    host.status_ = status;
    // Messages of one incarnation can be reordered, but its revision never
    // decreases.
    if (!restarted)
        host.status_.revision_ = std::max(status.revision_, known_revision);
    host.last_heard_at_ = now;
    host.live_ = true;
    if (changed)
        out.push_back(host_reachable{status});
    for (const endpoint_entry& entry : message.entries_)
        merge(entry, now, out);
    if (status.revision_ > self_.revision_)
        out.push_back(config_outdated{status.name_, status.revision_});
    if (message.wants_full_state_) {
        std::vector<endpoint_entry> all = endpoints(now);
        send(status.name_, std::move(all), false, out);
    } else if (message.digest_ != digest() && message.entries_.empty()) {
        send(status.name_, {}, true, out);
    }
}

void disseminator::tick(instant now, gossip_actions& out)
{
    for (auto it = endpoints_.begin(); it != endpoints_.end();) {
        const known_endpoint& item = it->second;
        bool expired = item.announced_at_ + item.info_.time_to_live_ <= now;
        if (expired)
            out.push_back(endpoint_expired{item.info_});
        it = expired ? endpoints_.erase(it) : std::next(it);
    }
    for (auto& [name, host] : hosts_) {
        if (host.live_ &&
            now - host.last_heard_at_ >= timing_.failure_timeout_) {
            host.live_ = false;
            out.push_back(host_unreachable{name});
        }
    }
    if (now < next_heartbeat_at_)
        return;
    next_heartbeat_at_ = now + timing_.heartbeat_;
    broadcast({}, out);
}

void disseminator::update_self(const host_status& self, instant now,
                               gossip_actions& out)
{
    self_ = self;
    next_heartbeat_at_ = now + timing_.heartbeat_;
    broadcast({}, out);
}

void disseminator::send(const host_name& to,
                        std::vector<endpoint_entry> entries,
                        bool wants_full_state, gossip_actions& out) const
{
    out.push_back(gossip_send{
        to, {self_, std::move(entries), digest(), wants_full_state}});
}

void disseminator::broadcast(const std::vector<endpoint_entry>& entries,
                             gossip_actions& out) const
{
    for (const host_name& peer : peers_)
        send(peer, entries, false, out);
}

// Excludes the sequence: with it, every renewal in transit would make the
// digests differ.
std::uint64_t disseminator::digest() const
{
    std::uint64_t sum = 0;
    for (const auto& [name, item] : endpoints_) {
        std::string text = name.str() + '|' + item.info_.address_.to_text() +
                           (item.info_.leaving_ ? "|leaving" : "|serving");
        sum += stable_hash(text);
    }
    return sum;
}

endpoint_entry disseminator::make_entry(const known_endpoint& item,
                                        instant now) const
{
    return {item.info_, item.sequence_, now - item.announced_at_};
}

std::vector<host_status> disseminator::live_hosts() const
{
    std::vector<host_status> result;
    for (const auto& [name, host] : hosts_) {
        if (host.live_)
            result.push_back(host.status_);
    }
    return result;
}

bool disseminator::has_heard_from(const host_name& name) const
{
    return hosts_.contains(name);
}

std::vector<endpoint_entry> disseminator::endpoints(instant now) const
{
    std::vector<endpoint_entry> result;
    for (const auto& [name, item] : endpoints_)
        result.push_back(make_entry(item, now));
    return result;
}

std::uint64_t disseminator::newest_known_revision() const
{
    std::uint64_t newest = 0;
    for (const auto& [name, host] : hosts_)
        newest = std::max(newest, host.status_.revision_);
    return newest;
}

} // namespace dandelioncrank
