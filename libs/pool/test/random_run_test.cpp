// Random runs of a pool and its owners in virtual time: orders that are lost
// or come late, owners that are deposed and go on sending, workers that are
// cut off, restarted, drained or fail. What must always hold is checked at
// each event.
#include "dandelioncrank/pool/pool_owner.hpp"
#include "fake_worker.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <queue>
#include <random>

using namespace dandelioncrank;
using namespace dandelioncrank::pool;
using namespace std::chrono_literals;

namespace {

constexpr duration step_time = 10ms;
constexpr duration fault_time = 40s;
constexpr duration end_time = 400s;
// Longer than any lease.
constexpr duration lease_time = 8s;
// Longer than any call.
constexpr duration call_time = 2500ms;

struct owner_slot
{
    std::unique_ptr<pool_owner> owner_;
    std::uint64_t term_ = 0;
    bool is_deposed_ = false;
};

class pool_run
{
  public:
    explicit pool_run(std::uint64_t seed) : random_(seed)
    {
        for (int i = 0; i < 8; ++i) {
            worker_info info;
            info.name_ = worker_name("w" + std::to_string(i));
            info.life_ = 1;
            info.service_ = service_name("s");
            info.address_ = "10.0.0.1:" + std::to_string(i + 1);
            info.capacity_ = {64'000, 100'000, 8};
            info.rack_ = rack_name("r" + std::to_string(i / 4));
            workers_.emplace(info.name_, fake_worker(info, now_));
            state_.apply(put_worker{info});
        }
        open_queues();
        depose();
    }

    void run()
    {
        while (now_ < instant(end_time)) {
            now_ += step_time;
            if (now_ < instant(fault_time))
                disturb();
            while (!events_.empty() && events_.top().at_ <= now_) {
                auto action = events_.top().action_;
                events_.pop();
                action();
            }
            for (auto& item : workers_) {
                note_done(item.second);
                item.second.advance(now_);
            }
            announce();
            tick_owners();
            check();
            if (now_ > instant(fault_time) && all_final())
                return;
        }
        FAIL("jobs are not finished:\n" << describe_open_jobs());
    }

  private:
    struct event
    {
        instant at_;
        std::uint64_t order_;
        std::function<void()> action_;
        bool operator<(const event& other) const
        {
            return std::tie(at_, order_) > std::tie(other.at_, other.order_);
        }
    };

    bool chance(double share)
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < share;
    }

    std::uint64_t pick(std::uint64_t below) { return random_() % below; }

    void later(duration after, std::function<void()> action)
    {
        events_.push({now_ + after, next_event_++, std::move(action)});
    }

    worker_name any_worker()
    {
        return worker_name("w" + std::to_string(pick(8)));
    }

    void disturb()
    {
        if (chance(0.02))
            submit();
        if (chance(0.002) && !submitted_.empty())
            cancel();
        if (chance(0.002))
            depose();
        if (chance(0.002)) {
            worker_name name = any_worker();
            cut_until_[name] = now_ + std::chrono::milliseconds(pick(9000));
        }
        if (chance(0.0008))
            workers_.at(any_worker()).restart(now_);
        if (chance(0.001)) {
            worker_name name = any_worker();
            workers_.at(name).info_.is_draining_ = true;
            // Some leave while their tasks run.
            later(std::chrono::milliseconds(200 + pick(5000)),
                  [this, name, life = workers_.at(name).info_.life_] {
                      leave(name, life, now_);
                  });
        }
    }

    /// A worker that drains ends once the state says that its life is over;
    /// without an answer it ends anyway.
    void leave(const worker_name& name, std::int64_t life, instant since)
    {
        fake_worker& worker = workers_.at(name);
        if (worker.info_.life_ != life)
            return;
        auto known = state_.workers().find(name);
        bool is_over = known == state_.workers().end() ||
                       known->second.info_.life_ != life;
        // What ended unseen before may have been given up with its lease, and
        // calls without an answer take their time.
        bool was_calm = deposed_at_ < since &&
                        cut_until_[name] < since - lease_time &&
                        calls_lost_at_[name] < since - call_time;
        if (is_over && was_calm)
            check_left(worker);
        if (is_over || now_ >= since + 3s) {
            worker.restart(now_);
            return;
        }
        pool_owner* owner = find_owner(term_);
        if (owner != nullptr && !is_cut(name))
            owner->retire_worker(name, life, now_);
        later(step_time,
              [this, name, life, since] { leave(name, life, since); });
    }

