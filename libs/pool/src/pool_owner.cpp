#include "dandelioncrank/pool/pool_owner.hpp"

#include "fencing_tokens.hpp"
#include "guarantee_forecast.hpp"
#include "loss_monitor.hpp"
#include "performance_model.hpp"
#include "progress_monitor.hpp"
#include "proposal_tracker.hpp"
#include "worker_session.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// Maximum interval between plans, even without events: leases, quarantines and
// due times expire on their own.
constexpr duration replan_interval = 200ms;
// Minimum interval between plans, plus an amount per worker: the cost of a plan
// grows with everything that waits and runs.
constexpr duration min_plan_interval = 15ms;
constexpr duration min_plan_interval_per_worker = 60us;
// Interval at which all sessions are advanced, even without events.
constexpr duration sweep_interval = 40ms;
constexpr duration sweep_interval_per_worker = 40us;
// How long to wait for an announcement, which carries the worker's clock,
// before the worker is asked for it.
constexpr duration min_clock_wait = 50ms;
// A new owner spaces its clock requests by this, so that they do not crowd out
// other calls; most workers announce themselves within some seconds anyway.
constexpr duration clock_request_spacing = 1ms;
// After a change of owner the age of a job is derived from wall clocks, which
// may be off, so it is limited to this.
constexpr std::int64_t max_inherited_age_ms = 30'000;
// Work that waits longer than this is logged with the reason, and so is a new
// reason once this time has passed since the last message.
constexpr duration wait_log_delay = 1s;
// Percentage of workers that may be quarantined for failing jobs.
constexpr std::size_t max_quarantined_percent = 30;

// Percentage of the longest lease that is requested; the rest covers clock
// differences.
constexpr int lease_percent = 92;
// Work on a worker that is lost starts again only after its lease. Work on all
// workers outlives an outage of the owner that is shorter than a lease without
// the longest wait of a hold call.
constexpr duration max_lease = 7s;

// Delay before a task starts again whose earlier runs have lapsed as well: its
// workers may have crashed, which shows only when they are back.
constexpr duration relapse_delay = 2s;

// How long the tasks of stray runs wait after the session of their worker was
// closed: its next incarnation registers within this time and lists them.
constexpr duration registration_delay = 2s;

// Interval at which starts that workers have confirmed are recorded. Clients
// may be told of them two seconds late.
constexpr duration start_report_interval = 250ms;

// Maximum number of workers named in a log message.
constexpr std::size_t max_logged_workers = 3;

std::string format_workers(const start_run& command)
{
    std::string text = " on";
    for (std::size_t i = 0;
         i < std::min(command.assignments_.size(), max_logged_workers); ++i)
        text += ' ' + command.assignments_[i].worker_.str();
    return text +
           (command.assignments_.size() > max_logged_workers ? " ..." : "");
}

} // namespace

duration lease_within(duration longest_lease)
{
    return std::min(longest_lease * lease_percent / 100, max_lease);
}

std::string to_text(call_verdict value)
{
    switch (value) {
    case call_verdict::done:
        return "done";
    case call_verdict::fenced:
        return "fenced";
    case call_verdict::outdated:
        return "outdated";
    case call_verdict::lease_expired:
        return "lease expired";
    case call_verdict::no_capacity:
        return "insufficient resources";
    case call_verdict::unhealthy:
        return "unhealthy";
    case call_verdict::malformed:
        return "malformed";
    case call_verdict::other_incarnation:
        break;
    }
    return "another incarnation";
}

pool_owner::pool_owner(const pool_state& state, owner_timing timing,
                       std::uint64_t weight_limit)
    : state_(state), timing_(timing), weight_limit_(weight_limit),
      forecast_(std::make_unique<guarantee_forecast>()),
      losses_(make_loss_monitor()), progress_(make_progress_monitor()),
      performance_(std::make_unique<performance_model>(state)),
      tokens_(std::make_unique<fencing_tokens>()),
      proposals_(std::make_unique<proposal_tracker>())
{
}

