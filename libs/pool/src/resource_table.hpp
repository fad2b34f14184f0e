#pragma once

#include "dandelioncrank/pool/placement_planner.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace dandelioncrank::pool {

/// Index of a worker in the table; stable during one plan.
using worker_index = std::size_t;
using victim_index = std::size_t;

/// Preemption candidate: runs that end together if one of them is stopped.
struct victim
{
    struct member
    {
        run_ref run_;
        worker_index worker_ = 0;
    };

    std::vector<member> members_;
    resources need_;
    /// Core-seconds of work lost by stopping them.
    double cost_ = 0;
    int priority_ = 0;
    bool is_guaranteed_ = false;
    /// It is being stopped, or has ended without a reported outcome so far.
    bool is_ending_ = false;
};

/// Available resources of a usable worker during one plan.
struct worker_resources
{
    const worker_info* info_ = nullptr;
    /// Number of jobs that failed there recently.
    int failures_ = 0;
    /// Free and not reserved.
    resources free_;
    /// Becomes free once the victims selected so far have ended.
    resources releasing_;
    /// In order of increasing cost.
    std::vector<victim_index> victims_;
};

/// Resources of all usable workers, and the runs that could be preempted.
class resource_table
{
  public:
    resource_table(const pool_state& state, const planner_input& input,
                   const std::set<job_id>& guaranteed);

    [[nodiscard]] const std::vector<worker_resources>& workers() const
    {
        return workers_;
    }
    [[nodiscard]] const victim& victim_at(victim_index index) const
    {
        return victims_[index];
    }
    /// Workers by rack.
    [[nodiscard]] const std::map<std::string, std::vector<worker_index>>&
    racks() const
    {
        return racks_;
    }
    [[nodiscard]] const std::vector<worker_index>& all_workers() const
    {
        return all_workers_;
    }
    [[nodiscard]] std::int64_t free_in_rack(const std::string& rack) const;
    [[nodiscard]] std::int64_t free_accelerators() const
    {
        return free_accelerators_;
    }
    [[nodiscard]] std::int64_t total_accelerators() const
    {
        return total_accelerators_;
    }
    /// Number of tasks of a step on a worker, including those of this plan.
    [[nodiscard]] std::uint32_t placed(const step_key& step,
                                       worker_index where) const;

    /// Allocates free resources.
    void allocate(worker_index where, const resources& need,
                  const step_key& step);
    /// Marks the resources of a victim as about to be released.
    void mark_releasing(victim_index index);
    /// Reserves resources for a waiting task, those being released first.
    void reserve(worker_index where, const resources& need,
                 const step_key& step);

  private:
    void add_victims_of(const job_record& job);
    void assess(const job_record& job, victim& item) const;

    const pool_state& state_;
    const planner_input& input_;
    const std::set<job_id>& guaranteed_;
    std::vector<worker_resources> workers_;
    std::vector<worker_index> all_workers_;
    std::unordered_map<worker_name, worker_index> by_name_;
    std::map<std::string, std::vector<worker_index>> racks_;
    std::vector<victim> victims_;
    std::map<std::pair<step_key, worker_index>, std::uint32_t> placed_;
    std::int64_t free_accelerators_ = 0;
    std::int64_t total_accelerators_ = 0;
};

} // namespace dandelioncrank::pool
