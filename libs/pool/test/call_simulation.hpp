#pragma once

#include "dandelioncrank/core/overloaded.hpp"
#include "fake_worker.hpp"
#include "owner_fixture.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>

namespace dandelioncrank::pool {

/// What becomes of a call.
struct call_fate
{
    /// The verdict of a worker that does nothing for the call; none if it
    /// carries the call out.
    std::optional<call_verdict> refusal_ = {};
    bool is_answered_ = true;
    duration answer_delay_ = std::chrono::milliseconds(1);
    /// When a call without an answer is carried out.
    std::optional<duration> carried_out_after_ = {};
    /// For calls without an answer: the connection is refused at once.
    bool is_connection_refused_ = false;
};

inline const call_fate carried_out{};
inline const call_fate refused{call_verdict::unhealthy};
inline const call_fate unanswered{call_verdict::unhealthy, false};
inline const call_fate connection_refused{
    call_verdict::unhealthy, false, std::chrono::milliseconds(1), {}, true};

enum class call_kind
{
    start,
    stop,
    hold
};

/// Two workers in virtual time, of which the first one, w00, follows a policy
/// for the fate of its calls, and the replicas of a group, one of which owns
/// the pool. A replaced owner may go on for a while without a commit.
class call_simulation
{
  public:
    using policy = std::function<call_fate(call_kind kind, int number)>;

    call_simulation()
    {
        for (const auto& [name, record] : pool_.state_.workers())
            workers_.emplace(name, fake_worker(record.info_, now_));
        for (int i = 0; i < replica_count; ++i)
            add_replica();
        replicas_.front()->begin(++term_, now_);
        // Leases that an earlier owner may have granted are over.
        run_for(std::chrono::seconds(9));
    }

    /// Starts a task on the first worker. It takes a minute.
    void start_task()
    {
        step_spec step = pool_fixture::make_step(1, 1, false);
        step.estimate_ = run_time;
        step.required_label_ = "r0";
        id_ = submit("a", step);
        run_until([this] { return running_on(0); }, std::chrono::seconds(2));
        REQUIRE(running_on(0));
    }

    job_id submit(const std::string& id, const step_spec& step)
    {
        job_id result = pool_.submit(id, {step});
        for (auto& replica : replicas_) {
            if (replica->is_replaced_)
                continue;
            replica->state_.restore(pool_.state_.snapshot());
            replica->owner_.state_changed();
            replica->owner_.observe_contacts(now_);
        }
        return result;
    }

    /// The owner is replaced by the next replica, which begins after the time
    /// of an election. Until a time from now the owner goes on without a
    /// commit.
    void replace_owner(duration election_time, duration goes_on_for)
    {
        replica& old = *replicas_.front();
        old.is_replaced_ = true;
        old.ends_at_ = now_ + goes_on_for;
        std::rotate(replicas_.begin(), replicas_.begin() + 1, replicas_.end());
        replica* next = replicas_.front().get();
        REQUIRE_FALSE(next->is_replaced_);
        after(election_time, [this, next] {
            if (!next->is_replaced_)
                next->begin(++term_, now_);
        });
    }

    void run_for(duration time)
    {
        run_until([] { return false; }, time);
    }

    /// Returns how long it took, at most the limit.
    duration run_until(const std::function<bool()>& condition, duration limit)
    {
        instant began = now_;
        while (now_ < began + limit && !condition())
            step();
        return now_ - began;
    }

    /// The first worker is gone for good with all that ran there.
    void end_worker()
    {
        workers_.at(pool_fixture::name_of(0)).running_.clear();
        is_gone_ = true;
        policy_ = [](call_kind, int) { return connection_refused; };
    }

    [[nodiscard]] bool running_on(int worker) const
    {
        return !workers_.at(pool_fixture::name_of(worker)).running_.empty();
    }

    [[nodiscard]] std::uint32_t run_number() const
    {
        return pool_.state_.find_job(id_)
            ->occurrences_.at(0)
            .steps_[0]
            .tasks_[0]
            .run_;
    }

    [[nodiscard]] instant now() const { return now_; }

    policy policy_ = [](call_kind, int) { return carried_out; };
    /// Whether hold calls are answered at the end of their wait.
    bool do_holds_wait_ = false;
    std::vector<owner_event> events_;
    std::map<call_kind, int> calls_;
    /// The committed state.
    pool_fixture pool_{2, 2};
    duration commit_time_ = std::chrono::milliseconds(20);
    /// Commands that were committed, by kind.
    std::map<std::size_t, int> committed_;

  private:
    /// One more than the changes of the owner in any test.
    static constexpr int replica_count = 6;
    static constexpr duration tick_interval = std::chrono::milliseconds(10);
    static constexpr duration run_time = std::chrono::seconds(60);
    static constexpr duration announcement_interval =
        std::chrono::milliseconds(1500);

    struct replica
    {
        void begin(std::uint64_t term, instant now)
        {
            term_ = term;
            owner_.begin(term, now);
        }

        pool_state state_;
        pool_owner owner_{state_, owner_timing{}};
        std::uint64_t term_ = 0;
        bool is_replaced_ = false;
        instant ends_at_{};
    };

    static call_kind kind_of(const worker_call& call)
    {
        return std::visit(
            overloaded{[](const start_call&) { return call_kind::start; },
                       [](const stop_call&) { return call_kind::stop; },
                       [](const hold_call&) { return call_kind::hold; }},
            call.operation_);
    }

