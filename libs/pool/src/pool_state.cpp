#include "dandelioncrank/pool/pool_state.hpp"

#include "dandelioncrank/core/invariant.hpp"
#include "dandelioncrank/pool/state_weight.hpp"

#include <algorithm>
#include <utility>

namespace dandelioncrank::pool {

namespace {

// Number of final jobs kept: two days at 19,000 jobs a day.
constexpr std::size_t max_final_jobs = 38000;

// Number of workers whose last ended incarnation is kept: one day of restarts
// at 22,000 workers.
constexpr std::size_t max_ended_incarnations = 8192;

// Number of notices that are kept for an observer of the state.
constexpr std::size_t max_kept_notices = 1024;

// Whether an end that was not reported in a listing of its own incarnation
// shows that a worker had begun the run.
bool is_end_of_begun_run(run_outcome outcome)
{
    switch (outcome) {
    case run_outcome::done:
    case run_outcome::failed:
    case run_outcome::broken:
    case run_outcome::alone:
        return true;
    case run_outcome::stopped:
    case run_outcome::lapsed:
    case run_outcome::refused:
    case run_outcome::lost:
        break;
    }
    return false;
}

pool_reply refusal(access_verdict verdict)
{
    return verdict == access_verdict::unknown_key ? pool_reply::unknown_key
                                                  : pool_reply::unknown_route;
}

} // namespace

std::string to_text(job_phase value)
{
    switch (value) {
    case job_phase::open:
        return "open";
    case job_phase::completed:
        return "completed";
    case job_phase::failed:
        return "failed";
    case job_phase::cancelled:
        break;
    }
    return "cancelled";
}

bool job_record::is_ready(std::uint32_t occurrence, std::uint32_t step) const
{
    const std::vector<std::uint32_t>& dependencies =
        spec_.steps_.at(step).depends_on_;
    if (dependencies.empty() || occurrences_.is_done(occurrence))
        return true;
    // No task is done before the first start.
    const occurrence_record* record = occurrences_.find(occurrence);
    return record != nullptr &&
           std::all_of(dependencies.begin(), dependencies.end(),
                       [&](std::uint32_t earlier) {
                           return record->steps_.at(earlier).is_done();
                       });
}

pool_reply pool_state::apply(const pool_command& command)
{
    return std::visit([this](const auto& item) { return handle(item); },
                      command);
}

// --- Clients and operators

pool_reply pool_state::handle(const accept_job& command)
{
    const job_id& id = command.spec_.id_;
    // Commands of earlier builds may be part of a snapshot that has no time, so
    // they do not count on any replica.
    if (command.weight_limit_ > 0)
        final_jobs_.advance(command.accepted_ms_);
    auto known = jobs_.find(id);
    // Repetition of a call that is already stored.
    if (known != jobs_.end() && known->second.accepted_by_ == command.request_)
        return pool_reply::unchanged;
    access_decision access = config_.authorize(command.access_);
    if (access.verdict_ != access_verdict::granted)
        return refusal(access.verdict_);
    if (known != jobs_.end())
        return pool_reply::unchanged;
    bool is_bound = command.identity_ == queue_identity::address;
    if (is_bound && access.route_->is_below(command.access_.path_, id))
        return pool_reply::unknown_route;
    job_record job;
    job.spec_ = command.spec_;
    if (is_bound)
        job.address_ = access.route_->address();
    else
        job.accepted_policy_ = access.route_->policy_;
    job.team_ = access.team_;
    job.accepted_ms_ = command.accepted_ms_;
    job.accepted_by_ = command.request_;
    bool has_room = make_room(weight_of(job), command.weight_limit_);
    report_room(id, has_room, command.weight_limit_);
    if (!has_room)
        return pool_reply::no_room;
    auto stored = jobs_.emplace(id, std::move(job)).first;
    job_index_.emplace(id, &stored->second);
    unbound_jobs_ += stored->second.address_.empty() ? 1 : 0;
    active_.insert(id);
    join_queue(stored->second);
    update_weight(stored->second);
    return pool_reply::applied;
}

pool_reply pool_state::handle(const cancel_job& command)
{
    access_decision access = config_.authorize(command.access_);
    if (access.verdict_ != access_verdict::granted)
        return refusal(access.verdict_);
    auto found = jobs_.find(command.id_);
    bool is_here = found != jobs_.end() &&
                   is_named_by(found->second, command.access_, *access.route_);
    if (!is_here)
        return pool_reply::rejected;
    if (found->second.is_final())
        return pool_reply::unchanged;
    finish(found->second, job_phase::cancelled);
    refresh_job(command.id_);
    return pool_reply::applied;
}

// --- Workers

pool_reply pool_state::handle(const put_worker& command)
{
    worker_info info = command.info_;
    if (!command.is_confirmed_ && has_ended(info))
        return pool_reply::rejected;
    auto found = workers_.find(info.name_);
    if (found != workers_.end()) {
        const worker_info& known = found->second.info_;
        if (!command.is_confirmed_ && info.incarnation_ < known.incarnation_)
            return pool_reply::rejected;
        // Draining is final for an incarnation; a delayed announcement from
        // before must not revert it.
        if (info.incarnation_ == known.incarnation_ && known.is_draining_)
            info.is_draining_ = true;
    }
    std::vector<end_incarnation> replaced;
    for (const worker_record* record : replaced_by(info)) {
        // Only the owner can tell that runs are over.
        bool is_older = command.is_confirmed_ ||
                        record->info_.incarnation_ <= info.incarnation_;
        if (!is_older || !runs_on(record->info_.name_).empty())
            return pool_reply::rejected;
        replaced.push_back(implied_end(*record));
    }
    for (const end_incarnation& incarnation : replaced)
        handle(incarnation);
    found = workers_.find(info.name_);
    if (found != workers_.end())
        count_worker(found->second.info_, -1);
    workers_[info.name_].info_ = info;
    count_worker(info, 1);
    ended_incarnations_.erase(info.name_);
    ++workers_revision_;
    return pool_reply::applied;
}

// A delayed announcement may arrive after the end of its sender.
bool pool_state::has_ended(const worker_info& info) const
{
    auto ended = ended_incarnations_.find(info.name_);
    return ended != ended_incarnations_.end() &&
           info.incarnation_ <= ended->second;
}

// An address belongs to one process at a time, and a name to one incarnation.
std::vector<const worker_record*>
pool_state::replaced_by(const worker_info& info) const
{
    std::vector<const worker_record*> result;
    for (const auto& [name, record] : workers_) {
        bool is_other_incarnation =
            name == info.name_ &&
            record.info_.incarnation_ != info.incarnation_;
        bool is_at_address =
            name != info.name_ && record.info_.address_ == info.address_;
        if (is_other_incarnation || is_at_address)
            result.push_back(&record);
    }
    return result;
}

// The end of an incarnation without runs that no owner has observed.
end_incarnation pool_state::implied_end(const worker_record& record)
{
    return {record.info_.name_,
            record.info_.incarnation_,
            {},
            record.info_.is_draining_ ? incarnation_end_cause::left
                                      : incarnation_end_cause::disturbed,
            {}};
}

pool_reply pool_state::handle(const end_incarnation& command)
{
    auto found = workers_.find(command.worker_);
    if (found == workers_.end() ||
        found->second.info_.incarnation_ != command.incarnation_)
        return pool_reply::unchanged;
    for (const exposed_run& item : command.exposed_) {
        if (item.is_confirmed_)
            mark_started(item.run_.task_.job_);
    }
    record_loss(found->second, command);
    std::set<run_ref> lost = runs_on(command.worker_);
    std::map<run_ref, std::string> checkpoints;
    for (const observed_checkpoint& item : command.checkpoints_)
        checkpoints[item.run_] = item.checkpoint_;
    for (const run_ref& run : lost)
        end_run(command.worker_, run, run_outcome::lost,
                {checkpoints[run], run.run_, false});
    count_worker(found->second.info_, -1);
    workers_.erase(found);
    ++workers_revision_;
    if (out_of_contact_.erase(command.worker_) > 0)
        ++contact_revision_;
    ended_incarnations_[command.worker_] = command.incarnation_;
    if (ended_incarnations_.size() > max_ended_incarnations)
        ended_incarnations_.erase(ended_incarnations_.begin());
    return pool_reply::applied;
}

pool_reply pool_state::handle(const set_contact& command)
{
    auto found = workers_.find(command.worker_);
    if (found == workers_.end() ||
        found->second.info_.incarnation_ != command.incarnation_)
        return pool_reply::unchanged;
    found->second.lease_left_ = command.lease_left_;
    if (command.lease_left_) {
        ++found->second.contact_losses_;
        out_of_contact_.insert(command.worker_);
    } else {
        out_of_contact_.erase(command.worker_);
    }
    ++contact_revision_;
    return pool_reply::applied;
}

// --- Runs

bool pool_state::may_start(const job_record& job,
                           const start_run& command) const
{
    bool exists = !job.is_final() &&
                  command.occurrence_ < job.occurrence_count() &&
                  command.step_ < job.spec_.steps_.size();
    if (!exists || job.occurrences_.is_done(command.occurrence_) ||
        !job.is_ready(command.occurrence_, command.step_))
        return false;
    const step_spec& spec = job.spec_.steps_[command.step_];
    const occurrence_record* record =
        job.occurrences_.find(command.occurrence_);
    static const std::vector<task_record> none;
    static const task_record unstarted;
    const std::vector<task_record>& tasks =
        record == nullptr ? none : record->steps_[command.step_].tasks_;
    if (spec.is_gang_ && command.assignments_.size() != spec.count_)
        return false;
    std::map<worker_name, std::uint32_t> on_worker;
    std::map<worker_name, resources> in_use;
    if (spec.per_worker_limit_ > 0) {
        for (const task_record& task : tasks)
            ++on_worker[task.worker_];
    }
    for (const task_assignment& assignment : command.assignments_) {
        auto worker = workers_.find(assignment.worker_);
        bool usable =
            worker != workers_.end() &&
            worker->second.info_.incarnation_ == assignment.incarnation_ &&
            !worker->second.info_.is_draining_ &&
            !is_evacuated(worker->second.info_.zone_) &&
            worker->second.info_.service_ == job.policy().service_;
        if (!usable || assignment.index_ >= spec.count_)
            return false;
        const task_record& task =
            tasks.empty() ? unstarted : tasks[assignment.index_];
        bool waits =
            !task.is_done_ && task.worker_.empty() && command.run_ > task.run_;
        if (!waits)
            return false;
        std::uint32_t here = ++on_worker[assignment.worker_];
        if (spec.per_worker_limit_ > 0 && here > spec.per_worker_limit_)
            return false;
        // The worker may have shrunk since the start was planned.
        auto used =
            in_use
                .try_emplace(assignment.worker_, in_use_on(assignment.worker_))
                .first;
        used->second += spec.need_;
        if (!used->second.fits_into(worker->second.info_.capacity_))
            return false;
    }
    return true;
}

pool_reply pool_state::handle(const start_run& command)
{
    auto found = jobs_.find(command.job_);
    if (found == jobs_.end() || !may_start(found->second, command)) {
        report_withheld(command);
        return pool_reply::rejected;
    }
    job_record& job = found->second;
    step_record& step =
        job.occurrences_.open(command.occurrence_, job.spec_.steps_)
            .steps_[command.step_];
    update_weight(job);
    for (const task_assignment& assignment : command.assignments_) {
        task_record& task = step.tasks_[assignment.index_];
        task.run_ = command.run_;
        task.worker_ = assignment.worker_;
        task.incarnation_ = assignment.incarnation_;
        ++step.running_;
        worker_runs& entry = change_runs(assignment.worker_);
        entry.runs_.insert({{command.job_, command.occurrence_, command.step_,
                             assignment.index_},
                            command.run_});
        entry.in_use_ += job.spec_.steps_[command.step_].need_;
    }
    return pool_reply::applied;
}

pool_reply pool_state::handle(const record_outcomes& command)
{
    auto found = workers_.find(command.worker_);
    if (found == workers_.end() ||
        found->second.info_.incarnation_ != command.incarnation_)
        return pool_reply::rejected;
    // The worker has outlived the runs that were given up there.
    found->second.lapsed_.clear();
    for (const reported_outcome& item : command.outcomes_) {
        if (item.sequence_ <= found->second.outcome_cursor_)
            continue;
        found->second.outcome_cursor_ = item.sequence_;
        mark_started(item.run_.task_.job_);
        if (runs_on(command.worker_).contains(item.run_))
            end_run(command.worker_, item.run_, item.outcome_,
                    {item.checkpoint_, item.run_.run_, true});
        else if (item.outcome_ == run_outcome::done)
            apply_late_success(item.run_);
    }
    return pool_reply::applied;
}

pool_reply pool_state::handle(const end_unreported_run& command)
{
    auto found = workers_.find(command.worker_);
    bool current = found != workers_.end() &&
                   found->second.info_.incarnation_ == command.incarnation_ &&
                   runs_on(command.worker_).contains(command.run_);
    if (!current)
        return pool_reply::unchanged;
    if (command.age_ > duration::zero() ||
        is_end_of_begun_run(command.outcome_))
        mark_started(command.run_.task_.job_);
    if (command.outcome_ == run_outcome::lapsed)
        record_lapse(found->second, {command.run_, command.age_,
                                     command.age_ > duration::zero()});
    end_run(command.worker_, command.run_, command.outcome_,
            {command.checkpoint_, command.run_.run_, false});
    return pool_reply::applied;
}

pool_reply pool_state::handle(const confirm_start& command)
{
    mark_started(command.run_.task_.job_);
    return pool_reply::applied;
}

void pool_state::mark_started(const job_id& id)
{
    auto found = job_index_.find(id);
    if (found == job_index_.end() || found->second->has_started_)
        return;
    job_record& job = *found->second;
    if (!job.is_final())
        count_waiting(job, -1);
    job.has_started_ = true;
}

void pool_state::end_run(const worker_name& worker, const run_ref& run,
                         run_outcome outcome,
                         const checkpoint_record& checkpoint)
{
    job_record& job = job_at(run.task_.job_);
    const step_spec& spec = job.spec_.steps_.at(run.task_.step_);
    worker_runs& entry = change_runs(worker);
    if (entry.runs_.erase(run) > 0)
        entry.in_use_ -= spec.need_;
    step_record& step =
        job.occurrences_.at(run.task_.occurrence_).steps_.at(run.task_.step_);
    task_record& task = step.tasks_.at(run.task_.index_);
    require_invariant(task.run_ == run.run_ && task.worker_ == worker,
                      "a run ends where it was started");
    task.worker_ = {};
    task.incarnation_ = 0;
    --step.running_;
    if (!checkpoint.value_.empty())
        store_checkpoint(step, spec.is_gang_ ? 0 : run.task_.index_,
                         checkpoint);
    if (outcome == run_outcome::done && !spec.is_long_running_) {
        task.is_done_ = true;
        // The success of one member counts for the whole gang.
        for (task_record& member : step.tasks_) {
            if (spec.is_gang_ && member.run_ == run.run_)
                member.is_done_ = true;
        }
    }
    if (outcome == run_outcome::failed && !task.is_done_ &&
        !spec.is_long_running_)
        count_failure(job, step, run);
    check_attempts(job, run.task_);
    job.occurrences_.close_if_done(run.task_.occurrence_);
    refresh_job(run.task_.job_);
}

// A run that was given up because its worker was unreachable turns out to have
// succeeded: its task is done, and newer runs of it are no longer desired.
void pool_state::apply_late_success(const run_ref& run)
{
    auto found = jobs_.find(run.task_.job_);
    if (found == jobs_.end() || found->second.is_final())
        return;
    job_record& job = found->second;
    const task_ref& at = run.task_;
    occurrence_record* record = job.occurrences_.find(at.occurrence_);
    bool exists = record != nullptr && at.step_ < job.spec_.steps_.size();
    if (!exists || job.spec_.steps_[at.step_].is_long_running_)
        return;
    step_record& step = record->steps_[at.step_];
    bool was_started = at.index_ < step.tasks_.size() &&
                       run.run_ <= step.tasks_[at.index_].run_;
    if (!was_started)
        return;
    for (std::size_t i = 0; i < step.tasks_.size(); ++i) {
        // The success of one member counts for the whole gang.
        if (job.spec_.steps_[at.step_].is_gang_ || i == at.index_)
            step.tasks_[i].is_done_ = true;
    }
    for (const task_record& task : step.tasks_) {
        if (task.is_done_ && !task.worker_.empty())
            change_runs(task.worker_);
    }
    job.occurrences_.close_if_done(at.occurrence_);
    refresh_job(at.job_);
}

// A checkpoint that was merely seen may be older than the one that another
// member of the gang reported with its outcome.
void pool_state::store_checkpoint(step_record& step, std::uint32_t index,
                                  const checkpoint_record& checkpoint)
{
    checkpoint_record& known = step.checkpoints_[index];
    bool is_older = known.is_reported_ && known.run_ == checkpoint.run_ &&
                    !checkpoint.is_reported_;
    if (!is_older)
        known = checkpoint;
}

void pool_state::count_failure(const job_record& job, step_record& step,
                               const run_ref& run)
{
    if (!job.spec_.steps_[run.task_.step_].is_gang_) {
        ++step.tasks_[run.task_.index_].failures_;
    } else if (run.run_ > step.last_failed_run_) {
        step.last_failed_run_ = run.run_;
        ++step.gang_failures_;
    }
}

void pool_state::check_attempts(job_record& job, const task_ref& at)
{
    const step_record& step =
        job.occurrences_.at(at.occurrence_).steps_.at(at.step_);
    const task_record& task = step.tasks_.at(at.index_);
    std::uint32_t failures = job.spec_.steps_[at.step_].is_gang_
                                 ? step.gang_failures_
                                 : task.failures_;
    std::uint32_t limit = job.policy().attempts_;
    if (!task.is_done_ && failures > 0 && failures >= limit)
        fail(job,
             to_text(run_ref{at, task.run_}) + " was failure " +
                 std::to_string(failures) + " of at most " +
                 std::to_string(limit),
             "jobs_failed");
}

void pool_state::fail(job_record& job, const std::string& reason,
                      const char* counter)
{
    if (job.is_final())
        return;
    job.failure_ = reason;
    finish(job, job_phase::failed);
    add_notice(job.spec_.id_.str(), "job has failed: " + reason, counter);
}

void pool_state::add_notice(const std::string& subject, std::string message,
                            const char* counter)
{
    ++notice_count_;
    notices_.push_back({subject, std::move(message), counter});
    if (notices_.size() > max_kept_notices)
        notices_.pop_front();
}

void pool_state::finish(job_record& job, job_phase phase)
{
    if (!job.has_started_)
        count_waiting(job, -1);
    if (job.queue_ != nullptr)
        --job.queue_->open_jobs_;
    job.phase_ = phase;
    final_jobs_.add(job.spec_.id_);
}

// Completes a job whose tasks are all done, and removes a final job from the
// active jobs once none of its runs may exist.
void pool_state::refresh_job(const job_id& id)
{
    job_record& job = job_at(id);
    if (!job.is_final() && job.occurrences_.are_done(job.occurrence_count()))
        finish(job, job_phase::completed);
    if (job.is_final() && !job.occurrences_.have_runs()) {
        if (active_.erase(id) > 0)
            leave_queue(job);
        shrink(job);
    }
    update_weight(job);
    while (final_jobs_.jobs().size() > max_final_jobs && can_evict())
        evict_oldest();
}

} // namespace dandelioncrank::pool
