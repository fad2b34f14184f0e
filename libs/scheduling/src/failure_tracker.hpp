#pragma once

#include "dandelioncrank/scheduling/scheduling_types.hpp"

#include <map>
#include <set>

namespace dandelioncrank {

/// Tells workers that fail everything from jobs that fail everywhere.
///
/// A worker is blamed when several different jobs failed on it in a row; a
/// job when it failed on several different workers. A job that is to blame
/// is no evidence against the workers that it failed on.
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
