#include "crash_simulation.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

constexpr duration tick_interval = 10ms;
constexpr duration announce_interval = 1500ms;
constexpr duration commit_time = 15ms;
constexpr duration network_time = 1ms;
constexpr duration hold_time = 200ms;
// From the third crash on, a task counts as one that crashes its workers.
constexpr int crash_limit = 3;

} // namespace

crash_simulation::crash_simulation(int workers,
                                   const crash_behaviour& behaviour,
                                   std::uint64_t seed)
    : pool_fixture(workers), behaviour_(behaviour), random_(seed)
{
    replace_owner();
    for (const auto& [name, record] : state_.workers()) {
        workers_.emplace(name, fake_worker(record.info_, now_));
        owner_->record_announcement(name, 1, 0, now_);
    }
}

job_id crash_simulation::submit_crashing(const std::string& id,
                                         std::vector<step_spec> steps,
                                         int priority)
{
    job_id job = submit(id, std::move(steps), priority);
    crashing_.insert(job);
    return job;
}

void crash_simulation::schedule_after(duration after,
                                      std::function<void()> action)
{
    events_.push({now_ + after, next_event_++, std::move(action)});
}

// The new owner works on a state restored from a snapshot, as a host does that
// has just joined the group.
void crash_simulation::replace_owner()
{
    if (owner_)
        state_.restore(state_.snapshot());
    owner_ = std::make_unique<pool_owner>(state_, owner_timing{});
    owner_->begin(++term_, now_);
}

void crash_simulation::announce(fake_worker& worker)
{
    const worker_info& info = worker.info_;
    auto known = state_.workers().find(info.name_);
    bool is_new =
        known == state_.workers().end() || known->second.info_ != info;
    if (is_new && !state_.replaced_by(info).empty()) {
        std::uint64_t token = owner_->fencing_token_for(info.name_);
        owner_->replace_incarnations(info, worker.confirm(token, now_), token,
                                     now_);
        unregistered_.insert(info.name_);
        return;
    }
    unregistered_.erase(info.name_);
    if (is_new) {
        state_.apply(put_worker{info});
        owner_->state_changed();
        owner_->add_worker(info.name_, now_);
    }
    owner_->record_announcement(info.name_, info.incarnation_,
                                worker.clock_ms(now_), now_);
}

void crash_simulation::crash_worker(const worker_name& worker)
{
    if (!workers_.contains(worker) || !down_.insert(worker).second)
        return;
    workers_.at(worker).running_.clear();
    schedule_after(behaviour_.down_time_,
                   [this, worker] { restart_worker(worker); });
}

void crash_simulation::restart_worker(const worker_name& worker)
{
    down_.erase(worker);
    unregistered_.erase(worker);
    fake_worker back = workers_.at(worker);
    back.restart(now_);
    if (behaviour_.changes_name_)
        back.info_.name_ = worker_name(worker.str() + '-' +
                                       std::to_string(back.info_.incarnation_));
    workers_.erase(worker);
    worker_name name = back.info_.name_;
    workers_.emplace(name, std::move(back));
    if (behaviour_.announce_delay_ == duration::zero()) {
        announce(workers_.at(name));
        return;
    }
    unannounced_.insert(name);
    schedule_after(behaviour_.announce_delay_, [this, name] {
        unannounced_.erase(name);
        if (workers_.contains(name) && !down_.contains(name))
            announce(workers_.at(name));
    });
}

void crash_simulation::count_parallel_runs()
{
    std::map<task_ref, int> runs;
    for (const auto& [name, worker] : workers_) {
        for (const auto& item : worker.running_)
            most_parallel_runs_ =
                std::max(most_parallel_runs_, ++runs[item.first.task_]);
    }
}

void crash_simulation::shut_down_worker(const worker_name& worker)
{
    fake_worker& item = workers_.at(worker);
    item.info_.is_draining_ = true;
    announce(item);
    owner_->retire_worker(worker, item.info_.incarnation_, now_);
    leaving_.insert(worker);
}

void crash_simulation::run_for(duration time)
{
    instant end = now_ + time;
    while (now_ < end) {
        now_ += tick_interval;
        while (!events_.empty() && events_.top().at_ <= now_) {
            auto action = events_.top().action_;
            events_.pop();
            action();
        }
        auto since_start = now_.time_since_epoch();
        bool announces = since_start % announce_interval < tick_interval;
        std::vector<worker_name> left;
        for (auto& [name, worker] : workers_) {
            if (down_.contains(name))
                continue;
            worker.advance(now_);
            if (leaving_.contains(name) && !state_.workers().contains(name))
                left.push_back(name);
            else if (announces && !leaving_.contains(name) &&
                     !unannounced_.contains(name))
                announce(worker);
        }
        for (const worker_name& name : std::set(unregistered_))
            announce(workers_.at(name));
        count_parallel_runs();
        for (const worker_name& name : left) {
            leaving_.erase(name);
            restart_worker(name);
        }
        bool changes =
            behaviour_.owner_change_interval_ > duration::zero() &&
            since_start % behaviour_.owner_change_interval_ < tick_interval;
        if (changes)
            replace_owner();
        owner_->state_changed();
        owner_->tick(now_, 0);
        commit(owner_->take_output());
    }
}