    void submit()
    {
        accept_job job;
        job.order_.id_ = job_id("j" + std::to_string(submitted_.size()));
        std::uint64_t steps = 1 + pick(2);
        for (std::uint64_t s = 0; s < steps; ++s) {
            step_spec step;
            step.count_ = static_cast<std::uint32_t>(1 + pick(5));
            step.need_ = {1'000, 1'000,
                          static_cast<std::int64_t>(1 << pick(4))};
            step.estimate_ = std::chrono::milliseconds(200 + pick(4000));
            step.is_gang_ = chance(0.5);
            step.wants_one_rack_ = chance(0.3);
            if (s > 0)
                step.after_ = {0};
            job.order_.steps_.push_back(step);
        }
        job.access_ = access_to(static_cast<int>(pick(3)));
        job.request_ = job.order_.id_.str();
        state_.apply(job);
        submitted_.emplace_back(job.order_.id_, job.access_);
    }

    void cancel()
    {
        const auto& [id, access] = submitted_[pick(submitted_.size())];
        state_.apply(cancel_job{id, access});
    }

    /// Access to the queue of a priority.
    static queue_access access_to(int priority)
    {
        return {"a.example", '/' + std::to_string(priority) + '/', ""};
    }

    void open_queues()
    {
        pool_config config;
        config.version_ = 1;
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
        state_.apply(put_config{config});
    }

    /// A new owner begins; the one before may go on for a while.
    void depose()
    {
        for (owner_slot& slot : owners_) {
            if (slot.is_deposed_)
                continue;
            slot.is_deposed_ = true;
            std::uint64_t term = slot.term_;
            later(std::chrono::milliseconds(pick(1500)), [this, term] {
                std::erase_if(owners_, [term](const owner_slot& item) {
                    return item.term_ == term;
                });
            });
        }
        deposed_at_ = now_;
        owner_slot next;
        next.term_ = ++term_;
        next.owner_ = std::make_unique<pool_owner>(state_, owner_timing{});
        next.owner_->begin(next.term_, now_);
        owners_.push_back(std::move(next));
    }

    bool is_cut(const worker_name& name) const
    {
        auto found = cut_until_.find(name);
        return found != cut_until_.end() && now_ < found->second;
    }

    void announce()
    {
        if (now_.time_since_epoch() % 1s != 0s)
            return;
        for (auto& [name, worker] : workers_) {
            if (is_cut(name))
                continue;
            auto known = state_.workers().find(name);
            if (known == state_.workers().end() ||
                known->second.info_ != worker.info_)
                state_.apply(put_worker{worker.info_});
            for (owner_slot& slot : owners_)
                slot.owner_->hear_worker(name, worker.info_.life_,
                                         worker.clock_ms(now_), now_);
        }
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
            carry_out(term, std::move(output));
    }

    pool_owner* find_owner(std::uint64_t term)
    {
        for (owner_slot& slot : owners_) {
            if (slot.term_ == term)
                return slot.owner_.get();
        }
        return nullptr;
    }

    void carry_out(std::uint64_t term, owner_output output)
    {
        // Only the latest owner commits anything.
        bool commits = term == term_;
        auto batch = std::make_shared<pool_batch>(output.observations_);
        batch->insert(batch->end(), output.starts_.begin(),
                      output.starts_.end());
        bool has_starts = !output.starts_.empty();
        if (!batch->empty()) {
            later(std::chrono::milliseconds(10 + pick(20)),
                  [this, term, commits, batch, has_starts] {
                      if (commits && term == term_) {
                          for (const pool_command& item : *batch)
                              state_.apply(item);
                      }
                      pool_owner* owner = find_owner(term);
                      if (owner != nullptr && has_starts)
                          owner->batch_settled();
                  });
        }
        for (const worker_call& call : output.calls_)
            send(term, call);
    }

    void send(std::uint64_t term, const worker_call& call)
    {
        bool lossy = now_ < instant(fault_time);
        bool cut = is_cut(call.worker_);
        bool late = lossy && !cut && chance(0.05);
        if (cut || late) {
            calls_lost_at_[call.worker_] = now_;
            if (late)
                later(std::chrono::milliseconds(2000 + pick(10000)),
                      [this, call] { deliver(call); });
            later(call.limit_, [this, term, id = call.id_] {
                if (pool_owner* owner = find_owner(term))
                    owner->take_result(id, call_lost{false}, now_);
            });
            return;
        }
        duration wait{};
        if (const auto* hold = std::get_if<hold_call>(&call.what_))
            wait = std::min<duration>(hold->wait_, 200ms);
        later(1ms + wait, [this, term, call] {
            call_answer answer = deliver(call);
            if (pool_owner* owner = find_owner(term))
                owner->take_result(call.id_, answer, now_);
        });
    }

