#pragma once

#include "dandelioncrank/pool/pool_owner.hpp"
#include "pool_fixture.hpp"

namespace dandelioncrank::pool {

/// An owner with one worker, whose calls are answered by the test.
class owner_fixture : public pool_fixture
{
  public:
    explicit owner_fixture(const owner_timing& timing = {})
        : pool_fixture(1), owner_(state_, timing)
    {
        owner_.begin(1, now_);
        owner_.record_announcement(name_of(0), 1, clock(), now_);
    }

    std::int64_t clock() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   now_.time_since_epoch())
            .count();
    }

    /// Advances the time, commits the proposals of the owner, and returns its
    /// calls.
    std::vector<worker_call> advance(duration time)
    {
        now_ += time;
        owner_.tick(now_, 0);
        owner_output output = owner_.take_output();
        commit(output);
        return output.calls_;
    }

    void commit(const owner_output& output)
    {
        for (const pool_command& item : output.observations_)
            state_.apply(item);
        for (const pool_command& item : output.starts_)
            state_.apply(item);
        if (!output.observations_.empty())
            owner_.proposal_settled(output.proposal_, now_);
        if (!output.starts_.empty())
            owner_.starts_resolved();
        owner_.state_changed();
    }

    void answer(const worker_call& call, call_answer reply = {})
    {
        reply.clock_ms_ = clock();
        if (reply.incarnation_ == 0)
            reply.incarnation_ = 1;
        owner_.handle_result(call.id_, reply, now_);
    }

    /// Submits a job of one task and confirms its start. Returns the hold call
    /// sent along with it, which is still open.
    worker_call start_run_on_worker(const step_spec& step)
    {
        submit("a", {step});
        advance(std::chrono::milliseconds(10));
        std::vector<worker_call> calls = advance(std::chrono::milliseconds(10));
        answer(filter<start_call>(calls).at(0));
        return filter<hold_call>(calls).at(0);
    }

    void drop(const worker_call& call)
    {
        owner_.handle_result(call.id_, call_lost{false}, now_);
    }

    template <class Call>
    static std::vector<worker_call>
    filter(const std::vector<worker_call>& calls)
    {
        std::vector<worker_call> result;
        for (const worker_call& call : calls) {
            if (std::holds_alternative<Call>(call.operation_))
                result.push_back(call);
        }
        return result;
    }

    instant now_{std::chrono::hours(1)};
    pool_owner owner_;
};

} // namespace dandelioncrank::pool
