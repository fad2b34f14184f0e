#pragma once

#include "dandelioncrank/pool/guaranteed_demand.hpp"
#include "dandelioncrank/pool/performance_estimates.hpp"
#include "pending_unit.hpp"

#include <deque>
#include <optional>

namespace dandelioncrank::pool {

/// Forecasts the demand for guaranteed accelerators from recent arrivals.
class guarantee_forecast
{
  public:
    /// Notes a job that was accepted; ignores those without a guarantee.
    void note_accepted(const job_record& job, const pool_config& config,
                       const performance_estimates& estimates, instant at);
    void note_preemption(instant now) { preempted_at_ = now; }
    [[nodiscard]] guaranteed_demand forecast(instant now);

  private:
    struct arrival
    {
        instant at_{};
        team_name team_;
        double accelerators_ = 0;
        /// How long it occupies them.
        duration held_{};
    };

    /// In the order in which they were noted.
    std::deque<arrival> arrivals_;
    std::optional<instant> preempted_at_;
};

/// Accelerators to keep free for guaranteed work that is expected, within the
/// unused guarantees of its teams.
[[nodiscard]] std::int64_t expected_need(const guaranteed_demand& demand,
                                         const guarantee_usage& usage);

} // namespace dandelioncrank::pool