pool_owner::~pool_owner() = default;

std::unique_ptr<loss_monitor> pool_owner::make_loss_monitor() const
{
    return std::make_unique<loss_monitor>([this](const job_id& id) {
        const job_record* job = state_.find_job(id);
        return job != nullptr && job->was_given_up_;
    });
}

void pool_owner::begin(std::uint64_t term, instant now)
{
    end();
    term_ = term;
    is_dirty_ = true;
    workers_revision_.reset();
    swept_at_ = {};
    forecast_ = std::make_unique<guarantee_forecast>();
    losses_ = make_loss_monitor();
    progress_ = make_progress_monitor();
    judged_at_ = {};
    tokens_->begin(term);
    seen_notices_ = state_.notice_count();
    observe_contacts(now);
    for (const auto& [name, record] : state_.workers())
        open_session(name, record.info_.incarnation_, now, true);
    report_inherited_losses(now);
}

// Announcements are cheaper than a hold call to every worker, so the clock
// requests of a new owner to idle workers are spread over time.
void pool_owner::open_session(const worker_name& worker,
                              std::int64_t incarnation, instant now,
                              bool is_inherited)
{
    duration clock_wait = min_clock_wait;
    if (is_inherited)
        clock_wait += sessions_.size() * clock_request_spacing;
    sessions_[worker] = std::make_unique<worker_session>(
        state_, timing_, *tokens_, *proposals_, worker, incarnation, now,
        is_inherited, clock_wait);
    if (is_inherited) {
        // Outcomes that the worker can report are read first.
        if (auto end = recorded_lease_end(worker))
            sessions_[worker]->limit_inherited_lease(
                std::max(*end, now + timing_.call_timeout_));
    }
    performance_->add_worker(worker, state_.worker_at(worker).info_.rack_, now);
    due_.insert(worker);
}

void pool_owner::close_session(const worker_session& session, instant now)
{
    // Their answers will not be seen.
    if (session.has_open_effects())
        tokens_->record_lost_call(session.worker(), now);
    for (const run_ref& run : session.stray_runs(now))
        restart_at_[run.task_] = now + registration_delay;
    for (std::uint64_t call : session.open_calls())
        calls_.erase(call);
    progress_->forget_worker(session.worker());
    performance_->remove_worker(session.worker());
    sessions_.erase(session.worker());
}

void pool_owner::add_worker(const worker_name& worker, instant now)
{
    auto known = state_.workers().find(worker);
    if (!is_active() || known == state_.workers().end())
        return;
    std::int64_t incarnation = known->second.info_.incarnation_;
    auto found = sessions_.find(worker);
    if (found != sessions_.end()) {
        if (found->second->incarnation() == incarnation)
            return;
        close_session(*found->second, now);
    }
    open_session(worker, incarnation, now, false);
}

void pool_owner::end()
{
    term_ = 0;
    sessions_.clear();
    performance_ = std::make_unique<performance_model>(state_);
    due_.clear();
    calls_.clear();
    accepted_at_.clear();
    confirmed_starts_.clear();
    clearings_.clear();
    held_since_.clear();
    totals_.idle_unusable_percent_ = 0;
    waits_.clear();
    cold_starts_.clear();
    restart_at_.clear();
    lapsing_tasks_.clear();
    proposals_->reset();
    starts_pending_ = false;
    output_ = {};
}

void pool_owner::record_announcement(const worker_name& worker,
                                     std::int64_t incarnation,
                                     std::int64_t clock_ms, instant now,
                                     duration cold_remaining)
{
    auto found = sessions_.find(worker);
    if (found == sessions_.end() || found->second->incarnation() != incarnation)
        return;
    cold_starts_.record(worker, incarnation, cold_remaining, now);
    if (found->second->record_announcement(clock_ms, now))
        due_.insert(worker);
}

