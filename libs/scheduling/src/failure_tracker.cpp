#include "failure_tracker.hpp"

namespace dandelioncrank {

namespace {

// Different jobs that fail on a worker without a success in between.
constexpr std::size_t min_failed_jobs_per_worker = 3;
// Different workers that a job fails on.
constexpr std::size_t min_failed_workers_per_job = 3;

} // namespace

void failure_tracker::record_success(const worker_name& worker)
{
    failed_jobs_.erase(worker);
}

void failure_tracker::record_failure(const worker_name& worker,
                                     const job_id& job)
{
    failed_jobs_[worker].insert(job);
    failed_on_[job].insert(worker);
    if (!is_job_faulty(job))
        return;
    for (const worker_name& other : failed_on_[job]) {
        auto found = failed_jobs_.find(other);
        if (found != failed_jobs_.end())
            found->second.erase(job);
    }
}

bool failure_tracker::is_worker_faulty(const worker_name& worker) const
{
    auto found = failed_jobs_.find(worker);
    return found != failed_jobs_.end() &&
           found->second.size() >= min_failed_jobs_per_worker;
}

bool failure_tracker::is_job_faulty(const job_id& job) const
{
    return workers_failed_on(job) >= min_failed_workers_per_job;
}

std::size_t failure_tracker::workers_failed_on(const job_id& job) const
{
    auto found = failed_on_.find(job);
    return found == failed_on_.end() ? 0 : found->second.size();
}

void failure_tracker::forget_job(const job_id& job)
{
    failed_on_.erase(job);
}

void failure_tracker::forget_worker(const worker_name& worker)
{
    failed_jobs_.erase(worker);
}

} // namespace dandelioncrank
