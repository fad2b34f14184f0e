#include "dandelioncrank/routing/fair_queue.hpp"

#include <algorithm>

namespace dandelioncrank {

void fair_queue::push(waiting_ticket item, int weight)
{
    lane& target = lanes_[item.ticket_.team_];
    target.weight_ = std::max(1, weight);
    // A team that was idle gets no credit for the time it asked nothing.
    if (target.items_.empty())
        target.virtual_time_ = std::max(target.virtual_time_, virtual_time_);
    team_name team = item.ticket_.team_;
    ticket_id id = item.ticket_.id_;
    target.items_.push_back(std::move(item));
    index_.emplace(id, std::pair(team, std::prev(target.items_.end())));
    ++size_;
}

std::optional<waiting_ticket> fair_queue::pop(duration cost)
{
    lane* best = nullptr;
    for (auto& [team, candidate] : lanes_) {
        if (candidate.items_.empty())
            continue;
        if (best == nullptr || candidate.virtual_time_ < best->virtual_time_)
            best = &candidate;
    }
    if (best == nullptr)
        return std::nullopt;
    virtual_time_ = best->virtual_time_;
    best->virtual_time_ += static_cast<double>(cost.count()) / best->weight_;
    waiting_ticket item = std::move(best->items_.front());
    best->items_.pop_front();
    index_.erase(item.ticket_.id_);
    --size_;
    return item;
}

void fair_queue::push_front(waiting_ticket item, duration cost)
{
    lane& target = lanes_[item.ticket_.team_];
    target.virtual_time_ -= static_cast<double>(cost.count()) / target.weight_;
    team_name team = item.ticket_.team_;
    ticket_id id = item.ticket_.id_;
    target.items_.push_front(std::move(item));
    index_.emplace(id, std::pair(team, target.items_.begin()));
    ++size_;
}

std::optional<waiting_ticket> fair_queue::remove(const ticket_id& id)
{
    auto found = index_.find(id);
    if (found == index_.end())
        return std::nullopt;
    auto [team, place] = found->second;
    waiting_ticket item = std::move(*place);
    lanes_[team].items_.erase(place);
    index_.erase(found);
    --size_;
    return item;
}

std::vector<waiting_ticket> fair_queue::take_expired(instant now)
{
    std::vector<ticket_id> expired;
    for (const auto& [id, entry] : index_) {
        if (entry.second->ticket_.deadline_ <= now)
            expired.push_back(id);
    }
    std::vector<waiting_ticket> taken;
    for (const ticket_id& id : expired)
        taken.push_back(*remove(id));
    return taken;
}

void fair_queue::drop_host(const host_name& host)
{
    std::vector<ticket_id> dropped;
    for (const auto& [id, entry] : index_) {
        if (id.host_ == host)
            dropped.push_back(id);
    }
    for (const ticket_id& id : dropped)
        remove(id);
}

std::size_t fair_queue::size_of(const team_name& team) const
{
    auto found = lanes_.find(team);
    return found == lanes_.end() ? 0 : found->second.items_.size();
}

double fair_queue::ahead_of(const team_name& team, int weight) const
{
    double own = static_cast<double>(size_of(team));
    double ahead = own;
    for (const auto& [name, other] : lanes_) {
        if (name == team)
            continue;
        double share = (own + 1) * other.weight_ / std::max(1, weight);
        ahead += std::min(static_cast<double>(other.items_.size()), share);
    }
    return ahead;
}

} // namespace dandelioncrank
