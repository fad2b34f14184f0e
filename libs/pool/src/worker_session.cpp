#include "worker_session.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// Number of failed or stalled jobs from which a worker is quarantined.
constexpr std::size_t max_failed_jobs = 2;
// How long a member of a completed gang may take to report its own outcome.
constexpr duration report_grace_time = 1s;
// How long a retiring worker waits for the outcomes of its runs. Stops take
// less, and the worker itself waits longer.
constexpr duration retire_timeout = 1s;
// How long before its deregistration reaches this host a worker may have closed
// its connections: it asks another host after a second without an answer.
constexpr duration max_removal_delay = 1500ms;
// Number of consecutive lost calls from which no start is sent.
constexpr int max_lost_calls = 3;
// Age of an announcement up to which an unguarded worker gets starts: two
// intervals between announcements.
constexpr duration max_capacity_age = 3s;
// Maximum number of runs named in a log message.
constexpr std::size_t max_logged_runs = 8;

} // namespace

pool_owner::worker_session::worker_session(
    const pool_state& state, const owner_timing& timing, fencing_tokens& tokens,
    const proposal_tracker& proposals, worker_name worker,
    std::int64_t incarnation, instant now, bool is_inherited,
    duration clock_wait)
    : state_(state), timing_(timing), tokens_(tokens), proposals_(proposals),
      worker_(std::move(worker)), incarnation_(incarnation), opened_at_(now),
      clock_request_at_(now + clock_wait), last_contact_at_(now)
{
    settled_lease_end_ = now + longest_lease_time();
    if (is_inherited)
        settled_lease_end_ += timing_.replaced_owner_time_;
    awaits_listing_ = !is_inherited;
    for (const run_ref& run : state_.runs_on(worker_)) {
        run_entry entry;
        entry.phase_ = is_inherited ? run_phase::inherited : run_phase::unsent;
        entry.may_arrive_late_ = is_inherited;
        entry.started_at_ = now;
        runs_.emplace(run, entry);
    }
}

const worker_info& pool_owner::worker_session::info() const
{
    return state_.worker_at(worker_).info_;
}

bool pool_owner::worker_session::record_announcement(std::int64_t clock_ms,
                                                     instant now)
{
    last_contact_at_ = now;
    announced_at_ = now;
    // Without runs, nothing else would ask it for what has ended there.
    hold_requested_ = hold_requested_ || has_unread_outcomes_ ||
                      incomplete_since_ || may_be_recorded_lost();
    bool is_first = !clock_ms_;
    clock_ms_ = clock_ms;
    clock_read_at_ = now;
    bool is_hold_due = hold_requested_ || awaits_listing_;
    if (is_hold_due)
        next_hold_at_ = now;
    return is_first || is_hold_due;
}

bool pool_owner::worker_session::is_usable(instant now) const
{
    bool is_responsive =
        now - last_contact_at_ < timing_.silence_timeout_ && lost_calls_ == 0;
    bool trusted = failed_jobs_.size() < max_failed_jobs ||
                   now - last_failure_at_ > timing_.quarantine_;
    return is_responsive && is_capacity_known(now) && trusted && clock_ms_ &&
           now >= backoff_until_ && !retire_deadline_ && !is_replaced_ &&
           !is_fenced_ && !may_be_recorded_lost() && !refusing_since_ &&
           can_list_runs(now) && knows_all_runs(now) && !is_evacuated();
}

// A stray run takes resources until it has ended.
bool pool_owner::worker_session::knows_all_runs(instant now) const
{
    return !awaits_listing_ && stray_runs(now).empty();
}

// Calls from before may still reach its next incarnation.
bool pool_owner::worker_session::is_watched(instant now) const
{
    bool may_ask = clock_ms_.has_value() || now > clock_request_at_;
    return awaits_listing_ || !listed_unknown_.empty() ||
           (may_ask && now < tokens_.late_until(worker_));
}

// A worker that guards its capacity rejects what does not fit. For others, the
// capacity in the state may be as old as their last announcement.
bool pool_owner::worker_session::is_capacity_known(instant now) const
{
    bool is_guarded =
        !state_.config().unguarded_services_.contains(info().service_);
    return is_guarded ||
           (announced_at_ && now - *announced_at_ < max_capacity_age);
}

