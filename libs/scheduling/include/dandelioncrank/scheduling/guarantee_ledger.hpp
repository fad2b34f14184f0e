#pragma once

#include "dandelioncrank/scheduling/placement.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dandelioncrank {

/// Share of one worker that is reserved for a guaranteed block.
struct guarantee_cell
{
    worker_index worker_ = 0;
    int accelerators_ = 0;
    /// Allocated to the team's guaranteed gangs.
    int used_ = 0;
};

/// One guaranteed block and the cells reserved for it.
struct guarantee_block
{
    team_name team_;
    int accelerators_ = 0;
    adjacency within_ = adjacency::rack;
    std::vector<guarantee_cell> cells_;

    [[nodiscard]] int placed() const;
    [[nodiscard]] int used() const;
};

/// How a gang would be placed in its team's blocks.
struct guarantee_plan
{
    placement_plan parts_;
    /// Index of the block that each part uses.
    std::vector<std::size_t> blocks_;
    /// Unused block that moves to the new cells below.
    std::optional<std::size_t> moved_block_;
    std::vector<guarantee_cell> moved_cells_;
    /// Accelerators that have to be preempted from borrowed gangs.
    int shortfall_ = 0;
};

/// A guaranteed block that the live workers cannot hold in full.
struct guarantee_shortage
{
    team_name team_;
    int accelerators_ = 0;
    adjacency within_ = adjacency::rack;
    int missing_ = 0;
};

/// Reserves cells for every guaranteed block, used or not, so that all teams
/// can reclaim their guarantees at the same time. A worker's cells and pinned
/// allocations together never exceed its accelerators.
class guarantee_ledger
{
  public:
    explicit guarantee_ledger(worker_pool& pool);

    /// Applies the configured guarantees of one zone. Blocks that remain keep
    /// their cells; new ones get cells from place_missing_blocks().
    void configure(const configuration& rules, const zone_name& zone);

    /// Moves all cells off a worker that can no longer carry guarantees.
    /// The callback gets each block that moves as a whole and has to demote
    /// the gangs in it to borrowed.
    void
    relocate_blocks(worker_index index,
                    const std::function<void(std::size_t block)>& on_moved);

    /// Tries to find cells for blocks that lack some. With may_repack, all
    /// unused blocks may move for this, which scans the whole pool.
    void place_missing_blocks(bool may_repack);

    /// Placement with the smallest shortfall in the team's blocks, if any.
    [[nodiscard]] std::optional<guarantee_plan> plan(const job_spec& job) const;

    /// Marks the cells of the plan as used.
    void acquire(const job_spec& job, const guarantee_plan& plan);
    /// Moves an unused block of the team to where a gang already runs.
    /// Returns the block of each part, or nothing if no block fits.
    std::optional<std::vector<std::size_t>> adopt(const job_spec& job,
                                                  const placement_plan& parts);
    /// Returns used accelerators of a block to it.
    void release(std::size_t block, worker_index worker, int accelerators);

    [[nodiscard]] const std::vector<guarantee_block>& blocks() const
    {
        return blocks_;
    }
    [[nodiscard]] const std::vector<guarantee_shortage>& shortages() const
    {
        return shortages_;
    }
    /// Whether the team's blocks could hold the job if they were unused.
    [[nodiscard]] bool could_hold(const job_spec& job) const;
    [[nodiscard]] bool has_room_for(const job_spec& job) const;

    /// Throws invariant_violation if any count disagrees with the pool.
    void check() const;

  private:
    [[nodiscard]] std::vector<guarantee_cell>
    find_cells(const guarantee_block& block, int need, bool prefer_free) const;
    [[nodiscard]] std::optional<guarantee_plan>
    plan_in_place(const job_spec& job,
                  const std::vector<std::size_t>& candidates) const;
    [[nodiscard]] std::optional<guarantee_plan>
    plan_moved(const job_spec& job, std::size_t block) const;
    [[nodiscard]] std::vector<guarantee_cell>
    cells_in_rack(rack_index rack, const guarantee_block& block, int need,
                  bool prefer_free) const;
    [[nodiscard]] int room_for_cells(worker_index index,
                                     const guarantee_block& block) const;
    bool repair_in_rack(guarantee_block& block, int missing);
    void grow_in_worker(guarantee_block& block, int missing);
    void repack_unused();
    void set_cells(std::size_t block, std::vector<guarantee_cell> cells);
    void adjust_reserved(const guarantee_cell& cell, int sign);
    void update_shortages();

    worker_pool& pool_;
    std::vector<guarantee_block> blocks_;
    std::map<team_name, std::vector<std::size_t>> by_team_;
    std::vector<guarantee_shortage> shortages_;
};

} // namespace dandelioncrank
