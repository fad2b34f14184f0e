#include "loop_report.hpp"

#include "dandelioncrank/control/control_activity.hpp"

#include <cmath>
#include <numeric>

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

constexpr duration report_interval = 1s;
// Percentage of the time, above which a line is logged.
constexpr double high_load_percent = 50;

} // namespace

std::optional<std::vector<component_logger::field>>
loop_report::high_load(const std::vector<nanoseconds>& spent) const
{
    nanoseconds total = std::accumulate(spent.begin(), spent.end(), 0ns);
    if (total <= 0ns)
        return std::nullopt;
    nanoseconds busy = total - spent.at(idle);
    double percent = 100.0 * static_cast<double>(busy.count()) /
                     static_cast<double>(total.count());
    if (percent <= high_load_percent)
        return std::nullopt;
    std::vector<component_logger::field> fields{
        {"busy_percent", std::to_string(std::lround(percent))}};
    for (std::size_t i = 0; i < spent.size(); ++i) {
        auto rounded = std::chrono::round<std::chrono::milliseconds>(spent[i]);
        fields.emplace_back(meter_.names().at(i) + "_ms",
                            std::to_string(rounded.count()));
    }
    return fields;
}

void loop_report::tick(instant now)
{
    if (now - reported_at_ < report_interval)
        return;
    reported_at_ = now;
    std::vector<nanoseconds> totals = meter_.totals();
    for (std::size_t i = 0; i < totals.size(); ++i)
        metrics_.set_gauge("loop_seconds_" + meter_.names().at(i),
                           std::chrono::duration<double>(totals[i]).count());
    if (!reported_totals_.empty()) {
        std::vector<nanoseconds> spent = totals;
        for (std::size_t i = 0; i < spent.size(); ++i)
            spent[i] -= reported_totals_[i];
        if (auto fields = high_load(spent))
            log_.event("Event loop is busy.", *fields);
    }
    reported_totals_ = std::move(totals);
}

} // namespace dandelioncrank::control
