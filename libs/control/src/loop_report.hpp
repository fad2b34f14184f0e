#pragma once

#include "dandelioncrank/core/time.hpp"
#include "dandelioncrank/logging/component_logger.hpp"
#include "dandelioncrank/metrics/activity_meter.hpp"
#include "dandelioncrank/metrics/metric_registry.hpp"

#include <optional>
#include <vector>

namespace dandelioncrank::control {

/// Publishes how the event loop spends its time as metrics, and logs a line
/// for each second in which it was busy for more than half of the time.
class loop_report
{
  public:
    /// The activities of the meter are those of control_activity.
    loop_report(activity_meter& meter, metric_registry& metrics)
        : meter_(meter), metrics_(metrics)
    {
    }

    void tick(instant now);

    /// Returns the log fields for a period: the percentage of the time in which
    /// the loop was busy, and the milliseconds of each activity. Returns
    /// nothing if it was busy for at most half of the time.
    [[nodiscard]] std::optional<std::vector<component_logger::field>>
    high_load(const std::vector<std::chrono::nanoseconds>& spent) const;

  private:
    component_logger log_{"control"};
    activity_meter& meter_;
    metric_registry& metrics_;
    instant reported_at_{};
    std::vector<std::chrono::nanoseconds> reported_totals_;
};

} // namespace dandelioncrank::control
