#pragma once

#include "dandelioncrank/metrics/metric_registry.hpp"
#include "dandelioncrank/pool/pool_owner.hpp"

#include <QJsonObject>

#include <cstdint>

namespace dandelioncrank::control {

/// Updates the gauges of the pool. The owner's are those of this process, also
/// while it does not lead.
void report_pool(const pool::pool_state& state, const pool::pool_owner& owner,
                 std::uint64_t weight_limit, metric_registry& metrics);

/// Adds the pool to the state dump.
void describe_pool(const pool::pool_state& state, const pool::pool_owner& owner,
                   std::uint64_t weight_limit, QJsonObject& object);

} // namespace dandelioncrank::control
