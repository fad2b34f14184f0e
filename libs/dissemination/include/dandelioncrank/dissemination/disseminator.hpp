#pragma once

#include "dandelioncrank/dissemination/gossip_message.hpp"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace dandelioncrank {

struct gossip_send
{
    host_name to_;
    gossip_message message_;
};

struct endpoint_changed
{
    endpoint_info info_;
};

struct endpoint_expired
{
    endpoint_info info_;
};

struct host_reachable
{
    host_status status_;
};

struct host_unreachable
{
    host_name name_;
};

/// Another daemon has a newer configuration, which should be fetched from it.
struct config_outdated
{
    host_name from_;
    std::uint64_t revision_ = 0;
};

using gossip_action =
    std::variant<gossip_send, endpoint_changed, endpoint_expired,
                 host_reachable, host_unreachable, config_outdated>;

using gossip_actions = std::vector<gossip_action>;

struct gossip_timing
{
    duration heartbeat_ = std::chrono::milliseconds(250);
    /// A host from which no message arrives for this time is unreachable.
    duration failure_timeout_ = std::chrono::milliseconds(1500);
};

/// Disseminates endpoint announcements and configuration revisions among the
/// daemons. Performs no I/O and reads no clock.
///
/// Changes are sent to every peer immediately. Heartbeats carry a digest of
/// the known endpoints; a receiver whose digest differs requests the full
/// state, so that lost messages are recovered within one or two heartbeats.
class disseminator
{
  public:
    disseminator(host_status self, std::vector<host_name> peers,
                 gossip_timing timing);

    /// Records an announcement that an endpoint sent to this daemon. It is
    /// ignored if its sequence is not newer than the known one.
    void announce(const endpoint_info& info, std::uint64_t sequence,
                  instant now, gossip_actions& out);
    void receive(const gossip_message& message, instant now,
                 gossip_actions& out);
    void tick(instant now, gossip_actions& out);

    /// Replaces the status of this daemon and broadcasts it immediately.
    void update_self(const host_status& self, instant now, gossip_actions& out);

    [[nodiscard]] const host_status& self() const { return self_; }
    /// Status of the reachable hosts, without this one.
    [[nodiscard]] std::vector<host_status> live_hosts() const;
    [[nodiscard]] bool has_heard_from(const host_name& name) const;
    [[nodiscard]] std::vector<endpoint_entry> endpoints(instant now) const;
    [[nodiscard]] std::uint64_t newest_known_revision() const;

  private:
    struct known_endpoint
    {
        endpoint_info info_;
        std::uint64_t sequence_ = 0;
        instant announced_at_{};
    };

    struct known_host
    {
        host_status status_;
        instant last_heard_at_{};
        bool live_ = false;
    };

    bool merge(const endpoint_entry& entry, instant now, gossip_actions& out);
    void send(const host_name& to, std::vector<endpoint_entry> entries,
              bool wants_full_state, gossip_actions& out) const;
    void broadcast(const std::vector<endpoint_entry>& entries,
                   gossip_actions& out) const;
    [[nodiscard]] std::uint64_t digest() const;
    [[nodiscard]] endpoint_entry make_entry(const known_endpoint& item,
                                            instant now) const;

    host_status self_;
    std::vector<host_name> peers_;
    gossip_timing timing_;
    std::map<endpoint_name, known_endpoint> endpoints_;
    std::map<host_name, known_host> hosts_;
    instant next_heartbeat_at_{};
};

} // namespace dandelioncrank
