#include "evacuation_service.hpp"

#include <algorithm>

namespace dandelioncrank::control {

std::set<zone_name> evacuation_service::known_zones() const
{
    std::set<zone_name> zones = settings_.zones_;
    zones.merge(host_zones_());
    zones.insert(settings_.zone_);
    for (const auto& item : state_.workers())
        zones.insert(item.second.info_.zone_);
    // Its workers and hosts may all be gone.
    zones.insert(state_.evacuated_zones().begin(),
                 state_.evacuated_zones().end());
    zones.erase(zone_name());
    return zones;
}

void evacuation_service::set(const zone_name& zone, bool is_evacuated,
                             const response_handler& on_response)
{
    metrics_.count("evacuation_calls");
    if (!is_leader_()) {
        respond(zone, is_evacuated, "not the leader", redirect_to_leader_(),
                on_response);
        return;
    }
    std::set<zone_name> known = known_zones();
    if (!known.contains(zone)) {
        // A host that has heard of no other zone yet cannot tell.
        bool can_tell = !settings_.zones_.empty() || known.size() > 1;
        control_response response{can_tell ? control_outcome::not_found
                                           : control_outcome::unavailable,
                                  {},
                                  "no worker, host or setting names zone '" +
                                      zone.str() + "'"};
        respond(zone, is_evacuated,
                can_tell ? "unknown zone" : "no zones known", response,
                on_response);
        return;
    }
    request(zone, is_evacuated, on_response);
}

void evacuation_service::request(const zone_name& zone, bool is_evacuated,
                                 const response_handler& on_response)
{
    if (state_.is_evacuated(zone) == is_evacuated) {
        confirm(zone, is_evacuated, on_response);
        return;
    }
    group_.enqueue(
        pool::set_evacuation{zone, is_evacuated},
        [this, zone, is_evacuated, on_response](commit_result end,
                                                pool::pool_reply reply) {
            bool is_committed = end == commit_result::committed;
            bool is_change = reply == pool::pool_reply::applied;
            respond(
                zone, is_evacuated,
                !is_committed ? "unsure"
                              : (is_change ? "in force" : "in force before"),
                is_committed ? control_response{control_outcome::done, {}, {}}
                             : redirect_to_leader_(),
                on_response);
        });
}

// Another leader may have changed the zone since this host was last in contact,
// and a call for the opposite may be queued here.
void evacuation_service::confirm(const zone_name& zone, bool is_evacuated,
                                 const response_handler& on_response)
{
    group_.read_barrier([this, zone, is_evacuated, on_response](bool granted) {
        if (!granted || !is_leader_())
            respond(zone, is_evacuated, "unsure", redirect_to_leader_(),
                    on_response);
        else if (state_.is_evacuated(zone) != is_evacuated)
            request(zone, is_evacuated, on_response);
        else
            respond(zone, is_evacuated, "in force before",
                    {control_outcome::done, {}, {}}, on_response);
    });
}

void evacuation_service::respond(const zone_name& zone, bool is_evacuated,
                                 const std::string& outcome,
                                 const control_response& response,
                                 const response_handler& on_response)
{
    bool is_done = response.outcome_ == control_outcome::done;
    log_.event(is_done ? "Evacuation call answered."
                       : "Evacuation call refused.",
               {{"zone", zone.str()},
                {"call", is_evacuated ? "start" : "stop"},
                {"outcome", outcome}});
    on_response(response);
}

} // namespace dandelioncrank::control
