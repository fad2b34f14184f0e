#include "placement_search.hpp"

#include "victim_selection.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace dandelioncrank::pool {

namespace {

/// Speed classes on which a gang runs rather than on a mixture. Very slow
/// workers would hold it longer than any mixture without them.
std::vector<speed_class> gang_classes(const pending_unit& unit)
{
    const auto& order = preferred_classes(unit.job_->policy().priority_);
    std::vector<speed_class> result(order.begin(), order.end());
    std::erase(result, speed_class::very_slow);
    return result;
}

} // namespace

// --- Eligibility

bool placement_search::is_eligible(const pending_unit& unit,
                                   const worker_resources& where)
{
    const step_spec& spec = unit.spec();
    const worker_info& info = *where.info_;
    return spec.need_.fits_into(info.capacity_) &&
           info.service_ == unit.job_->policy().service_ &&
           (spec.required_label_.empty() ||
            info.labels_.contains(spec.required_label_));
}

// A suspect is never started beside another one, or a crash would not tell
// which of them is to blame. Neither does a second crash on the same host,
// which may itself be the cause.
bool placement_search::is_available(const pending_unit& unit,
                                    const worker_resources& where) const
{
    if (!unit.is_suspect())
        return !where.hosts_suspect_ || is_relaxed_;
    bool has_crashed_there =
        unit.suspicion_->has_loss_at(where.info_->address_);
    return !where.hosts_suspect_ && (!has_crashed_there || is_relaxed_);
}

bool placement_search::could_fit(const pending_unit& unit,
                                 const rack_resources& rack) const
{
    const step_spec& spec = unit.spec();
    std::size_t limit = unit.tasks_.size();
    if (spec.per_worker_limit_ > 0)
        limit = std::min<std::size_t>(limit, spec.per_worker_limit_);
    std::size_t slots = 0;
    for (worker_index index : rack.workers_) {
        const worker_resources& where = table_.workers()[index];
        if (is_eligible(unit, where))
            slots += count_fits(spec.need_, where.info_->capacity_, limit);
        if (slots >= unit.tasks_.size())
            return true;
    }
    return false;
}

bool placement_search::could_fit_some_rack(const pending_unit& unit) const
{
    return std::any_of(
        table_.racks().begin(), table_.racks().end(),
        [&](const rack_resources& rack) { return could_fit(unit, rack); });
}

std::optional<rack_index>
placement_search::data_rack_of(const pending_unit& unit) const
{
    const std::string& name = unit.spec().data_rack_;
    if (name.empty())
        return std::nullopt;
    auto rack = table_.find_rack(name);
    return rack && could_fit(unit, table_.racks()[*rack]) ? rack : std::nullopt;
}

// --- Free resources

std::optional<placement> placement_search::find_free(const pending_unit& unit)
{
    if (auto rack = data_rack_of(unit))
        return find_on(unit, table_.racks()[*rack].workers_, false);
    if (!unit.spec().is_rack_sensitive_ || unit.tasks_.size() < 2)
        return find_free_anywhere(unit);
    // The fullest rack that still has enough keeps the others whole.
    auto first = table_.racks_by_free().lower_bound({unit.accelerators(), 0});
    for (auto it = first; it != table_.racks_by_free().end(); ++it) {
        const rack_resources& rack = table_.racks()[it->second];
        if (auto here = find_on(unit, rack.workers_, false)) {
            here->rack_ = rack.name_;
            return here;
        }
    }
    // A unit larger than any rack is spread over several, and runs slower.
    return could_fit_some_rack(unit) ? std::nullopt : find_free_anywhere(unit);
}

std::optional<placement>
placement_search::find_free_in_any_rack(const pending_unit& unit)
{
    const step_spec& spec = unit.spec();
    bool has_preferred_rack =
        !spec.data_rack_.empty() || spec.is_rack_sensitive_;
    return has_preferred_rack ? find_free_anywhere(unit) : std::nullopt;
}

std::optional<placement>
placement_search::find_free_anywhere(const pending_unit& unit)
{
    auto service = table_.find_service(unit.job_->policy().service_);
    if (!service)
        return std::nullopt;
    const step_spec& spec = unit.spec();
    // Free resources only shrink during a plan, so a need that is at least as
    // large as one that found nothing finds nothing either.
    bool is_hopeless =
        !is_relaxed_ &&
        std::any_of(unplaceable_needs_.begin(), unplaceable_needs_.end(),
                    [&](const auto& item) {
                        return item.first == *service &&
                               item.second.fits_into(spec.need_);
                    });
    if (is_hopeless)
        return std::nullopt;
    placement result;
    if (prefers_one_class(unit)) {
        for (speed_class speed : gang_classes(unit)) {
            result = find_for_all(unit, *service, speed);
            if (result.workers_.size() == unit.tasks_.size())
                return result;
        }
    }
    result = find_for_all(unit, *service, std::nullopt);
    if (result.workers_.size() == unit.tasks_.size())
        return result;
    bool is_unconstrained = spec.per_worker_limit_ == 0 &&
                            spec.required_label_.empty() &&
                            !unit.is_suspect() && !is_relaxed_ &&
                            (uses_cold_room_ || !table_.has_cold_workers());
    if (result.workers_.empty() && is_unconstrained)
        unplaceable_needs_.emplace_back(*service, spec.need_);
    return std::nullopt;
}

