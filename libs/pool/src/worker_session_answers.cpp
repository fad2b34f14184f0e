// What the calls of a session brought back.
#include "worker_session.hpp"

#include "dandelioncrank/core/overloaded.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// How long a worker gets no new work after it refused a start for lack of
// resources or as unhealthy.
constexpr duration refusal_backoff = 1s;
// Number of starts without an answer from which a run is given to another
// worker if its own one lists its runs without it.
constexpr int max_unanswered_starts = 3;
// Delay before an idle worker gets an acknowledgement of recorded outcomes: a
// new start may come first and cause a hold call anyway.
constexpr duration ack_delay = 30ms;

} // namespace

void pool_owner::worker_session::handle_result(std::uint64_t id,
                                               const call_result& result,
                                               instant now, owner_output& out)
{
    auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    open_call call = std::move(found->second);
    calls_.erase(found);
    settle_lease(call, result);
    if (hold_call_id_ == id)
        hold_call_id_.reset();
    for (auto& item : runs_) {
        if (item.second.call_id_ == id)
            item.second.call_id_.reset();
    }
    if (const auto* lost = std::get_if<call_lost>(&result)) {
        handle_lost_call(call, *lost, now, out);
        return;
    }
    const auto& answer = std::get<call_answer>(result);
    bool is_other =
        answer.verdict_ == call_verdict::other_incarnation ||
        (answer.incarnation_ != 0 && answer.incarnation_ != incarnation_);
    if (is_other) {
        // The worker may have left the address that was called.
        if (call.address_ != address())
            return;
        if (answer.verdict_ == call_verdict::other_incarnation)
            replace(std::nullopt, "another process at its address", now);
        else
            handle_successor(answer, call.token_, now, out);
        return;
    }
    bool is_fenced = answer.verdict_ == call_verdict::fenced;
    bool is_overtaken = is_fenced && call.token_ < tokens_.token_for(worker_);
    if (is_replaced_) {
        if (is_overtaken)
            repeat_overtaken(call, now);
        else if (const auto* stop = std::get_if<stop_call>(&call.operation_))
            handle_stop_result(*stop, answer, now);
        return;
    }
    lost_calls_ = 0;
    closed_at_.reset();
    has_left_ = false;
    last_contact_at_ = now;
    if (answer.clock_ms_) {
        clock_ms_ = answer.clock_ms_;
        clock_read_at_ = now;
    }
    if (is_overtaken) {
        repeat_overtaken(call, now);
        return;
    }
    is_fenced_ = is_fenced_ || is_fenced;
    std::visit(overloaded{[&](const start_call& item) {
                              handle_start_answer(item, answer, now, out);
                          },
                          [&](const stop_call& item) {
                              handle_stop_result(item, answer, now);
                          },
                          [&](const hold_call& item) {
                              handle_hold_answer(item, answer, call.token_,
                                                 call.sent_at_, now, out);
                          }},
               call.operation_);
}

// The worker has done nothing for this call, since a call with a raised token
// came first.
void pool_owner::worker_session::repeat_overtaken(const open_call& call,
                                                  instant now)
{
    if (std::holds_alternative<hold_call>(call.operation_)) {
        acked_cursor_ = 0;
        hold_requested_ = true;
        next_hold_at_ = now;
        return;
    }
    const auto* start = std::get_if<start_call>(&call.operation_);
    const run_ref& run = start != nullptr
                             ? start->run_
                             : std::get<stop_call>(call.operation_).run_;
    auto found = runs_.find(run);
    if (found != runs_.end())
        found->second.next_attempt_at_ = now;
    else if (start == nullptr)
        unknown_runs_.emplace(run, now);
}

// A link may reset or refuse connections while the worker goes on. It closes
// none in order: with one that carried a call closed and the next one refused
// after its deregistration, the worker has done both itself.
bool pool_owner::worker_session::shows_departure(const call_lost& lost) const
{
    return retire_deadline_ && closed_at_ && lost.was_refused_;
}

bool pool_owner::worker_session::has_effect(const open_call& call)
{
    const auto* hold = std::get_if<hold_call>(&call.operation_);
    if (hold != nullptr)
        return hold->lease_until_ms_ || hold->outcome_cursor_ > 0;
    return std::holds_alternative<start_call>(call.operation_);
}

