#pragma once

#include "dandelioncrank/scheduling/scheduling_types.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace dandelioncrank {

using worker_index = std::uint32_t;
using rack_index = std::uint32_t;

/// On what terms a gang has its accelerators.
enum class allocation_class
{
    /// Inside its team's guarantee; never preempted.
    guaranteed,
    /// Beyond the guarantee; may be preempted.
    borrowed,
    /// Beyond the guarantee and never preempted, so only on accelerators
    /// that no guarantee needs.
    pinned
};

/// What a gang's tasks take of one worker.
struct resource_amount
{
    int accelerators_ = 0;
    int processors_ = 0;
    int memory_mb_ = 0;
};

/// One worker with everything that is counted on it, in accelerators unless
/// said otherwise.
struct pool_worker
{
    worker_info info_;
    rack_index rack_ = 0;
    std::string incarnation_;
    instant last_report_{};
    std::uint64_t last_command_ = 0;
    std::uint64_t acknowledged_ = 0;
    bool alive_ = false;
    /// No report for a while: gets nothing new.
    bool suspect_ = false;
    bool draining_ = false;
    bool quarantined_ = false;

    /// Promised to gangs, whether they have it yet or not.
    int allocated_ = 0;
    int guaranteed_ = 0;
    int pinned_ = 0;
    /// In the hands of gangs: a hold was sent and no end is confirmed.
    int occupied_ = 0;
    /// Part of what is allocated that belongs to gangs being stopped.
    int stopping_ = 0;
    /// In the hands of tasks that no known gang accounts for.
    int orphaned_ = 0;
    /// Kept for guarantees, used or not.
    int reserved_ = 0;
    int processors_ = 0;
    int memory_mb_ = 0;
    /// Gangs with a part here.
    std::set<gang_key> gangs_;

    [[nodiscard]] bool usable() const
    {
        return alive_ && !suspect_ && !draining_ && !quarantined_;
    }
    /// May carry guarantees: alive, and neither leaving nor in quarantine.
    [[nodiscard]] bool can_carry_guarantees() const
    {
        return alive_ && !draining_ && !quarantined_;
    }
    [[nodiscard]] int free() const
    {
        return info_.accelerators_ - allocated_ - orphaned_;
    }
    /// Free once everything that is being stopped has ended.
    [[nodiscard]] int free_after_stops() const { return free() + stopping_; }
    /// What a hold may take now.
    [[nodiscard]] int unoccupied() const
    {
        return info_.accelerators_ - occupied_ - orphaned_;
    }
    /// What guarantees and pinned work leave.
    [[nodiscard]] int unreserved() const
    {
        return info_.accelerators_ - reserved_ - pinned_;
    }
};

struct pool_rack
{
    rack_name name_;
    std::vector<worker_index> workers_;
    /// Sum over usable workers.
    int free_ = 0;
    int free_in_index_ = -1;
};

/// The workers of one zone, indexed by what is free on them.
class worker_pool
{
  public:
    /// Adds the worker or updates what it says about itself.
    worker_index upsert(const worker_info& info);

    [[nodiscard]] std::optional<worker_index>
    find(const worker_name& name) const;
    [[nodiscard]] const pool_worker& at(worker_index index) const
    {
        return workers_[index];
    }
    [[nodiscard]] std::size_t size() const { return workers_.size(); }
    [[nodiscard]] const std::vector<pool_rack>& racks() const { return racks_; }
    [[nodiscard]] const pool_rack& rack(rack_index index) const
    {
        return racks_[index];
    }

    /// Changes one worker and brings the indexes up to date. The change
    /// must not alter the worker's name or rack.
    template <class Change>
    void change(worker_index index, Change&& change)
    {
        change(workers_[index]);
        update_indexes(index);
    }

    void allocate(worker_index index, const resource_amount& amount,
                  allocation_class allocation);
    void release(worker_index index, const resource_amount& amount,
                 allocation_class allocation);

    /// Usable workers by free accelerators; positions are the counts.
    [[nodiscard]] const std::vector<std::set<worker_index>>&
    workers_by_free() const
    {
        return by_free_;
    }
    /// Racks by free accelerators, fewest first; only racks with any.
    [[nodiscard]] const std::set<std::pair<int, rack_index>>&
    racks_by_free() const
    {
        return racks_by_free_;
    }

    [[nodiscard]] int usable_free() const { return usable_free_; }
    [[nodiscard]] int live_accelerators() const { return live_; }
    [[nodiscard]] std::size_t quarantined() const { return quarantined_; }
    /// Throws invariant_violation unless all counts agree.
    void check_worker(worker_index index) const;

  private:
    void update_indexes(worker_index index);
    rack_index find_or_add_rack(const rack_name& name);

    struct indexed_state
    {
        int free_ = -1;
        int live_ = 0;
        bool quarantined_ = false;
    };

    std::vector<pool_worker> workers_;
    std::vector<indexed_state> indexed_;
    std::vector<pool_rack> racks_;
    std::unordered_map<worker_name, worker_index> by_name_;
    std::unordered_map<rack_name, rack_index> rack_by_name_;
    std::vector<std::set<worker_index>> by_free_;
    std::set<std::pair<int, rack_index>> racks_by_free_;
    int usable_free_ = 0;
    int live_ = 0;
    std::size_t quarantined_ = 0;
};

} // namespace dandelioncrank
