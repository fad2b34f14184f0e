#include "idle_capacity.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

// Bounds the cost of a plan; units beyond it rarely need less than these.
constexpr std::size_t max_distinct_needs = 16;

/// The smallest waiting unit with a need.
struct waiting_need
{
    service_index service_ = 0;
    resources need_;
    /// Tasks that must find room together.
    std::size_t tasks_ = 1;
};

std::vector<waiting_need>
collect_needs(const resource_table& table,
              const std::vector<const pending_unit*>& waiting)
{
    std::vector<waiting_need> needs;
    for (const pending_unit* unit : waiting) {
        auto service = table.find_service(unit->job_->policy().service_);
        const step_spec& spec = unit->spec();
        if (!service || spec.need_.accelerators_ == 0)
            continue;
        std::size_t tasks = spec.is_gang_ ? unit->tasks_.size() : 1;
        auto known = std::find_if(
            needs.begin(), needs.end(), [&](const waiting_need& item) {
                return item.service_ == *service && item.need_ == spec.need_;
            });
        if (known != needs.end())
            known->tasks_ = std::min(known->tasks_, tasks);
        else if (needs.size() < max_distinct_needs)
            needs.push_back({*service, spec.need_, tasks});
    }
    return needs;
}

} // namespace

double percent_unusable(const resource_table& table,
                        const std::vector<const pending_unit*>& waiting)
{
    std::vector<waiting_need> needs = collect_needs(table, waiting);
    if (needs.empty())
        return 0;
    std::vector<bool> is_usable(table.workers().size());
    for (const waiting_need& item : needs) {
        std::vector<worker_index> fitting;
        std::size_t slots = 0;
        for (worker_index index : table.all_workers()) {
            const worker_resources& where = table.workers()[index];
            if (where.service_ != item.service_)
                continue;
            std::size_t fits = count_fits(item.need_, where.free_, item.tasks_);
            slots += fits;
            if (fits > 0)
                fitting.push_back(index);
        }
        if (slots < item.tasks_)
            continue;
        for (worker_index index : fitting)
            is_usable[index] = true;
    }
    std::int64_t idle = 0;
    std::int64_t unusable = 0;
    for (worker_index index : table.all_workers()) {
        std::int64_t here = std::max<std::int64_t>(
            0, table.workers()[index].free_.accelerators_);
        idle += here;
        unusable += is_usable[index] ? 0 : here;
    }
    return idle == 0 ? 0
                     : 100.0 * static_cast<double>(unusable) /
                           static_cast<double>(idle);
}

} // namespace dandelioncrank::pool
