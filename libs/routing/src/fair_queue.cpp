#include "dandelioncrank/routing/fair_queue.hpp"

#include <algorithm>

namespace dandelioncrank {

void fair_queue::push(queued_request item, int weight)
{
    team_queue& target = team_queues_[item.request_.team_];
    target.weight_ = std::max(1, weight);
    // A team accumulates no credit while it is idle.
    if (target.items_.empty())
        target.virtual_time_ = std::max(target.virtual_time_, virtual_time_);
    team_name team = item.request_.team_;
    slot_request_id id = item.request_.id_;
    target.items_.push_back(std::move(item));
    index_.emplace(id, std::pair(team, std::prev(target.items_.end())));
    ++size_;
}

std::optional<queued_request> fair_queue::pop(duration cost)
{
    team_queue* best = nullptr;
    for (auto& [team, candidate] : team_queues_) {
        if (candidate.items_.empty())
            continue;
        if (best == nullptr || candidate.virtual_time_ < best->virtual_time_)
            best = &candidate;
    }
    if (best == nullptr)
        return std::nullopt;
    virtual_time_ = best->virtual_time_;
    best->virtual_time_ += static_cast<double>(cost.count()) / best->weight_;
    queued_request item = std::move(best->items_.front());
    best->items_.pop_front();
    index_.erase(item.request_.id_);
    --size_;
    return item;
}

void fair_queue::push_front(queued_request item, duration cost)
{
    team_queue& target = team_queues_[item.request_.team_];
    target.virtual_time_ -= static_cast<double>(cost.count()) / target.weight_;
    team_name team = item.request_.team_;
    slot_request_id id = item.request_.id_;
    target.items_.push_front(std::move(item));
    index_.emplace(id, std::pair(team, target.items_.begin()));
    ++size_;
}

std::optional<queued_request> fair_queue::remove(const slot_request_id& id)
{
    auto found = index_.find(id);
    if (found == index_.end())
        return std::nullopt;
    auto [team, position] = found->second;
    queued_request item = std::move(*position);
    team_queues_[team].items_.erase(position);
    index_.erase(found);
    --size_;
    return item;
}

std::vector<queued_request> fair_queue::remove_expired(instant now)
{
    std::vector<slot_request_id> expired;
    for (const auto& [id, entry] : index_) {
        if (entry.second->request_.deadline_ <= now)
            expired.push_back(id);
    }
    std::vector<queued_request> removed;
    for (const slot_request_id& id : expired)
        removed.push_back(*remove(id));
    return removed;
}

void fair_queue::remove_host(const host_name& host)
{
    std::vector<slot_request_id> removed;
    for (const auto& [id, entry] : index_) {
        if (id.host_ == host)
            removed.push_back(id);
    }
    for (const slot_request_id& id : removed)
        remove(id);
}

std::size_t fair_queue::size_for_team(const team_name& team) const
{
    auto found = team_queues_.find(team);
    return found == team_queues_.end() ? 0 : found->second.items_.size();
}

double fair_queue::requests_ahead(const team_name& team, int weight) const
{
    double own = static_cast<double>(size_for_team(team));
    double ahead = own;
    for (const auto& [name, other] : team_queues_) {
        if (name == team)
            continue;
        double share = (own + 1) * other.weight_ / std::max(1, weight);
        ahead += std::min(static_cast<double>(other.items_.size()), share);
    }
    return ahead;
}

} // namespace dandelioncrank