bool pool_owner::retire_worker(const worker_name& worker,
                               std::int64_t incarnation, instant now)
{
    auto found = sessions_.find(worker);
    bool is_known = found != sessions_.end() &&
                    found->second->incarnation() == incarnation &&
                    is_current(*found->second);
    if (is_known) {
        found->second->retire(now);
        due_.insert(worker);
    }
    return is_known;
}

std::uint64_t pool_owner::fencing_token_for(const worker_name& worker) const
{
    return tokens_->token_for(worker);
}

bool pool_owner::may_leave(const worker_name& worker, std::int64_t incarnation,
                           instant now) const
{
    auto found = sessions_.find(worker);
    return found != sessions_.end() &&
           found->second->incarnation() == incarnation &&
           found->second->may_leave(now);
}

void pool_owner::replace_incarnations(const worker_info& successor,
                                      const call_answer& listing,
                                      std::uint64_t token, instant now)
{
    for (const auto& [name, session] : sessions_) {
        if (!is_current(*session))
            continue;
        bool has_name = name == successor.name_;
        bool is_same =
            has_name && session->incarnation() == successor.incarnation_;
        if (is_same || (!has_name && session->address() != successor.address_))
            continue;
        if (has_name) {
            session->handle_successor(listing, token, now, output_);
            note_confirmed_starts(*session);
        } else {
            session->replace(
                std::nullopt,
                "worker " + successor.name_.str() + " at its address", now);
        }
        judge_loss(*session, now);
        due_.insert(name);
    }
}

void pool_owner::note_confirmed_starts(worker_session& session)
{
    for (const run_ref& run : session.take_confirmed_starts())
        confirmed_starts_.try_emplace(
            run.task_.job_,
            confirmed_start{run, session.worker(), std::nullopt});
}

void pool_owner::note_sightings(worker_session& session)
{
    for (const run_sighting& item : session.take_sightings())
        performance_->observe(session.worker(), item);
}

worker_speed_summary
pool_owner::summarize_worker_speeds(std::size_t limit) const
{
    return performance_->summarize(limit);
}

// Each entry of the log costs the owner and its followers a message and a sync,
// so the starts of an interval share one.
void pool_owner::propose_confirmed_starts(instant now)
{
    if (now - starts_proposed_at_ < start_report_interval)
        return;
    starts_proposed_at_ = now;
    std::erase_if(confirmed_starts_, [this](const auto& item) {
        const job_record* job = state_.find_job(item.first);
        return job == nullptr || job->is_final() || job->has_started_;
    });
    for (auto& [id, item] : confirmed_starts_) {
        if (item.proposed_at_ && now - *item.proposed_at_ < proposal_interval)
            continue;
        item.proposed_at_ = now;
        output_.observations_.push_back(confirm_start{item.run_});
        output_.events_.push_back({id.str(), "job has started with run " +
                                                 to_text(item.run_) + " on " +
                                                 item.worker_.str()});
    }
}

void pool_owner::judge_loss(worker_session& session, instant now)
{
    if (!session.is_replaced() || session.verdict())
        return;
    std::vector<lost_worker> out_of_contact;
    for (const auto& item : sessions_) {
        if (is_current(*item.second) && item.second->is_out_of_contact())
            out_of_contact.push_back(item.second->describe_loss(now));
    }
    session.report_loss(losses_->judge(session.describe_loss(now),
                                       out_of_contact, sessions_.size(), now),
                        output_);
}

// The delay counts from the commit, from which the task could start again.
void pool_owner::proposal_settled(std::uint64_t proposal, instant now)
{
    proposals_->settle(proposal);
    auto [first, last] = lapsing_tasks_.equal_range(proposal);
    for (auto it = first; it != last; ++it)
        restart_at_[it->second] = now + relapse_delay;
    lapsing_tasks_.erase(first, last);
    is_dirty_ = true;
}

