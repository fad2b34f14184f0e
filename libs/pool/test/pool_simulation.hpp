#pragma once

#include "dandelioncrank/pool/pool_owner.hpp"
#include "fake_worker.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <queue>
#include <random>

namespace dandelioncrank::pool {

using namespace std::chrono_literals;

constexpr duration tick_interval = 10ms;
constexpr duration fault_duration = 40s;
constexpr duration time_limit = 400s;
// Longer than any lease.
constexpr duration max_lease = 8s;
// Longer than any call.
constexpr duration max_call_time = 2500ms;

// How long a run may be held on a worker that is out of contact: a hold call
// that waits, the leases that an owner counts from its beginning, and time to
// commit.
constexpr duration max_unreachable_time = 2400ms + 1s + 7500ms + 1s;
// A new owner asks each worker before it gives up its runs.
constexpr duration max_inquiry_time = 500ms;

// Time after which a smaller capacity must be respected: an interval between
// announcements, and the time that a connection may take to be noticed as lost.
constexpr duration capacity_grace_time = 4500ms;

constexpr std::size_t standby_count = 8;

// A task that has crashed three workers may start twice more.
constexpr int max_crashes = 5;

struct owner_slot
{
    /// Its own replica, which learns of no commit of a later owner.
    std::unique_ptr<pool_state> state_;
    std::unique_ptr<pool_owner> owner_;
    std::uint64_t term_ = 0;
    bool is_replaced_ = false;
};

/// Randomized simulation of a pool and its owners in virtual time: calls are
/// lost or delayed, replaced owners go on sending, tasks crash their workers,
/// and workers are partitioned, restarted, drained, fail tasks, or shrink and
/// grow. The invariants are checked at each step.
class pool_simulation
{
  public:
    /// Whether a delayed call may be carried out by a later incarnation of its
    /// worker than the one that it was sent to.
    enum class late_calls
    {
        end_with_the_process,
        outlive_restarts
    };

    /// How long commits take.
    enum class commit_times
    {
        short_ones,
        /// The disk of the owner is slow for some seconds at a time. Entries
        /// are committed in the order of their proposals, and those that are
        /// undecided when the owner changes may be lost.
        up_to_seconds
    };

    /// Losses of contact with workers that go on.
    enum class contact_losses
    {
        short_cuts,
        /// Cuts, and refusals of all calls, that outlast each lease, beside
        /// frequent changes of the owner.
        long_ones
    };

    pool_simulation(std::uint64_t seed, late_calls late,
                    commit_times commits = commit_times::short_ones,
                    contact_losses losses = contact_losses::short_cuts)
        : random_(seed), late_calls_(late), commit_times_(commits),
          contact_losses_(losses)
    {
        for (int i = 0; i < 8; ++i) {
            worker_info info;
            info.name_ = worker_name("w" + std::to_string(i));
            info.incarnation_ = 1;
            info.service_ = service_name("s");
            info.address_ = "10.0.0.1:" + std::to_string(i + 1);
            info.capacity_ = {64'000, 100'000, 8};
            info.rack_ = rack_name("r" + std::to_string(i / 4));
            auto stored = workers_.emplace(info.name_, fake_worker(info, now_));
            stored.first->second.guards_capacity_ = false;
            capacities_[info.name_] = {{now_, info.capacity_}};
            apply(put_worker{info});
        }
        configure_queues();
        replace_owner();
    }

    void run()
    {
        while (now_ < instant(time_limit)) {
            now_ += tick_interval;
            if (now_ < instant(fault_duration))
                inject_faults();
            else if (now_ == instant(fault_duration))
                restore_capacities();
            while (!events_.empty() && events_.top().at_ <= now_) {
                auto action = events_.top().action_;
                events_.pop();
                action();
            }
            for (auto& item : workers_) {
                collect_done(item.second);
                item.second.advance(now_);
            }
            announce();
            tick_owners();
            check_invariants();
            if (now_ > instant(fault_duration) && all_jobs_final()) {
                check_blame();
                return;
            }
        }
        FAIL("jobs did not finish within the time limit:\n"
             << describe_open_jobs());
    }

  private:
    struct event
    {
        instant at_;
        std::uint64_t sequence_;
        std::function<void()> action_;
        bool operator<(const event& other) const
        {
            return std::tie(at_, sequence_) >
                   std::tie(other.at_, other.sequence_);
        }
    };

