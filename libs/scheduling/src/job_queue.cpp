#include "dandelioncrank/scheduling/job_queue.hpp"

#include <algorithm>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

// How long later jobs may overtake a job, in multiples of its expected run
// time. This bounds the wait of every job behind shorter ones.
constexpr int overtake_factor = 6;
constexpr duration default_run_time = 10min;
constexpr duration min_run_time = 1s;
constexpr duration max_overtake_time = 48h;

} // namespace

// Declared run times are off by up to a factor of ten either way. A job that
// has exceeded its own is expected to run for as long again as it has run.
duration expected_remaining(const job_spec& spec, duration attained)
{
    duration declared = spec.declared_run_time_ > duration::zero()
                            ? spec.declared_run_time_
                            : default_run_time;
    duration remaining = declared - attained;
    return std::max({remaining, attained, min_run_time});
}

job_queue::job_queue(order_policy policy) : policy_(policy) {}

queue_position job_queue::position(const job_spec& spec, instant arrival,
                                   duration attained) const
{
    queue_position result;
    result.not_urgent_ = !spec.urgent_;
    result.overtake_deadline_ = arrival;
    duration size{};
    if (policy_ == order_policy::shortest_declared)
        size = expected_remaining(spec, duration::zero());
    if (policy_ == order_policy::attained_service)
        size = expected_remaining(spec, attained);
    result.overtake_deadline_ +=
        std::min(max_overtake_time, size * overtake_factor);
    return result;
}

void job_queue::insert(const job_spec& spec, instant arrival, duration attained)
{
    queue_position key = position(spec, arrival, attained);
    key.sequence_ = ++sequence_;
    order_.emplace(key, spec.id_);
    teams_[spec.team_].emplace(key, spec.id_);
    positions_[spec.id_] = key;
}

void job_queue::erase(const job_id& id, const team_name& team)
{
    auto found = positions_.find(id);
    if (found == positions_.end())
        return;
    order_.erase(found->second);
    auto& team_queue = teams_[team];
    team_queue.erase(found->second);
    if (team_queue.empty())
        teams_.erase(team);
    positions_.erase(found);
}

const std::map<queue_position, job_id>*
job_queue::of_team(const team_name& team) const
{
    auto found = teams_.find(team);
    return found == teams_.end() ? nullptr : &found->second;
}

std::vector<team_name> job_queue::waiting_teams() const
{
    std::vector<team_name> names;
    for (const auto& item : teams_)
        names.push_back(item.first);
    return names;
}

std::size_t job_queue::size_of(const team_name& team) const
{
    const auto* team_queue = of_team(team);
    return team_queue == nullptr ? 0 : team_queue->size();
}

} // namespace dandelioncrank