bool pool_owner::worker_session::has_open_effects() const
{
    return std::any_of(calls_.begin(), calls_.end(), [](const auto& item) {
        return has_effect(item.second);
    });
}

void pool_owner::worker_session::handle_lost_call(const open_call& call,
                                                  const call_lost& lost,
                                                  instant now,
                                                  owner_output& out)
{
    bool not_sent = lost.certainly_not_sent_;
    has_listed_ = false;
    if (++lost_calls_ == 1) {
        contact_lost_at_ = now;
        was_closed_ = lost.was_closed_;
        if (!runs_.empty())
            out.events_.push_back(
                {worker_.str(),
                 "worker " + worker_.str() + " has stopped answering with " +
                     std::to_string(runs_.size()) + " runs: " +
                     (was_closed_ ? "connection closed" : "silence"),
                 "worker_contacts_lost"});
    }
    if (call.address_ == address()) {
        if (lost.was_closed_in_order_)
            closed_at_ = now;
        has_left_ = has_left_ || shows_departure(lost);
    }
    auto pause = timing_.retry_delay_ * std::min(lost_calls_, 4);
    if (!not_sent && has_effect(call))
        tokens_.record_lost_call(worker_, now);
    if (std::holds_alternative<hold_call>(call.operation_)) {
        acked_cursor_ = 0;
        next_hold_at_ = now + pause;
        return;
    }
    const run_ref* run = nullptr;
    bool is_start = false;
    if (const auto* start = std::get_if<start_call>(&call.operation_)) {
        run = &start->run_;
        is_start = true;
    } else {
        run = &std::get<stop_call>(call.operation_).run_;
    }
    // A hold call without a wait is the fastest probe of the worker. It also
    // makes the lost call void, and lists a run that has begun by then.
    hold_requested_ = true;
    auto found = runs_.find(*run);
    if (found == runs_.end())
        return;
    found->second.next_attempt_at_ = now + pause;
    if (is_start && !not_sent) {
        found->second.may_arrive_late_ = true;
        ++found->second.unanswered_starts_;
        found->second.unanswered_token_ =
            std::max(found->second.unanswered_token_, call.token_);
    }
}

void pool_owner::worker_session::handle_start_answer(const start_call& call,
                                                     const call_answer& answer,
                                                     instant now,
                                                     owner_output& out)
{
    auto found = runs_.find(call.run_);
    if (found == runs_.end())
        return;
    run_entry& entry = found->second;
    switch (answer.verdict_) {
    case call_verdict::done:
        entry.phase_ = run_phase::confirmed;
        if (!entry.confirmed_at_)
            entry.confirmed_at_ = now;
        note_confirmed(call.run_);
        return;
    case call_verdict::outdated:
        // The run has ended there or is blocked; the next hold call tells.
        entry.phase_ = run_phase::confirmed;
        entry.blocked_at_ = now;
        hold_requested_ = true;
        return;
    case call_verdict::fenced:
        entry.next_attempt_at_ = now + timing_.call_timeout_;
        return;
    default:
        break;
    }
    out.events_.push_back(
        {call.run_.task_.job_.str(), "run " + to_text(call.run_) +
                                         " was rejected by " + worker_.str() +
                                         ": " + to_text(answer.verdict_)});
    backoff_until_ = now + refusal_backoff;
    if (answer.verdict_ == call_verdict::unhealthy)
        record_failure(call.run_.task_.job_, now);
    // An earlier start call may still arrive, so the run must be blocked.
    if (entry.may_arrive_late_) {
        entry.stop_requested_ = true;
        return;
    }
    propose_run_end(call.run_, entry, run_outcome::refused, now, out);
    entry.stop_requested_ = true;
    entry.phase_ = run_phase::unsent;
}

void pool_owner::worker_session::note_confirmed(const run_ref& run)
{
    const job_record* job = state_.find_job(run.task_.job_);
    if (job != nullptr && !job->is_final() && !job->has_started_)
        confirmed_starts_.push_back(run);
}

