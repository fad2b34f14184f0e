#pragma once

#include "dandelioncrank/scheduling/scheduling_types.hpp"

#include <map>
#include <set>

namespace dandelioncrank {

/// Attributes task failures to faulty workers or to faulty jobs.
///
/// A worker is faulty when several different jobs have failed on it without a
/// success in between, a job when it has failed on several different workers.
/// Failures of a faulty job do not count against workers.
class failure_tracker
{
  public:
    void record_success(const worker_name& worker);
    void record_failure(const worker_name& worker, const job_id& job);

    [[nodiscard]] bool is_worker_faulty(const worker_name& worker) const;
    [[nodiscard]] bool is_job_faulty(const job_id& job) const;
    [[nodiscard]] std::size_t workers_failed_on(const job_id& job) const;

    void forget_job(const job_id& job);
    void forget_worker(const worker_name& worker);

  private:
    std::map<worker_name, std::set<job_id>> failed_jobs_;
    std::map<job_id, std::set<worker_name>> failed_on_;
};

} // namespace dandelioncrank