    call_answer deliver(const worker_call& call)
    {
        fake_worker& worker = workers_.at(call.worker_);
        step_spec spec;
        duration run_time{};
        bool fails = chance(0.05);
        const auto* start = std::get_if<start_call>(&call.what_);
        if (start != nullptr) {
            spec = state_.spec_of(start->run_.task_);
            run_time = spec.estimate_;
            if (chance(0.03))
                run_time *= 7;
            check_order(*start);
        }
        bool was_there =
            start != nullptr && worker.running_.contains(start->run_);
        note_done(worker);
        call_answer answer =
            worker.carry_out(call, spec, run_time, fails, now_);
        if (start != nullptr && !was_there &&
            worker.running_.contains(start->run_))
            check_start(*start, worker);
        return answer;
    }

    // --- What must always hold

    void check_order(const start_call& order)
    {
        const job_record* job = state_.find_job(order.run_.task_.job_);
        REQUIRE(job != nullptr);
        const task_ref& at = order.run_.task_;
        const task_record& task = job->occurrences_[at.occurrence_]
                                      .steps_[at.step_]
                                      .tasks_[at.index_];
        INFO(to_text(order.run_));
        // An order leaves only for a run that is committed.
        REQUIRE(task.run_ >= order.run_.run_);
    }

    void check_start(const start_call& order, const fake_worker& worker)
    {
        INFO(to_text(order.run_) << " on " << worker.info_.name_.str() << " at "
                                 << to_milliseconds(now_.time_since_epoch()));
        const job_record& job = *state_.find_job(order.run_.task_.job_);
        REQUIRE(
            job.is_ready(order.run_.task_.occurrence_, order.run_.task_.step_));
        // Nothing starts again after an end that was noted as done.
        REQUIRE(!done_.contains(order.run_.task_));
        for (const auto& [name, other] : workers_) {
            for (const auto& [run, item] : other.running_) {
                if (run != order.run_ || name != worker.info_.name_)
                    REQUIRE(run.task_ != order.run_.task_);
            }
        }
    }

    // What a worker that left in order has done is not done again.
    void check_left(const fake_worker& worker)
    {
        for (const listed_end& item : worker.ended_) {
            const task_ref& at = item.run_.task_;
            const job_record* job = state_.find_job(at.job_);
            if (item.end_ != run_end::done || job == nullptr || job->is_final())
                continue;
            INFO(to_text(item.run_) << " on " << worker.info_.name_.str());
            CHECK(job->occurrences_[at.occurrence_]
                      .steps_[at.step_]
                      .tasks_[at.index_]
                      .is_done_);
        }
    }

    void note_done(const fake_worker& worker)
    {
        for (const listed_end& item : worker.ended_) {
            auto known = state_.workers().find(worker.info_.name_);
            bool noted = known != state_.workers().end() &&
                         known->second.info_.life_ == worker.info_.life_ &&
                         known->second.noted_ends_ >= item.sequence_;
            if (noted && item.end_ == run_end::done)
                done_.insert(item.run_.task_);
        }
    }

    void check()
    {
        for (const auto& [name, worker] : workers_) {
            for (const auto& [run, item] : worker.running_) {
                INFO(to_text(run) << " on " << name.str());
                auto known = state_.workers().find(name);
                bool same_life =
                    known != state_.workers().end() &&
                    known->second.info_.life_ == worker.info_.life_;
                // A run that exists is never forgotten.
                if (same_life && !is_cut(name) && item.begun_at_ == now_)
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
            for (std::uint32_t s = 0; s < job.order_.steps_.size(); ++s) {
                for (const task_record& task :
                     job.occurrences_[0].steps_[s].tasks_) {
                    text += "  step " + std::to_string(s) + " run " +
                            std::to_string(task.run_) +
                            (task.is_done_ ? " done" : "") + " on '" +
                            task.worker_.str() + "'\n";
                }
            }
        }
        return text;
    }

    bool all_final() const { return state_.active_jobs().empty(); }

    std::mt19937_64 random_;
    instant now_{};
    pool_state state_;
    std::map<worker_name, fake_worker> workers_;
    std::vector<owner_slot> owners_;
    std::uint64_t term_ = 0;
    std::vector<std::pair<job_id, queue_access>> submitted_;
    std::map<worker_name, instant> cut_until_;
    instant deposed_at_{};
    std::map<worker_name, instant> calls_lost_at_;
    std::set<task_ref> done_;
    std::priority_queue<event> events_;
    std::uint64_t next_event_ = 0;
};

} // namespace

TEST_CASE("no task runs twice whatever is lost, late or replaced",
          "[pool_random_run]")
{
    constexpr std::uint64_t seeds = 20;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        pool_run(seed).run();
    }
}
