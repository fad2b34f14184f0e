#include "placement_search.hpp"

#include <algorithm>
#include <tuple>

namespace dandelioncrank::pool {

std::optional<placement>
placement_search::find_free(const waiting_unit& unit) const
{
    return find(unit, false);
}

std::optional<placement>
placement_search::find_free_anywhere(const waiting_unit& unit) const
{
    const step_spec& spec = unit.spec();
    bool is_tied = !spec.data_rack_.empty() || spec.wants_one_rack_;
    return is_tied ? find_among(unit, rooms_.all(), false) : std::nullopt;
}

std::optional<placement>
placement_search::find_by_stopping(const waiting_unit& unit) const
{
    return find(unit, true);
}

bool placement_search::is_eligible(const waiting_unit& unit, const room& where)
{
    const step_spec& spec = unit.spec();
    const worker_info& info = *where.info_;
    return info.service_ == unit.job_->queue_.service_ &&
           spec.need_.fits_into(info.capacity_) &&
           (spec.required_label_.empty() ||
            info.labels_.contains(spec.required_label_));
}

bool placement_search::may_stop(const waiting_unit& unit, const victim& what)
{
    if (what.is_ending_)
        return true;
    if (what.priority_ > unit.job_->queue_.priority_)
        return true;
    return unit.is_guaranteed_ && !what.is_guaranteed_;
}

// Whether a rack could hold the unit if nothing else ran there.
bool placement_search::could_hold(const waiting_unit& unit,
                                  const std::vector<room_index>& rack) const
{
    const step_spec& spec = unit.spec();
    std::size_t places = 0;
    for (room_index index : rack) {
        const room& where = rooms_.rooms()[index];
        if (!is_eligible(unit, where))
            continue;
        resources left = where.info_->capacity_;
        std::size_t here = 0;
        while (here < unit.tasks_.size() && spec.need_.fits_into(left) &&
               (spec.per_worker_limit_ == 0 || here < spec.per_worker_limit_)) {
            left -= spec.need_;
            ++here;
        }
        places += here;
    }
    return places >= unit.tasks_.size();
}

std::optional<placement> placement_search::find(const waiting_unit& unit,
                                                bool may_stop) const
{
    const step_spec& spec = unit.spec();
    auto data = rooms_.racks().find(spec.data_rack_);
    if (data != rooms_.racks().end() && could_hold(unit, data->second))
        return find_among(unit, data->second, may_stop);
    if (!spec.wants_one_rack_ || unit.tasks_.size() < 2)
        return find_among(unit, rooms_.all(), may_stop);
    // A rack whose clearing has begun is kept to: changing racks would stop
    // work in both.
    auto cleared = view_.cleared_racks_.find(unit.key());
    std::optional<placement> best;
    bool some_rack_could = false;
    for (const auto& [name, rack] : rooms_.racks()) {
        if (!could_hold(unit, rack))
            continue;
        some_rack_could = true;
        auto here = find_among(unit, rack, may_stop);
        if (!here)
            continue;
        here->rack_ = name;
        here->left_free_ = rooms_.free_in_rack(name);
        bool is_kept = may_stop && cleared != view_.cleared_racks_.end() &&
                       cleared->second == name;
        if (is_kept)
            return here;
        if (!best || std::tie(here->cost_, here->left_free_) <
                         std::tie(best->cost_, best->left_free_))
            best = std::move(here);
    }
    // A unit wider than any rack runs slower over several.
    return some_rack_could ? best : find_among(unit, rooms_.all(), may_stop);
}

// The least that has to end on a worker before one more task fits; its victims
// are listed only if asked for, as most offers are not taken.
std::optional<placement_search::offer>
placement_search::make_offer(const waiting_unit& unit, candidate& where,
                             bool may_stop,
                             const std::vector<victim_index>& chosen,
                             std::vector<victim_index>* victims) const
{
    const resources& need = unit.spec().need_;
    offer result{&where, 0, where.free_};
    if (may_stop) {
        for (victim_index index : rooms_.rooms()[where.index_].victims_) {
            if (need.fits_into(result.left_))
                break;
            const victim& item = rooms_.victim_at(index);
            bool is_new =
                std::find(chosen.begin(), chosen.end(), index) == chosen.end();
            if (!is_new || !this->may_stop(unit, item))
                continue;
            for (const victim::member& member : item.members_) {
                if (member.room_ == where.index_)
                    result.left_ += item.need_;
            }
            result.cost_ += item.cost_;
            if (victims != nullptr)
                victims->push_back(index);
        }
    }
    if (!need.fits_into(result.left_))
        return std::nullopt;
    result.left_ -= need;
    return result;
}

// Takes the cheapest worker for one task after another. Without stops the
// fullest worker goes first, so that whole workers stay free.
std::optional<placement>
placement_search::find_among(const waiting_unit& unit,
                             const std::vector<room_index>& among,
                             bool may_stop) const
{
    const step_spec& spec = unit.spec();
    std::vector<candidate> candidates;
    for (room_index index : among) {
        const room& where = rooms_.rooms()[index];
        if (!is_eligible(unit, where))
            continue;
        candidate item{index, where.free_, 0};
        if (may_stop)
            item.free_ += where.pending_;
        else if (!spec.need_.fits_into(item.free_))
            continue;
        if (spec.per_worker_limit_ > 0)
            item.placed_ = rooms_.placed(unit.key(), index);
        candidates.push_back(item);
    }
    placement result;
    for (std::size_t n = 0; n < unit.tasks_.size(); ++n) {
        std::optional<offer> best;
        for (candidate& item : candidates) {
            bool is_full = spec.per_worker_limit_ > 0 &&
                           item.placed_ >= spec.per_worker_limit_;
            if (is_full)
                continue;
            auto next =
                make_offer(unit, item, may_stop, result.victims_, nullptr);
            if (!next)
                continue;
            auto rate = [this](const offer& value) {
                return std::tuple(
                    value.cost_, rooms_.rooms()[value.where_->index_].failures_,
                    value.left_.accelerators_, value.left_.cpu_);
            };
            if (!best || rate(*next) < rate(*best))
                best = std::move(next);
        }
        if (!best)
            return std::nullopt;
        std::vector<victim_index> victims;
        (void)make_offer(unit, *best->where_, may_stop, result.victims_,
                         &victims);
        for (victim_index index : victims) {
            const victim& item = rooms_.victim_at(index);
            result.victims_.push_back(index);
            result.cost_ += item.cost_;
            // Stopping a gang makes room wherever it has members.
            for (const victim::member& member : item.members_) {
                for (candidate& other : candidates) {
                    if (other.index_ == member.room_)
                        other.free_ += item.need_;
                }
            }
        }
        best->where_->free_ -= spec.need_;
        ++best->where_->placed_;
        result.rooms_.push_back(best->where_->index_);
    }
    return result;
}

} // namespace dandelioncrank::pool
