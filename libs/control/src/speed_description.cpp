#include "speed_description.hpp"

#include "dandelioncrank/core/json.hpp"

#include <QJsonArray>

#include <cmath>

namespace dandelioncrank::control {

namespace {

// More digits would show noise.
double round_speed(double value)
{
    constexpr double digits = 100;
    return std::round(value * digits) / digits;
}

QJsonArray
describe_list(const std::vector<pool::worker_speed_summary::entry>& list)
{
    QJsonArray result;
    for (const auto& [worker, speed] : list) {
        QJsonObject entry;
        entry["worker"] = to_qt(worker.str());
        entry["speed"] = round_speed(speed);
        result.append(entry);
    }
    return result;
}

} // namespace

QJsonObject describe_worker_speeds(const pool::worker_speed_summary& summary)
{
    QJsonObject result;
    result["slowest"] = describe_list(summary.slowest_);
    result["fastest"] = describe_list(summary.fastest_);
    result["slow"] = static_cast<qint64>(summary.slow_workers_);
    result["spread"] = round_speed(summary.spread_);
    return result;
}

} // namespace dandelioncrank::control
