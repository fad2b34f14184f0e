#pragma once

#include "dandelioncrank/manifest/configuration.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace dandelioncrank {

/// Free accelerators of one rack, by position of the worker in it.
struct rack_capacity
{
    std::vector<int> workers_;
};

/// One block that needs a place.
struct block_demand
{
    int accelerators_ = 0;
    adjacency within_ = adjacency::rack;
};

/// Accelerators taken from one worker.
struct worker_allocation
{
    std::size_t rack_ = 0;
    std::size_t worker_ = 0;
    int accelerators_ = 0;
};

/// Place of one block; empty if none was found.
using block_placement = std::optional<std::vector<worker_allocation>>;

/// Places all blocks together, largest first, best fit. Several orders are
/// tried; the one that places the most accelerators is returned, in the
/// order of the demands. Blocks without a place stay empty.
[[nodiscard]] std::vector<block_placement>
pack_blocks(const std::vector<rack_capacity>& racks,
            const std::vector<block_demand>& blocks);

} // namespace dandelioncrank
