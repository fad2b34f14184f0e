#pragma once

#include "dandelioncrank/scheduling/placement.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dandelioncrank {

/// Accelerators of one worker that belong to a guaranteed block.
struct guarantee_cell
{
    worker_index worker_ = 0;
    int accelerators_ = 0;
    /// In the hands of the team's guaranteed gangs.
    int used_ = 0;
};

/// One guaranteed block and the place kept for it.
struct guarantee_block
{
    team_name team_;
    int accelerators_ = 0;
    adjacency within_ = adjacency::rack;
    std::vector<guarantee_cell> cells_;

    [[nodiscard]] int placed() const;
    [[nodiscard]] int used() const;
};

/// Where a gang would use its team's blocks.
struct guarantee_plan
{
    placement_plan parts_;
    /// Block of each part.
    std::vector<std::size_t> blocks_;
    /// New place of a block that is unused now.
    std::optional<std::size_t> moved_block_;
    std::vector<guarantee_cell> moved_cells_;
    /// Accelerators that borrowed work would have to give up.
    int shortfall_ = 0;
};

/// A guarantee that the workers alive now cannot hold.
struct guarantee_shortage
{
    team_name team_;
    int accelerators_ = 0;
    adjacency within_ = adjacency::rack;
    int missing_ = 0;
};

/// Keeps a place for every guaranteed block, used or not, so that all teams'
/// guarantees can be reclaimed together at any moment. The places are the
/// witness of that promise: each worker's cells and pinned work never exceed
/// what it has.
class guarantee_ledger
{
  public:
    explicit guarantee_ledger(worker_pool& pool);

    /// Takes the guarantees of one zone. Blocks that stay keep their place;
    /// new ones get theirs from restore().
    void configure(const configuration& rules, const zone_name& zone);

    /// Call when a worker can no longer carry guarantees. Gangs in blocks
    /// that had to move elsewhere become borrowed; the callback names the
    /// blocks.
    void
    relocate_blocks(worker_index index,
                    const std::function<void(std::size_t block)>& on_moved);

    /// Tries to place what is short. May_repack lets it move all unused
    /// blocks for that, which looks at the whole pool.
    void place_missing_blocks(bool may_repack);

    /// Best use of the team's blocks for this job, or nothing.
    [[nodiscard]] std::optional<guarantee_plan> plan(const job_spec& job) const;

    /// Takes the cells of the plan.
    void acquire(const job_spec& job, const guarantee_plan& plan);
    /// Puts an unused block of the team where a gang already runs; the block
    /// of each part, or nothing if none fits.
    std::optional<std::vector<std::size_t>> adopt(const job_spec& job,
                                                  const placement_plan& parts);
    /// Gives cells back.
    void release(std::size_t block, worker_index worker, int accelerators);

    [[nodiscard]] const std::vector<guarantee_block>& blocks() const
    {
        return blocks_;
    }
    [[nodiscard]] const std::vector<guarantee_shortage>& shortages() const
    {
        return shortages_;
    }
    /// Whether the team's blocks could hold the job if nothing used them.
    [[nodiscard]] bool could_hold(const job_spec& job) const;
    [[nodiscard]] bool has_room_for(const job_spec& job) const;

    /// Compares every count with the pool; throws invariant_violation.
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
