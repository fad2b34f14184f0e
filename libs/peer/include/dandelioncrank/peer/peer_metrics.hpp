#pragma once

#include "dandelioncrank/metrics/metric_registry.hpp"
#include "dandelioncrank/peer/peer_server.hpp"

namespace dandelioncrank {

/// Brings the metrics of the internal port up to date.
void update_peer_metrics(const peer_server_status& status,
                         metric_registry& metrics);

} // namespace dandelioncrank
