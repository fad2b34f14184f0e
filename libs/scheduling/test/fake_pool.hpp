#pragma once

#include "dandelioncrank/scheduling/zone_scheduler.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>
#include <vector>

namespace dandelioncrank::test {

struct pool_options
{
    int racks_ = 2;
    int workers_per_rack_ = 6;
    int accelerators_ = 8;
    duration delay_ = std::chrono::milliseconds(1);
    duration heartbeat_ = std::chrono::seconds(2);
    duration lease_ = std::chrono::seconds(10);
    /// Percentage of messages that are lost.
    int loss_percent_ = 0;
    std::uint64_t seed_ = 1;
    /// Checks all invariants after every event.
    bool check_every_event_ = true;
    duration tick_ = std::chrono::milliseconds(100);
    /// Time until the record of a job is persisted; a final one is reported
    /// and persisted at the same time.
    duration write_delay_ = std::chrono::milliseconds(100);
};

/// Simulated workers around one real scheduler, in virtual time. Records what
/// ran on them and compares it with what the scheduler reports.
class fake_pool
{
  public:
    fake_pool(pool_options options, scheduler_options scheduling,
              configuration rules)
        : options_(std::move(options)), scheduling_(std::move(scheduling)),
          rules_(std::move(rules)), random_(options_.seed_)
    {
        scheduling_.lease_ = options_.lease_;
        int count = options_.racks_ * options_.workers_per_rack_;
        workers_.resize(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            worker& item = workers_[static_cast<std::size_t>(i)];
            item.info_.name_ = worker_name("w" + std::to_string(i));
            item.info_.rack_ =
                rack_name("r" + std::to_string(i / options_.workers_per_rack_));
            item.info_.accelerators_ = options_.accelerators_;
            item.info_.processors_ = 1024;
            item.info_.memory_mb_ = 1 << 30;
            item.incarnation_ = 1;
            index_[item.info_.name_] = i;
            at(now_ + duration(random_() % 1000),
               [this, i] { send_heartbeat(i); });
        }
        create_scheduler();
        tick();
    }

    void at(instant when, std::function<void()> action)
    {
        events_.push({when, ++sequence_, std::move(action)});
    }

    void submit(const job_spec& spec, duration run_time, instant when)
    {
        observed_job& job = observed_jobs_[spec.id_];
        job.spec_ = spec;
        job.remaining_ = run_time;
        job.arrived_ = when;
        job.persisted_.spec_ = spec;
        ++unfinished_;
        at(when, [this, spec] { handle_event(job_submitted{spec}); });
    }

    void cancel(const job_id& id, instant when)
    {
        at(when, [this, id] { handle_event(job_cancelled{id}); });
    }

    /// The worker crashes with its tasks and restarts after the downtime.
    void crash(int index, instant when, duration downtime)
    {
        at(when, [this, index] {
            worker& item = workers_[static_cast<std::size_t>(index)];
            item.online_ = false;
            drop_parts(item);
        });
        at(when + downtime, [this, index] {
            worker& item = workers_[static_cast<std::size_t>(index)];
            // Crashes may overlap.
            if (item.online_)
                return;
            item.online_ = true;
            ++item.incarnation_;
            item.applied_ = 0;
            item.epoch_ = 0;
            item.lease_from_ = now_;
        });
    }

    /// The worker reports other resources from then on; its tasks go on.
    void resize(int index, int accelerators, instant when)
    {
        at(when, [this, index, accelerators] {
            workers_[static_cast<std::size_t>(index)].info_.accelerators_ =
                accelerators;
        });
    }
    void move_to_rack(int index, const std::string& rack, instant when)
    {
        at(when, [this, index, rack] {
            workers_[static_cast<std::size_t>(index)].info_.rack_ =
                rack_name(rack);
        });
    }