    /// Since when a run is on a worker out of contact, and under which owner.
    struct unreachable_run
    {
        instant since_{};
        std::uint64_t term_ = 0;
    };

    /// Commands of an entry of the log that is not committed yet.
    struct log_entry
    {
        pool_batch commands_;
        std::function<void()> on_applied_;
    };

    /// Proposes a command of a client or a worker.
    void propose(const pool_command& command)
    {
        if (commit_times_ == commit_times::short_ones)
            apply(command);
        else
            append({{command}, nullptr});
    }

    void append(log_entry entry)
    {
        duration delay = std::chrono::milliseconds(10 + pick(20));
        if (now_ < slow_until_)
            delay = std::chrono::milliseconds(pick(8000));
        commit_at_ = std::max(commit_at_, now_ + delay);
        std::uint64_t index = next_index_++;
        log_.emplace(index, std::move(entry));
        schedule_after(commit_at_ - now_, [this, index] { commit(index); });
    }

    void commit(std::uint64_t index)
    {
        auto found = log_.extract(index);
        // Lost with its owner.
        if (!found)
            return;
        for (const pool_command& command : found.mapped().commands_)
            apply(command);
        if (found.mapped().on_applied_)
            found.mapped().on_applied_();
    }

    /// The next owner has the first ones of the undecided entries. Their
    /// proposer does not learn of that.
    void resolve_log()
    {
        std::uint64_t kept = log_.empty() ? 0 : pick(log_.size() + 1);
        for (; kept > 0; --kept) {
            log_.begin()->second.on_applied_ = nullptr;
            commit(log_.begin()->first);
        }
        log_.clear();
        commit_at_ = now_;
    }

    void apply(const pool_command& command)
    {
        check_end(command);
        state_.apply(command);
        for (owner_slot& slot : owners_) {
            if (!slot.is_replaced_)
                slot.state_->apply(command);
        }
        for (owner_slot& standby : standbys_) {
            standby.state_->apply(command);
            standby.owner_->observe_contacts(now_);
        }
    }

    void add_standby()
    {
        owner_slot standby;
        standby.state_ = std::make_unique<pool_state>();
        standby.state_->restore(state_.snapshot());
        standby.owner_ =
            std::make_unique<pool_owner>(*standby.state_, owner_timing{});
        standby.owner_->observe_contacts(now_);
        standbys_.push_back(std::move(standby));
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < share;
    }

    std::uint64_t pick(std::uint64_t below) { return random_() % below; }

    void schedule_after(duration after, std::function<void()> action)
    {
        events_.push({now_ + after, next_event_++, std::move(action)});
    }

    worker_name pick_worker()
    {
        return worker_name("w" + std::to_string(pick(8)));
    }

    void inject_faults()
    {
        if (commit_times_ == commit_times::up_to_seconds)
            inject_slow_commits();
        if (contact_losses_ == contact_losses::long_ones)
            inject_contact_losses();
        if (chance(0.02))
            submit();
        if (chance(0.002) && !submitted_.empty())
            cancel();
        if (chance(0.002))
            replace_owner();
        if (chance(0.002)) {
            worker_name name = pick_worker();
            partitioned_until_[name] =
                now_ + std::chrono::milliseconds(pick(9000));
        }
        if (chance(0.004))
            change_capacity(workers_.at(pick_worker()));
        if (chance(0.0008))
            restart_worker(workers_.at(pick_worker()));
        if (chance(0.001)) {
            worker_name name = pick_worker();
            workers_.at(name).info_.is_draining_ = true;
            // Some shut down while their tasks run.
            schedule_after(
                std::chrono::milliseconds(200 + pick(5000)),
                [this, name,
                 incarnation = workers_.at(name).info_.incarnation_] {
                    shut_down_worker(name, incarnation, now_);
                });
        }
    }

    /// Short cuts beside slow commits: workers answer again while the ends that
    /// were proposed meanwhile are undecided.
    void inject_slow_commits()
    {
        if (chance(0.002))
            slow_until_ = now_ + 500ms + std::chrono::milliseconds(pick(6000));
        if (chance(0.02))
            partitioned_until_[pick_worker()] =
                now_ + std::chrono::milliseconds(pick(1500));
    }

