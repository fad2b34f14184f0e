#pragma once

#include "dandelioncrank/routing/routing_events.hpp"

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace dandelioncrank {

/// One waiting request.
struct queued_request
{
    slot_request request_;
    instant queued_at_;
};

/// Waiting requests of several teams, served in proportion to weights
/// (start-time fair queueing); first come, first served within a team.
class fair_queue
{
  public:
    void push(queued_request item, int weight);

    /// Next request in fair order, or nothing. The cost is the expected
    /// time in a slot, which the team is charged.
    std::optional<queued_request> pop(duration cost);

    /// Puts back what pop() took but could not be placed.
    void push_front(queued_request item, duration cost);

    std::optional<queued_request> remove(const slot_request_id& id);

    /// Forgets every request of one entry host.
    void remove_host(const host_name& host);

    /// Takes out every request whose deadline is not after the given time.
    std::vector<queued_request> remove_expired(instant now);

    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] bool empty() const { return size_ == 0; }
    [[nodiscard]] std::size_t size_for_team(const team_name& team) const;

    /// Requests that would be served before a new one of the team.
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