    /// A copy of the worker's report takes another way, through a host that
    /// forwards it late; the worker's process need not exist any more then.
    void delay_report(int index, instant when, duration delay)
    {
        at(when, [this, index, delay] {
            const worker& item = workers_[static_cast<std::size_t>(index)];
            if (!item.online_)
                return;
            open_report sent{item.incarnation_, now_, {}};
            worker_report message = make_report(item);
            at(now_ + delay, [this, index, message, sent] {
                deliver_report(index, message, sent);
            });
        });
    }

    /// Another writer reports under the name of a worker, once.
    void forge_report(int index, instant when)
    {
        at(when, [this, index] {
            worker_report message;
            message.info_ = workers_[static_cast<std::size_t>(index)].info_;
            message.incarnation_ = "forged";
            deliver_report(index, message, {});
        });
    }

    /// Drops all messages between the worker and the scheduler.
    void partition(int index, instant when, duration length)
    {
        at(when, [this, index] { partitioned_.insert(index); });
        at(when + length, [this, index] { partitioned_.erase(index); });
    }

    void replace_scheduler(instant when)
    {
        at(when, [this] { create_scheduler(); });
    }

    /// The owner of the zone loses the quorum and all workers but these, and
    /// another one replaces it. It goes on with these workers until it learns
    /// of the other.
    void cut_off_owner(const std::set<int>& workers, instant when,
                       duration length)
    {
        at(when, [this, workers] {
            cut_off_workers_ = workers;
            cut_off_scheduler_ = std::move(scheduler_);
            create_scheduler();
        });
        at(when + length, [this] {
            cut_off_scheduler_.reset();
            cut_off_workers_.clear();
        });
    }

    void configure(const configuration& rules, instant when)
    {
        at(when, [this, rules] {
            rules_ = rules;
            scheduler_->configure(rules_, now_);
        });
    }

    /// Every task started on this worker fails immediately.
    void set_faulty(int index)
    {
        workers_[static_cast<std::size_t>(index)].faulty_ = true;
    }
    void set_failing(const job_id& id) { observed_jobs_[id].fails_ = true; }
    /// Each task of this job crashes its worker soon after its start.
    void set_crashing(const job_id& id) { observed_jobs_[id].crashes_ = true; }

    void run_until(instant end)
    {
        while (now_ < end && !events_.empty())
            step();
    }

    /// Runs until all jobs have ended; throws at the deadline.
    void run_to_end(instant deadline)
    {
        while (unfinished_ > 0) {
            if (now_ >= deadline)
                throw std::logic_error(
                    std::to_string(unfinished_) +
                    " jobs have not ended: " + describe_unfinished());
            step();
        }
    }

    struct observed_job
    {
        job_spec spec_;
        duration remaining_{};
        instant arrived_{};
        std::optional<instant> started_;
        std::optional<instant> ended_;
        job_record record_;
        /// What a new scheduler reads.
        job_record persisted_;
        int starts_ = 0;
        bool fails_ = false;
        bool crashes_ = false;
        std::set<std::uint64_t> attempts_started_;
    };

    [[nodiscard]] const std::map<job_id, observed_job>& observed_jobs() const
    {
        return observed_jobs_;
    }
    [[nodiscard]] zone_scheduler& scheduler() { return *scheduler_; }
    [[nodiscard]] instant now() const { return now_; }
    [[nodiscard]] std::size_t alarms() const { return alarms_; }
    [[nodiscard]] std::size_t refused_holds() const { return refused_holds_; }
    [[nodiscard]] std::size_t peak_quarantined() const
    {
        return peak_quarantined_;
    }
    [[nodiscard]] std::size_t events() const { return sequence_; }
    [[nodiscard]] std::size_t unfinished_jobs() const { return unfinished_; }

    /// Called after each event, for measurements.
    std::function<void()> on_event_;

  private:
    struct part
    {
        part_state state_ = part_state::held;
        int tasks_ = 0;
        int accelerators_ = 0;
        instant started_{};
        std::uint64_t run_ = 0;
        /// Of the scheduler that started it.
        std::uint64_t epoch_ = 0;
    };

