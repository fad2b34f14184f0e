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

/// How a gang's accelerators are accounted and whether it may be preempted.
enum class allocation_class
{
    /// Within its team's guarantee; never preempted.
    guaranteed,
    /// Beyond the guarantee; may be preempted.
    borrowed,
    /// Beyond the guarantee but never preempted, hence only on accelerators
    /// that no guarantee reserves.
    pinned
};

/// Resources that a gang's tasks use on one worker.
struct resource_amount
{
    int accelerators_ = 0;
    int processors_ = 0;
    int memory_mb_ = 0;
};

/// One worker and its resource counts, in accelerators unless named
/// otherwise.
struct pool_worker
{
    worker_info info_;
    rack_index rack_ = 0;
    std::string incarnation_;
    instant last_report_{};
    std::uint64_t last_command_ = 0;
    std::uint64_t acknowledged_ = 0;
    bool alive_ = false;
    /// A command was not acknowledged in time; gets no new work.
    bool suspect_ = false;
    bool draining_ = false;
    bool quarantined_ = false;
    /// It reported other resources, which do not count yet.
    bool resizing_ = false;

    /// Assigned to gangs, whether already occupied or not.
    int allocated_ = 0;
    int guaranteed_ = 0;
    int pinned_ = 0;
    /// Occupied by gangs: a hold was sent and no end is confirmed.
    int occupied_ = 0;
    /// Share of allocated_ that belongs to gangs that are being stopped.
    int stopping_ = 0;
    /// Occupied by reported tasks that belong to no known gang.
    int orphaned_ = 0;
    /// Reserved for guarantees, used or not.
    int reserved_ = 0;
    /// Allocated processors and memory.
    int processors_ = 0;
    int memory_mb_ = 0;
    /// Gangs with a part on this worker.
    std::set<gang_key> gangs_;

    [[nodiscard]] bool usable() const
    {
        return can_carry_guarantees() && !suspect_;
    }
    /// Alive, and neither draining, quarantined nor being resized.
    [[nodiscard]] bool can_carry_guarantees() const
    {
        return alive_ && !draining_ && !quarantined_ && !resizing_;
    }
    [[nodiscard]] int free() const
    {
        return info_.accelerators_ - allocated_ - orphaned_;
    }
    /// Free after all gangs that are being stopped have ended.
    [[nodiscard]] int free_after_stops() const { return free() + stopping_; }
    /// Available for a hold now.
    [[nodiscard]] int unoccupied() const
    {
        return info_.accelerators_ - occupied_ - orphaned_;
    }
    /// Neither reserved for guarantees nor used by pinned gangs.
    [[nodiscard]] int unreserved() const
    {
        return info_.accelerators_ - reserved_ - pinned_;
    }
};

struct pool_rack
{
    rack_name name_;
    std::vector<worker_index> workers_;
    /// Sum over the usable workers.
    int free_ = 0;
    int free_in_index_ = -1;
};

/// Workers of one zone, indexed by their free accelerators.
class worker_pool
{
  public:
    /// Returns the index of the worker, which is added if its name is unknown.
    /// The info of a known worker is not changed.
    worker_index find_or_add(const worker_info& info);

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

    /// Modifies one worker and updates the indexes. The worker's name and
    /// rack must not change.
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

    /// Element n holds the usable workers with n free accelerators.
    [[nodiscard]] const std::vector<std::set<worker_index>>&
    workers_by_free() const
    {
        return by_free_;
    }
    /// Racks with free accelerators, in ascending order of their number.
    [[nodiscard]] const std::set<std::pair<int, rack_index>>&
    racks_by_free() const
    {
        return racks_by_free_;
    }

    [[nodiscard]] int usable_free() const { return usable_free_; }
    [[nodiscard]] int live_accelerators() const { return live_; }
    [[nodiscard]] std::size_t quarantined() const { return quarantined_; }
    /// Throws invariant_violation if the worker's counts are inconsistent.
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
