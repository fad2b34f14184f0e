#pragma once

#include "dandelioncrank/pool/pool_state.hpp"

#include <QJsonArray>

namespace dandelioncrank::control {

/// Lists the latest jobs that were given up because they crash their workers,
/// for the state dump: objects of `job` and `reason`.
[[nodiscard]] QJsonArray describe_given_up(const pool::pool_state& state);

/// Lists the tasks of open jobs that are suspected of crashing their workers:
/// objects of `task` and `losses`.
[[nodiscard]] QJsonArray describe_suspects(const pool::pool_state& state);

} // namespace dandelioncrank::control
