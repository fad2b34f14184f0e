// Runs that make no progress.
#include "dandelioncrank/pool/pool_owner.hpp"

#include "performance_model.hpp"
#include "progress_monitor.hpp"
#include "worker_session.hpp"

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// Interval at which the progress of all runs is judged. Listings come less
// often.
constexpr duration judge_interval = 250ms;

std::string in_ms(duration value)
{
    auto count = std::chrono::floor<std::chrono::milliseconds>(value).count();
    return std::to_string(count) + " ms";
}

} // namespace

std::unique_ptr<progress_monitor> pool_owner::make_progress_monitor() const
{
    return std::make_unique<progress_monitor>(
        timing_.stall_timeout_,
        [this](const job_id& id) { return state_.active_jobs().contains(id); });
}

void pool_owner::detect_stalls(instant now)
{
    if (now - judged_at_ < judge_interval)
        return;
    judged_at_ = now;
    std::vector<progress_report> reports;
    for (const auto& item : sessions_)
        item.second->add_progress(reports, now);
    stall_findings findings =
        progress_->judge(reports, performance_->estimates(), now);
    for (const stalled_unit& item : findings.stalled_) {
        for (const run_ref& run : item.runs_)
            request_stop(run);
        const run_ref& first = item.runs_.front();
        std::string members = item.runs_.size() == 1
                                  ? ""
                                  : " with all " +
                                        std::to_string(item.runs_.size()) +
                                        " members of its gang";
        output_.events_.push_back(
            {first.task_.job_.str(),
             "run " + to_text(first) + members + " is stalled for " +
                 in_ms(item.standing_) + ", allowed are " +
                 in_ms(item.allowed_) + ": " + item.basis_ + "; stopping it",
             "runs_stalled"});
    }
    for (const stall_suspicion& item : findings.suspicions_) {
        auto session = sessions_.find(item.worker_);
        if (session == sessions_.end())
            continue;
        session->second->record_failure(item.job_, now);
        output_.events_.push_back({item.worker_.str(),
                                   "worker " + item.worker_.str() +
                                       " is suspected of stalling job " +
                                       item.job_.str() + ": " + item.evidence_,
                                   "workers_suspected_of_stalling"});
    }
}

} // namespace dandelioncrank::pool
