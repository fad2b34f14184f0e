#include "dandelioncrank/pool/occurrence_table.hpp"

#include <algorithm>
#include <utility>

namespace dandelioncrank::pool {

bool step_record::is_done() const
{
    return std::all_of(tasks_.begin(), tasks_.end(),
                       [](const task_record& task) { return task.is_done_; });
}

bool occurrence_record::is_done() const
{
    return std::all_of(steps_.begin(), steps_.end(),
                       [](const step_record& step) { return step.is_done(); });
}

bool occurrence_record::has_runs() const
{
    return std::any_of(
        steps_.begin(), steps_.end(),
        [](const step_record& step) { return step.running_ > 0; });
}

const occurrence_record* occurrence_table::find(std::uint32_t number) const
{
    auto found = records_.find(number);
    return found == records_.end() ? nullptr : &found->second;
}

occurrence_record* occurrence_table::find(std::uint32_t number)
{
    auto found = records_.find(number);
    return found == records_.end() ? nullptr : &found->second;
}

const occurrence_record& occurrence_table::at(std::uint32_t number) const
{
    return records_.at(number);
}

occurrence_record& occurrence_table::at(std::uint32_t number)
{
    return records_.at(number);
}

bool occurrence_table::is_done(std::uint32_t number) const
{
    if (number < done_before_ || done_later_.contains(number))
        return true;
    // Its record stays while runs of it may exist.
    const occurrence_record* record = find(number);
    return record != nullptr && record->is_done();
}

bool occurrence_table::are_done(std::uint32_t count) const
{
    std::size_t known = done_before_ + done_later_.size() + records_.size();
    return known >= count &&
           std::all_of(records_.begin(), records_.end(),
                       [](const auto& item) { return item.second.is_done(); });
}

bool occurrence_table::have_runs() const
{
    return std::any_of(records_.begin(), records_.end(),
                       [](const auto& item) { return item.second.has_runs(); });
}

std::vector<std::uint32_t> occurrence_table::unstarted(std::uint32_t end,
                                                       std::size_t limit) const
{
    std::vector<std::uint32_t> result;
    for (std::uint32_t number = done_before_;
         number < end && result.size() < limit; ++number) {
        if (!records_.contains(number) && !done_later_.contains(number))
            result.push_back(number);
    }
    return result;
}

occurrence_record& occurrence_table::open(std::uint32_t number,
                                          const std::vector<step_spec>& steps)
{
    auto [found, is_new] = records_.try_emplace(number);
    if (is_new) {
        found->second.steps_.resize(steps.size());
        for (std::size_t s = 0; s < steps.size(); ++s)
            found->second.steps_[s].tasks_.resize(steps[s].count_);
    }
    return found->second;
}

bool occurrence_table::close_if_done(std::uint32_t number)
{
    const occurrence_record* record = find(number);
    if (record == nullptr || record->has_runs() || !record->is_done())
        return false;
    records_.erase(number);
    mark_done(number);
    return true;
}

void occurrence_table::mark_done(std::uint32_t number)
{
    done_later_.insert(number);
    while (!done_later_.empty() && *done_later_.begin() == done_before_) {
        done_later_.erase(done_later_.begin());
        ++done_before_;
    }
}

void occurrence_table::adopt(std::vector<occurrence_record> all)
{
    auto was_started = [](const task_record& task) {
        return task.run_ > 0 || task.is_done_;
    };
    auto has_begun = [&](const step_record& step) {
        return std::any_of(step.tasks_.begin(), step.tasks_.end(), was_started);
    };
    auto has_worker = [](const step_record& step) {
        return std::any_of(
            step.tasks_.begin(), step.tasks_.end(),
            [](const task_record& task) { return !task.worker_.empty(); });
    };
    for (std::uint32_t number = 0; number < all.size(); ++number) {
        occurrence_record& item = all[number];
        bool may_run =
            std::any_of(item.steps_.begin(), item.steps_.end(), has_worker);
        if (item.is_done() && !may_run)
            mark_done(number);
        else if (std::any_of(item.steps_.begin(), item.steps_.end(), has_begun))
            records_.emplace(number, std::move(item));
    }
}

} // namespace dandelioncrank::pool
