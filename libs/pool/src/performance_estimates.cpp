#include "dandelioncrank/pool/performance_estimates.hpp"

#include "run_time_model.hpp"

namespace dandelioncrank::pool {

double performance_estimates::speed_of(const worker_name& worker) const
{
    auto found = worker_speeds_.find(worker);
    return found == worker_speeds_.end() ? 1.0 : found->second;
}

duration performance_estimates::run_time_of(const job_record& job,
                                            const step_spec& spec) const
{
    return run_times_ == nullptr ? spec.estimate_
                                 : run_times_->estimate(queue_of(job), spec);
}

} // namespace dandelioncrank::pool