int pool_owner::worker_session::failure_count() const
{
    return static_cast<int>(failed_jobs_.size());
}

void pool_owner::worker_session::record_failure(const job_id& job, instant now)
{
    failed_jobs_.insert(job);
    last_failure_at_ = now;
}

void pool_owner::worker_session::clear_failures()
{
    failed_jobs_.clear();
}

void pool_owner::worker_session::retire(instant now)
{
    if (retire_deadline_)
        return;
    retire_deadline_ = now + retire_timeout;
    if (closed_at_ && now - *closed_at_ > max_removal_delay)
        closed_at_.reset();
}

void pool_owner::worker_session::add_run_observations(
    planner_input& input) const
{
    for (const auto& [run, entry] : runs_)
        input.runs_[run] = {
            entry.started_at_, entry.progress_percent_,
            entry.stop_requested_ || entry.blocked_at_.has_value(),
            entry.confirmed_at_,
            entry.confirmed_at_ ? std::optional(entry.reported_at_)
                                : std::nullopt};
}

void pool_owner::worker_session::add_progress(
    std::vector<progress_report>& reports, instant now) const
{
    // Progress is unknown while the worker is not reporting.
    bool is_reporting = lost_calls_ == 0 && !is_replaced_;
    const worker_info& worker = info();
    for (const auto& [run, entry] : runs_) {
        bool is_current = entry.phase_ == run_phase::confirmed &&
                          is_reporting &&
                          now - entry.reported_at_ < max_hold_gap;
        const job_record* job = state_.find_job(run.task_.job_);
        // The state may have ended it since the last tick.
        if (job == nullptr || run.task_.step_ >= job->spec_.steps_.size())
            continue;
        reports.push_back(
            {&run, job, &job->spec_.steps_[run.task_.step_], &worker,
             entry.progress_percent_, entry.reported_at_,
             !entry.checkpoint_.empty(),
             entry.stop_requested_ || entry.blocked_at_.has_value(),
             is_current});
    }
}

std::vector<std::uint64_t> pool_owner::worker_session::open_calls() const
{
    std::vector<std::uint64_t> result;
    for (const auto& item : calls_)
        result.push_back(item.first);
    return result;
}

bool pool_owner::worker_session::request_stop(const run_ref& run)
{
    auto found = runs_.find(run);
    return found != runs_.end() &&
           !std::exchange(found->second.stop_requested_, true);
}

// --- What is due

void pool_owner::worker_session::advance(instant now, std::uint64_t& next_call,
                                         owner_output& out)
{
    if (is_replaced_) {
        propose_replaced_end(now, out);
    } else {
        propose_contact(now, out);
        propose_lapsed_run_ends(now, out);
        propose_incarnation_end(now, out);
    }
    for (auto& [run, entry] : runs_)
        advance_run(run, entry, now, next_call, out);
    for (auto it = unknown_runs_.begin(); it != unknown_runs_.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        send(stop_call{it->first}, timing_.call_timeout_, now, next_call, out);
        it = unknown_runs_.erase(it);
    }
    advance_hold(now, next_call, out);
}

void pool_owner::worker_session::sync_with_state(instant now)
{
    std::uint64_t revision = state_.runs_revision(worker_);
    if (revision == runs_revision_)
        return;
    runs_revision_ = revision;
    const std::set<run_ref>& current = state_.runs_on(worker_);
    std::erase_if(runs_, [&current](const auto& item) {
        return !current.contains(item.first);
    });
    for (const run_ref& run : current) {
        auto [found, is_new] = runs_.try_emplace(run);
        if (!is_new)
            continue;
        found->second.started_at_ = now;
    }
}

// Once the last lease has certainly expired, all runs on the worker have ended.
void pool_owner::worker_session::propose_lapsed_run_ends(instant now,
                                                         owner_output& out)
{
    if (now <= lease_end())
        return;
    for (auto& [run, entry] : runs_) {
        if (entry.phase_ != run_phase::unsent && may_propose_end(entry, now)) {
            propose_run_end(run, entry, run_outcome::lapsed, now, out);
            has_unread_outcomes_ = true;
        }
    }
}