void crash_simulation::commit(const owner_output& output)
{
    for (const owner_event& item : output.events_)
        events_log_.push_back(item.message_);
    for (const worker_call& call : output.calls_)
        send(call);
    if (output.observations_.empty() && output.starts_.empty())
        return;
    schedule_after(commit_time, [this, output, term = term_] {
        if (term != term_)
            return;
        for (const pool_command& item : output.observations_)
            state_.apply(item);
        for (const pool_command& item : output.starts_)
            state_.apply(item);
        if (!output.observations_.empty())
            owner_->proposal_settled(output.proposal_, now_);
        if (!output.starts_.empty())
            owner_->starts_resolved();
    });
}

void crash_simulation::lose(const worker_call& call, bool not_sent)
{
    duration after = behaviour_.is_silent_ ? call.timeout_ : network_time;
    bool is_closed = !behaviour_.is_silent_;
    schedule_after(
        after, [this, id = call.id_, not_sent, is_closed, term = term_] {
            if (term == term_)
                owner_->handle_result(id,
                                      call_lost{not_sent, is_closed,
                                                not_sent && is_closed,
                                                !not_sent && is_closed},
                                      now_);
        });
}

void crash_simulation::send(const worker_call& call)
{
    // Its job may be final, without steps, when the call arrives.
    step_spec spec;
    if (const auto* start = std::get_if<start_call>(&call.operation_))
        spec = state_.spec_of(start->run_.task_);
    auto found = workers_.find(call.worker_);
    if (found == workers_.end() || down_.contains(call.worker_)) {
        bool is_late = behaviour_.late_start_delay_ > duration::zero() &&
                       std::holds_alternative<start_call>(call.operation_);
        if (is_late)
            schedule_after(behaviour_.late_start_delay_, [this, call, spec] {
                if (workers_.contains(call.worker_) &&
                    !down_.contains(call.worker_))
                    (void)deliver(call, spec);
            });
        lose(call, !is_late);
        return;
    }
    duration wait{};
    if (const auto* hold = std::get_if<hold_call>(&call.operation_))
        wait = std::min(hold->wait_, hold_time);
    schedule_after(network_time + wait, [this, call, spec, term = term_] {
        bool is_gone =
            !workers_.contains(call.worker_) || down_.contains(call.worker_);
        if (is_gone) {
            lose(call, false);
            return;
        }
        call_answer answer = deliver(call, spec);
        if (term == term_)
            owner_->handle_result(call.id_, answer, now_);
    });
}

call_answer crash_simulation::deliver(const worker_call& call,
                                      const step_spec& spec)
{
    fake_worker& worker = workers_.at(call.worker_);
    const auto* start = std::get_if<start_call>(&call.operation_);
    bool was_there = start != nullptr && worker.running_.contains(start->run_);
    call_answer answer =
        worker.execute(call, spec, spec.estimate_, false, now_);
    bool is_start =
        start != nullptr && !was_there && worker.running_.contains(start->run_);
    if (!is_start || !crashing_.contains(start->run_.task_.job_))
        return answer;
    task_history& history = histories_[start->run_.task_];
    if (history.crashes_ >= crash_limit)
        ++history.starts_after_third_;
    schedule_after(behaviour_.crash_after_, [this, run = start->run_,
                                             name = call.worker_] {
        auto found = workers_.find(name);
        if (found == workers_.end() || !found->second.running_.contains(run))
            return;
        ++crash_count_;
        ++histories_[run.task_].crashes_;
        crash_worker(name);
    });
    return answer;
}

job_phase crash_simulation::phase_of(const job_id& id) const
{
    return state_.find_job(id)->phase_;
}

int crash_simulation::most_starts_after_third_crash() const
{
    int most = 0;
    for (const auto& [task, history] : histories_)
        most = std::max(most, history.starts_after_third_);
    return most;
}

int crash_simulation::most_crashes() const
{
    int most = 0;
    for (const auto& [task, history] : histories_)
        most = std::max(most, history.crashes_);
    return most;
}

std::vector<worker_name> crash_simulation::worker_names() const
{
    std::vector<worker_name> result;
    for (const auto& item : workers_)
        result.push_back(item.first);
    return result;
}

std::vector<worker_name> crash_simulation::workers_of(const job_id& id) const
{
    std::vector<worker_name> result;
    for (const auto& [name, worker] : workers_) {
        bool has_run = std::any_of(
            worker.running_.begin(), worker.running_.end(),
            [&](const auto& item) { return item.first.task_.job_ == id; });
        if (has_run)
            result.push_back(name);
    }
    return result;
}

} // namespace dandelioncrank::pool
