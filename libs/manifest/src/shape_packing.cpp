#include "dandelioncrank/manifest/shape_packing.hpp"

#include <algorithm>
#include <numeric>
#include <random>

namespace dandelioncrank {

namespace {

constexpr int max_orders = 24;

/// One attempt at placing the blocks in a given order.
class packing
{
  public:
    explicit packing(std::vector<rack_capacity> racks)
        : racks_(std::move(racks))
    {
        for (const rack_capacity& rack : racks_) {
            totals_.push_back(
                std::accumulate(rack.workers_.begin(), rack.workers_.end(), 0));
        }
    }

    block_place place(const block_demand& block)
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
    block_place place_in_worker(int size)
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
        std::vector<block_cell> cells;
        take(cells, best_rack, best_worker, size);
        return cells;
    }

    block_place place_in_rack(int size)
    {
        std::size_t best = racks_.size();
        for (std::size_t r = 0; r < racks_.size(); ++r) {
            if (totals_[r] < size)
                continue;
            if (best == racks_.size() || totals_[r] < totals_[best])
                best = r;
        }
        if (best == racks_.size())
            return std::nullopt;
        std::vector<block_cell> cells;
        take_from_rack(cells, best, size);
        return cells;
    }

    block_place place_anywhere(int size)
    {
        int total = std::accumulate(totals_.begin(), totals_.end(), 0);
        if (total < size)
            return std::nullopt;
        std::vector<std::size_t> order(racks_.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        std::stable_sort(order.begin(), order.end(),
                         [this](std::size_t a, std::size_t b) {
                             return totals_[a] < totals_[b];
                         });
        std::vector<block_cell> cells;
        for (std::size_t rack : order) {
            int part = std::min(size, totals_[rack]);
            take_from_rack(cells, rack, part);
            size -= part;
        }
        return cells;
    }

    // Partly used workers are emptied first, so that whole ones stay whole.
    void take_from_rack(std::vector<block_cell>& cells, std::size_t rack,
                        int size)
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
            take(cells, rack, worker, part);
            size -= part;
        }
    }

    void take(std::vector<block_cell>& cells, std::size_t rack,
              std::size_t worker, int size)
    {
        if (size == 0)
            return;
        racks_[rack].workers_[worker] -= size;
        totals_[rack] -= size;
        cells.push_back({rack, worker, size});
    }

    std::vector<rack_capacity> racks_;
    std::vector<int> totals_;
};

struct attempt
{
    std::vector<block_place> places_;
    int placed_ = 0;
};

attempt pack_in_order(const std::vector<rack_capacity>& racks,
                      const std::vector<block_demand>& blocks,
                      const std::vector<std::size_t>& order)
{
    packing state(racks);
    attempt result;
    result.places_.resize(blocks.size());
    for (std::size_t index : order) {
        result.places_[index] = state.place(blocks[index]);
        if (result.places_[index])
            result.placed_ += blocks[index].accelerators_;
    }
    return result;
}

} // namespace

std::vector<block_place> pack_blocks(const std::vector<rack_capacity>& racks,
                                     const std::vector<block_demand>& blocks)
{
    std::vector<std::size_t> order(blocks.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    auto by_size = [&blocks](std::size_t a, std::size_t b) {
        return blocks[a].accelerators_ > blocks[b].accelerators_;
    };
    auto by_nearness = [&blocks](std::size_t a, std::size_t b) {
        return blocks[a].within_ < blocks[b].within_;
    };
    int wanted = 0;
    for (const block_demand& block : blocks)
        wanted += block.accelerators_;

    std::mt19937 random(1);
    attempt best;
    for (int round = 0; round < max_orders; ++round) {
        if (round > 1)
            std::shuffle(order.begin(), order.end(), random);
        if (round < 8)
            std::stable_sort(order.begin(), order.end(), by_size);
        if (round % 2 == 0)
            std::stable_sort(order.begin(), order.end(), by_nearness);
        attempt next = pack_in_order(racks, blocks, order);
        if (round == 0 || next.placed_ > best.placed_)
            best = std::move(next);
        if (best.placed_ == wanted)
            break;
    }
    return best.places_;
}

} // namespace dandelioncrank
