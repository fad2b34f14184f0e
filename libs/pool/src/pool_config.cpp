#include "dandelioncrank/pool/pool_config.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

std::string to_text(const queue_address& value)
{
    return value.host_ + value.prefix_;
}

const queue_route* pool_config::find_route(const std::string& host,
                                           const std::string& path) const
{
    const queue_route* best = nullptr;
    for (const queue_route& route : routes_) {
        bool matches = route.host_ == host && path.starts_with(route.prefix_);
        bool is_longer =
            best == nullptr || route.prefix_.size() > best->prefix_.size();
        if (matches && is_longer)
            best = &route;
    }
    return best;
}

const queue_route* pool_config::find_route_named(const std::string& name) const
{
    auto found = std::find_if(
        routes_.begin(), routes_.end(),
        [&](const queue_route& route) { return route.policy_.name_ == name; });
    return found == routes_.end() ? nullptr : &*found;
}

std::optional<team_name> pool_config::find_team(const std::string& key) const
{
    for (const auto& [name, rule] : teams_) {
        if (rule.keys_.contains(key))
            return name;
    }
    return std::nullopt;
}

std::map<team_name, team_name> find_renamed_teams(const team_keys& earlier,
                                                  const pool_config& config)
{
    std::map<std::string, team_name> holders;
    for (const auto& [name, rule] : config.teams_) {
        for (const std::string& key : rule.keys_)
            holders.emplace(key, name);
    }
    std::map<team_name, team_name> result;
    for (const auto& [name, keys] : earlier) {
        std::map<team_name, std::size_t> shares;
        for (const std::string& key : keys) {
            auto holder = holders.find(key);
            if (holder != holders.end())
                ++shares[holder->second];
        }
        // A team whose keys were all exchanged is still known by its name.
        if (shares.empty() || shares.contains(name))
            continue;
        auto heir = std::max_element(shares.begin(), shares.end(),
                                     [](const auto& left, const auto& right) {
                                         return left.second < right.second;
                                     });
        result.emplace(name, heir->first);
    }
    return result;
}

access_decision pool_config::authorize(const queue_access& access) const
{
    access_decision result;
    result.route_ = find_route(access.host_, access.path_);
    if (result.route_ == nullptr)
        return result;
    std::optional<team_name> team = find_team(access.key_);
    bool is_allowed = team || result.route_->is_public_;
    result.verdict_ =
        is_allowed ? access_verdict::granted : access_verdict::unknown_key;
    result.team_ = team.value_or(team_name());
    return result;
}

} // namespace dandelioncrank::pool
