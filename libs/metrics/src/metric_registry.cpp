#include "dandelioncrank/metrics/metric_registry.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <sstream>

namespace dandelioncrank {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> percentiles = {0.5, 0.9, 0.99};

using accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                       acc::tag::extended_p_square>>;

} // namespace

struct metric_registry::timing
{
    accumulator values_{acc::tag::extended_p_square::probabilities =
                            percentiles};
};

metric_registry::metric_registry() = default;
metric_registry::~metric_registry() = default;

void metric_registry::count(const std::string& name, std::uint64_t by)
{
    counters_[name] += by;
}

void metric_registry::gauge(const std::string& name, double value)
{
    gauges_[name] = value;
}

void metric_registry::time(const std::string& name, duration value)
{
    std::unique_ptr<timing>& slot = timings_[name];
    if (!slot)
        slot = std::make_unique<timing>();
    slot->values_(std::chrono::duration<double>(value).count());
}

std::uint64_t metric_registry::counter(const std::string& name) const
{
    auto found = counters_.find(name);
    return found == counters_.end() ? 0 : found->second;
}

std::string metric_registry::to_text() const
{
    std::ostringstream out;
    for (const auto& [name, value] : counters_)
        out << "dandelioncrank_" << name << "_total " << value << '\n';
    for (const auto& [name, value] : gauges_)
        out << "dandelioncrank_" << name << ' ' << value << '\n';
    for (const auto& [name, item] : timings_) {
        std::string full = "dandelioncrank_" + name + "_seconds";
        auto marks = acc::extended_p_square(item->values_);
        for (std::size_t i = 0; i < percentiles.size(); ++i) {
            out << full << "{quantile=\"" << percentiles[i] << "\"} "
                << marks[i] << '\n';
        }
        out << full << "_sum " << acc::sum(item->values_) << '\n';
        out << full << "_count " << acc::count(item->values_) << '\n';
        out << full << "_max " << acc::max(item->values_) << '\n';
    }
    return out.str();
}

} // namespace dandelioncrank
