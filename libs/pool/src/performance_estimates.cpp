#include "dandelioncrank/pool/performance_estimates.hpp"

namespace dandelioncrank::pool {

double performance_estimates::speed_of(const worker_name& worker) const
{
    auto found = worker_speeds_.find(worker);
    return found == worker_speeds_.end() ? 1.0 : found->second;
}

duration performance_estimates::run_time_of(const job_record& /*job*/,
                                            const step_spec& spec) const
{
    return spec.estimate_;
}

} // namespace dandelioncrank::pool
