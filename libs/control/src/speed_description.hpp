#pragma once

#include "dandelioncrank/pool/worker_speed_summary.hpp"

#include <QJsonObject>

namespace dandelioncrank::control {

/// Maximum number of entries in each list of worker speeds.
constexpr std::size_t max_listed_speeds = 10;

/// Describes the speeds of workers for the state dump: lists `slowest` and
/// `fastest` of objects with `worker` and `speed`, and the numbers `slow` and
/// `spread`.
[[nodiscard]] QJsonObject
describe_worker_speeds(const pool::worker_speed_summary& summary);

} // namespace dandelioncrank::control