void pool_owner::delay_lapsed(std::size_t first_observation)
{
    for (std::size_t i = first_observation; i < output_.observations_.size();
         ++i) {
        const auto* end =
            std::get_if<end_unreported_run>(&output_.observations_[i]);
        if (end == nullptr || end->outcome_ != run_outcome::lapsed)
            continue;
        const loss_record* losses = state_.losses_of(end->run_.task_);
        if (losses != nullptr && losses->lapses_ > 0)
            lapsing_tasks_.emplace(proposals_->current(), end->run_.task_);
    }
}

void pool_owner::log_notices()
{
    std::uint64_t unseen = state_.notice_count() - seen_notices_;
    seen_notices_ = state_.notice_count();
    const std::deque<pool_notice>& notices = state_.notices();
    auto count = std::min<std::size_t>(unseen, notices.size());
    for (auto it = notices.end() - static_cast<std::ptrdiff_t>(count);
         it != notices.end(); ++it)
        output_.events_.push_back({it->subject_, it->message_, it->counter_});
}

void pool_owner::handle_result(std::uint64_t call, const call_result& result,
                               instant now)
{
    auto found = calls_.find(call);
    if (found == calls_.end())
        return;
    auto session = sessions_.find(found->second);
    calls_.erase(found);
    // The end of the incarnation may have been committed since the last
    // tick().
    if (session == sessions_.end() || !is_current(*session->second))
        return;
    session->second->handle_result(call, result, now, output_);
    note_confirmed_starts(*session->second);
    note_sightings(*session->second);
    judge_loss(*session->second, now);
    due_.insert(session->first);
    is_dirty_ = true;
}

void pool_owner::state_changed()
{
    is_dirty_ = true;
}

void pool_owner::starts_resolved()
{
    starts_pending_ = false;
    is_dirty_ = true;
}

bool pool_owner::is_current(const worker_session& session) const
{
    auto found = state_.workers().find(session.worker());
    return found != state_.workers().end() &&
           found->second.info_.incarnation_ == session.incarnation();
}

void pool_owner::sync_with_state()
{
    if (workers_revision_ == state_.workers_revision())
        return;
    workers_revision_ = state_.workers_revision();
    std::vector<const worker_session*> closed;
    for (const auto& item : sessions_) {
        if (!is_current(*item.second))
            closed.push_back(item.second.get());
    }
    for (const worker_session* session : closed)
        close_session(*session, now_);
    for (const auto& [name, record] : state_.workers()) {
        if (!sessions_.contains(name))
            open_session(name, record.info_.incarnation_, now_, false);
    }
}

void pool_owner::add_changed_workers()
{
    std::uint64_t seen = std::exchange(seen_run_changes_, state_.run_changes());
    if (auto changed = state_.run_changes_since(seen))
        due_.insert(changed->begin(), changed->end());
    else
        add_all_workers();
}

void pool_owner::add_all_workers()
{
    for (const auto& item : sessions_)
        due_.insert(due_.end(), item.first);
}

bool pool_owner::request_stop(const run_ref& run)
{
    const task_ref& at = run.task_;
    const job_record* job = state_.find_job(at.job_);
    if (job == nullptr)
        return false;
    const occurrence_record* record = job->occurrences_.find(at.occurrence_);
    if (record == nullptr)
        return false;
    const worker_name& worker =
        record->steps_.at(at.step_).tasks_.at(at.index_).worker_;
    auto session = sessions_.find(worker);
    if (session == sessions_.end())
        return false;
    due_.insert(worker);
    return session->second->request_stop(run);
}

