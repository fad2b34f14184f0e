#include "dandelioncrank/scheduling/worker_pool.hpp"

#include "dandelioncrank/core/invariant.hpp"

#include <algorithm>

namespace dandelioncrank {

rack_index worker_pool::find_or_add_rack(const rack_name& name)
{
    auto [found, inserted] =
        rack_by_name_.try_emplace(name, static_cast<rack_index>(racks_.size()));
    if (inserted)
        racks_.push_back({name, {}, 0, -1});
    return found->second;
}

worker_index worker_pool::find_or_add(const worker_info& info)
{
    auto [found, inserted] = by_name_.try_emplace(
        info.name_, static_cast<worker_index>(workers_.size()));
    worker_index index = found->second;
    if (!inserted)
        return index;
    pool_worker item;
    item.info_ = info;
    item.rack_ = find_or_add_rack(info.rack_);
    racks_[item.rack_].workers_.push_back(index);
    workers_.push_back(std::move(item));
    indexed_.emplace_back();
    return index;
}

std::optional<worker_index> worker_pool::find(const worker_name& name) const
{
    auto found = by_name_.find(name);
    if (found == by_name_.end())
        return std::nullopt;
    return found->second;
}

void worker_pool::allocate(worker_index index, const resource_amount& amount,
                           allocation_class allocation)
{
    change(index, [&](pool_worker& worker) {
        worker.allocated_ += amount.accelerators_;
        worker.processors_ += amount.processors_;
        worker.memory_mb_ += amount.memory_mb_;
        if (allocation == allocation_class::guaranteed)
            worker.guaranteed_ += amount.accelerators_;
        if (allocation == allocation_class::pinned)
            worker.pinned_ += amount.accelerators_;
    });
}

void worker_pool::release(worker_index index, const resource_amount& amount,
                          allocation_class allocation)
{
    allocate(index,
             {-amount.accelerators_, -amount.processors_, -amount.memory_mb_},
             allocation);
}

void worker_pool::update_indexes(worker_index index)
{
    const pool_worker& worker = workers_[index];
    indexed_state& known = indexed_[index];
    int free = worker.usable() ? std::max(0, worker.free()) : -1;
    int live = worker.alive_ ? worker.info_.accelerators_ : 0;
    if (free != known.free_) {
        auto size = static_cast<std::size_t>(std::max(free, 0)) + 1;
        if (by_free_.size() < size)
            by_free_.resize(size);
        if (known.free_ >= 0)
            by_free_[static_cast<std::size_t>(known.free_)].erase(index);
        if (free >= 0)
            by_free_[static_cast<std::size_t>(free)].insert(index);
        int growth = std::max(0, free) - std::max(0, known.free_);
        usable_free_ += growth;
        pool_rack& rack = racks_[worker.rack_];
        rack.free_ += growth;
        if (rack.free_in_index_ > 0)
            racks_by_free_.erase({rack.free_in_index_, worker.rack_});
        if (rack.free_ > 0)
            racks_by_free_.insert({rack.free_, worker.rack_});
        rack.free_in_index_ = rack.free_;
        known.free_ = free;
    }
    live_ += live - known.live_;
    known.live_ = live;
    if (known.quarantined_ != worker.quarantined_) {
        quarantined_ += worker.quarantined_ ? 1 : -1;
        known.quarantined_ = worker.quarantined_;
    }
    check_worker(index);
}

void worker_pool::check_worker(worker_index index) const
{
    const pool_worker& worker = workers_[index];
    require_invariant(worker.allocated_ >= 0 && worker.guaranteed_ >= 0 &&
                          worker.pinned_ >= 0 && worker.reserved_ >= 0,
                      "no count of a worker is negative");
    require_invariant(worker.occupied_ >= 0 &&
                          worker.occupied_ <= worker.info_.accelerators_,
                      "no accelerator is occupied twice");
    if (worker.can_carry_guarantees()) {
        require_invariant(worker.reserved_ + worker.pinned_ <=
                              worker.info_.accelerators_,
                          "reserved and pinned accelerators fit the worker");
    }
}

} // namespace dandelioncrank
