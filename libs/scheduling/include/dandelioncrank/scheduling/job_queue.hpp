#pragma once

#include "dandelioncrank/scheduling/scheduling_types.hpp"

#include <map>
#include <set>

namespace dandelioncrank {

/// Order in which queued jobs are considered for placement.
enum class order_policy
{
    /// By arrival; baseline of the benchmarks.
    first_in_first_out,
    /// By arrival plus a multiple of the declared run time.
    shortest_declared,
    /// By arrival plus a multiple of the remaining time that attained
    /// service and declared run time suggest.
    attained_service
};

/// Sort key of a queued job; the smallest is considered first.
struct queue_position
{
    bool not_urgent_ = true;
    /// Arrival plus the time during which later jobs may go first.
    instant overtake_deadline_{};
    std::uint64_t sequence_ = 0;

    auto operator<=>(const queue_position&) const = default;
};

/// Estimated remaining run time of a job.
[[nodiscard]] duration expected_remaining(const job_spec& spec,
                                          duration attained);

/// Queued jobs of one zone, ordered overall and per team.
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

    /// Sort key of a job with this attained service, without its sequence.
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