    void inject_contact_losses()
    {
        auto until = [this] {
            return now_ + std::chrono::milliseconds(pick(25000));
        };
        if (chance(0.002))
            partitioned_until_[pick_worker()] = until();
        if (chance(0.002))
            refusing_until_[pick_worker()] = until();
        if (chance(0.004))
            replace_owner();
    }

    void change_capacity(fake_worker& worker)
    {
        auto accelerators = static_cast<std::int64_t>(pick(9));
        worker.info_.capacity_.accelerators_ = accelerators;
        capacities_[worker.info_.name_].emplace_back(now_,
                                                     worker.info_.capacity_);
    }

    void restore_capacities()
    {
        for (auto& [name, worker] : workers_) {
            worker.info_.capacity_ = capacities_.at(name).front().second;
            capacities_.at(name).emplace_back(now_, worker.info_.capacity_);
        }
    }

    /// Whether a worker holds more than it had at any time that still counts.
    bool is_over_capacity(const fake_worker& worker) const
    {
        resources in_use;
        for (const auto& item : worker.running_)
            in_use += item.second.spec_.need_;
        const auto& history = capacities_.at(worker.info_.name_);
        for (std::size_t i = history.size(); i > 0; --i) {
            if (in_use.fits_into(history[i - 1].second))
                return false;
            if (history[i - 1].first <= now_ - capacity_grace_time)
                return true;
        }
        return true;
    }

    /// A draining worker shuts down once the state has ended its incarnation,
    /// or after 3 s without that.
    void shut_down_worker(const worker_name& name, std::int64_t incarnation,
                          instant since)
    {
        fake_worker& worker = workers_.at(name);
        if (worker.info_.incarnation_ != incarnation)
            return;
        auto known = state_.workers().find(name);
        bool is_over = known == state_.workers().end() ||
                       known->second.info_.incarnation_ != incarnation;
        // Runs that ended unseen before may have been given up with their
        // lease, and lost calls delay the outcomes until they time out.
        bool was_undisturbed = replaced_at_ < since &&
                               partitioned_until_[name] < since - max_lease &&
                               refusing_until_[name] < since - max_lease &&
                               calls_lost_at_[name] < since - max_call_time;
        if (is_over && was_undisturbed)
            check_shutdown(worker);
        if (is_over || now_ >= since + 3s) {
            restart_worker(worker);
            return;
        }
        pool_owner* owner = find_owner(term_);
        if (owner != nullptr && !is_partitioned(name))
            owner->retire_worker(name, incarnation, now_);
        schedule_after(tick_interval, [this, name, incarnation, since] {
            shut_down_worker(name, incarnation, since);
        });
    }

    void submit()
    {
        accept_job job;
        job.spec_.id_ = job_id("j" + std::to_string(submitted_.size()));
        std::uint64_t steps = 1 + pick(2);
        for (std::uint64_t s = 0; s < steps; ++s) {
            step_spec step;
            step.count_ = static_cast<std::uint32_t>(1 + pick(5));
            step.need_ = {1'000, 1'000,
                          static_cast<std::int64_t>(1 << pick(4))};
            step.estimate_ = std::chrono::milliseconds(200 + pick(4000));
            step.is_gang_ = chance(0.5);
            step.is_rack_sensitive_ = chance(0.3);
            if (s > 0)
                step.depends_on_ = {0};
            job.spec_.steps_.push_back(step);
        }
        job.access_ = access_to(static_cast<int>(pick(3)));
        job.request_ = job.spec_.id_.str();
        propose(job);
        specs_.emplace(job.spec_.id_, job.spec_);
        submitted_.emplace_back(job.spec_.id_, job.access_);
        if (chance(0.1))
            crashing_.insert(job.spec_.id_);
    }

    void cancel()
    {
        const auto& [id, access] = submitted_[pick(submitted_.size())];
        propose(cancel_job{id, access});
    }

    /// Returns access to the queue of a priority.
    static queue_access access_to(int priority)
    {
        return {"a.example", '/' + std::to_string(priority) + '/', ""};
    }

