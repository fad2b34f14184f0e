#include "dandelioncrank/metrics/metric_registry.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>

#include <array>
#include <sstream>

namespace dandelioncrank {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> percentiles = {0.5, 0.9, 0.99};

using accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                       acc::tag::extended_p_square>>;

// Upper bounds of the histogram's buckets, in seconds: from one exchange in a
// rack to the longest wait of a client.
constexpr std::array<double, 12> bucket_bounds = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0};

auto make_buckets()
{
    return boost::histogram::make_histogram(boost::histogram::axis::variable<>(
        bucket_bounds.begin(), bucket_bounds.end()));
}

} // namespace

struct metric_registry::timing
{
    accumulator values_{acc::tag::extended_p_square::probabilities =
                            percentiles};
    decltype(make_buckets()) buckets_ = make_buckets();
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
    double seconds = std::chrono::duration<double>(value).count();
    slot->values_(seconds);
    slot->buckets_(seconds);
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
        // Buckets of the exposition format are cumulative.
        double below = 0;
        for (std::size_t i = 0; i < bucket_bounds.size(); ++i) {
            below += item->buckets_.at(static_cast<int>(i) - 1);
            out << full << "_bucket{le=\"" << bucket_bounds[i] << "\"} "
                << below << '\n';
        }
        out << full << "_bucket{le=\"+Inf\"} " << acc::count(item->values_)
            << '\n';
        out << full << "_sum " << acc::sum(item->values_) << '\n';
        out << full << "_count " << acc::count(item->values_) << '\n';
        out << full << "_max " << acc::max(item->values_) << '\n';
    }
    return out.str();
}

} // namespace dandelioncrank