    struct worker
    {
        worker_info info_;
        int incarnation_ = 0;
        bool online_ = true;
        bool faulty_ = false;
        std::uint64_t epoch_ = 0;
        std::uint64_t applied_ = 0;
        std::map<gang_key, part> parts_;
        /// When the newest report that was answered had been sent.
        instant lease_from_{};
    };

    /// Newest report of a worker that the scheduler received (a long poll);
    /// its answer goes to the process that sent it.
    struct open_report
    {
        int incarnation_ = 0;
        instant sent_at_{};
        instant open_until_{};
    };

    struct event
    {
        instant at_;
        std::uint64_t sequence_;
        std::function<void()> action_;

        bool operator<(const event& other) const
        {
            return std::tie(other.at_, other.sequence_) <
                   std::tie(at_, sequence_);
        }
    };

    void step()
    {
        event next = events_.top();
        events_.pop();
        now_ = next.at_;
        next.action_();
    }

    std::string describe_unfinished() const
    {
        std::string text;
        for (const auto& [id, job] : observed_jobs_) {
            if (job.ended_)
                continue;
            auto view = scheduler_->job(id, now_);
            text += id.str() + " " +
                    (view ? to_text(view->record_.state_) + " " +
                                view->pending_reason_
                          : std::string("gone")) +
                    "; ";
        }
        const worker_pool& pool = scheduler_->pool();
        for (worker_index i = 0; i < pool.size(); ++i) {
            const pool_worker& item = pool.at(i);
            text += item.info_.name_.str() + " free " +
                    std::to_string(item.free()) + " orphaned " +
                    std::to_string(item.orphaned_) +
                    (item.alive_ ? "" : " dead") +
                    (item.suspect_ ? " suspect" : "") +
                    (item.quarantined_ ? " quarantined" : "") + "; ";
        }
        return text;
    }

    duration message_delay()
    {
        auto range = static_cast<std::uint64_t>(options_.delay_.count());
        return options_.delay_ / 2 +
               duration(static_cast<duration::rep>(random_() % (range + 1)));
    }

    bool is_message_lost(int index)
    {
        bool dropped =
            static_cast<int>(random_() % 100) < options_.loss_percent_;
        return dropped || partitioned_.contains(index);
    }

    /// Creates the first scheduler, or one that replaces the current one.
    void create_scheduler()
    {
        bool is_replacement =
            scheduler_ != nullptr || cut_off_scheduler_ != nullptr;
        scheduling_.wait_for_reports_ =
            scheduling_.wait_for_reports_ || is_replacement;
        ++scheduling_.epoch_;
        scheduler_ = std::make_unique<zone_scheduler>(scheduling_);
        std::erase_if(open_reports_, [this](const auto& entry) {
            return !cut_off_workers_.contains(entry.first);
        });
        scheduler_->configure(rules_, now_);
        for (const auto& [id, job] : observed_jobs_) {
            bool known = !job.record_.spec_.id_.empty();
            if (known && !is_final(job.record_.state_))
                handle_event(job_recovered{job.persisted_});
        }
    }

    void tick()
    {
        handle_event(scheduler_ticked{});
        if (cut_off_scheduler_)
            handle_event(*cut_off_scheduler_, scheduler_ticked{});
        at(now_ + options_.tick_, [this] { tick(); });
    }

    zone_scheduler& scheduler_of(int index)
    {
        return cut_off_workers_.contains(index) ? *cut_off_scheduler_
                                                : *scheduler_;
    }

    void handle_event(const scheduling_event& event)
    {
        handle_event(*scheduler_, event);
    }