bool placement_search::prefers_one_class(const pending_unit& unit) const
{
    return table_.has_speed_classes() && unit.spec().is_gang_ &&
           unit.tasks_.size() > 1 && !unit.is_suspect();
}

placement placement_search::find_for_all(const pending_unit& unit,
                                         service_index service,
                                         std::optional<speed_class> speed)
{
    placement result;
    while (result.workers_.size() < unit.tasks_.size()) {
        auto where = unit.is_suspect() ? find_least_risk(unit, service)
                                       : find_best_fit(unit, service, speed);
        if (!where)
            break;
        table_.allocate(*where, unit);
        result.workers_.push_back(*where);
    }
    for (worker_index where : result.workers_)
        table_.deallocate(where, unit);
    return result;
}

// The fewest failures come first, then the preferred speed.
std::optional<worker_index>
placement_search::find_best_fit(const pending_unit& unit, service_index service,
                                std::optional<speed_class> speed) const
{
    const std::set<free_key>& order = table_.free_workers(service);
    auto group = order.begin();
    while (group != order.end()) {
        int failures = group->failures_;
        for (speed_class item :
             preferred_classes(unit.job_->policy().priority_)) {
            if (speed && *speed != item)
                continue;
            if (auto where = find_among_alike(unit, service, failures, item))
                return where;
        }
        group =
            order.lower_bound({failures + 1, speed_class::very_slow,
                               std::numeric_limits<std::int64_t>::min(),
                               std::numeric_limits<std::int64_t>::min(), 0});
    }
    return std::nullopt;
}

// The order of the workers makes the first one with enough resources the best:
// the fullest, so that whole workers stay free.
std::optional<worker_index>
placement_search::find_among_alike(const pending_unit& unit,
                                   service_index service, int failures,
                                   speed_class speed) const
{
    const resources& need = unit.spec().need_;
    const std::set<free_key>& order = table_.free_workers(service);
    auto it =
        order.lower_bound({failures, speed, need.accelerators_, need.cpu_, 0});
    while (it != order.end() && it->failures_ == failures &&
           it->speed_ == speed) {
        if (it->cpu_ < need.cpu_) {
            it = order.lower_bound(
                {failures, speed, it->accelerators_, need.cpu_, 0});
            continue;
        }
        if (has_room(unit, it->worker_))
            return it->worker_;
        ++it;
    }
    return std::nullopt;
}

resources placement_search::usable_on(const worker_resources& where) const
{
    resources result = where.free_;
    if (!uses_cold_room_)
        result -= where.withheld_;
    return result;
}

bool placement_search::has_room(const pending_unit& unit,
                                worker_index where) const
{
    const step_spec& spec = unit.spec();
    const worker_resources& worker = table_.workers()[where];
    bool is_full = spec.per_worker_limit_ > 0 &&
                   table_.placed(unit.key(), where) >= spec.per_worker_limit_;
    return !is_full && spec.need_.fits_into(usable_on(worker)) &&
           is_eligible(unit, worker) && is_available(unit, worker);
}

// What the crash of a suspected task would lose; other work takes no part.
double placement_search::risk_of(const pending_unit& unit,
                                 const worker_resources& where)
{
    return unit.is_suspect() ? where.used_cores_ : 0;
}

// At equal risk the fullest is taken, so that a gang stays on few workers.
std::optional<worker_index>
placement_search::find_least_risk(const pending_unit& unit,
                                  service_index service) const
{
    std::optional<worker_index> best;
    for (const free_key& key : table_.free_workers(service)) {
        bool is_better = !best || risk_of(unit, table_.workers()[key.worker_]) <
                                      risk_of(unit, table_.workers()[*best]);
        if (is_better && has_room(unit, key.worker_))
            best = key.worker_;
    }
    return best;
}

// --- Preemption

std::optional<placement>
placement_search::find_with_preemption(const pending_unit& unit)
{
    if (auto rack = data_rack_of(unit))
        return find_on(unit, table_.racks()[*rack].workers_, true);
    if (!unit.spec().is_rack_sensitive_ || unit.tasks_.size() < 2)
        return find_on(unit, table_.all_workers(), true);
    return find_rack_with_preemption(unit);
}