end_incarnation
pool_owner::worker_session::incarnation_end(incarnation_end_cause cause) const
{
    end_incarnation result{worker_, incarnation_, {}, cause, {}};
    for (const auto& [run, entry] : runs_) {
        if (!entry.checkpoint_.empty())
            result.checkpoints_.push_back({run, entry.checkpoint_});
        if (entry.phase_ != run_phase::unsent)
            result.exposed_.push_back(
                {run, age_of(entry), entry.confirmed_at_.has_value()});
    }
    return result;
}

// A closed connection tells the moment of a crash; the last answer may be older
// by the wait of a hold call.
duration pool_owner::worker_session::age_of(const run_entry& entry) const
{
    if (!entry.confirmed_at_)
        return duration::zero();
    instant end =
        lost_calls_ > 0 && was_closed_ ? contact_lost_at_ : last_contact_at_;
    return std::max(duration::zero(), end - *entry.confirmed_at_);
}

lost_worker pool_owner::worker_session::describe_loss(instant now) const
{
    lost_worker result;
    result.name_ = worker_;
    result.address_ = info().address_;
    result.lost_at_ = lost_calls_ > 0 ? contact_lost_at_ : now;
    result.is_silent_ = lost_calls_ > 0 && !was_closed_;
    result.is_leaving_ = info().is_draining_ || retire_deadline_.has_value();
    for (const auto& item : runs_) {
        const task_ref& at = item.first.task_;
        // The state may have ended it since the last tick.
        if (!state_.runs_on(worker_).contains(item.first))
            continue;
        if (state_.spec_of(at).is_gang_)
            result.gangs_.emplace(at.job_, at.occurrence_, at.step_);
        result.jobs_.insert(at.job_);
    }
    return result;
}

void pool_owner::worker_session::report_loss(const loss_verdict& verdict,
                                             owner_output& out)
{
    verdict_ = verdict;
    std::string text = "worker " + worker_.str() +
                       " has a new incarnation, by " + replaced_evidence_ +
                       "; incarnation " + std::to_string(incarnation_) +
                       " has ended, " + verdict.reason_ + ", with " +
                       std::to_string(runs_.size()) + " runs";
    std::size_t named = 0;
    for (const auto& [run, entry] : runs_) {
        if (++named > max_logged_runs) {
            text += ", ...";
            break;
        }
        auto age = std::chrono::floor<std::chrono::milliseconds>(age_of(entry));
        text += (named == 1 ? ": " : ", ") + to_text(run) +
                (entry.phase_ == run_phase::unsent
                     ? " (not sent)"
                     : " (seen for " + std::to_string(age.count()) + " ms)");
    }
    const char* counter = verdict.cause_ == incarnation_end_cause::crashed
                              ? "workers_crashed"
                              : "workers_lost_otherwise";
    out.events_.push_back({worker_.str(), text, counter});
}

void pool_owner::worker_session::propose_incarnation_end(instant now,
                                                         owner_output& out)
{
    if (!retire_deadline_ || !may_propose_incarnation_end(now))
        return;
    // Outcomes reported before are recorded first. A worker that is merely out
    // of reach may go on, so its runs end with their lease.
    bool may_have_runs =
        !runs_.empty() || (now <= lease_end() && !knows_all_runs(now));
    if (may_have_runs && !has_left_)
        return;
    next_incarnation_end_ = now + proposal_interval;
    incarnation_end_proposal_ = proposals_.current();
    out.observations_.push_back(incarnation_end(incarnation_end_cause::left));
    out.events_.push_back(
        {worker_.str(), "worker " + worker_.str() + " has left the pool with " +
                            std::to_string(runs_.size()) + " runs"});
}

bool pool_owner::worker_session::may_propose_incarnation_end(instant now) const
{
    bool is_undecided = incarnation_end_proposal_ &&
                        proposals_.is_undecided(*incarnation_end_proposal_);
    return !is_undecided && now >= next_incarnation_end_;
}

bool pool_owner::worker_session::is_end_undecided(const run_entry& entry) const
{
    return entry.end_proposal_ && proposals_.is_undecided(*entry.end_proposal_);
}

