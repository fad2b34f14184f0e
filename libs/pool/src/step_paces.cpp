#include "step_paces.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// Number of runs of a step whose pace is kept.
constexpr std::size_t max_samples = 16;
// Number of runs from which the median holds beside one that takes far longer
// than the others.
constexpr std::size_t min_samples = 3;
// Number of steps that are kept.
constexpr std::size_t max_steps = 4096;
// How long a step without progress is kept.
constexpr duration step_memory = 10min;

} // namespace

void step_paces::set(const run_ref& run, const worker_name& worker,
                     duration percent, instant now)
{
    key step{run.task_.job_, run.task_.step_};
    if (steps_.size() >= max_steps && !steps_.contains(step))
        return;
    step_samples& record = steps_[step];
    record.changed_at_ = now;
    auto found = std::find_if(
        record.samples_.begin(), record.samples_.end(),
        [&run](const sample& item) { return item.task_ == run.task_; });
    if (found != record.samples_.end()) {
        *found = {run.task_, worker, percent};
    } else if (record.samples_.size() < max_samples) {
        record.samples_.push_back({run.task_, worker, percent});
    } else {
        record.samples_[record.oldest_] = {run.task_, worker, percent};
        record.oldest_ = (record.oldest_ + 1) % max_samples;
    }
}

std::optional<duration> step_paces::elsewhere(const task_ref& task,
                                              const worker_name& worker) const
{
    auto found = steps_.find({task.job_, task.step_});
    if (found == steps_.end())
        return std::nullopt;
    std::vector<duration> paces;
    for (const sample& item : found->second.samples_) {
        if (item.worker_ != worker)
            paces.push_back(item.percent_);
    }
    if (paces.size() < min_samples)
        return std::nullopt;
    auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    return *middle;
}

void step_paces::forget_old(instant now)
{
    std::erase_if(steps_, [now](const auto& item) {
        return now - item.second.changed_at_ > step_memory;
    });
}

} // namespace dandelioncrank::pool
