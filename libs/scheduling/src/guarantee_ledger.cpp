#include "dandelioncrank/scheduling/guarantee_ledger.hpp"

#include "dandelioncrank/core/invariant.hpp"
#include "dandelioncrank/manifest/block_packing.hpp"

#include <algorithm>
#include <numeric>

namespace dandelioncrank {

namespace {

// Racks that are tried as a new location of a block.
constexpr int max_racks_per_move = 16;

int sum_of(const std::vector<guarantee_cell>& cells)
{
    int sum = 0;
    for (const guarantee_cell& cell : cells)
        sum += cell.accelerators_;
    return sum;
}

} // namespace

int guarantee_block::placed() const
{
    return sum_of(cells_);
}

int guarantee_block::used() const
{
    int sum = 0;
    for (const guarantee_cell& cell : cells_)
        sum += cell.used_;
    return sum;
}

guarantee_ledger::guarantee_ledger(worker_pool& pool) : pool_(pool) {}

void guarantee_ledger::adjust_reserved(const guarantee_cell& cell, int sign)
{
    pool_.change(cell.worker_, [&](pool_worker& worker) {
        worker.reserved_ += sign * cell.accelerators_;
    });
}

void guarantee_ledger::set_cells(std::size_t block,
                                 std::vector<guarantee_cell> cells)
{
    for (const guarantee_cell& cell : blocks_[block].cells_)
        adjust_reserved(cell, -1);
    blocks_[block].cells_ = std::move(cells);
    for (const guarantee_cell& cell : blocks_[block].cells_)
        adjust_reserved(cell, 1);
}

void guarantee_ledger::configure(const configuration& rules,
                                 const zone_name& zone)
{
    std::vector<guarantee_block> configured;
    for (const auto& [name, team] : rules.teams_) {
        for (const guarantee& item : team.guarantees_) {
            if (item.zone_ != zone)
                continue;
            for (int i = 0; i < item.blocks_; ++i)
                configured.push_back(
                    {name, item.accelerators_, item.within_, {}});
        }
    }
    auto same_shape = [](const guarantee_block& a, const guarantee_block& b) {
        return a.team_ == b.team_ && a.accelerators_ == b.accelerators_ &&
               a.within_ == b.within_;
    };
    // Blocks are never erased, because gangs refer to them by index. A block
    // that is no longer configured shrinks to the cells in use.
    std::vector<bool> kept(blocks_.size(), false);
    for (const guarantee_block& block : configured) {
        bool matched = false;
        for (std::size_t i = 0; i < blocks_.size() && !matched; ++i) {
            if (!kept[i] && same_shape(blocks_[i], block))
                matched = kept[i] = true;
        }
        if (!matched) {
            blocks_.push_back(block);
            kept.push_back(true);
        }
    }
    for (std::size_t i = 0; i < blocks_.size(); ++i) {
        if (kept[i])
            continue;
        std::vector<guarantee_cell> cells;
        for (guarantee_cell cell : blocks_[i].cells_) {
            cell.accelerators_ = cell.used_;
            if (cell.used_ > 0)
                cells.push_back(cell);
        }
        set_cells(i, std::move(cells));
        blocks_[i].accelerators_ = blocks_[i].used();
    }
    by_team_.clear();
    for (std::size_t i = 0; i < blocks_.size(); ++i)
        by_team_[blocks_[i].team_].push_back(i);
}

int guarantee_ledger::room_for_cells(worker_index index,
                                     const guarantee_block& block) const
{
    const pool_worker& worker = pool_.at(index);
    if (!worker.can_carry_guarantees())
        return 0;
    int room = worker.unreserved();
    for (const guarantee_cell& cell : block.cells_) {
        if (cell.worker_ == index)
            room += cell.accelerators_;
    }
    return std::max(0, room);
}

// Finds cells in one rack. With prefer_free, workers with the most free
// accelerators come first, to preempt as little borrowed work as possible;
// otherwise the tightest fit comes first.
std::vector<guarantee_cell>
guarantee_ledger::cells_in_rack(rack_index rack, const guarantee_block& block,
                                int need, bool prefer_free) const
{
    std::vector<guarantee_cell> room;
    for (worker_index index : pool_.rack(rack).workers_) {
        int amount = room_for_cells(index, block);
        if (amount > 0)
            room.push_back({index, amount, 0});
    }
    if (block.within_ == adjacency::worker) {
        std::erase_if(room, [need](const guarantee_cell& cell) {
            return cell.accelerators_ < need;
        });
    }
    auto order = [&](const guarantee_cell& a, const guarantee_cell& b) {
        if (prefer_free) {
            int free_a = pool_.at(a.worker_).free();
            int free_b = pool_.at(b.worker_).free();
            if (free_a != free_b)
                return free_a > free_b;
        }
        return std::tie(a.accelerators_, a.worker_) <
               std::tie(b.accelerators_, b.worker_);
    };
    std::sort(room.begin(), room.end(), order);
    std::vector<guarantee_cell> cells;
    for (const guarantee_cell& cell : room) {
        if (need == 0)
            break;
        int part = std::min(need, cell.accelerators_);
        cells.push_back({cell.worker_, part, 0});
        need -= part;
    }
    if (need > 0)
        cells.clear();
    return cells;
}

std::vector<guarantee_cell>
guarantee_ledger::find_cells(const guarantee_block& block, int need,
                             bool prefer_free) const
{
    if (block.within_ == adjacency::any) {
        std::vector<guarantee_cell> cells;
        for (rack_index rack = 0; rack < pool_.racks().size() && need > 0;
             ++rack) {
            for (worker_index index : pool_.rack(rack).workers_) {
                int part = std::min(need, room_for_cells(index, block));
                if (part > 0)
                    cells.push_back({index, part, 0});
                need -= part;
            }
        }
        if (need > 0)
            cells.clear();
        return cells;
    }
    if (!prefer_free) {
        for (rack_index rack = 0; rack < pool_.racks().size(); ++rack) {
            auto cells = cells_in_rack(rack, block, need, false);
            if (!cells.empty())
                return cells;
        }
        return {};
    }
    const auto& racks = pool_.racks_by_free();
    int examined = 0;
    for (auto it = racks.rbegin();
         it != racks.rend() && examined < max_racks_per_move;
         ++it, ++examined) {
        auto cells = cells_in_rack(it->second, block, need, true);
        if (!cells.empty())
            return cells;
    }
    return {};
}

void guarantee_ledger::place_missing_blocks(bool may_repack)
{
    bool all_placed = true;
    for (std::size_t i = 0; i < blocks_.size(); ++i) {
        guarantee_block& block = blocks_[i];
        int missing = block.accelerators_ - block.placed();
        if (missing == 0)
            continue;
        if (block.placed() > 0 && repair_in_rack(block, missing))
            continue;
        if (block.used() > 0) {
            all_placed = false;
            continue;
        }
        auto cells = find_cells(block, block.accelerators_, false);
        all_placed = all_placed && !cells.empty();
        if (!cells.empty())
            set_cells(i, std::move(cells));
    }
    if (!all_placed && may_repack)
        repack_unused();
    update_shortages();
}

bool guarantee_ledger::repair_in_rack(guarantee_block& block, int missing)
{
    if (block.within_ == adjacency::worker)
        return false;
    rack_index rack = pool_.at(block.cells_.front().worker_).rack_;
    guarantee_block extra{block.team_, missing, adjacency::rack, {}};
    std::vector<guarantee_cell> cells;
    if (block.within_ == adjacency::any) {
        extra.within_ = adjacency::any;
        cells = find_cells(extra, missing, false);
    } else {
        cells = cells_in_rack(rack, extra, missing, false);
    }
    if (cells.empty())
        return false;
    for (const guarantee_cell& cell : cells) {
        adjust_reserved(cell, 1);
        auto same = std::find_if(block.cells_.begin(), block.cells_.end(),
                                 [&cell](const guarantee_cell& own) {
                                     return own.worker_ == cell.worker_;
                                 });
        if (same != block.cells_.end())
            same->accelerators_ += cell.accelerators_;
        else
            block.cells_.push_back(cell);
    }
    return true;
}

// Computes new cells for all unused blocks together and applies them only if
// more accelerators are placed than before.
void guarantee_ledger::repack_unused()
{
    std::vector<std::size_t> unused;
    std::vector<block_demand> demands;
    int placed_before = 0;
    for (std::size_t i = 0; i < blocks_.size(); ++i) {
        if (blocks_[i].used() > 0 || blocks_[i].accelerators_ == 0)
            continue;
        unused.push_back(i);
        demands.push_back({blocks_[i].accelerators_, blocks_[i].within_});
        placed_before += blocks_[i].placed();
    }
    std::vector<rack_capacity> capacity;
    for (const pool_rack& rack : pool_.racks()) {
        rack_capacity room;
        for (worker_index index : rack.workers_) {
            const pool_worker& worker = pool_.at(index);
            int amount =
                worker.can_carry_guarantees() ? worker.unreserved() : 0;
            for (std::size_t i : unused) {
                for (const guarantee_cell& cell : blocks_[i].cells_) {
                    if (cell.worker_ == index && worker.can_carry_guarantees())
                        amount += cell.accelerators_;
                }
            }
            room.workers_.push_back(std::max(0, amount));
        }
        capacity.push_back(std::move(room));
    }
    auto places = pack_blocks(capacity, demands);
    int placed_now = 0;
    for (std::size_t i = 0; i < places.size(); ++i)
        placed_now += places[i] ? demands[i].accelerators_ : 0;
    if (placed_now <= placed_before)
        return;
    for (std::size_t i : unused)
        set_cells(i, {});
    for (std::size_t i = 0; i < places.size(); ++i) {
        if (!places[i])
            continue;
        std::vector<guarantee_cell> cells;
        for (const worker_allocation& cell : *places[i]) {
            cells.push_back({pool_.rack(static_cast<rack_index>(cell.rack_))
                                 .workers_[cell.worker_],
                             cell.accelerators_, 0});
        }
        set_cells(unused[i], std::move(cells));
    }
}

void guarantee_ledger::relocate_blocks(
    worker_index index, const std::function<void(std::size_t)>& on_moved)
{
    for (std::size_t i = 0; i < blocks_.size(); ++i) {
        guarantee_block& block = blocks_[i];
        auto lost_cell = std::find_if(block.cells_.begin(), block.cells_.end(),
                                      [index](const guarantee_cell& cell) {
                                          return cell.worker_ == index;
                                      });
        if (lost_cell == block.cells_.end())
            continue;
        adjust_reserved(*lost_cell, -1);
        int missing = lost_cell->accelerators_;
        block.cells_.erase(lost_cell);
        if (!block.cells_.empty() && repair_in_rack(block, missing))
            continue;
        // The block moves as a whole. Gangs that still run in it become
        // borrowed, and the team can reclaim the new cells.
        guarantee_block unplaced{
            block.team_, block.accelerators_, block.within_, {}};
        auto cells = find_cells(unplaced, block.accelerators_, false);
        if (cells.empty())
            continue;
        on_moved(i);
        require_invariant(block.used() == 0, "a block is unused when it moves");
        set_cells(i, std::move(cells));
    }
    if (std::any_of(blocks_.begin(), blocks_.end(),
                    [](const guarantee_block& block) {
                        return block.placed() < block.accelerators_;
                    }))
        place_missing_blocks(true);
    update_shortages();
}

void guarantee_ledger::update_shortages()
{
    shortages_.clear();
    for (const guarantee_block& block : blocks_) {
        int missing = block.accelerators_ - block.placed();
        if (missing > 0)
            shortages_.push_back(
                {block.team_, block.accelerators_, block.within_, missing});
    }
}

bool guarantee_ledger::has_room_for(const job_spec& job) const
{
    auto found = by_team_.find(job.team_);
    if (found == by_team_.end() || job.total_accelerators() == 0)
        return false;
    int unused = 0;
    for (std::size_t index : found->second)
        unused += blocks_[index].placed() - blocks_[index].used();
    return unused >= job.total_accelerators();
}

bool guarantee_ledger::could_hold(const job_spec& job) const
{
    auto found = by_team_.find(job.team_);
    if (found == by_team_.end())
        return false;
    // As in plan(), a gang has at most one part per worker, so only the
    // largest of several cells on one worker counts.
    std::map<worker_index, int> by_worker;
    for (std::size_t index : found->second) {
        int in_block = 0;
        for (const guarantee_cell& cell : blocks_[index].cells_) {
            int tasks = cell.accelerators_ / job.accelerators_;
            if (tasks >= job.tasks_)
                return true;
            in_block += tasks;
            int& largest = by_worker[cell.worker_];
            largest = std::max(largest, tasks);
        }
        bool one_rack = blocks_[index].within_ != adjacency::any ||
                        job.within_ == adjacency::any;
        if (job.within_ != adjacency::worker && one_rack &&
            in_block >= job.tasks_)
            return true;
    }
    int total_tasks = 0;
    for (const auto& entry : by_worker)
        total_tasks += entry.second;
    return job.within_ == adjacency::any && total_tasks >= job.tasks_;
}

std::optional<guarantee_plan> guarantee_ledger::plan(const job_spec& job) const
{
    if (!has_room_for(job))
        return std::nullopt;
    const std::vector<std::size_t>& team_blocks = by_team_.at(job.team_);
    std::optional<guarantee_plan> best;
    auto consider = [&best](std::optional<guarantee_plan> candidate) {
        if (candidate && (!best || candidate->shortfall_ < best->shortfall_))
            best = std::move(candidate);
    };
    // Blocks with the least unused room first, so that unused ones stay whole.
    std::vector<std::size_t> order = team_blocks;
    std::stable_sort(order.begin(), order.end(),
                     [this](std::size_t a, std::size_t b) {
                         return blocks_[a].placed() - blocks_[a].used() <
                                blocks_[b].placed() - blocks_[b].used();
                     });
    for (std::size_t index : order) {
        consider(plan_in_place(job, {index}));
        if (best && best->shortfall_ == 0)
            return best;
    }
    for (std::size_t index : order) {
        if (blocks_[index].used() > 0)
            continue;
        consider(plan_moved(job, index));
        if (best && best->shortfall_ == 0)
            return best;
    }
    if (!best && job.within_ == adjacency::any)
        consider(plan_in_place(job, order));
    return best;
}

std::optional<guarantee_plan> guarantee_ledger::plan_in_place(
    const job_spec& job, const std::vector<std::size_t>& candidates) const
{
    guarantee_plan result;
    int left = job.tasks_;
    std::map<worker_index, int> planned;
    std::optional<rack_index> rack;
    for (std::size_t block : candidates) {
        for (const guarantee_cell& cell : blocks_[block].cells_) {
            const pool_worker& worker = pool_.at(cell.worker_);
            // A gang has at most one part per worker.
            bool taken = planned.contains(cell.worker_);
            if (!worker.usable() || left == 0 || taken)
                continue;
            int fit = (cell.accelerators_ - cell.used_) / job.accelerators_;
            int part = std::min(left, fit);
            if (job.within_ == adjacency::worker && part < job.tasks_)
                continue;
            if (part <= 0)
                continue;
            if (job.within_ == adjacency::rack && rack && *rack != worker.rack_)
                continue;
            rack = worker.rack_;
            result.parts_.push_back({cell.worker_, part});
            result.blocks_.push_back(block);
            planned[cell.worker_] += part * job.accelerators_;
            left -= part;
        }
    }
    if (left > 0)
        return std::nullopt;
    for (const auto& [index, need] : planned)
        result.shortfall_ +=
            std::max(0, need - std::max(0, pool_.at(index).free()));
    return result;
}

std::optional<guarantee_plan>
guarantee_ledger::plan_moved(const job_spec& job, std::size_t block) const
{
    auto cells = find_cells(blocks_[block], blocks_[block].accelerators_, true);
    if (cells.empty())
        return std::nullopt;
    guarantee_plan result;
    int left = job.tasks_;
    for (const guarantee_cell& cell : cells) {
        const pool_worker& worker = pool_.at(cell.worker_);
        int part = std::min(left, cell.accelerators_ / job.accelerators_);
        if (!worker.usable() || part <= 0)
            continue;
        if (job.within_ == adjacency::worker && part < job.tasks_)
            continue;
        result.parts_.push_back({cell.worker_, part});
        result.blocks_.push_back(block);
        int need = part * job.accelerators_;
        result.shortfall_ += std::max(0, need - std::max(0, worker.free()));
        left -= part;
    }
    if (left > 0)
        return std::nullopt;
    result.moved_block_ = block;
    result.moved_cells_ = std::move(cells);
    return result;
}

void guarantee_ledger::acquire(const job_spec& job, const guarantee_plan& plan)
{
    if (plan.moved_block_)
        set_cells(*plan.moved_block_, plan.moved_cells_);
    for (std::size_t i = 0; i < plan.parts_.size(); ++i) {
        int amount = plan.parts_[i].tasks_ * job.accelerators_;
        for (guarantee_cell& cell : blocks_[plan.blocks_[i]].cells_) {
            if (cell.worker_ == plan.parts_[i].worker_)
                cell.used_ += amount;
        }
    }
}

std::optional<std::vector<std::size_t>>
guarantee_ledger::adopt(const job_spec& job, const placement_plan& parts)
{
    auto found = by_team_.find(job.team_);
    if (found == by_team_.end() || job.accelerators_ == 0)
        return std::nullopt;
    std::set<rack_index> racks;
    std::vector<guarantee_cell> cells;
    for (const planned_part& part : parts) {
        const pool_worker& worker = pool_.at(part.worker_);
        int amount = part.tasks_ * job.accelerators_;
        if (!worker.can_carry_guarantees())
            return std::nullopt;
        racks.insert(worker.rack_);
        cells.push_back({part.worker_, amount, 0});
    }
    for (std::size_t index : found->second) {
        guarantee_block& block = blocks_[index];
        bool shape_fits =
            block.used() == 0 &&
            block.accelerators_ >= job.total_accelerators() &&
            (block.within_ == adjacency::any || racks.size() == 1) &&
            (block.within_ != adjacency::worker || cells.size() == 1);
        bool room = std::all_of(
            cells.begin(), cells.end(), [&](const guarantee_cell& cell) {
                return room_for_cells(cell.worker_, block) >=
                       cell.accelerators_;
            });
        if (!shape_fits || !room)
            continue;
        set_cells(index, cells);
        int missing = block.accelerators_ - block.placed();
        if (missing > 0 && block.within_ == adjacency::worker)
            grow_in_worker(block, missing);
        else if (missing > 0)
            repair_in_rack(block, missing);
        guarantee_plan plan;
        plan.parts_ = parts;
        plan.blocks_.assign(parts.size(), index);
        acquire(job, plan);
        return plan.blocks_;
    }
    return std::nullopt;
}

void guarantee_ledger::grow_in_worker(guarantee_block& block, int missing)
{
    guarantee_cell& cell = block.cells_.front();
    if (pool_.at(cell.worker_).unreserved() < missing)
        return;
    adjust_reserved({cell.worker_, missing, 0}, 1);
    cell.accelerators_ += missing;
}

void guarantee_ledger::release(std::size_t block, worker_index worker,
                               int accelerators)
{
    for (guarantee_cell& cell : blocks_[block].cells_) {
        if (cell.worker_ != worker)
            continue;
        cell.used_ -= accelerators;
        require_invariant(cell.used_ >= 0, "no cell is released twice");
    }
}

void guarantee_ledger::check() const
{
    std::vector<int> reserved(pool_.size(), 0);
    std::vector<int> used(pool_.size(), 0);
    for (const guarantee_block& block : blocks_) {
        std::set<rack_index> racks;
        for (const guarantee_cell& cell : block.cells_) {
            require_invariant(cell.used_ <= cell.accelerators_,
                              "no cell is used beyond its size");
            reserved[cell.worker_] += cell.accelerators_;
            used[cell.worker_] += cell.used_;
            racks.insert(pool_.at(cell.worker_).rack_);
        }
        if (block.within_ == adjacency::rack)
            require_invariant(racks.size() <= 1,
                              "a rack-local block lies within one rack");
        if (block.within_ == adjacency::worker)
            require_invariant(block.cells_.size() <= 1,
                              "a worker-local block lies on one worker");
        require_invariant(block.placed() <= block.accelerators_,
                          "no block is larger than its guarantee");
    }
    for (worker_index index = 0; index < pool_.size(); ++index) {
        pool_.check_worker(index);
        const pool_worker& worker = pool_.at(index);
        require_invariant(worker.reserved_ == reserved[index],
                          "reserved accelerators are the sum of the cells");
        require_invariant(worker.guaranteed_ == used[index],
                          "guaranteed accelerators are the used cells");
        bool holds_cells = reserved[index] > 0;
        require_invariant(!holds_cells || worker.can_carry_guarantees(),
                          "only workers that can carry guarantees have cells");
    }
}

} // namespace dandelioncrank
