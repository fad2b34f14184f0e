#include "victim_selection.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// Stops take 0.3 to 0.9 s. A run that ends sooner is not stopped; longer waits
// made urgent work late more often than they saved work.
constexpr duration shortest_stop = 300ms;
// Age from which a unit does not rely on expected ends any more, so that wrong
// expectations delay it for a bounded time.
constexpr duration max_waiting_age = 1600ms;

} // namespace

duration longest_wait_for_end(const pending_unit& unit)
{
    return unit.age_ < max_waiting_age ? shortest_stop : duration::zero();
}

bool victim_selection::ends_by_itself(const victim& what) const
{
    return what.is_ending_ ||
           (longest_wait_ > duration::zero() && what.remaining_ &&
            *what.remaining_ <= longest_wait_);
}

bool victim_selection::may_use(const victim& what) const
{
    if (ends_by_itself(what))
        return true;
    if (what.priority_ > unit_.job_->policy().priority_)
        return true;
    return unit_.is_guaranteed_ && !what.is_guaranteed_;
}

resources victim_selection::freed_on(worker_index where,
                                     const victim& what) const
{
    resources freed;
    for (const victim::member& member : what.members_) {
        if (member.worker_ == where)
            freed += what.need_;
    }
    return freed;
}

std::optional<victim_selection::choice>
victim_selection::choose_on(worker_index where, const resources& free,
                            const std::vector<bool>& is_selected) const
{
    const resources& need = unit_.spec().need_;
    choice result{{}, 0, free};
    // Runs that end by themselves come first, as they cost nothing.
    for (bool by_itself : {true, false}) {
        for (victim_index index : table_.workers()[where].victims_) {
            if (need.fits_into(result.remaining_))
                break;
            const victim& item = table_.victim_at(index);
            if (is_selected[index] || ends_by_itself(item) != by_itself ||
                !may_use(item))
                continue;
            result.remaining_ += freed_on(where, item);
            result.victims_.push_back(index);
        }
    }
    if (!need.fits_into(result.remaining_))
        return std::nullopt;
    // Several cheap runs may have been chosen before one that is large enough.
    if (result.victims_.size() > 1) {
        for (std::size_t n = result.victims_.size(); n-- > 0;) {
            resources without = result.remaining_;
            without -= freed_on(where, table_.victim_at(result.victims_[n]));
            if (!need.fits_into(without))
                continue;
            result.remaining_ = without;
            result.victims_.erase(result.victims_.begin() +
                                  static_cast<std::ptrdiff_t>(n));
        }
    }
    for (victim_index index : result.victims_)
        result.cost_ += cost_of(table_.victim_at(index));
    result.remaining_ -= need;
    return result;
}

std::size_t
victim_selection::count_slots(const victim& what,
                              const std::vector<worker_index>& among,
                              const std::vector<resources>& free) const
{
    const step_spec& spec = unit_.spec();
    std::size_t limit = unit_.tasks_.size();
    if (spec.per_worker_limit_ > 0)
        limit = std::min<std::size_t>(limit, spec.per_worker_limit_);
    std::size_t slots = 0;
    // Members on the same worker follow each other only by chance, so that
    // each worker is counted at its first member.
    for (std::size_t n = 0; n < what.members_.size(); ++n) {
        worker_index where = what.members_[n].worker_;
        bool is_first = std::none_of(
            what.members_.begin(),
            what.members_.begin() + static_cast<std::ptrdiff_t>(n),
            [where](const auto& item) { return item.worker_ == where; });
        auto found = std::lower_bound(among.begin(), among.end(), where);
        if (!is_first || found == among.end() || *found != where)
            continue;
        resources available =
            free[static_cast<std::size_t>(found - among.begin())];
        available += freed_on(where, what);
        slots += count_fits(spec.need_, available, limit);
    }
    return slots;
}

std::optional<victim_index>
victim_selection::find_sufficient_victim(const std::vector<worker_index>& among,
                                         const std::vector<resources>& free,
                                         std::size_t tasks, double cost) const
{
    std::optional<victim_index> best;
    for (worker_index where : among) {
        for (victim_index index : table_.workers()[where].victims_) {
            const victim& item = table_.victim_at(index);
            if (item.members_.size() < 2 || cost_of(item) >= cost ||
                item.members_.front().worker_ != where || !may_use(item) ||
                ends_by_itself(item))
                continue;
            if (count_slots(item, among, free) < tasks)
                continue;
            best = index;
            cost = cost_of(item);
        }
    }
    return best;
}

} // namespace dandelioncrank::pool
