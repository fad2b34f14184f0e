#pragma once

#include "dandelioncrank/pool/placement_planner.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace dandelioncrank::pool {

/// Index of a room; rooms keep theirs during one plan.
using worker_index = std::size_t;
using victim_index = std::size_t;

/// Runs that end together if one of them is stopped.
struct victim
{
    struct member
    {
        run_ref run_;
        worker_index worker_ = 0;
    };

    std::vector<member> members_;
    resources need_;
    /// Core-seconds of work that stopping them loses.
    double cost_ = 0;
    int priority_ = 0;
    bool is_guaranteed_ = false;
    /// It is being stopped, or has ended and is yet to be listed.
    bool is_ending_ = false;
};

/// What a usable worker has left during one plan.
struct worker_resources
{
    const worker_info* info_ = nullptr;
    /// Jobs that failed there lately.
    int failures_ = 0;
    /// Free now and promised to nobody.
    resources free_;
    /// Becomes free once the victims chosen so far have ended.
    resources releasing_;
    /// The cheapest first.
    std::vector<victim_index> victims_;
};

/// The rooms of all usable workers and the runs that may give way in them.
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
    /// Rooms by rack.
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
    /// Tasks of a step on a worker, those placed in this plan included.
    [[nodiscard]] std::uint32_t placed(const step_key& step,
                                       worker_index where) const;

    /// Takes free room.
    void allocate(worker_index where, const resources& need,
                  const step_key& step);
    /// Promises what a victim holds once it has ended.
    void mark_releasing(victim_index index);
    /// Keeps room, first of what becomes free, for a task that waits for it.
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
