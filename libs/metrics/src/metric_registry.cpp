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

constexpr std::array<double, 3> quantiles = {0.5, 0.9, 0.99};

using accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                       acc::tag::extended_p_square>>;

// Upper bounds of the histogram buckets, in seconds: from one round trip within
// a rack to the longest time a client waits.
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
    accumulator values_{acc::tag::extended_p_square::probabilities = quantiles};
    decltype(make_buckets()) buckets_ = make_buckets();
};

metric_registry::metric_registry() = default;
metric_registry::~metric_registry() = default;

void metric_registry::count(const std::string& name, std::uint64_t increment)
{
    counters_[name] += increment;
}

void metric_registry::set_counter(const std::string& name, std::uint64_t total)
{
    counters_[name] = total;
}

void metric_registry::set_gauge(const std::string& name, double value)
{
    gauges_[name] = value;
}

void metric_registry::record_duration(const std::string& name, duration value)
{
    std::unique_ptr<timing>& entry = timings_[name];
    if (!entry)
        entry = std::make_unique<timing>();
    double seconds = std::chrono::duration<double>(value).count();
    entry->values_(seconds);
    entry->buckets_(seconds);
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
        std::string full_name = "dandelioncrank_" + name + "_seconds";
        auto estimates = acc::extended_p_square(item->values_);
        for (std::size_t i = 0; i < quantiles.size(); ++i) {
            out << full_name << "{quantile=\"" << quantiles[i] << "\"} "
                << estimates[i] << '\n';
        }
        // The exposition format requires cumulative buckets.
        double cumulative_count = 0;
        for (std::size_t i = 0; i < bucket_bounds.size(); ++i) {
            cumulative_count += item->buckets_.at(static_cast<int>(i) - 1);
            out << full_name << "_bucket{le=\"" << bucket_bounds[i] << "\"} "
                << cumulative_count << '\n';
        }
        out << full_name << "_bucket{le=\"+Inf\"} " << acc::count(item->values_)
            << '\n';
        out << full_name << "_sum " << acc::sum(item->values_) << '\n';
        out << full_name << "_count " << acc::count(item->values_) << '\n';
        out << full_name << "_max " << acc::max(item->values_) << '\n';
    }
    return out.str();
}

} // namespace dandelioncrank
