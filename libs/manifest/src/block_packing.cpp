#include "dandelioncrank/manifest/block_packing.hpp"

#include <algorithm>
#include <numeric>
#include <random>

namespace dandelioncrank {

namespace {

constexpr int max_attempts = 24;

/// Places blocks one at a time, tracking the remaining capacity.
class block_packer
{
  public:
    explicit block_packer(std::vector<rack_capacity> racks)
        : racks_(std::move(racks))
    {
        for (const rack_capacity& rack : racks_) {
            rack_totals_.push_back(
                std::accumulate(rack.workers_.begin(), rack.workers_.end(), 0));
        }
    }

    block_placement place(const block_demand& block)
    {
        switch (block.within_) {
        case adjacency::worker:
            return place_in_worker(block.accelerators_);
        case adjacency::rack:
            return place_in_rack(block.accelerators_);
        case adjacency::any:
            break;
        }
        return place_anywhere(block.accelerators_);
    }

  private:
    block_placement place_in_worker(int size)
    {
        std::size_t best_rack = 0;
        std::size_t best_worker = 0;
        int best_slack = -1;
        for (std::size_t r = 0; r < racks_.size(); ++r) {
            for (std::size_t w = 0; w < racks_[r].workers_.size(); ++w) {
                int slack = racks_[r].workers_[w] - size;
                if (slack < 0 || (best_slack >= 0 && slack >= best_slack))
                    continue;
                best_slack = slack;
                best_rack = r;
                best_worker = w;
            }
        }
        if (best_slack < 0)
            return std::nullopt;
        std::vector<worker_allocation> allocations;
        take(allocations, best_rack, best_worker, size);
        return allocations;
    }

    block_placement place_in_rack(int size)
    {
        std::size_t best = racks_.size();
        for (std::size_t r = 0; r < racks_.size(); ++r) {
            if (rack_totals_[r] < size)
                continue;
            if (best == racks_.size() || rack_totals_[r] < rack_totals_[best])
                best = r;
        }
        if (best == racks_.size())
            return std::nullopt;
        std::vector<worker_allocation> allocations;
        take_from_rack(allocations, best, size);
        return allocations;
    }

    block_placement place_anywhere(int size)
    {
        int total =
            std::accumulate(rack_totals_.begin(), rack_totals_.end(), 0);
        if (total < size)
            return std::nullopt;
        std::vector<std::size_t> order(racks_.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        std::stable_sort(order.begin(), order.end(),
                         [this](std::size_t a, std::size_t b) {
                             return rack_totals_[a] < rack_totals_[b];
                         });
        std::vector<worker_allocation> allocations;
        for (std::size_t rack : order) {
            int part = std::min(size, rack_totals_[rack]);
            take_from_rack(allocations, rack, part);
            size -= part;
        }
        return allocations;
    }

    // Workers with the least free capacity are used first, so that empty
    // workers stay free for blocks that need a whole worker.
    void take_from_rack(std::vector<worker_allocation>& allocations,
                        std::size_t rack, int size)
    {
        const std::vector<int>& free = racks_[rack].workers_;
        std::vector<std::size_t> order(free.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        std::stable_sort(order.begin(), order.end(),
                         [&free](std::size_t a, std::size_t b) {
                             return free[a] < free[b];
                         });
        for (std::size_t worker : order) {
            int part = std::min(size, racks_[rack].workers_[worker]);
            take(allocations, rack, worker, part);
            size -= part;
        }
    }

    void take(std::vector<worker_allocation>& allocations, std::size_t rack,
              std::size_t worker, int size)
    {
        if (size == 0)
            return;
        racks_[rack].workers_[worker] -= size;
        rack_totals_[rack] -= size;
        allocations.push_back({rack, worker, size});
    }

    std::vector<rack_capacity> racks_;
    std::vector<int> rack_totals_;
};

struct packing_result
{
    std::vector<block_placement> placements_;
    int placed_accelerators_ = 0;
};

packing_result pack_in_order(const std::vector<rack_capacity>& racks,
                             const std::vector<block_demand>& blocks,
                             const std::vector<std::size_t>& order)
{
    block_packer packer(racks);
    packing_result result;
    result.placements_.resize(blocks.size());
    for (std::size_t index : order) {
        result.placements_[index] = packer.place(blocks[index]);
        if (result.placements_[index])
            result.placed_accelerators_ += blocks[index].accelerators_;
    }
    return result;
}

} // namespace

std::vector<block_placement>
pack_blocks(const std::vector<rack_capacity>& racks,
            const std::vector<block_demand>& blocks)
{
    std::vector<std::size_t> order(blocks.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    auto by_size = [&blocks](std::size_t a, std::size_t b) {
        return blocks[a].accelerators_ > blocks[b].accelerators_;
    };
    auto by_adjacency = [&blocks](std::size_t a, std::size_t b) {
        return blocks[a].within_ < blocks[b].within_;
    };
    int requested = 0;
    for (const block_demand& block : blocks)
        requested += block.accelerators_;

    std::mt19937 random(1);
    packing_result best;
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        if (attempt > 1)
            std::shuffle(order.begin(), order.end(), random);
        if (attempt < 8)
            std::stable_sort(order.begin(), order.end(), by_size);
        if (attempt % 2 == 0)
            std::stable_sort(order.begin(), order.end(), by_adjacency);
        packing_result next = pack_in_order(racks, blocks, order);
        if (attempt == 0 ||
            next.placed_accelerators_ > best.placed_accelerators_)
            best = std::move(next);
        if (best.placed_accelerators_ == requested)
            break;
    }
    return best.placements_;
}

} // namespace dandelioncrank