// Timeouts and events of other workers affect every session, but it is enough
// to advance those without events of their own at each sweep.
void pool_owner::tick(instant now, std::int64_t wall_ms)
{
    if (!is_active())
        return;
    now_ = now;
    sync_with_state();
    log_notices();
    propose_confirmed_starts(now);
    add_changed_workers();
    follow_evacuations();
    auto workers = static_cast<duration::rep>(sessions_.size());
    bool is_sweep =
        now - swept_at_ >= sweep_interval + workers * sweep_interval_per_worker;
    if (is_sweep)
        add_all_workers();
    std::set<worker_name> due = std::exchange(due_, {});
    for (const worker_name& worker : due) {
        auto session = sessions_.find(worker);
        if (session != sessions_.end())
            session->second->sync_with_state(now);
    }
    if (is_sweep) {
        swept_at_ = now;
        detect_stalls(now);
    }
    duration pause = min_plan_interval + workers * min_plan_interval_per_worker;
    bool is_due = (is_dirty_ && now - planned_at_ >= pause) ||
                  now - planned_at_ > replan_interval;
    if (is_due && !starts_pending_) {
        if (around_plan_)
            around_plan_([this, now, wall_ms] { plan(now, wall_ms); });
        else
            plan(now, wall_ms);
    }
    // The plan may have stopped runs on further workers.
    due.merge(due_);
    due_.clear();
    advance_sessions(due, now);
}

void pool_owner::advance_sessions(const std::set<worker_name>& workers,
                                  instant now)
{
    std::size_t first = output_.calls_.size();
    std::size_t first_observation = output_.observations_.size();
    for (const worker_name& worker : workers) {
        auto session = sessions_.find(worker);
        if (session == sessions_.end())
            continue;
        session->second->advance(now, next_call_, output_);
        end_split_gangs(*session->second);
    }
    for (std::size_t i = first; i < output_.calls_.size(); ++i)
        calls_[output_.calls_[i].id_] = output_.calls_[i].worker_;
    delay_lapsed(first_observation);
}

owner_output pool_owner::take_output()
{
    owner_output result = std::move(output_);
    output_ = {};
    if (!result.observations_.empty())
        result.proposal_ = proposals_->close();
    return result;
}

planner_input pool_owner::make_input(instant now, std::int64_t wall_ms)
{
    planner_input input;
    input.now_ = now;
    input.wall_ms_ = wall_ms;
    input.weight_limit_ = weight_limit_;
    std::size_t quarantined = 0;
    std::size_t untrusted = 0;
    std::size_t available = 0;
    for (const auto& [name, session] : sessions_) {
        session->add_run_observations(input);
        if (session->is_evacuated())
            continue;
        ++available;
        bool usable = session->is_usable(now);
        quarantined += !usable && session->failure_count() > 0;
        untrusted += losses_->is_untrusted(session->address(), now);
        if (usable)
            input.usable_workers_[name] =
                session->failure_count() +
                (progress_->is_doubtful(name) ? 1 : 0);
    }
    if (untrusted > 0 && untrusted * 100 <= available * max_quarantined_percent)
        std::erase_if(input.usable_workers_, [&](const auto& item) {
            return losses_->is_untrusted(sessions_.at(item.first)->address(),
                                         now);
        });
    // If many workers fail jobs, the jobs are at fault, not the workers.
    if (quarantined * 100 > available * max_quarantined_percent) {
        for (const auto& item : sessions_)
            item.second->clear_failures();
    }
    std::erase_if(accepted_at_, [this](const auto& item) {
        return !state_.active_jobs().contains(item.first);
    });
    for (const job_id& id : state_.active_jobs()) {
        auto [found, is_new] = accepted_at_.try_emplace(id, now);
        if (!is_new)
            continue;
        const job_record& job = *state_.find_job(id);
        std::int64_t age = std::clamp<std::int64_t>(wall_ms - job.accepted_ms_,
                                                    0, max_inherited_age_ms);
        found->second = now - std::chrono::milliseconds(age);
        forecast_->note_accepted(job, state_.config(), input.estimates_,
                                 found->second);
    }
    cold_starts_.expire(now);
    input.cold_shares_ = cold_starts_.shares(now);
    input.demand_ = forecast_->forecast(now);
    input.accepted_at_ = accepted_at_;
    input.clearings_ = clearings_;
    input.held_since_ = held_since_;
    std::erase_if(restart_at_,
                  [now](const auto& item) { return item.second <= now; });
    input.restart_at_ = restart_at_;
    for (const auto& item : sessions_) {
        for (const run_ref& run : item.second->stray_runs(now))
            input.restart_at_[run.task_] = now + replan_interval;
    }
    for (const auto& [step, entry] : waits_)
        input.waiting_since_[step] = entry.since_;
    performance_->refresh(now);
    input.estimates_ = performance_->estimates();
    return input;
}