std::optional<placement>
placement_search::find_rack_with_preemption(const pending_unit& unit)
{
    // Stay with the rack that is already being cleared: changing racks would
    // preempt work in both.
    auto cleared = input_.clearings_.find(unit.key());
    if (cleared != input_.clearings_.end()) {
        if (auto rack = table_.find_rack(cleared->second.rack_)) {
            auto here = find_on(unit, table_.racks()[*rack].workers_, true);
            if (here) {
                here->rack_ = cleared->second.rack_;
                return here;
            }
        }
    }
    std::optional<placement> best;
    std::int64_t best_free = 0;
    for (const rack_resources& rack : table_.racks()) {
        auto here = find_on(unit, rack.workers_, true);
        if (!here)
            continue;
        bool is_better =
            !best || std::tie(here->cost_, rack.free_accelerators_) <
                         std::tie(best->cost_, best_free);
        if (!is_better)
            continue;
        best = std::move(here);
        best->rack_ = rack.name_;
        best_free = rack.free_accelerators_;
    }
    if (best || could_fit_some_rack(unit))
        return best;
    return find_on(unit, table_.all_workers(), true);
}

std::optional<placement_search::fit>
placement_search::evaluate(const pending_unit& unit, const candidate& where,
                           bool allow_preemption) const
{
    const resources& need = unit.spec().need_;
    if (need.fits_into(where.free_) || !allow_preemption) {
        fit result{0, where.free_};
        result.remaining_ -= need;
        return need.fits_into(where.free_) ? std::optional(result)
                                           : std::nullopt;
    }
    auto choice = victim_selection(table_, unit)
                      .choose_on(where.index_, where.free_, is_selected_);
    if (!choice)
        return std::nullopt;
    return fit{choice->cost_, choice->remaining_};
}

std::vector<placement_search::candidate>
placement_search::make_candidates(const pending_unit& unit,
                                  const std::vector<worker_index>& among,
                                  bool allow_preemption) const
{
    const step_spec& spec = unit.spec();
    std::vector<candidate> candidates;
    for (worker_index index : among) {
        const worker_resources& where = table_.workers()[index];
        candidate item;
        item.index_ = index;
        item.free_ = usable_on(where);
        if (allow_preemption)
            item.free_ += where.releasing_;
        else if (!spec.need_.fits_into(item.free_))
            continue;
        if (!is_eligible(unit, where) || !is_available(unit, where))
            continue;
        if (spec.per_worker_limit_ > 0)
            item.placed_ = table_.placed(unit.key(), index);
        candidates.push_back(item);
    }
    return candidates;
}

bool placement_search::is_cheaper(const pending_unit& unit,
                                  const candidate& left,
                                  const candidate& right) const
{
    auto sort_key = [&](const candidate& item) {
        const worker_resources& worker = table_.workers()[item.index_];
        return std::tuple(
            item.fit_->cost_, risk_of(unit, worker), worker.failures_,
            preference_of(unit.job_->policy().priority_, worker.speed_),
            item.fit_->remaining_.accelerators_, item.fit_->remaining_.cpu_);
    };
    return sort_key(left) < sort_key(right);
}

placement_search::candidate*
placement_search::find_cheapest(const pending_unit& unit,
                                std::vector<candidate>& candidates,
                                bool allow_preemption) const
{
    std::uint32_t limit = unit.spec().per_worker_limit_;
    candidate* best = nullptr;
    for (candidate& item : candidates) {
        if (limit > 0 && item.placed_ >= limit)
            continue;
        if (!item.is_evaluated_) {
            item.fit_ = evaluate(unit, item, allow_preemption);
            item.is_evaluated_ = true;
        }
        if (item.fit_ && (best == nullptr || is_cheaper(unit, item, *best)))
            best = &item;
    }
    return best;
}

// The end of a gang frees resources on the workers of all members.
void placement_search::select_victims(const pending_unit& unit,
                                      const std::vector<victim_index>& victims,
                                      std::vector<candidate>& candidates,
                                      placement& result)
{
    for (victim_index index : victims) {
        const victim& item = table_.victim_at(index);
        is_selected_[index] = true;
        result.victims_.push_back(index);
        result.cost_ += victim_selection(table_, unit).cost_of(item);
        for (const victim::member& member : item.members_) {
            candidate* other = find_candidate(candidates, member.worker_);
            if (other == nullptr)
                continue;
            other->free_ += item.need_;
            other->is_evaluated_ = false;
        }
    }
}

placement_search::candidate*
placement_search::find_candidate(std::vector<candidate>& candidates,
                                 worker_index where)
{
    auto found =
        std::lower_bound(candidates.begin(), candidates.end(), where,
                         [](const candidate& left, worker_index right) {
                             return left.index_ < right;
                         });
    return found == candidates.end() || found->index_ != where ? nullptr
                                                               : &*found;
}