// After a lost call, the start or the end may have been long before its
// answer.
void pool_owner::worker_session::note_end(const run_ref& run, instant now)
{
    auto found = runs_.find(run);
    if (found == runs_.end())
        return;
    const run_entry& entry = found->second;
    if (entry.confirmed_at_ && !entry.may_arrive_late_ &&
        contact_lost_at_ <= *entry.confirmed_at_)
        sightings_.push_back({run, now, 100, now - *entry.confirmed_at_});
}

void pool_owner::worker_session::handle_stop_result(const stop_call& call,
                                                    const call_answer& answer,
                                                    instant now)
{
    if (answer.verdict_ == call_verdict::done) {
        handle_stop_answer(call, now);
        return;
    }
    auto found = runs_.find(call.run_);
    if (found != runs_.end())
        found->second.next_attempt_at_ = now + timing_.call_timeout_;
}

void pool_owner::worker_session::handle_stop_answer(const stop_call& call,
                                                    instant now)
{
    auto found = runs_.find(call.run_);
    if (found == runs_.end())
        return;
    found->second.blocked_at_ = now;
    bool was_running = found->second.phase_ == run_phase::confirmed;
    // A waiting hold call is answered when a run ends; for a run that never
    // started a separate one is needed.
    if (!was_running || !hold_call_id_)
        hold_requested_ = true;
}

void pool_owner::worker_session::handle_hold_answer(
    const hold_call& call, const call_answer& answer, std::uint64_t token,
    instant sent_at, instant now, owner_output& out)
{
    report_refusal(answer.verdict_, now, out);
    has_listed_ = answer.verdict_ == call_verdict::done && answer.is_complete_;
    was_listed_once_ = was_listed_once_ || has_listed_;
    if (answer.verdict_ != call_verdict::done) {
        acked_cursor_ = 0;
        next_hold_at_ = now + timing_.call_timeout_;
        return;
    }
    has_unread_outcomes_ = false;
    if (awaits_listing_ && answer.is_complete_ &&
        answer.incarnation_ == incarnation_) {
        awaits_listing_ = false;
        auto age =
            std::chrono::floor<std::chrono::milliseconds>(now - opened_at_);
        out.events_.push_back(
            {worker_.str(),
             "worker " + worker_.str() + " first lists its runs " +
                 std::to_string(age.count()) + " ms after its registration: " +
                 std::to_string(answer.running_.size()) + " under way"});
        // A lease that was meant for an earlier incarnation may have arrived.
        settled_lease_end_ =
            std::max(settled_lease_end_, now + longest_lease_time());
    }
    if (awaits_listing_)
        next_hold_at_ = now + timing_.call_timeout_;
    else if (call.wait_ == duration::zero())
        next_hold_at_ = now + ack_delay;
    record_outcomes batch{worker_, incarnation_, {}};
    std::uint64_t cursor = state_.worker_at(worker_).outcome_cursor_;
    for (const reported_outcome& item : answer.ended_) {
        if (item.sequence_ <= cursor)
            continue;
        batch.outcomes_.push_back(item);
        if (item.outcome_ == run_outcome::done &&
            item.sequence_ > proposed_cursor_)
            note_end(item.run_, now);
        proposed_cursor_ = std::max(proposed_cursor_, item.sequence_);
        if (item.outcome_ == run_outcome::done)
            clear_failures();
        else if (item.outcome_ == run_outcome::failed)
            record_failure(item.run_.task_.job_, now);
        out.events_.push_back({item.run_.task_.job_.str(),
                               "run " + to_text(item.run_) + " on " +
                                   worker_.str() +
                                   " has ended: " + to_text(item.outcome_)});
    }
    if (!batch.outcomes_.empty()) {
        proposed_at_ = now;
        out.observations_.push_back(std::move(batch));
    }
    reconcile(answer, token, sent_at, now, out);
}

