#pragma once

#include "dandelioncrank/routing/routing_events.hpp"

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace dandelioncrank {

/// Slot request that waits in a queue.
struct queued_request
{
    slot_request request_;
    instant queued_at_;
};

/// Queue that serves teams in proportion to their weights (start-time fair
/// queueing). Requests of one team are served in FIFO order.
class fair_queue
{
  public:
    void push(queued_request item, int weight);

    /// Removes and returns the next request in fair order, if any. The cost,
    /// which is the expected time in a slot, is charged to the team.
    std::optional<queued_request> pop(duration cost);

    /// Reinserts a request from pop() that got no slot, and refunds its cost.
    void push_front(queued_request item, duration cost);

    std::optional<queued_request> remove(const slot_request_id& id);

    /// Removes all requests of one entry host.
    void remove_host(const host_name& host);

    /// Removes and returns all requests whose deadline is at or before now.
    std::vector<queued_request> remove_expired(instant now);

    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] bool empty() const { return size_ == 0; }
    [[nodiscard]] std::size_t size_for_team(const team_name& team) const;

    /// Estimates how many queued requests would be served before a new
    /// request of the team.
    [[nodiscard]] double requests_ahead(const team_name& team,
                                        int weight) const;

  private:
    struct team_queue
    {
        std::list<queued_request> items_;
        double virtual_time_ = 0;
        int weight_ = 1;
    };

    std::map<team_name, team_queue> team_queues_;
    std::map<slot_request_id,
             std::pair<team_name, std::list<queued_request>::iterator>>
        index_;
    double virtual_time_ = 0;
    std::size_t size_ = 0;
};

} // namespace dandelioncrank
