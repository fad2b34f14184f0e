#include "job_value.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

// Core-seconds equivalent to one accelerator-second, by the platform's price
// of lost work.
constexpr double cores_per_accelerator = 8.0;
// A job has no value once it ends later than this multiple of its objective.
constexpr int expiry_factor = 3;

} // namespace

double core_equivalents(const resources& need)
{
    return static_cast<double>(need.cpu_) / 1000.0 +
           cores_per_accelerator * static_cast<double>(need.accelerators_);
}

double to_seconds(duration value)
{
    return static_cast<double>(value.count()) / 1e6;
}

duration critical_path(const job_record& job,
                       const occurrence_record* remaining_in)
{
    std::vector<duration> ends;
    duration longest{};
    for (std::size_t s = 0; s < job.spec_.steps_.size(); ++s) {
        const step_spec& spec = job.spec_.steps_[s];
        duration begin{};
        for (std::uint32_t earlier : spec.depends_on_)
            begin = std::max(begin, ends.at(earlier));
        bool counts =
            remaining_in == nullptr || !remaining_in->steps_.at(s).is_done();
        ends.push_back(begin + (counts ? spec.estimate_ : duration::zero()));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

std::int64_t accelerators_of(const job_record& job)
{
    std::int64_t sum = 0;
    for (const step_spec& spec : job.spec_.steps_)
        sum += spec.need_.accelerators_ * spec.count_;
    return sum;
}

job_lateness lateness_of(const job_record& job, std::uint32_t occurrence,
                         duration age)
{
    duration total = critical_path(job, nullptr);
    duration remaining = critical_path(job, job.occurrences_.find(occurrence));
    auto objective =
        std::chrono::duration_cast<duration>(total * job.policy().stretch_) +
        job.policy().target_;
    if (age + remaining > expiry_factor * objective)
        return job_lateness::expired;
    return age + remaining > objective ? job_lateness::late
                                       : job_lateness::on_time;
}

} // namespace dandelioncrank::pool
