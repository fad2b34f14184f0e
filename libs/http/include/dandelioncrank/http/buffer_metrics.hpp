#pragma once

#include "dandelioncrank/http/buffer_budget.hpp"
#include "dandelioncrank/metrics/metric_registry.hpp"

#include <vector>

namespace dandelioncrank {

/// Brings the metrics of a process's connections up to date.
void update_buffer_metrics(const std::vector<const buffer_budget*>& budgets,
                           metric_registry& metrics);

} // namespace dandelioncrank