    void handle_event(zone_scheduler& scheduler, const scheduling_event& event)
    {
        bool has_quorum = &scheduler == scheduler_.get();
        std::set<int> notified;
        for (const auto& action : scheduler.handle(event, now_)) {
            if (const auto* item = std::get_if<command_issued>(&action))
                notified.insert(index_.at(item->worker_));
            const auto* changed = std::get_if<job_changed>(&action);
            if (changed != nullptr && has_quorum)
                store_record(changed->record_);
            const auto* start = std::get_if<start_record_requested>(&action);
            if (start != nullptr && has_quorum)
                record_start(start->gang_);
            alarms_ += std::holds_alternative<alarm_raised>(action);
        }
        for (int index : notified) {
            if (&scheduler_of(index) == &scheduler)
                send_commands(index);
        }
        if (options_.check_every_event_)
            scheduler.check_invariants();
        peak_quarantined_ =
            std::max(peak_quarantined_, scheduler.pool().quarantined());
        if (on_event_)
            on_event_();
    }

    void store_record(const job_record& record)
    {
        observed_job& job = observed_jobs_.at(record.spec_.id_);
        if (job.ended_)
            throw std::logic_error("a job has ended twice");
        job.record_ = record;
        if (!is_final(record.state_)) {
            persist(record);
            return;
        }
        job.ended_ = now_;
        --unfinished_;
        bool ran = job.starts_ > 0;
        if (record.state_ == job_state::not_run && ran)
            throw std::logic_error(
                "a job that was started is reported as not-run");
        if (record.state_ == job_state::completed &&
            job.remaining_ > duration::zero())
            throw std::logic_error(
                "a job is completed before its tasks finish");
    }

    // Writes of an earlier scheduler are rejected.
    void persist(const job_record& record)
    {
        std::uint64_t epoch = scheduling_.epoch_;
        at(now_ + options_.write_delay_, [this, record, epoch] {
            job_record& stored = observed_jobs_.at(record.spec_.id_).persisted_;
            if (epoch == scheduling_.epoch_ && !is_outdated(record, stored))
                stored = record;
        });
    }

    void record_start(const gang_key& key)
    {
        observed_job& job = observed_jobs_.at(key.job_);
        job.record_.state_ = job_state::running;
        job_record started = job.record_;
        std::uint64_t epoch = scheduling_.epoch_;
        at(now_ + message_delay(), [this, key, epoch, started] {
            if (epoch != scheduling_.epoch_)
                return;
            observed_jobs_.at(key.job_).persisted_ = started;
            handle_event(start_recorded{key});
        });
    }

    // Answer to a report, or to a pending long poll.
    void send_commands(int index)
    {
        if (is_message_lost(index))
            return;
        const worker_name& name =
            workers_[static_cast<std::size_t>(index)].info_.name_;
        auto found = open_reports_.find(index);
        if (found == open_reports_.end() || found->second.open_until_ <= now_)
            return;
        const auto& outbox = scheduler_of(index).outbox(
            name, std::to_string(found->second.incarnation_));
        std::vector<worker_command> commands(outbox.begin(), outbox.end());
        open_report answered = found->second;
        at(now_ + message_delay(), [this, index, commands, answered] {
            worker& item = workers_[static_cast<std::size_t>(index)];
            if (!item.online_ || item.incarnation_ != answered.incarnation_)
                return;
            item.lease_from_ = std::max(item.lease_from_, answered.sent_at_);
            bool changed = false;
            for (const worker_command& command : commands)
                changed = apply_command(index, command) || changed;
            if (changed)
                report(index);
        });
    }

    void send_heartbeat(int index)
    {
        worker& item = workers_[static_cast<std::size_t>(index)];
        // Tasks end when reports stay unanswered for the lease.
        if (item.online_ && is_lease_over(item))
            drop_parts(item);
        if (item.online_)
            report(index);
        at(now_ + options_.heartbeat_,
           [this, index] { send_heartbeat(index); });
    }

    void drop_parts(worker& item)
    {
        for (const auto& entry : item.parts_)
            gangs_with_loss_.insert(entry.first);
        item.parts_.clear();
    }

    bool is_lease_over(const worker& item) const
    {
        return now_ - item.lease_from_ >= options_.lease_;
    }

