#include "loss_assessment.hpp"

namespace dandelioncrank::pool {

namespace {

// Losses in a row from which a task is suspected even beside other suspects.
constexpr std::uint32_t max_unsuspected_losses = 2;

} // namespace

// What is on probation is kept apart from other suspects, so it comes first,
// with what has often been lost beside other suspects. Then comes what had just
// started or has lost a worker before. A loss that is explained otherwise makes
// only the latter suspect: no explanation may cover a task without a limit.
std::set<task_ref> find_suspects(const std::vector<exposure>& exposed,
                                 incarnation_end_cause cause)
{
    bool is_evidence = cause == incarnation_end_cause::crashed;
    std::set<task_ref> on_probation;
    std::set<task_ref> likely;
    std::set<task_ref> all;
    for (const exposure& entry : exposed) {
        bool is_young = is_evidence && entry.item_.is_confirmed_ &&
                        entry.item_.age_ < usual_crash_age();
        if (entry.is_on_probation_ ||
            entry.earlier_losses_ >= max_unsuspected_losses)
            on_probation.insert(entry.unit_);
        if (entry.earlier_losses_ > 0 || is_young)
            likely.insert(entry.unit_);
        if (is_evidence)
            all.insert(entry.unit_);
    }
    if (!on_probation.empty())
        return on_probation;
    return likely.empty() ? all : likely;
}

} // namespace dandelioncrank::pool
