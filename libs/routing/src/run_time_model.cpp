#include "dandelioncrank/routing/run_time_model.hpp"

#include <algorithm>

namespace dandelioncrank {

namespace {

constexpr double long_factor = 4.0;
constexpr double smoothing = 0.05;
constexpr double median_step = 0.05;
constexpr std::size_t min_route_samples = 2;

void update_mean(double& mean, std::size_t& samples, double value)
{
    ++samples;
    // Arithmetic mean for the first samples, then an exponential moving
    // average.
    double weight = std::max(smoothing, 1.0 / static_cast<double>(samples));
    mean += weight * (value - mean);
}

// Each sample moves the estimate up or down by a fixed fraction of itself, so
// it converges to the median.
void update_median(double& median, double value)
{
    if (median == 0)
        median = value;
    else if (value > median)
        median *= 1 + median_step;
    else if (value < median)
        median *= 1 - median_step;
}

duration to_duration(double microseconds)
{
    return duration(static_cast<duration::rep>(microseconds));
}

} // namespace

void run_time_model::record(const std::string& route, duration run_time)
{
    auto value =
        static_cast<double>(std::max<duration::rep>(1, run_time.count()));
    ++samples_;
    update_median(median_, value);
    std::string key = routes_.size() < max_routes || routes_.contains(route)
                          ? route
                          : std::string();
    route_average& entry = routes_[key];
    update_mean(entry.mean_, entry.samples_, value);
    update_median(entry.median_, value);
    auto which = static_cast<std::size_t>(classify(key));
    update_mean(class_mean_[which], class_samples_[which], value);
}

work_class run_time_model::classify(const std::string& route) const
{
    auto found = routes_.find(route);
    bool is_known =
        found != routes_.end() && found->second.samples_ >= min_route_samples;
    if (!is_known || found->second.median_ < long_factor * median_)
        return work_class::short_work;
    return work_class::long_work;
}

duration run_time_model::expected(const std::string& route) const
{
    auto found = routes_.find(route);
    if (found != routes_.end())
        return to_duration(found->second.mean_);
    return expected(work_class::short_work);
}

duration run_time_model::expected(work_class which) const
{
    auto index = static_cast<std::size_t>(which);
    if (class_samples_[index] > 0)
        return to_duration(class_mean_[index]);
    return to_duration(median_);
}

} // namespace dandelioncrank
