#include "placement_search.hpp"

#include <algorithm>
#include <tuple>

namespace dandelioncrank::pool {

std::optional<placement>
placement_search::find_free(const pending_unit& unit) const
{
    return find(unit, false);
}

std::optional<placement>
placement_search::find_free_in_any_rack(const pending_unit& unit) const
{
    const step_spec& spec = unit.spec();
    bool has_preferred_rack =
        !spec.data_rack_.empty() || spec.is_rack_sensitive_;
    return has_preferred_rack ? find_on(unit, table_.all_workers(), false)
                              : std::nullopt;
}

std::optional<placement>
placement_search::find_with_preemption(const pending_unit& unit) const
{
    return find(unit, true);
}

bool placement_search::is_eligible(const pending_unit& unit,
                                   const worker_resources& where)
{
    const step_spec& spec = unit.spec();
    const worker_info& info = *where.info_;
    return info.service_ == unit.job_->queue_.service_ &&
           spec.need_.fits_into(info.capacity_) &&
           (spec.required_label_.empty() ||
            info.labels_.contains(spec.required_label_));
}

bool placement_search::can_preempt(const pending_unit& unit, const victim& what)
{
    if (what.is_ending_)
        return true;
    if (what.priority_ > unit.job_->queue_.priority_)
        return true;
    return unit.is_guaranteed_ && !what.is_guaranteed_;
}

// Whether the unit would fit into an otherwise empty rack.
bool placement_search::could_fit(const pending_unit& unit,
                                 const std::vector<worker_index>& rack) const
{
    const step_spec& spec = unit.spec();
    std::size_t slots = 0;
    for (worker_index index : rack) {
        const worker_resources& where = table_.workers()[index];
        if (!is_eligible(unit, where))
            continue;
        resources left = where.info_->capacity_;
        std::size_t here = 0;
        while (here < unit.tasks_.size() && spec.need_.fits_into(left) &&
               (spec.per_worker_limit_ == 0 || here < spec.per_worker_limit_)) {
            left -= spec.need_;
            ++here;
        }
        slots += here;
    }
    return slots >= unit.tasks_.size();
}

std::optional<placement> placement_search::find(const pending_unit& unit,
                                                bool allow_preemption) const
{
    const step_spec& spec = unit.spec();
    auto data = table_.racks().find(spec.data_rack_);
    if (data != table_.racks().end() && could_fit(unit, data->second))
        return find_on(unit, data->second, allow_preemption);
    if (!spec.is_rack_sensitive_ || unit.tasks_.size() < 2)
        return find_on(unit, table_.all_workers(), allow_preemption);
    // Stay with the rack that is already being cleared: changing racks would
    // preempt work in both.
    auto cleared = input_.racks_being_cleared_.find(unit.key());
    std::optional<placement> best;
    bool some_rack_fits = false;
    for (const auto& [name, rack] : table_.racks()) {
        if (!could_fit(unit, rack))
            continue;
        some_rack_fits = true;
        auto here = find_on(unit, rack, allow_preemption);
        if (!here)
            continue;
        here->rack_ = name;
        here->rack_free_ = table_.free_in_rack(name);
        bool is_claimed = allow_preemption &&
                          cleared != input_.racks_being_cleared_.end() &&
                          cleared->second == name;
        if (is_claimed)
            return here;
        if (!best || std::tie(here->cost_, here->rack_free_) <
                         std::tie(best->cost_, best->rack_free_))
            best = std::move(here);
    }
    // A unit larger than any rack is spread over several, and runs slower.
    return some_rack_fits
               ? best
               : find_on(unit, table_.all_workers(), allow_preemption);
}

// Computes what must end on a worker before one more task fits. The victims
// are collected only on request, as most evaluations are discarded.
std::optional<placement_search::fit>
placement_search::evaluate(const pending_unit& unit, candidate& where,
                           bool allow_preemption,
                           const std::vector<victim_index>& chosen,
                           std::vector<victim_index>* victims) const
{
    const resources& need = unit.spec().need_;
    fit result{&where, 0, where.free_};
    if (allow_preemption) {
        for (victim_index index : table_.workers()[where.index_].victims_) {
            if (need.fits_into(result.remaining_))
                break;
            const victim& item = table_.victim_at(index);
            bool is_new =
                std::find(chosen.begin(), chosen.end(), index) == chosen.end();
            if (!is_new || !this->can_preempt(unit, item))
                continue;
            for (const victim::member& member : item.members_) {
                if (member.worker_ == where.index_)
                    result.remaining_ += item.need_;
            }
            result.cost_ += item.cost_;
            if (victims != nullptr)
                victims->push_back(index);
        }
    }
    if (!need.fits_into(result.remaining_))
        return std::nullopt;
    result.remaining_ -= need;
    return result;
}

// Greedily selects the cheapest worker for each task. At equal cost and number
// of failures the fullest worker is preferred, so that whole workers stay free.
std::optional<placement>
placement_search::find_on(const pending_unit& unit,
                          const std::vector<worker_index>& among,
                          bool allow_preemption) const
{
    const step_spec& spec = unit.spec();
    std::vector<candidate> candidates;
    for (worker_index index : among) {
        const worker_resources& where = table_.workers()[index];
        if (!is_eligible(unit, where))
            continue;
        candidate item{index, where.free_, 0};
        if (allow_preemption)
            item.free_ += where.releasing_;
        else if (!spec.need_.fits_into(item.free_))
            continue;
        if (spec.per_worker_limit_ > 0)
            item.placed_ = table_.placed(unit.key(), index);
        candidates.push_back(item);
    }
    placement result;
    for (std::size_t n = 0; n < unit.tasks_.size(); ++n) {
        std::optional<fit> best;
        for (candidate& item : candidates) {
            bool is_full = spec.per_worker_limit_ > 0 &&
                           item.placed_ >= spec.per_worker_limit_;
            if (is_full)
                continue;
            auto next = evaluate(unit, item, allow_preemption, result.victims_,
                                 nullptr);
            if (!next)
                continue;
            auto sort_key = [this](const fit& value) {
                return std::tuple(
                    value.cost_,
                    table_.workers()[value.where_->index_].failures_,
                    value.remaining_.accelerators_, value.remaining_.cpu_);
            };
            if (!best || sort_key(*next) < sort_key(*best))
                best = std::move(next);
        }
        if (!best)
            return std::nullopt;
        std::vector<victim_index> victims;
        (void)evaluate(unit, *best->where_, allow_preemption, result.victims_,
                       &victims);
        for (victim_index index : victims) {
            const victim& item = table_.victim_at(index);
            result.victims_.push_back(index);
            result.cost_ += item.cost_;
            // Stopping a gang frees resources on the workers of all members.
            for (const victim::member& member : item.members_) {
                for (candidate& other : candidates) {
                    if (other.index_ == member.worker_)
                        other.free_ += item.need_;
                }
            }
        }
        best->where_->free_ -= spec.need_;
        ++best->where_->placed_;
        result.workers_.push_back(best->where_->index_);
    }
    return result;
}

} // namespace dandelioncrank::pool