    void configure_queues()
    {
        pool_config config;
        config.version_ = 1;
        config.unguarded_services_ = {service_name("s")};
        for (int priority = 0; priority < 3; ++priority) {
            queue_access access = access_to(priority);
            queue_route route{access.host_, access.path_, true, {}};
            route.policy_.name_ = "q" + std::to_string(priority);
            route.policy_.service_ = service_name("s");
            route.policy_.priority_ = priority;
            route.policy_.attempts_ = 3;
            route.policy_.stretch_ = 3.0;
            config.routes_.push_back(route);
        }
        apply(put_config{config});
    }

    /// Starts a new owner; the previous one may go on for a while.
    void replace_owner()
    {
        for (owner_slot& slot : owners_) {
            if (slot.is_replaced_)
                continue;
            slot.is_replaced_ = true;
            std::uint64_t term = slot.term_;
            schedule_after(std::chrono::milliseconds(pick(1500)), [this, term] {
                std::erase_if(owners_, [term](const owner_slot& item) {
                    return item.term_ == term;
                });
            });
        }
        resolve_log();
        replaced_at_ = now_;
        std::size_t standbys =
            contact_losses_ == contact_losses::long_ones ? standby_count : 1;
        while (standbys_.size() < standbys)
            add_standby();
        owner_slot next = std::move(standbys_.front());
        standbys_.pop_front();
        next.term_ = ++term_;
        next.owner_->begin(next.term_, now_);
        owners_.push_back(std::move(next));
        add_standby();
    }

    bool is_partitioned(const worker_name& name) const
    {
        auto found = partitioned_until_.find(name);
        return found != partitioned_until_.end() && now_ < found->second;
    }

    bool is_refusing(const worker_name& name) const
    {
        auto found = refusing_until_.find(name);
        return found != refusing_until_.end() && now_ < found->second;
    }

    static bool is_registered(const pool_state& state,
                              const fake_worker& worker)
    {
        auto known = state.workers().find(worker.info_.name_);
        return known != state.workers().end() &&
               known->second.info_ == worker.info_;
    }

    void announce()
    {
        if (now_.time_since_epoch() % 1s != 0s)
            return;
        for (auto& [name, worker] : workers_) {
            if (is_partitioned(name))
                continue;
            if (!is_registered(state_, worker))
                commit_announcement(worker);
            // A changed one is recorded once it is committed, which a replaced
            // owner does not see.
            for (owner_slot& slot : owners_) {
                if (is_registered(*slot.state_, worker))
                    slot.owner_->record_announcement(
                        name, worker.info_.incarnation_, worker.clock_ms(now_),
                        now_);
            }
        }
    }

    /// The owner ends what the worker has replaced before it is registered,
    /// unless no owner has taken over so far.
    void commit_announcement(fake_worker& worker)
    {
        const worker_info& info = worker.info_;
        if (chance(0.8) && !state_.replaced_by(info).empty()) {
            pool_owner& owner = *find_owner(term_);
            std::uint64_t token = owner.fencing_token_for(info.name_);
            owner.replace_incarnations(info, worker.confirm(token, now_), token,
                                       now_);
        }
        propose(put_worker{info});
    }

    void tick_owners()
    {
        std::vector<std::pair<std::uint64_t, owner_output>> outputs;
        for (owner_slot& slot : owners_) {
            slot.owner_->state_changed();
            slot.owner_->tick(now_, 0);
            outputs.emplace_back(slot.term_, slot.owner_->take_output());
        }
        for (auto& [term, output] : outputs)
            execute(term, std::move(output));
    }

    pool_owner* find_owner(std::uint64_t term)
    {
        for (owner_slot& slot : owners_) {
            if (slot.term_ == term)
                return slot.owner_.get();
        }
        return nullptr;
    }

    void execute(std::uint64_t term, owner_output output)
    {
        pool_batch batch = output.observations_;
        batch.insert(batch.end(), output.starts_.begin(), output.starts_.end());
        auto on_settled = [this, term, proposal = output.proposal_,
                           has_ends = !output.observations_.empty(),
                           has_starts = !output.starts_.empty()] {
            pool_owner* owner = find_owner(term);
            if (owner != nullptr && has_ends)
                owner->proposal_settled(proposal, now_);
            if (owner != nullptr && has_starts)
                owner->starts_resolved();
        };
        // Only the latest owner can commit.
        bool commits = term == term_;
        if (!batch.empty() && commits &&
            commit_times_ == commit_times::up_to_seconds)
            append({std::move(batch), on_settled});
        else if (!batch.empty())
            schedule_after(std::chrono::milliseconds(10 + pick(20)),
                           [this, term, commits, batch, on_settled] {
                               if (!commits || term != term_)
                                   return;
                               for (const pool_command& item : batch)
                                   apply(item);
                               on_settled();
                           });
        for (const worker_call& call : output.calls_)
            send(term, call);
    }

