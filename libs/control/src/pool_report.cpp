#include "pool_report.hpp"

#include "dandelioncrank/core/json.hpp"
#include "loss_description.hpp"
#include "speed_description.hpp"

#include <QJsonArray>

namespace dandelioncrank::control {

void report_pool(const pool::pool_state& state, const pool::pool_owner& owner,
                 std::uint64_t weight_limit, metric_registry& metrics)
{
    metrics.set_gauge("state_weight_bytes",
                      static_cast<double>(state.weight()));
    metrics.set_gauge("state_weight_limit_bytes",
                      static_cast<double>(weight_limit));
    metrics.set_gauge("zones_evacuated",
                      static_cast<double>(state.evacuated_zones().size()));
    metrics.set_gauge(
        "waiting_jobs_without_workers",
        static_cast<double>(state.waiting_jobs_without_workers()));
    pool::worker_speed_summary speeds = owner.summarize_worker_speeds(0);
    metrics.set_gauge("workers_slow",
                      static_cast<double>(speeds.slow_workers_));
    metrics.set_gauge("worker_speed_spread", speeds.spread_);
    const pool::planning_totals& totals = owner.totals();
    metrics.set_gauge("preempted_core_seconds", totals.preempted_core_seconds_);
    metrics.set_gauge("tasks_backfilled",
                      static_cast<double>(totals.tasks_backfilled_));
    metrics.set_gauge("idle_accelerators_unusable_percent",
                      totals.idle_unusable_percent_);
}

void describe_pool(const pool::pool_state& state, const pool::pool_owner& owner,
                   std::uint64_t weight_limit, QJsonObject& object)
{
    object["config"] = static_cast<qint64>(state.config().version_);
    object["workers"] = static_cast<qint64>(state.workers().size());
    object["active_jobs"] = static_cast<qint64>(state.active_jobs().size());
    object["state_weight_bytes"] = static_cast<qint64>(state.weight());
    object["state_weight_limit_bytes"] = static_cast<qint64>(weight_limit);
    object["given_up_jobs"] = describe_given_up(state);
    object["suspected_tasks"] = describe_suspects(state);
    object["worker_speeds"] = describe_worker_speeds(
        owner.summarize_worker_speeds(max_listed_speeds));
    QJsonArray evacuated;
    for (const zone_name& zone : state.evacuated_zones())
        evacuated.append(to_qt(zone.str()));
    object["evacuated_zones"] = evacuated;
}

} // namespace dandelioncrank::control
