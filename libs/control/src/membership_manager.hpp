#pragma once

#include "control_messages.hpp"
#include "dandelioncrank/control/control_settings.hpp"
#include "dandelioncrank/control/membership_planner.hpp"
#include "dandelioncrank/logging/component_logger.hpp"
#include "dandelioncrank/metrics/metric_registry.hpp"
#include "dandelioncrank/replica/replica.hpp"
#include "pool_state_machine.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace dandelioncrank::control {

/// Keeps the members of the replicated group up to date while this host leads
/// it, from the hellos of the other control hosts.
class membership_manager
{
  public:
    /// The arguments must outlive the manager.
    membership_manager(replica<pool_state_machine>& replica,
                       const control_settings& settings,
                       metric_registry& metrics);

    void record_hello(const hello& item, instant now);
    /// Returns the internal addresses of the control hosts whose last hello
    /// came after a time.
    [[nodiscard]] std::vector<std::string> heard_since(instant time) const;
    /// Returns the zones of the other control hosts that have sent a hello.
    [[nodiscard]] std::set<zone_name> zones() const;
    /// Makes the next change of the members, if one is due.
    void review(instant now);

  private:
    [[nodiscard]] membership_view make_view(instant now) const;
    /// Whether the replica has accepted the change.
    bool apply(const membership_change& change, instant now);

    component_logger log_{"control"};
    replica<pool_state_machine>& replica_;
    const control_settings& settings_;
    metric_registry& metrics_;
    std::map<voter_name, instant> last_hello_at_;
    std::map<std::string, zone_name> zones_;
    instant reviewed_at_{};
};

} // namespace dandelioncrank::control