    worker_report make_report(const worker& item) const
    {
        worker_report message;
        message.info_ = item.info_;
        message.incarnation_ = std::to_string(item.incarnation_);
        message.epoch_ = item.epoch_;
        message.applied_command_ = item.applied_;
        for (const auto& [key, worker_part] : item.parts_)
            message.parts_.push_back({key, worker_part.state_,
                                      worker_part.tasks_,
                                      worker_part.accelerators_});
        return message;
    }

    void report(int index)
    {
        const worker& item = workers_[static_cast<std::size_t>(index)];
        if (is_message_lost(index))
            return;
        std::uint64_t number = ++report_number_;
        open_report sent{item.incarnation_, now_, {}};
        worker_report message = make_report(item);
        at(now_ + message_delay(), [this, index, message, number, sent] {
            // One connection per worker: an overtaken report is dropped.
            std::uint64_t& newest = newest_report_[index];
            if (number < newest)
                return;
            newest = number;
            deliver_report(index, message, sent);
        });
    }

    void deliver_report(int index, const worker_report& message,
                        const open_report& sent)
    {
        open_reports_[index] = {sent.incarnation_, sent.sent_at_,
                                now_ + options_.heartbeat_};
        handle_event(scheduler_of(index), worker_reported{message});
        send_commands(index);
    }

    bool apply_command(int index, const worker_command& command)
    {
        worker& item = workers_[static_cast<std::size_t>(index)];
        if (command.epoch_ < item.epoch_)
            return false;
        if (command.epoch_ > item.epoch_) {
            item.epoch_ = command.epoch_;
            item.applied_ = 0;
        }
        if (command.number_ <= item.applied_)
            return false;
        item.applied_ = command.number_;
        switch (command.kind_) {
        case command_kind::hold:
            hold(item, command);
            break;
        case command_kind::start:
            start(index, command);
            break;
        case command_kind::checkpoint:
            checkpoint(item, command.gang_);
            break;
        case command_kind::throttle:
        case command_kind::confirm:
            break;
        case command_kind::stop:
            item.parts_.erase(command.gang_);
            break;
        }
        return true;
    }

    void hold(worker& item, const worker_command& command)
    {
        int used = 0;
        for (const auto& [key, worker_part] : item.parts_) {
            if (worker_part.state_ != part_state::refused)
                used += worker_part.tasks_ * worker_part.accelerators_;
        }
        part worker_part;
        worker_part.tasks_ = command.tasks_;
        worker_part.accelerators_ = command.accelerators_;
        if (used + worker_part.tasks_ * worker_part.accelerators_ >
            item.info_.accelerators_) {
            worker_part.state_ = part_state::refused;
            worker_part.accelerators_ = 0;
            ++refused_holds_;
        }
        item.parts_.emplace(command.gang_, worker_part);
    }

    void start(int index, const worker_command& command)
    {
        const gang_key& key = command.gang_;
        worker& item = workers_[static_cast<std::size_t>(index)];
        auto found = item.parts_.find(key);
        if (found == item.parts_.end() ||
            found->second.state_ != part_state::held)
            return;
        part& worker_part = found->second;
        worker_part.state_ = part_state::running;
        worker_part.started_ = now_;
        worker_part.run_ = ++runs_;
        worker_part.epoch_ = command.epoch_;
        observed_job& job = observed_jobs_.at(key.job_);
        check_start(job, key, command.epoch_);
        if (item.faulty_ || job.fails_) {
            worker_part.state_ = part_state::failed;
            return;
        }
        if (job.crashes_)
            crash(index, now_ + std::chrono::milliseconds(100),
                  std::chrono::seconds(5));
        std::uint64_t run = worker_part.run_;
        at(now_ + job.remaining_,
           [this, index, key, run] { finish_part(index, key, run); });
    }