void pool_owner::worker_session::update_stray_runs(std::set<run_ref> runs,
                                                   bool replaces, instant now,
                                                   owner_output& out)
{
    for (const run_ref& run : runs) {
        unknown_runs_.emplace(run, now);
        if (!listed_unknown_.contains(run))
            out.events_.push_back({run.task_.job_.str(),
                                   "run " + to_text(run) +
                                       " is still listed by " + worker_.str() +
                                       " after its end; stopping it",
                                   "runs_listed_after_end"});
    }
    if (!runs.empty()) {
        settled_lease_end_ =
            std::max(settled_lease_end_, now + longest_lease_time());
        unknown_listed_at_ = now;
    }
    if (replaces) {
        listed_unknown_ = std::move(runs);
    } else {
        listed_unknown_.merge(runs);
        hold_requested_ = hold_requested_ || !listed_unknown_.empty();
    }
}

// A worker does nothing for a token below the highest that it has seen.
bool pool_owner::worker_session::is_start_void(const run_entry& entry,
                                               std::uint64_t token)
{
    return entry.phase_ == run_phase::unconfirmed && !entry.call_id_ &&
           entry.unanswered_starts_ >= max_unanswered_starts &&
           entry.unanswered_token_ < token;
}

void pool_owner::worker_session::give_up_start(const run_ref& run,
                                               run_entry& entry, instant now,
                                               owner_output& out)
{
    out.events_.push_back({run.task_.job_.str(),
                           "run " + to_text(run) + " has not begun on " +
                               worker_.str() + " after " +
                               std::to_string(entry.unanswered_starts_) +
                               " starts without an answer",
                           "starts_given_up"});
    backoff_until_ = std::max(backoff_until_, now + timing_.quarantine_);
    propose_run_end(run, entry, run_outcome::refused, now, out);
}

// Reconciles the reported runs with those that may exist on the worker.
void pool_owner::worker_session::reconcile(const call_answer& answer,
                                           std::uint64_t token, instant sent_at,
                                           instant now, owner_output& out)
{
    std::set<run_ref> reported;
    std::set<run_ref> unknown;
    for (const reported_run& row : answer.running_) {
        reported.insert(row.run_);
        note_confirmed(row.run_);
        auto found = runs_.find(row.run_);
        // The state may have ended it since the last tick.
        if (!state_.runs_on(worker_).contains(row.run_))
            unknown.insert(row.run_);
        if (found == runs_.end())
            continue;
        run_entry& entry = found->second;
        entry.reported_at_ = now;
        entry.was_listed_ = true;
        entry.phase_ = run_phase::confirmed;
        if (!entry.confirmed_at_)
            entry.confirmed_at_ = now;
        entry.progress_percent_ = row.progress_percent_;
        sightings_.push_back({row.run_, now, row.progress_percent_});
        if (!row.checkpoint_.empty())
            entry.checkpoint_ = row.checkpoint_;
    }
    // Answers may overtake each other.
    bool is_newest = sent_at >= unknown_listed_at_;
    update_stray_runs(std::move(unknown), answer.is_complete_ && is_newest, now,
                      out);
    for (const reported_outcome& item : answer.ended_)
        reported.insert(item.run_);
    // What is missing in an incomplete listing may still be there.
    if (!answer.is_complete_) {
        incomplete_since_ = incomplete_since_.value_or(now);
        return;
    }
    incomplete_since_.reset();
    for (auto& [run, entry] : runs_) {
        if (reported.contains(run))
            continue;
        if (entry.phase_ == run_phase::inherited) {
            // Not known to the worker: start again, or block if not desired.
            entry.phase_ = run_phase::unconfirmed;
            continue;
        }
        // The listing that shows this comes at once after the last lost start.
        if (is_start_void(entry, token) && !is_end_undecided(entry)) {
            give_up_start(run, entry, now, out);
            continue;
        }
        if (!may_propose_end(entry, now))
            continue;
        bool was_blocked = entry.blocked_at_ && *entry.blocked_at_ <= sent_at;
        // A call that was meant for an earlier incarnation has acknowledged its
        // outcome, so the worker reports it no more.
        bool is_forgotten = entry.was_listed_ && entry.reported_at_ <= sent_at;
        if (!was_blocked && !is_forgotten)
            continue;
        propose_run_end(run, entry,
                        was_blocked ? run_outcome::stopped : run_outcome::lost,
                        now, out);
    }
}

} // namespace dandelioncrank::pool
