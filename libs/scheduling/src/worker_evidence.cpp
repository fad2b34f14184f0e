#include "worker_evidence.hpp"

namespace dandelioncrank {

namespace {

// Different jobs that must fail on a worker, with no success between.
constexpr std::size_t jobs_against_worker = 3;
// Different workers that a job must fail on.
constexpr std::size_t workers_against_job = 3;

} // namespace

void worker_evidence::record_success(const worker_name& worker)
{
    failed_jobs_.erase(worker);
}

void worker_evidence::record_failure(const worker_name& worker,
                                     const job_id& job)
{
    failed_jobs_[worker].insert(job);
    failed_on_[job].insert(worker);
    if (!blames_job(job))
        return;
    for (const worker_name& other : failed_on_[job]) {
        auto found = failed_jobs_.find(other);
        if (found != failed_jobs_.end())
            found->second.erase(job);
    }
}

bool worker_evidence::blames_worker(const worker_name& worker) const
{
    auto found = failed_jobs_.find(worker);
    return found != failed_jobs_.end() &&
           found->second.size() >= jobs_against_worker;
}

bool worker_evidence::blames_job(const job_id& job) const
{
    return workers_failed_on(job) >= workers_against_job;
}

std::size_t worker_evidence::workers_failed_on(const job_id& job) const
{
    auto found = failed_on_.find(job);
    return found == failed_on_.end() ? 0 : found->second.size();
}

void worker_evidence::forget_job(const job_id& job)
{
    failed_on_.erase(job);
}

void worker_evidence::forget_worker(const worker_name& worker)
{
    failed_jobs_.erase(worker);
}

} // namespace dandelioncrank