    [[nodiscard]] bool is_gone(const worker_name& worker) const
    {
        return is_gone_ && worker == pool_fixture::name_of(0);
    }

    void add_replica()
    {
        replicas_.push_back(std::make_unique<replica>());
        replica& added = *replicas_.back();
        added.state_.restore(pool_.state_.snapshot());
        added.owner_.observe_contacts(now_);
    }

    replica* find_owner(std::uint64_t term)
    {
        for (auto& item : replicas_) {
            if (item->term_ == term)
                return item.get();
        }
        return nullptr;
    }

    void step()
    {
        now_ += tick_interval;
        auto due = std::exchange(pending_, {});
        for (auto& [at, action] : due) {
            if (at <= now_)
                action();
            else
                pending_.emplace_back(at, std::move(action));
        }
        advance_workers();
        std::erase_if(replicas_, [this](const auto& item) {
            return item->is_replaced_ && item->ends_at_ <= now_;
        });
        for (std::size_t i = 0; i < replicas_.size(); ++i)
            tick(*replicas_[i]);
    }

    void advance_workers()
    {
        bool is_announcing = now_ >= announced_at_ + announcement_interval;
        std::map<task_ref, int> runs;
        for (auto& [name, worker] : workers_) {
            worker.advance(now_);
            for (const auto& item : worker.running_) {
                INFO(to_text(item.first));
                REQUIRE(++runs[item.first.task_] == 1);
            }
            bool is_silent = is_gone(name);
            for (auto& item : replicas_) {
                if (is_announcing && !is_silent)
                    item->owner_.record_announcement(
                        name, 1, worker.clock_ms(now_), now_);
            }
        }
        if (is_announcing)
            announced_at_ = now_;
    }

    void tick(replica& owner)
    {
        owner.owner_.tick(now_, 0);
        owner_output output = owner.owner_.take_output();
        events_.insert(events_.end(), output.events_.begin(),
                       output.events_.end());
        for (const worker_call& call : output.calls_)
            send(owner.term_, call);
        if (!owner.is_replaced_)
            after(commit_time_,
                  [this, term = owner.term_, output] { commit(term, output); });
    }

    void after(duration delay, std::function<void()> action)
    {
        pending_.emplace_back(now_ + delay, std::move(action));
    }

    void commit(std::uint64_t term, const owner_output& output)
    {
        replica* owner = find_owner(term);
        if (owner == nullptr || owner->is_replaced_)
            return;
        pool_batch batch = output.observations_;
        batch.insert(batch.end(), output.starts_.begin(), output.starts_.end());
        for (const pool_command& item : batch) {
            ++committed_[item.index()];
            pool_.state_.apply(item);
        }
        for (auto& member : replicas_) {
            if (member->is_replaced_)
                continue;
            for (const pool_command& item : batch)
                member->state_.apply(item);
            member->owner_.state_changed();
            member->owner_.observe_contacts(now_);
        }
        if (!output.observations_.empty())
            owner->owner_.proposal_settled(output.proposal_, now_);
        if (!output.starts_.empty())
            owner->owner_.starts_resolved();
    }

    void send(std::uint64_t term, const worker_call& call)
    {
        call_fate fate = carried_out;
        if (call.worker_ == pool_fixture::name_of(0)) {
            int number = calls_[kind_of(call)]++;
            fate = policy_(kind_of(call), number);
        }
        auto report = [this, term, id = call.id_](const call_result& result) {
            if (replica* owner = find_owner(term))
                owner->owner_.handle_result(id, result, now_);
        };
        if (fate.carried_out_after_)
            after(*fate.carried_out_after_,
                  [this, call] { (void)execute(call); });
        if (fate.is_connection_refused_) {
            after(fate.answer_delay_, [report] {
                report(call_lost{true, true, true, false});
            });
        } else if (!fate.is_answered_) {
            after(call.timeout_, [report] { report(call_lost{}); });
        } else {
            duration wait = wait_of(call);
            if (wait > duration::zero() && !fate.refusal_)
                after(fate.answer_delay_,
                      [this, call] { (void)execute(call); });
            after(fate.answer_delay_ + wait, [this, call, fate, report] {
                if (is_gone(call.worker_)) {
                    report(call_lost{false, true, false, true});
                    return;
                }
                call_answer answer;
                answer.incarnation_ = 1;
                if (fate.refusal_) {
                    answer.verdict_ = *fate.refusal_;
                    answer.is_complete_ = false;
                } else {
                    answer = execute(call);
                }
                report(answer);
            });
        }
    }

    [[nodiscard]] duration wait_of(const worker_call& call) const
    {
        const auto* hold = std::get_if<hold_call>(&call.operation_);
        return hold != nullptr && do_holds_wait_ ? hold->wait_
                                                 : duration::zero();
    }

    call_answer execute(const worker_call& call)
    {
        return workers_.at(call.worker_)
            .execute(call, pool_fixture::make_step(1, 1, false), run_time,
                     false, now_);
    }

    instant now_{std::chrono::hours(1)};
    instant announced_at_{};
    bool is_gone_ = false;
    job_id id_;
    std::uint64_t term_ = 0;
    std::map<worker_name, fake_worker> workers_;
    /// The owner comes first, then those that will follow it.
    std::vector<std::unique_ptr<replica>> replicas_;
    std::vector<std::pair<instant, std::function<void()>>> pending_;
};

} // namespace dandelioncrank::pool
