#pragma once

#include "dandelioncrank/manifest/configuration.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace dandelioncrank {

/// Free accelerators of one rack, indexed by worker.
struct rack_capacity
{
    std::vector<int> workers_;
};

/// A block of accelerators to be placed.
struct block_demand
{
    int accelerators_ = 0;
    adjacency within_ = adjacency::rack;
};

/// Accelerators allocated on one worker.
struct worker_allocation
{
    std::size_t rack_ = 0;
    std::size_t worker_ = 0;
    int accelerators_ = 0;
};

/// Allocations of one block; empty if the block could not be placed.
using block_placement = std::optional<std::vector<worker_allocation>>;

/// Places all blocks with best-fit decreasing bin packing. Several orderings
/// are tried; the result that places the most accelerators is returned, in the
/// order of the demands. Blocks that do not fit have no placement.
[[nodiscard]] std::vector<block_placement>
pack_blocks(const std::vector<rack_capacity>& racks,
            const std::vector<block_demand>& blocks);

} // namespace dandelioncrank