void pool_owner::update_waits(const std::map<step_key, wait_reason>& waits,
                              instant now)
{
    std::map<step_key, wait_entry> entries;
    for (const auto& [step, reason] : waits) {
        auto [before, is_new] = waits_.try_emplace(step);
        wait_entry entry = before->second;
        if (is_new)
            entry.since_ = now;
        bool is_other = !entry.logged_at_ || entry.logged_reason_ != reason;
        instant quiet_since = entry.logged_at_.value_or(entry.since_);
        if (is_other && now - quiet_since >= wait_log_delay) {
            entry.logged_at_ = now;
            entry.logged_reason_ = reason;
            output_.events_.push_back({std::get<0>(step).str(),
                                       "step " +
                                           std::to_string(std::get<2>(step)) +
                                           " is waiting: " + to_text(reason)});
        }
        entries.emplace(step, entry);
    }
    waits_ = std::move(entries);
}

void pool_owner::plan(instant now, std::int64_t wall_ms)
{
    is_dirty_ = false;
    planned_at_ = now;
    planner_input input = make_input(now, wall_ms);
    placement_plan result = make_plan(state_, input);
    for (const auto& [step, entry] : result.clearings_) {
        auto before = clearings_.find(step);
        bool is_new =
            before == clearings_.end() || before->second.rack_ != entry.rack_;
        if (is_new && !entry.rack_.empty())
            output_.events_.push_back(
                {std::get<0>(step).str(),
                 "clearing rack " + entry.rack_ + " for the job"});
    }
    clearings_ = std::move(result.clearings_);
    held_since_ = std::move(result.held_since_);
    update_waits(result.waits_, now);
    totals_.preempted_core_seconds_ += result.preempted_core_seconds_;
    totals_.tasks_backfilled_ += result.tasks_backfilled_;
    totals_.idle_unusable_percent_ = result.idle_unusable_percent_;
    if (!result.preemptions_.empty())
        forecast_->note_preemption(now);
    for (const preemption& item : result.preemptions_) {
        request_stop(item.run_);
        output_.events_.push_back(
            {item.run_.task_.job_.str(),
             "run " + to_text(item.run_) + " is preempted for job " +
                 item.for_job_.str() + ", losing " +
                 std::to_string(std::llround(item.lost_work_)) +
                 " core-seconds in total",
             "preemptions"});
    }
    stop_moved(result.moves_);
    for (start_run& command : result.starts_) {
        step_key step{command.job_, command.occurrence_, command.step_};
        bool is_spread = result.spread_steps_.contains(step);
        auto speed = result.speed_choices_.find(step);
        output_.events_.push_back(
            {command.job_.str(),
             "run " + std::to_string(command.run_) + " of step " +
                 std::to_string(command.step_) + " is placed: tasks " +
                 std::to_string(command.assignments_.size()) +
                 format_workers(command) +
                 (is_spread ? ", over several racks or away from its data"
                            : "") +
                 (speed == result.speed_choices_.end()
                      ? ""
                      : ", chosen for their speed: " + speed->second)});
        output_.starts_.push_back(std::move(command));
    }
    starts_pending_ = !output_.starts_.empty();
}

} // namespace dandelioncrank::pool
