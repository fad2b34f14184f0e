// Sessions of incarnations that have been replaced: what the next incarnation
// under the worker's name may have taken of their runs.
#include "worker_session.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// Interval at which a new incarnation is asked for runs that are being stopped.
constexpr duration successor_hold_interval = 50ms;

} // namespace

bool pool_owner::worker_session::may_exist(const run_entry& entry)
{
    return entry.phase_ != run_phase::unsent &&
           entry.phase_ != run_phase::over && !entry.is_absent_;
}

// Calls name the worker and not its incarnation, so the next incarnation under
// the same name carries out a start that was meant for this one.
bool pool_owner::worker_session::may_outlive(const run_ref& run,
                                             const run_entry& entry) const
{
    if (!may_exist(entry))
        return false;
    bool is_start_open =
        std::any_of(calls_.begin(), calls_.end(), [&run](const auto& item) {
            const auto* start =
                std::get_if<start_call>(&item.second.operation_);
            return start != nullptr && start->run_ == run;
        });
    return is_start_open || entry.may_arrive_late_ || !entry.was_listed_;
}

void pool_owner::worker_session::replace(std::optional<std::int64_t> successor,
                                         const std::string& evidence,
                                         instant now)
{
    // Answers may overtake each other; incarnations rise.
    if (successor_ && successor && successor <= successor_)
        return;
    for (auto& [run, entry] : runs_) {
        // What a successor may have taken, the next one may have as well.
        bool may_be_there =
            successor && (is_replaced_ ? entry.phase_ != run_phase::over
                                       : may_outlive(run, entry));
        if (entry.phase_ != run_phase::unsent && !may_be_there)
            entry.phase_ = run_phase::over;
        entry.is_absent_ = false;
        // The new incarnation knows of no stop.
        entry.blocked_at_.reset();
        entry.call_id_.reset();
        entry.next_attempt_at_ = {};
    }
    if (!is_replaced_)
        replaced_evidence_ = evidence;
    is_replaced_ = true;
    successor_ = successor;
    is_successor_clean_ = !successor;
    if (has_open_effects())
        tokens_.record_lost_call(worker_, now);
    else
        tokens_.raise(worker_);
    successor_token_ = tokens_.token_for(worker_);
    // Answers that are still under way may come from an earlier incarnation.
    settled_lease_end_ = lease_end();
    calls_.clear();
    hold_call_id_.reset();
    next_hold_at_ = {};
    // A lease that arrives late ends by the clock of another incarnation.
    instant last_arrival = std::max(now, tokens_.late_until(worker_));
    settled_lease_end_ =
        std::max(settled_lease_end_, last_arrival + longest_lease_time());
}

// What the new incarnation may have taken is over once its listing rules it
// out, or once the longest lease has passed. After a restart a worker obeys a
// replaced owner until its first call from this one, so it is asked for what it
// runs in any case.
void pool_owner::worker_session::propose_replaced_end(instant now,
                                                      owner_output& out)
{
    if (!may_propose_incarnation_end(now))
        return;
    bool may_have_runs =
        std::any_of(runs_.begin(), runs_.end(),
                    [](const auto& item) { return may_exist(item.second); });
    bool is_over = now > lease_end() || (is_successor_clean_ && !may_have_runs);
    if (!is_over)
        return;
    next_incarnation_end_ = now + proposal_interval;
    incarnation_end_proposal_ = proposals_.current();
    out.observations_.push_back(incarnation_end(verdict_->cause_));
}

// Acknowledges no outcomes and renews no lease: both belong to the session of
// the new incarnation.
void pool_owner::worker_session::advance_successor_hold(
    instant now, std::uint64_t& next_call, owner_output& out)
{
    bool may_have_runs =
        std::any_of(runs_.begin(), runs_.end(),
                    [](const auto& item) { return may_exist(item.second); });
    bool is_due = may_have_runs || !is_successor_clean_;
    if (!is_due || hold_call_id_ || now < next_hold_at_)
        return;
    next_hold_at_ = now + successor_hold_interval;
    hold_call_id_ = send(hold_call{0, std::nullopt, duration::zero()},
                         timing_.call_timeout_, now, next_call, out);
}

void pool_owner::worker_session::handle_successor(const call_answer& listing,
                                                  std::uint64_t token,
                                                  instant now,
                                                  owner_output& out)
{
    replace(listing.incarnation_,
            "an answer of incarnation " + std::to_string(listing.incarnation_),
            now);
    if (successor_ == listing.incarnation_)
        handle_successor_listing(listing, token, now, out);
}

void pool_owner::worker_session::handle_successor_listing(
    const call_answer& answer, std::uint64_t token, instant now,
    owner_output& out)
{
    std::set<run_ref> running;
    std::set<run_ref> unknown;
    // Calls from before its token can add nothing to this listing any more.
    bool is_conclusive = answer.is_complete_ && token >= successor_token_ &&
                         answer.verdict_ == call_verdict::done;
    is_successor_clean_ = is_successor_clean_ || is_conclusive;
    for (const reported_run& row : answer.running_) {
        running.insert(row.run_);
        note_confirmed(row.run_);
        if (runs_.contains(row.run_))
            continue;
        is_successor_clean_ = false;
        unknown.insert(row.run_);
    }
    bool is_whole =
        answer.is_complete_ && answer.verdict_ == call_verdict::done;
    update_stray_runs(std::move(unknown), is_whole, now, out);
    std::map<run_ref, run_outcome> ended;
    for (const reported_outcome& item : answer.ended_) {
        ended.emplace(item.run_, item.outcome_);
        // The session of that incarnation records it.
        if (item.outcome_ == run_outcome::done && !runs_.contains(item.run_))
            listed_unknown_.insert(item.run_);
    }
    for (auto& [run, entry] : runs_) {
        if (!may_exist(entry) || running.contains(run))
            continue;
        auto end = ended.find(run);
        if (end == ended.end()) {
            entry.is_absent_ = is_conclusive;
        } else if (may_propose_end(entry, now)) {
            propose_run_end(run, entry, end->second, now, out);
        }
    }
}

} // namespace dandelioncrank::pool