bool pool_owner::worker_session::may_propose_end(const run_entry& entry,
                                                 instant now) const
{
    return !is_end_undecided(entry) && now >= entry.next_attempt_at_;
}

void pool_owner::worker_session::report_withheld(const run_ref& run,
                                                 run_entry& entry, instant now,
                                                 owner_output& out)
{
    duration age = now - entry.end_proposed_at_;
    bool may_begin = entry.phase_ == run_phase::unsent ||
                     entry.phase_ == run_phase::unconfirmed;
    bool would_start = may_begin && lost_calls_ < max_lost_calls &&
                       !entry.stop_requested_ && state_.is_desired(run);
    if (entry.is_withheld_ || !would_start || age < proposal_interval)
        return;
    entry.is_withheld_ = true;
    auto age_ms = std::chrono::floor<std::chrono::milliseconds>(age);
    out.events_.push_back({run.task_.job_.str(),
                           "run " + to_text(run) + " is not started on " +
                               worker_.str() + ": its end is undecided for " +
                               std::to_string(age_ms.count()) + " ms, " +
                               to_text(entry.proposed_outcome_),
                           "starts_withheld"});
}

void pool_owner::worker_session::propose_run_end(const run_ref& run,
                                                 run_entry& entry,
                                                 run_outcome outcome,
                                                 instant now, owner_output& out)
{
    entry.end_proposal_ = proposals_.current();
    entry.end_proposed_at_ = now;
    entry.proposed_outcome_ = outcome;
    entry.next_attempt_at_ = now + proposal_interval;
    out.observations_.push_back(end_unreported_run{
        worker_, incarnation_, run, outcome, entry.checkpoint_, age_of(entry)});
    out.events_.push_back(
        {run.task_.job_.str(), "run " + to_text(run) + " on " + worker_.str() +
                                   " is closed: " + to_text(outcome)});
}

void pool_owner::worker_session::advance_run(const run_ref& run,
                                             run_entry& entry, instant now,
                                             std::uint64_t& next_call,
                                             owner_output& out)
{
    withhold_if_evacuated(run, entry, out);
    if (entry.call_id_ || now < entry.next_attempt_at_ ||
        now > lease_end() + 1h)
        return;
    if (is_fenced_ && entry.phase_ != run_phase::unsent)
        return;
    if (is_replaced_) {
        if (may_exist(entry) && !entry.blocked_at_)
            entry.call_id_ = send(stop_call{run}, timing_.call_timeout_, now,
                                  next_call, out);
        return;
    }
    // If the end is committed, the task starts elsewhere.
    if (is_end_undecided(entry)) {
        report_withheld(run, entry, now, out);
        return;
    }
    const job_record& job = *state_.find_job(run.task_.job_);
    const step_record& step =
        job.occurrences_.at(run.task_.occurrence_).steps_[run.task_.step_];
    bool is_done = step.tasks_[run.task_.index_].is_done_;
    if (is_done && !entry.done_at_)
        entry.done_at_ = now;
    // Another member has completed the gang; this one reports its own outcome.
    bool is_gang = job.spec_.steps_[run.task_.step_].is_gang_;
    if (is_done && is_gang && entry.phase_ == run_phase::confirmed &&
        now - *entry.done_at_ < report_grace_time)
        return;
    bool desired = state_.is_desired(run) && !entry.stop_requested_;
    // A draining worker starts nothing new; a retiring one stops everything.
    if (info().is_draining_ && entry.phase_ != run_phase::confirmed)
        desired = false;
    if (retire_deadline_ || is_fenced_)
        desired = false;
    // The worker may have shrunk since the start was committed.
    bool may_begin = entry.phase_ == run_phase::unsent ||
                     entry.phase_ == run_phase::unconfirmed;
    bool fits = state_.in_use_on(worker_).fits_into(info().capacity_);
    if (may_begin && (!fits || !is_capacity_known(now)))
        desired = false;
    // A start grants a lease. Leases that may never arrive would postpone
    // forever the time at which the run has certainly ended, so hold calls
    // probe the worker first.
    bool is_lost = lost_calls_ >= max_lost_calls || refusing_since_ ||
                   may_be_recorded_lost();
    if (is_lost && entry.phase_ == run_phase::unsent)
        desired = false;
    if (!desired && entry.phase_ == run_phase::unsent) {
        propose_run_end(run, entry, run_outcome::refused, now, out);
        return;
    }
    if (!desired && !entry.blocked_at_) {
        entry.call_id_ =
            send(stop_call{run}, timing_.call_timeout_, now, next_call, out);
        return;
    }
    bool to_send = entry.phase_ == run_phase::unsent ||
                   entry.phase_ == run_phase::unconfirmed;
    bool must_wait = entry.phase_ == run_phase::unsent && !knows_all_runs(now);
    if (!desired || !to_send || !clock_ms_ || is_lost || must_wait)
        return;
    entry.phase_ = run_phase::unconfirmed;
    duration lease = std::min(timing_.lease_, timing_.start_lease_);
    start_call request{run, job.spec_.payload_, state_.checkpoint_of(run.task_),
                       lease_until(now, lease)};
    entry.call_id_ = send(std::move(request), timing_.call_timeout_, now,
                          next_call, out, latest_lease_end(now, lease));
}