    void send(std::uint64_t term, const worker_call& call)
    {
        if (const auto* start = std::get_if<start_call>(&call.operation_))
            check_start_request(*start, term);
        bool faults_active = now_ < instant(fault_duration);
        bool partitioned = is_partitioned(call.worker_);
        bool delayed = faults_active && !partitioned && chance(0.05);
        if (partitioned || delayed) {
            calls_lost_at_[call.worker_] = now_;
            if (delayed)
                schedule_after(std::chrono::milliseconds(2000 + pick(10000)),
                               [this, call, receiver = incarnation_of(call)] {
                                   deliver_late(call, receiver);
                               });
            schedule_after(call.timeout_, [this, term, id = call.id_] {
                if (pool_owner* owner = find_owner(term))
                    owner->handle_result(id, call_lost{false}, now_);
            });
            return;
        }
        if (is_refusing(call.worker_)) {
            schedule_after(1ms, [this, term, call] {
                call_answer answer;
                answer.verdict_ = call_verdict::unhealthy;
                answer.is_complete_ = false;
                if (pool_owner* owner = find_owner(term))
                    owner->handle_result(call.id_, answer, now_);
            });
            return;
        }
        duration wait{};
        if (const auto* hold = std::get_if<hold_call>(&call.operation_))
            wait = std::min<duration>(hold->wait_, 200ms);
        schedule_after(1ms + wait, [this, term, call] {
            call_answer answer = deliver(call, true);
            if (pool_owner* owner = find_owner(term))
                owner->handle_result(call.id_, answer, now_);
        });
    }

    std::int64_t incarnation_of(const worker_call& call) const
    {
        return workers_.at(call.worker_).info_.incarnation_;
    }

    void deliver_late(const worker_call& call, std::int64_t receiver)
    {
        if (late_calls_ == late_calls::outlive_restarts ||
            incarnation_of(call) == receiver)
            (void)deliver(call, false);
    }

    call_answer deliver(const worker_call& call, bool in_time)
    {
        fake_worker& worker = workers_.at(call.worker_);
        step_spec spec;
        duration run_time{};
        bool fails = chance(0.05);
        const auto* start = std::get_if<start_call>(&call.operation_);
        if (start != nullptr) {
            const task_ref& task = start->run_.task_;
            spec = specs_.at(task.job_).steps_.at(task.step_);
            run_time = spec.estimate_;
            if (chance(0.03))
                run_time *= 7;
        }
        bool was_there =
            start != nullptr && worker.running_.contains(start->run_);
        collect_done(worker);
        std::uint64_t token_before = worker.token_;
        call_answer answer = worker.execute(call, spec, run_time, fails, now_);
        if (start != nullptr && !was_there &&
            worker.running_.contains(start->run_)) {
            INFO("token " << call.fencing_token_ << " after " << token_before
                          << ", incarnation "
                          << to_milliseconds(now_ - worker.started_at_)
                          << " ms old");
            check_started_run(*start, worker);
            started_.insert(start->run_);
            if (in_time) {
                INFO(to_text(start->run_) << " has an end");
                REQUIRE(!closed_.contains(start->run_));
            }
            if (in_time) {
                INFO(to_text(start->run_) << " on " << call.worker_.str());
                CHECK(!is_over_capacity(worker));
            }
            if (crashing_.contains(start->run_.task_.job_))
                crash_later(call.worker_, start->run_);
        }
        return answer;
    }

    /// Restarts the worker soon after a task has begun that crashes it.
    void crash_later(const worker_name& name, const run_ref& run)
    {
        schedule_after(20ms, [this, name, run] {
            fake_worker& worker = workers_.at(name);
            if (!worker.running_.contains(run))
                return;
            int crashes = ++crashes_[run.task_];
            INFO(to_text(run) << " has crashed its worker");
            CHECK(crashes <= max_crashes);
            collect_done(worker);
            restart_worker(worker);
        });
    }

