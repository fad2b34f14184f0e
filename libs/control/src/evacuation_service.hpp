#pragma once

#include "dandelioncrank/control/control_host.hpp"
#include "dandelioncrank/logging/component_logger.hpp"
#include "group_log.hpp"

#include <functional>
#include <set>

namespace dandelioncrank::control {

/// Handles operators' calls for the evacuation of zones.
class evacuation_service
{
  public:
    using response_handler = control_host::response_handler;

    /// The arguments must outlive the service.
    evacuation_service(const pool::pool_state& state, group_log& group,
                       metric_registry& metrics,
                       const control_settings& settings)
        : state_(state), group_(group), metrics_(metrics), settings_(settings)
    {
    }

    void set(const zone_name& zone, bool is_evacuated,
             const response_handler& on_response);

    /// Whether this host leads the group.
    std::function<bool()> is_leader_;
    /// Returns the response of a host that is not the leader.
    std::function<control_response()> redirect_to_leader_;
    /// Returns the zones of the other hosts that this one has heard from.
    std::function<std::set<zone_name>()> host_zones_;

  private:
    /// Commits the change unless the zone is in the requested state, which a
    /// read confirms.
    void request(const zone_name& zone, bool is_evacuated,
                 const response_handler& on_response);
    void confirm(const zone_name& zone, bool is_evacuated,
                 const response_handler& on_response);
    [[nodiscard]] std::set<zone_name> known_zones() const;
    /// Responds to a call and logs how it ended.
    void respond(const zone_name& zone, bool is_evacuated,
                 const std::string& outcome, const control_response& response,
                 const response_handler& on_response);

    component_logger log_{"control"};
    const pool::pool_state& state_;
    group_log& group_;
    metric_registry& metrics_;
    const control_settings& settings_;
};

} // namespace dandelioncrank::control
