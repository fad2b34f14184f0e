#pragma once

#include "dandelioncrank/routing/routing_events.hpp"

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace dandelioncrank {

/// One waiting request.
struct waiting_ticket
{
    ticket ticket_;
    instant queued_at_;
};

/// Waiting requests of several teams, served in proportion to weights
/// (start-time fair queueing); first come, first served within a team.
class fair_queue
{
  public:
    void push(waiting_ticket item, int weight);

    /// Next request in fair order, or nothing. The cost is the expected
    /// time in a slot, which the team is charged.
    std::optional<waiting_ticket> pop(duration cost);

    /// Puts back what pop() took but could not be placed.
    void push_front(waiting_ticket item, duration cost);

    std::optional<waiting_ticket> remove(const ticket_id& id);

    /// Forgets every request of one entry host.
    void drop_host(const host_name& host);

    /// Takes out every request whose deadline is not after the given time.
    std::vector<waiting_ticket> take_expired(instant now);

    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] bool empty() const { return size_ == 0; }
    [[nodiscard]] std::size_t size_of(const team_name& team) const;

    /// Requests that would be served before a new one of the team.
    [[nodiscard]] double ahead_of(const team_name& team, int weight) const;

  private:
    struct lane
    {
        std::list<waiting_ticket> items_;
        double virtual_time_ = 0;
        int weight_ = 1;
    };

    std::map<team_name, lane> lanes_;
    std::map<ticket_id,
             std::pair<team_name, std::list<waiting_ticket>::iterator>>
        index_;
    double virtual_time_ = 0;
    std::size_t size_ = 0;
};

} // namespace dandelioncrank
