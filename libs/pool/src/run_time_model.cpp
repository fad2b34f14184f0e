#include "run_time_model.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace dandelioncrank::pool {

namespace {

// Number of runs of a kind whose median is taken.
constexpr std::size_t max_runs = 16;
// Maximum number of classes, and of queues, that are kept.
constexpr std::size_t max_classes = 256;
// A run is as much worth as this many declarations of its queue's jobs.
constexpr double declared_weight_runs = 4;
// Share of the latest error in the mean.
constexpr double error_weight = 0.15;
// Single tasks that take several times as long count as off by this factor.
constexpr double max_error_factor = 3.0;
// A prediction is reliable after this many runs, if it is off by less than this
// factor in the mean.
constexpr std::size_t min_reliable_runs = 8;
constexpr double max_reliable_factor = 1.3;
constexpr duration shortest_time = std::chrono::milliseconds(1);

double to_log(duration value)
{
    using seconds = std::chrono::duration<double>;
    return std::log(seconds(std::max(value, shortest_time)).count());
}

duration from_log(double value)
{
    using seconds = std::chrono::duration<double>;
    return std::chrono::round<duration>(seconds(std::exp(value)));
}

double median_of(std::vector<double> values)
{
    auto middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

int size_class(std::int64_t value)
{
    return std::bit_width(
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, value)));
}

} // namespace

queue_address queue_of(const job_record& job)
{
    return job.address_.empty() ? queue_address{{}, job.policy().name_}
                                : job.address_;
}

void run_time_statistics::add(double log_actual, double log_declared)
{
    if (actual_.size() < max_runs) {
        actual_.push_back(log_actual);
        ratios_.push_back(log_actual - log_declared);
    } else {
        actual_[next_] = log_actual;
        ratios_[next_] = log_actual - log_declared;
        next_ = (next_ + 1) % max_runs;
    }
    ++count_;
    median_actual_ = median_of(actual_);
    median_ratio_ = median_of(ratios_);
}

run_time_model::class_key run_time_model::key_of(const queue_address& queue,
                                                 const step_spec& spec)
{
    return {queue, size_class(spec.need_.accelerators_),
            size_class(spec.count_)};
}

std::array<std::optional<double>, run_time_model::predictor_count>
run_time_model::predict_all(const class_key& key, double log_declared) const
{
    std::array<std::optional<double>, predictor_count> result;
    auto own = classes_.find(key);
    if (own != classes_.end() && own->second.statistics_.count() > 0) {
        result[0] = own->second.statistics_.by_ratio(log_declared);
        result[1] = own->second.statistics_.by_time();
    }
    auto queue = queues_.find(key.queue_);
    if (queue != queues_.end()) {
        result[2] = queue->second.by_ratio(log_declared);
        result[3] = queue->second.by_time();
    }
    return result;
}

void run_time_model::record(const queue_address& queue, const step_spec& spec,
                            duration run_time)
{
    class_key key = key_of(queue, spec);
    double actual = to_log(run_time);
    double declared = to_log(spec.estimate_);
    auto predictions = predict_all(key, declared);
    if (!classes_.contains(key))
        make_room();
    class_entry& entry = classes_[key];
    for (std::size_t i = 0; i < predictor_count; ++i) {
        if (!predictions[i])
            continue;
        double error = std::min(std::abs(*predictions[i] - actual),
                                std::log(max_error_factor));
        // The first errors count alike.
        double weight = std::max(error_weight,
                                 1.0 / static_cast<double>(++entry.tries_[i]));
        entry.errors_[i] += weight * (error - entry.errors_[i]);
    }
    entry.used_ = ++runs_;
    entry.statistics_.add(actual, declared);
    queues_[queue].add(actual, declared);
}

void run_time_model::make_room()
{
    if (classes_.size() < max_classes)
        return;
    auto oldest =
        std::min_element(classes_.begin(), classes_.end(),
                         [](const auto& left, const auto& right) {
                             return left.second.used_ < right.second.used_;
                         });
    queue_address queue = oldest->first.queue_;
    classes_.erase(oldest);
    auto other = classes_.lower_bound({queue, 0, 0});
    if (other == classes_.end() || other->first.queue_ != queue)
        queues_.erase(queue);
}

std::optional<run_time_model::prediction>
run_time_model::predict(const queue_address& queue, const step_spec& spec) const
{
    class_key key = key_of(queue, spec);
    auto predictions = predict_all(key, to_log(spec.estimate_));
    auto own = classes_.find(key);
    if (own == classes_.end()) {
        if (!predictions[2])
            return std::nullopt;
        // Other classes of the queue tell how far its declarations are off.
        return prediction{*predictions[2], std::log(max_error_factor), 1};
    }
    std::optional<prediction> best;
    for (std::size_t i = 0; i < predictor_count; ++i) {
        if (!predictions[i])
            continue;
        double error = own->second.tries_[i] > 0 ? own->second.errors_[i]
                                                 : std::log(max_error_factor);
        if (!best || error < best->error_)
            best = {*predictions[i], error, own->second.statistics_.count()};
    }
    return best;
}

duration run_time_model::estimate(const queue_address& queue,
                                  const step_spec& spec) const
{
    auto found = predict(queue, spec);
    if (!found)
        return spec.estimate_;
    auto runs = static_cast<double>(found->runs_);
    double weight = runs / (runs + declared_weight_runs);
    return from_log(weight * found->log_time_ +
                    (1 - weight) * to_log(spec.estimate_));
}

std::optional<duration>
run_time_model::reliable_estimate(const queue_address& queue,
                                  const step_spec& spec) const
{
    auto found = predict(queue, spec);
    if (!found || found->runs_ < min_reliable_runs ||
        found->error_ > std::log(max_reliable_factor))
        return std::nullopt;
    return from_log(found->log_time_);
}

} // namespace dandelioncrank::pool