    void check_start(observed_job& job, const gang_key& key,
                     std::uint64_t epoch)
    {
        if (job.attempts_started_.insert(key.attempt_).second) {
            ++job.starts_;
            if (!job.started_)
                job.started_ = now_;
        }
        if (!job.spec_.repeatable_ && job.starts_ > 1)
            throw std::logic_error("a job that may run once was started twice");
        for (const worker& other : workers_) {
            if (runs_other_attempt(other, key, epoch))
                throw std::logic_error("two attempts of job " + key.job_.str() +
                                       " run at the same time");
        }
        int tasks = 0;
        for (const worker& other : workers_) {
            auto found = other.parts_.find(key);
            if (found != other.parts_.end())
                tasks += found->second.tasks_;
        }
        // After a crash or a lost message, the other parts are still running
        // until they are told to stop.
        bool part_lost = gangs_with_loss_.contains(key);
        bool messages_may_be_lost = !partitioned_.empty() ||
                                    !cut_off_workers_.empty() ||
                                    options_.loss_percent_ > 0;
        if (tasks < job.spec_.tasks_ && !part_lost && !messages_may_be_lost &&
            !job.record_.spec_.id_.empty() &&
            job.record_.state_ != job_state::stopping)
            throw std::logic_error("a part started without the whole gang");
    }

    // Two schedulers may give their attempts the same number.
    bool runs_other_attempt(const worker& item, const gang_key& key,
                            std::uint64_t epoch) const
    {
        return item.online_ && !is_lease_over(item) &&
               std::any_of(item.parts_.begin(), item.parts_.end(),
                           [&key, epoch](const auto& entry) {
                               bool is_same = entry.first == key &&
                                              entry.second.epoch_ == epoch;
                               return entry.first.job_ == key.job_ &&
                                      !is_same &&
                                      entry.second.state_ ==
                                          part_state::running;
                           });
    }

    void finish_part(int index, const gang_key& key, std::uint64_t run)
    {
        worker& item = workers_[static_cast<std::size_t>(index)];
        auto found = item.parts_.find(key);
        bool same = found != item.parts_.end() && found->second.run_ == run &&
                    found->second.state_ == part_state::running;
        if (!same || !item.online_)
            return;
        found->second.state_ = part_state::finished;
        observed_jobs_.at(key.job_).remaining_ = duration::zero();
        report(index);
    }

    void checkpoint(worker& item, const gang_key& key)
    {
        auto found = item.parts_.find(key);
        if (found == item.parts_.end() ||
            found->second.state_ != part_state::running)
            return;
        observed_job& job = observed_jobs_.at(key.job_);
        // The parts of a gang progress equally, so the first checkpoint
        // determines the progress of the job.
        auto& progress = checkpointed_progress_[key];
        if (progress == duration::zero()) {
            progress = now_ - found->second.started_;
            job.remaining_ =
                std::max(duration(1000), job.remaining_ - progress);
        }
        found->second.state_ = part_state::checkpointed;
    }

    pool_options options_;
    scheduler_options scheduling_;
    configuration rules_;
    std::mt19937_64 random_;
    std::unique_ptr<zone_scheduler> scheduler_;
    std::unique_ptr<zone_scheduler> cut_off_scheduler_;
    std::set<int> cut_off_workers_;
    std::vector<worker> workers_;
    std::map<worker_name, int> index_;
    std::map<job_id, observed_job> observed_jobs_;
    std::map<gang_key, duration> checkpointed_progress_;
    std::map<int, std::uint64_t> newest_report_;
    std::map<int, open_report> open_reports_;
    std::set<gang_key> gangs_with_loss_;
    std::set<int> partitioned_;
    std::priority_queue<event> events_;
    std::uint64_t sequence_ = 0;
    std::uint64_t report_number_ = 0;
    std::uint64_t runs_ = 0;
    std::size_t unfinished_ = 0;
    std::size_t alarms_ = 0;
    std::size_t refused_holds_ = 0;
    std::size_t peak_quarantined_ = 0;
    instant now_{std::chrono::hours(1)};
};

} // namespace dandelioncrank::test
