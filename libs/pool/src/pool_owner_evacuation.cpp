// What the owner does for the evacuation of a zone.
#include "dandelioncrank/pool/pool_owner.hpp"

#include "fencing_tokens.hpp"
#include "loss_monitor.hpp"
#include "proposal_tracker.hpp"
#include "worker_session.hpp"

namespace dandelioncrank::pool {

// Starts that were committed before the evacuation are withheld as their
// sessions are advanced.
void pool_owner::follow_evacuations()
{
    if (seen_evacuated_zones_ == state_.evacuated_zones())
        return;
    seen_evacuated_zones_ = state_.evacuated_zones();
    is_dirty_ = true;
    add_all_workers();
}

void pool_owner::end_split_gangs(worker_session& session)
{
    for (const run_ref& withheld : session.take_withheld_gang_runs()) {
        const task_ref& at = withheld.task_;
        std::uint32_t ended = 0;
        for (std::uint32_t i = 0; i < state_.spec_of(at).count_; ++i)
            ended += request_stop({{at.job_, at.occurrence_, at.step_, i},
                                   withheld.run_})
                         ? 1
                         : 0;
        if (ended > 0)
            output_.events_.push_back(
                {at.job_.str(),
                 "gang of run " + to_text(withheld) + " ends with " +
                     std::to_string(ended) + " more members, as " +
                     session.worker().str() + " is in an evacuated zone",
                 "runs_ended_for_evacuation"});
    }
}

void pool_owner::stop_moved(const std::vector<run_ref>& runs)
{
    for (const run_ref& run : runs) {
        if (request_stop(run))
            output_.events_.push_back(
                {run.task_.job_.str(),
                 "run " + to_text(run) +
                     " is stopped to move out of an evacuated zone",
                 "runs_ended_for_evacuation"});
    }
}

bool pool_owner::worker_session::is_evacuated() const
{
    return state_.is_evacuated(info().zone_);
}

// What was not sent ends as refused. What was sent and not answered is stopped,
// since the worker may have begun it or may still do so; both stay so after a
// withdrawal. A run with an open call is judged by its result.
void pool_owner::worker_session::withhold_if_evacuated(const run_ref& run,
                                                       run_entry& entry,
                                                       owner_output& out)
{
    bool may_begin = entry.phase_ == run_phase::unsent ||
                     entry.phase_ == run_phase::unconfirmed;
    bool applies = may_begin && !entry.call_id_ && !is_replaced_ &&
                   !entry.stop_requested_ && !entry.blocked_at_ &&
                   is_evacuated() && state_.is_desired(run);
    if (!applies)
        return;
    entry.stop_requested_ = true;
    if (state_.spec_of(run.task_).is_gang_)
        withheld_gang_runs_.push_back(run);
    out.events_.push_back(
        {run.task_.job_.str(),
         "run " + to_text(run) +
             (entry.phase_ == run_phase::unsent ? " is not started"
                                                : " is stopped unconfirmed") +
             " on " + worker_.str() + ": zone " + info().zone_.str() +
             " is evacuated",
         "starts_withheld_for_evacuation"});
}

} // namespace dandelioncrank::pool