    // --- Invariants

    // A replaced owner goes by its own state: the job may be final by now and
    // have no records.
    void check_start_request(const start_call& request, std::uint64_t term)
    {
        auto sender = std::find_if(
            owners_.begin(), owners_.end(),
            [term](const owner_slot& item) { return item.term_ == term; });
        REQUIRE(sender != owners_.end());
        const job_record* job =
            sender->state_->find_job(request.run_.task_.job_);
        REQUIRE(job != nullptr);
        const task_ref& at = request.run_.task_;
        INFO(to_text(request.run_));
        const occurrence_record* record =
            job->occurrences_.find(at.occurrence_);
        REQUIRE(record != nullptr);
        const task_record& task = record->steps_[at.step_].tasks_[at.index_];
        // A start is sent only for a committed run.
        REQUIRE(task.run_ >= request.run_.run_);
        REQUIRE(job->is_ready(at.occurrence_, at.step_));
    }

    void check_started_run(const start_call& request, const fake_worker& worker)
    {
        INFO(to_text(request.run_)
             << " on " << worker.info_.name_.str() << " at "
             << to_milliseconds(now_.time_since_epoch()));
        // A task that was recorded as done never starts again.
        REQUIRE(!done_.contains(request.run_.task_));
        for (const auto& [name, other] : workers_) {
            for (const auto& [run, item] : other.running_) {
                if (run != request.run_ || name != worker.info_.name_)
                    REQUIRE(run.task_ != request.run_.task_);
            }
        }
    }

    // A run that is refused was never started, and one that is closed never
    // starts after that.
    void check_end(const pool_command& command)
    {
        const auto* end = std::get_if<end_unreported_run>(&command);
        if (end == nullptr || !state_.runs_on(end->worker_).contains(end->run_))
            return;
        closed_.insert(end->run_);
        INFO(to_text(end->run_) << " on " << end->worker_.str());
        REQUIRE((end->outcome_ != run_outcome::refused ||
                 !started_.contains(end->run_)));
    }

    // The successes of a worker that shut down in order are all recorded.
    void check_shutdown(const fake_worker& worker)
    {
        for (const reported_outcome& item : worker.ended_) {
            const task_ref& at = item.run_.task_;
            const job_record* job = state_.find_job(at.job_);
            if (item.outcome_ != run_outcome::done || job == nullptr ||
                job->is_final())
                continue;
            INFO(to_text(item.run_) << " on " << worker.info_.name_.str());
            const occurrence_record* record =
                job->occurrences_.find(at.occurrence_);
            CHECK((record == nullptr
                       ? job->occurrences_.is_done(at.occurrence_)
                       : record->steps_[at.step_].tasks_[at.index_].is_done_));
        }
    }

    void collect_done(const fake_worker& worker)
    {
        for (const reported_outcome& item : worker.ended_) {
            auto known = state_.workers().find(worker.info_.name_);
            bool is_recorded =
                known != state_.workers().end() &&
                known->second.info_.incarnation_ == worker.info_.incarnation_ &&
                known->second.outcome_cursor_ >= item.sequence_;
            if (is_recorded && item.outcome_ == run_outcome::done)
                done_.insert(item.run_.task_);
        }
    }

    // A job is given up only if one of its tasks has lost two workers.
    void check_blame()
    {
        std::map<job_id, int> most_losses;
        for (const auto& [task, losses] : losses_) {
            int& most = most_losses[task.job_];
            most = std::max(most, losses);
        }
        for (const auto& item : submitted_) {
            const job_record* stored = state_.find_job(item.first);
            // Its submission may be lost with the owner.
            if (stored == nullptr &&
                commit_times_ == commit_times::up_to_seconds)
                continue;
            REQUIRE(stored != nullptr);
            const job_record& job = *stored;
            INFO(item.first.str() << ": " << job.failure_);
            CHECK((!job.was_given_up_ || most_losses[item.first] >= 2));
        }
    }

    void restart_worker(fake_worker& worker)
    {
        for (const auto& item : worker.running_)
            ++losses_[item.first.task_];
        // What has ended unseen is under way for all that an owner can know.
        for (const reported_outcome& item : worker.ended_)
            ++losses_[item.run_.task_];
        worker.restart(now_);
    }

