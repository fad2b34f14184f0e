#include "job_value.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

// Core-seconds that one accelerator-second stands for; from the platform's
// price of lost work.
constexpr double cores_per_accelerator = 8.0;
// A job that ends later than this many times its objective has no value.
constexpr int late_factor = 3;

} // namespace

double cores_of(const resources& need)
{
    return static_cast<double>(need.cpu_) / 1000.0 +
           cores_per_accelerator * static_cast<double>(need.accelerators_);
}

double to_seconds(duration value)
{
    return static_cast<double>(value.count()) / 1e6;
}

duration longest_chain(const job_record& job,
                       const occurrence_record* undone_in)
{
    std::vector<duration> ends;
    duration longest{};
    for (std::size_t s = 0; s < job.order_.steps_.size(); ++s) {
        const step_spec& spec = job.order_.steps_[s];
        duration begin{};
        for (std::uint32_t earlier : spec.after_)
            begin = std::max(begin, ends.at(earlier));
        bool counts =
            undone_in == nullptr || !undone_in->steps_.at(s).is_done();
        ends.push_back(begin + (counts ? spec.estimate_ : duration::zero()));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

std::int64_t accelerators_of(const job_record& job)
{
    std::int64_t sum = 0;
    for (const step_spec& spec : job.order_.steps_)
        sum += spec.need_.accelerators_ * spec.count_;
    return sum;
}

job_prospect prospect_of(const job_record& job, std::uint32_t occurrence,
                         duration age)
{
    duration chain = longest_chain(job, nullptr);
    duration rest = longest_chain(job, &job.occurrences_.at(occurrence));
    auto objective =
        std::chrono::duration_cast<duration>(chain * job.queue_.stretch_) +
        job.queue_.target_;
    if (age + rest > late_factor * objective)
        return job_prospect::worthless;
    return age + rest > objective ? job_prospect::late : job_prospect::on_time;
}

} // namespace dandelioncrank::pool