// Stopping a gang for a later task may make room for earlier ones as well, so
// that other victims chosen for them are not needed.
void placement_search::drop_unneeded(const pending_unit& unit,
                                     std::vector<candidate>& candidates,
                                     placement& result)
{
    victim_selection selection(table_, unit);
    std::vector<victim_index> by_cost = result.victims_;
    std::stable_sort(by_cost.begin(), by_cost.end(),
                     [&](victim_index a, victim_index b) {
                         return selection.cost_of(table_.victim_at(a)) >
                                selection.cost_of(table_.victim_at(b));
                     });
    for (victim_index index : by_cost) {
        const victim& item = table_.victim_at(index);
        if (selection.ends_by_itself(item))
            continue;
        auto change = [&](bool is_stopped) {
            bool fits = true;
            for (const victim::member& member : item.members_) {
                candidate* where = find_candidate(candidates, member.worker_);
                if (where == nullptr)
                    continue;
                if (is_stopped)
                    where->free_ += item.need_;
                else
                    where->free_ -= item.need_;
                fits = fits && (where->taken_ == 0 ||
                                resources{}.fits_into(where->free_));
            }
            return fits;
        };
        if (!change(false)) {
            (void)change(true);
            continue;
        }
        std::erase(result.victims_, index);
        is_selected_[index] = false;
    }
    result.cost_ = 0;
    for (victim_index index : result.victims_)
        result.cost_ += selection.cost_of(table_.victim_at(index));
}

// One victim that makes room for the whole unit may cost less than the sum of
// those that are cheapest for each task.
std::optional<placement>
placement_search::find_on(const pending_unit& unit,
                          const std::vector<worker_index>& among,
                          bool allow_preemption)
{
    auto result = place_greedily(unit, among, allow_preemption, std::nullopt);
    if (!result || !allow_preemption || unit.tasks_.size() < 2 ||
        result->victims_.size() < 2 || result->cost_ <= 0)
        return result;
    std::vector<worker_index> workers;
    std::vector<resources> free;
    for (const candidate& item : make_candidates(unit, among, true)) {
        workers.push_back(item.index_);
        free.push_back(item.free_);
    }
    auto sufficient = victim_selection(table_, unit)
                          .find_sufficient_victim(
                              workers, free, unit.tasks_.size(), result->cost_);
    if (!sufficient)
        return result;
    auto other = place_greedily(unit, among, true, sufficient);
    return other && other->cost_ < result->cost_ ? other : result;
}

// Greedily selects the cheapest worker for each task. At equal cost and number
// of failures the fullest worker is preferred, so that whole workers stay free.
std::optional<placement> placement_search::place_greedily(
    const pending_unit& unit, const std::vector<worker_index>& among,
    bool allow_preemption, std::optional<victim_index> first_victim)
{
    std::vector<candidate> candidates =
        make_candidates(unit, among, allow_preemption);
    // With preemption, the work that is lost decides.
    if (prefers_one_class(unit) && !allow_preemption) {
        for (speed_class speed : gang_classes(unit)) {
            std::vector<candidate> alike;
            for (const candidate& item : candidates) {
                if (table_.workers()[item.index_].speed_ == speed)
                    alike.push_back(item);
            }
            if (auto here =
                    select_from(unit, std::move(alike), false, std::nullopt))
                return here;
        }
    }
    return select_from(unit, std::move(candidates), allow_preemption,
                       first_victim);
}

std::optional<placement> placement_search::select_from(
    const pending_unit& unit, std::vector<candidate> candidates,
    bool allow_preemption, std::optional<victim_index> first_victim)
{
    is_selected_.resize(table_.victim_count());
    placement result;
    if (first_victim)
        select_victims(unit, {*first_victim}, candidates, result);
    while (result.workers_.size() < unit.tasks_.size()) {
        candidate* best = find_cheapest(unit, candidates, allow_preemption);
        if (best == nullptr)
            break;
        if (!unit.spec().need_.fits_into(best->free_)) {
            auto choice =
                victim_selection(table_, unit)
                    .choose_on(best->index_, best->free_, is_selected_);
            select_victims(unit, choice->victims_, candidates, result);
        }
        best->free_ -= unit.spec().need_;
        ++best->taken_;
        best->is_evaluated_ = false;
        ++best->placed_;
        result.workers_.push_back(best->index_);
    }
    bool is_complete = result.workers_.size() == unit.tasks_.size();
    if (is_complete && result.victims_.size() > 1)
        drop_unneeded(unit, candidates, result);
    for (victim_index index : result.victims_)
        is_selected_[index] = false;
    if (!is_complete)
        return std::nullopt;
    return result;
}

} // namespace dandelioncrank::pool