    // A run on a worker out of contact is given up with its lease, however
    // often the owner changes.
    void check_unreachable_runs()
    {
        std::map<run_ref, unreachable_run> since;
        for (const auto& item : workers_) {
            const worker_name& name = item.first;
            if (!is_partitioned(name) && !is_refusing(name))
                continue;
            for (const run_ref& run : state_.runs_on(name)) {
                auto known = unreachable_runs_.find(run);
                unreachable_run item{now_, term_};
                if (known != unreachable_runs_.end())
                    item = known->second;
                INFO(to_text(run) << " on " << name.str());
                REQUIRE(now_ - item.since_ <=
                        max_unreachable_time +
                            max_inquiry_time * (term_ - item.term_));
                since.emplace(run, item);
            }
        }
        unreachable_runs_ = std::move(since);
    }

    void check_invariants()
    {
        // With slow commits the end of a run has no bound.
        if (contact_losses_ == contact_losses::long_ones &&
            commit_times_ == commit_times::short_ones)
            check_unreachable_runs();
        for (const auto& [name, worker] : workers_) {
            for (const auto& [run, item] : worker.running_) {
                INFO(to_text(run) << " on " << name.str());
                auto known = state_.workers().find(name);
                bool same_incarnation = known != state_.workers().end() &&
                                        known->second.info_.incarnation_ ==
                                            worker.info_.incarnation_;
                // A run that exists on a worker is in the state.
                if (same_incarnation && !is_partitioned(name) &&
                    item.started_at_ == now_)
                    REQUIRE(state_.runs_on(name).contains(run));
            }
        }
    }

    std::string describe_open_jobs() const
    {
        std::string text;
        for (const job_id& id : state_.active_jobs()) {
            const job_record& job = *state_.find_job(id);
            text += id.str() + ' ' + to_text(job.phase_) + '\n';
            const occurrence_record* record = job.occurrences_.find(0);
            if (record == nullptr)
                continue;
            for (std::uint32_t s = 0; s < record->steps_.size(); ++s) {
                for (const task_record& task : record->steps_[s].tasks_) {
                    text += "  step " + std::to_string(s) + " run " +
                            std::to_string(task.run_) +
                            (task.is_done_ ? " done" : "") + " on '" +
                            task.worker_.str() + "'\n";
                }
            }
        }
        return text;
    }

    bool all_jobs_final() const
    {
        return state_.active_jobs().empty() && log_.empty();
    }

    std::mt19937_64 random_;
    late_calls late_calls_;
    commit_times commit_times_;
    contact_losses contact_losses_;
    instant now_{};
    /// Undecided entries, by index.
    std::map<std::uint64_t, log_entry> log_;
    std::uint64_t next_index_ = 1;
    instant commit_at_{};
    instant slow_until_{};
    std::set<run_ref> started_;
    /// Runs that were ended without a report of their worker.
    std::set<run_ref> closed_;
    pool_state state_;
    std::map<worker_name, fake_worker> workers_;
    std::vector<owner_slot> owners_;
    /// The replicas that will own the pool next, in this order. The more there
    /// are, the longer the next one has followed the log.
    std::deque<owner_slot> standbys_;
    std::uint64_t term_ = 0;
    std::vector<std::pair<job_id, queue_access>> submitted_;
    /// The state keeps them only until a job is final.
    std::map<job_id, job_spec> specs_;
    /// Capacities of each worker with the time of the change, oldest first.
    std::map<worker_name, std::vector<std::pair<instant, resources>>>
        capacities_;
    std::map<worker_name, instant> partitioned_until_;
    std::map<worker_name, instant> refusing_until_;
    /// The runs on workers that are out of contact.
    std::map<run_ref, unreachable_run> unreachable_runs_;
    instant replaced_at_{};
    std::map<worker_name, instant> calls_lost_at_;
    std::set<task_ref> done_;
    std::set<job_id> crashing_;
    std::map<task_ref, int> crashes_;
    /// Workers that have restarted under each task, whatever the cause.
    std::map<task_ref, int> losses_;
    std::priority_queue<event> events_;
    std::uint64_t next_event_ = 0;
};

} // namespace dandelioncrank::pool
