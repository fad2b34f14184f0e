#include "speed_model.hpp"

#include "dandelioncrank/pool/performance_estimates.hpp"

#include <algorithm>
#include <cmath>

namespace dandelioncrank::pool {

namespace {

// Number of samples kept for each worker, and how many a judgement takes.
constexpr std::size_t max_samples = 8;
constexpr std::size_t min_samples = 5;
// One in this many samples may disagree. With 3 % of tasks that are several
// times as long, four out of five such samples in a row are a matter of
// one in 250,000.
constexpr std::size_t samples_per_exception = 4;
// Number of workers of a rack whose speeds are compared.
constexpr std::size_t min_rack_workers = 3;
// How long a rack's speed is kept for workers that restart.
constexpr duration rack_retention = std::chrono::minutes(10);

double median_of(const std::vector<double>& sorted)
{
    std::size_t middle = sorted.size() / 2;
    return sorted.size() % 2 == 1 ? sorted[middle]
                                  : (sorted[middle - 1] + sorted[middle]) / 2;
}

/// Returns the median of sorted values if nearly all of them differ from the
/// center in its direction, and the median by enough.
std::optional<double> find_agreed(const std::vector<double>& sorted,
                                  double center)
{
    double least = std::log(least_speed_difference);
    double median = median_of(sorted) - center;
    std::size_t exceptions = sorted.size() / samples_per_exception;
    double nearest = median < 0
                         ? center - sorted[sorted.size() - 1 - exceptions]
                         : sorted[exceptions] - center;
    if (std::abs(median) < least || nearest < least / 2)
        return std::nullopt;
    return median;
}

} // namespace

void speed_model::add_worker(const worker_name& worker, const rack_name& rack,
                             instant now)
{
    workers_[worker] = {rack, now, {}};
    speeds_.erase(worker);
    auto known = racks_.find(rack);
    if (known != racks_.end())
        speeds_[worker] = std::exp(known->second.log_speed_);
}

void speed_model::remove_worker(const worker_name& worker)
{
    workers_.erase(worker);
    speeds_.erase(worker);
}

// A run that is seen again changes its sample only while that is among the
// latest: tasks that take several times as long are seen more often than
// others, and would outnumber them.
void speed_model::record(const worker_name& worker, const speed_sample& sample,
                         bool is_new)
{
    auto found = workers_.find(worker);
    bool is_current =
        found != workers_.end() && sample.taken_at_ >= found->second.added_at_;
    if (!is_current)
        return;
    std::vector<speed_sample>& samples = found->second.samples_;
    auto same = std::find_if(samples.begin(), samples.end(),
                             [&sample](const speed_sample& item) {
                                 return item.key_ == sample.key_;
                             });
    if (same != samples.end()) {
        if (is_new || same->run_ == sample.run_)
            *same = sample;
        return;
    }
    if (!is_new)
        return;
    if (samples.size() == max_samples)
        samples.erase(samples.begin());
    samples.push_back(sample);
}

std::vector<double> speed_model::log_speeds_of(const worker_entry& entry)
{
    std::vector<double> result;
    result.reserve(entry.samples_.size());
    for (const speed_sample& item : entry.samples_)
        result.push_back(item.log_speed_);
    std::sort(result.begin(), result.end());
    return result;
}

void speed_model::drop_expired(instant now)
{
    for (auto& item : workers_)
        std::erase_if(item.second.samples_, [now](const speed_sample& sample) {
            return sample.expires_at_ <= now;
        });
    std::erase_if(racks_, [now](const auto& item) {
        return item.second.expires_at_ <= now;
    });
}

// Samples are relative to the workers of like tasks. Only where most workers
// are known does their median tell what is typical of the pool.
double speed_model::find_center() const
{
    std::vector<double> medians;
    for (const auto& item : workers_) {
        if (item.second.samples_.size() >= min_samples)
            medians.push_back(median_of(log_speeds_of(item.second)));
    }
    if (medians.empty() || medians.size() * 2 < workers_.size())
        return 0;
    std::sort(medians.begin(), medians.end());
    return median_of(medians);
}

void speed_model::refresh_racks(double center, instant now)
{
    std::map<rack_name, std::vector<double>> medians;
    for (const auto& item : workers_) {
        if (item.second.samples_.size() >= min_samples)
            medians[item.second.rack_].push_back(
                median_of(log_speeds_of(item.second)));
    }
    for (auto& [rack, values] : medians) {
        if (values.size() < min_rack_workers)
            continue;
        std::sort(values.begin(), values.end());
        if (auto agreed = find_agreed(values, center))
            racks_[rack] = {*agreed, now + rack_retention};
        else
            racks_.erase(rack);
    }
}

void speed_model::refresh(instant now)
{
    drop_expired(now);
    double center = find_center();
    refresh_racks(center, now);
    speeds_.clear();
    for (const auto& [name, entry] : workers_) {
        if (entry.samples_.size() >= min_samples) {
            if (auto agreed = find_agreed(log_speeds_of(entry), center))
                speeds_[name] = std::exp(*agreed);
            continue;
        }
        auto rack = racks_.find(entry.rack_);
        if (rack != racks_.end())
            speeds_[name] = std::exp(rack->second.log_speed_);
    }
}

double speed_model::speed_of(const worker_name& worker) const
{
    auto found = speeds_.find(worker);
    return found == speeds_.end() ? 1.0 : found->second;
}

} // namespace dandelioncrank::pool
