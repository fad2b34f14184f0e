#include "dandelioncrank/manifest/block_packing.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace dandelioncrank;

TEST_CASE("a rack block never spans racks", "[packing]")
{
    std::vector<rack_capacity> racks = {{{8, 8}}, {{8, 8}}};
    auto placements = pack_blocks(
        racks,
        {{16, adjacency::rack}, {9, adjacency::rack}, {8, adjacency::worker}});
    REQUIRE(placements[0]);
    REQUIRE(placements[1]);
    CHECK_FALSE(placements[2]);
}

TEST_CASE("random placements respect capacity and adjacency", "[packing]")
{
    std::mt19937 random(7);
    for (int round = 0; round < 200; ++round) {
        std::vector<rack_capacity> racks(1 + random() % 4);
        for (rack_capacity& rack : racks)
            rack.workers_.assign(1 + random() % 6, int(random() % 9));
        std::vector<block_demand> blocks(random() % 10);
        for (block_demand& block : blocks) {
            block.accelerators_ = 1 + int(random() % 16);
            block.within_ = static_cast<adjacency>(random() % 3);
        }
        auto placements = pack_blocks(racks, blocks);
        REQUIRE(placements.size() == blocks.size());
        for (std::size_t i = 0; i < placements.size(); ++i) {
            if (!placements[i])
                continue;
            int sum = 0;
            for (const worker_allocation& allocation : *placements[i]) {
                sum += allocation.accelerators_;
                racks[allocation.rack_].workers_[allocation.worker_] -=
                    allocation.accelerators_;
                if (blocks[i].within_ != adjacency::any)
                    CHECK(allocation.rack_ == placements[i]->front().rack_);
            }
            CHECK(sum == blocks[i].accelerators_);
            if (blocks[i].within_ == adjacency::worker)
                CHECK(placements[i]->size() == 1);
        }
        for (const rack_capacity& rack : racks) {
            for (int left : rack.workers_)
                CHECK(left >= 0);
        }
    }
}