void pool_owner::worker_session::advance_hold(instant now,
                                              std::uint64_t& next_call,
                                              owner_output& out)
{
    if (is_replaced_) {
        advance_successor_hold(now, next_call, out);
        return;
    }
    std::uint64_t cursor = state_.worker_at(worker_).outcome_cursor_;
    bool has_runs =
        std::any_of(runs_.begin(), runs_.end(), [](const auto& item) {
            return item.second.phase_ != run_phase::unsent;
        });
    // What a silent worker may carry out after a restart is harmful there.
    bool is_in_contact = lost_calls_ == 0 && !awaits_listing_;
    bool must_acknowledge = cursor > acked_cursor_;
    // Starts carry a lease end by the worker's clock.
    bool needs_clock = !clock_ms_ && now > clock_request_at_;
    bool is_due = has_runs || must_acknowledge || hold_requested_ ||
                  needs_clock || refusing_since_ || is_watched(now);
    if (now < next_hold_at_ || !is_due)
        return;
    // Wait for outcomes being committed: the next hold acknowledges them.
    bool is_committing =
        proposed_cursor_ > cursor && now - proposed_at_ < proposal_interval;
    if (is_committing || (hold_call_id_ && !hold_requested_))
        return;
    bool must_know = hold_requested_ || !is_in_contact || is_lease_uncertain_ ||
                     refusing_since_;
    for (const auto& item : runs_)
        must_know = must_know || item.second.phase_ == run_phase::inherited;
    hold_call call{is_in_contact ? cursor : 0, std::nullopt, duration::zero()};
    if ((has_runs || is_watched(now)) && !must_know && clock_ms_)
        call.wait_ = timing_.hold_wait_;
    // What a worker cannot list ends with its lease.
    bool may_renew = !is_fenced_ && !retire_deadline_ && can_list_runs(now) &&
                     !may_be_recorded_lost();
    // A lease that may never arrive would postpone the time at which the runs
    // have certainly ended.
    instant lease_end{};
    if (has_runs && is_in_contact && !is_lease_uncertain_ && clock_ms_ &&
        may_renew) {
        call.lease_until_ms_ = lease_until(now, timing_.lease_);
        lease_end = latest_lease_end(now, timing_.lease_);
    }
    hold_requested_ = false;
    acked_cursor_ = call.outcome_cursor_;
    duration timeout = call.wait_ + timing_.call_timeout_;
    hold_call_id_ = send(call, timeout, now, next_call, out, lease_end);
}

std::uint64_t pool_owner::worker_session::send(
    std::variant<start_call, stop_call, hold_call> what, duration timeout,
    instant now, std::uint64_t& next_call, owner_output& out, instant lease_end)
{
    std::uint64_t id = next_call++;
    std::uint64_t token = tokens_.token_for(worker_);
    calls_.emplace(id, open_call{what, info().address_, now, token, lease_end});
    out.calls_.push_back({id, worker_, incarnation_, info().address_, token,
                          std::move(what), timeout});
    return id;
}

} // namespace dandelioncrank::pool
