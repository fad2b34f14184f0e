#pragma once

#include "dandelioncrank/scheduling/scheduling_types.hpp"

#include <map>
#include <set>

namespace dandelioncrank {

/// Order in which waiting jobs are considered.
enum class order_policy
{
    /// By arrival (the baseline).
    first_in_first_out,
    /// By arrival plus a multiple of the declared run time.
    shortest_declared,
    /// By arrival plus a multiple of what the attained service and the
    /// declared run time together let expect.
    attained_service
};

/// Place in the order of waiting jobs; smaller goes first.
struct queue_position
{
    bool not_urgent_ = true;
    /// Time up to which later jobs may overtake this one.
    instant overtake_deadline_{};
    std::uint64_t sequence_ = 0;

    auto operator<=>(const queue_position&) const = default;
};

/// Time that a job still needs, as far as one can tell: declared times are
/// hints that are off by a factor of ten either way, so a job that has
/// outlived its own is expected to go on for as long again.
[[nodiscard]] duration expected_remaining(const job_spec& spec,
                                          duration attained);

/// Waiting jobs of one zone, in order, and per team.
class job_queue
{
  public:
    explicit job_queue(order_policy policy);

    void insert(const job_spec& spec, instant arrival, duration attained);
    void erase(const job_id& id, const team_name& team);

    [[nodiscard]] const std::map<queue_position, job_id>& in_order() const
    {
        return order_;
    }
    [[nodiscard]] const std::map<queue_position, job_id>*
    of_team(const team_name& team) const;
    [[nodiscard]] std::vector<team_name> waiting_teams() const;
    [[nodiscard]] std::size_t size() const { return order_.size(); }
    [[nodiscard]] std::size_t size_of(const team_name& team) const;
    [[nodiscard]] bool contains(const job_id& id) const
    {
        return positions_.contains(id);
    }

    /// Place that a job with this much service would have.
    [[nodiscard]] queue_position position(const job_spec& spec, instant arrival,
                                          duration attained) const;

  private:
    order_policy policy_;
    std::uint64_t sequence_ = 0;
    std::map<queue_position, job_id> order_;
    std::map<team_name, std::map<queue_position, job_id>> teams_;
    std::map<job_id, queue_position> positions_;
};

} // namespace dandelioncrank
