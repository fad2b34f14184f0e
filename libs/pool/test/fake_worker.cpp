#include "fake_worker.hpp"

#include "dandelioncrank/core/overloaded.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

constexpr duration stop_time = 200ms;
constexpr std::int64_t longest_lease_ms = 6000;

int progress_percent(const fake_worker::active_run& run, instant now)
{
    duration total = run.ends_at_ - run.started_at_;
    duration done = std::min(now - run.started_at_, total);
    return total > duration::zero() ? static_cast<int>(done * 100 / total) : 0;
}

} // namespace

fake_worker::fake_worker(worker_info info, instant now)
    : info_(std::move(info)), started_at_(now)
{
}

std::int64_t fake_worker::clock_ms(instant now) const
{
    // 2 % slow, the maximum allowed drift.
    auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - started_at_);
    return passed.count() * 98 / 100;
}

void fake_worker::restart(instant now)
{
    running_.clear();
    ended_.clear();
    blocked_.clear();
    token_ = 0;
    next_end_ = 1;
    lease_until_ms_ = 0;
    started_at_ = now;
    ++info_.incarnation_;
    info_.is_draining_ = false;
}

void fake_worker::finish(const run_ref& run, run_outcome outcome)
{
    std::uint32_t& blocked = blocked_[run.task_];
    blocked = std::max(blocked, run.run_);
    ended_.push_back({next_end_++, run, outcome, {}});
    running_.erase(run);
}

void fake_worker::advance(instant now)
{
    std::vector<std::pair<run_ref, run_outcome>> ended;
    for (const auto& [run, item] : running_) {
        if (item.ends_at_ <= now)
            ended.emplace_back(run, item.outcome_);
        else if (clock_ms(now) > lease_until_ms_)
            ended.emplace_back(run, run_outcome::lapsed);
    }
    for (const auto& [run, outcome] : ended)
        finish(run, outcome);
}

void fake_worker::extend_lease(std::int64_t until_ms, instant now)
{
    std::int64_t max_until_ms = clock_ms(now) + longest_lease_ms;
    lease_until_ms_ =
        std::max(lease_until_ms_, std::min(until_ms, max_until_ms));
}

call_answer fake_worker::start(const start_call& request, const step_spec& spec,
                               duration run_time, bool fails, instant now)
{
    call_answer answer;
    if (request.lease_until_ms_ < clock_ms(now)) {
        answer.verdict_ = call_verdict::lease_expired;
        return answer;
    }
    extend_lease(request.lease_until_ms_, now);
    if (running_.contains(request.run_))
        return answer;
    auto blocked = blocked_.find(request.run_.task_);
    if (blocked != blocked_.end() && request.run_.run_ <= blocked->second) {
        answer.verdict_ = call_verdict::outdated;
        return answer;
    }
    resources available = info_.capacity_;
    for (const auto& item : running_)
        available -= item.second.spec_.need_;
    if (guards_capacity_ && !spec.need_.fits_into(available)) {
        answer.verdict_ = call_verdict::no_capacity;
        return answer;
    }
    running_[request.run_] = {request.run_,
                              spec,
                              now,
                              now + run_time,
                              fails ? run_outcome::failed : run_outcome::done,
                              false};
    return answer;
}

call_answer fake_worker::confirm(std::uint64_t fencing_token, instant now)
{
    worker_call call;
    call.worker_ = info_.name_;
    call.fencing_token_ = fencing_token;
    call.operation_ = hold_call{};
    return execute(call, {}, {}, false, now);
}

call_answer fake_worker::execute(const worker_call& call, const step_spec& spec,
                                 duration run_time, bool fails, instant now)
{
    advance(now);
    call_answer answer;
    if (call.worker_ != info_.name_) {
        answer.verdict_ = call_verdict::other_incarnation;
        return answer;
    }
    if (call.fencing_token_ < token_) {
        answer.verdict_ = call_verdict::fenced;
        answer.clock_ms_ = clock_ms(now);
        return answer;
    }
    token_ = call.fencing_token_;
    std::visit(
        overloaded{
            [&](const start_call& request) {
                answer = start(request, spec, run_time, fails, now);
            },
            [&](const stop_call& request) {
                auto found = running_.find(request.run_);
                if (found == running_.end()) {
                    std::uint32_t& blocked = blocked_[request.run_.task_];
                    blocked = std::max(blocked, request.run_.run_);
                } else if (!found->second.is_stopping_) {
                    found->second.is_stopping_ = true;
                    found->second.outcome_ = run_outcome::stopped;
                    found->second.ends_at_ = now + stop_time;
                }
            },
            [&](const hold_call& request) {
                if (request.lease_until_ms_)
                    extend_lease(*request.lease_until_ms_, now);
                std::erase_if(ended_, [&request](const reported_outcome& item) {
                    return item.sequence_ <= request.outcome_cursor_;
                });
                for (const auto& [run, item] : running_)
                    answer.running_.push_back(
                        {run, {}, progress_percent(item, now)});
                answer.ended_ = ended_;
                answer.incarnation_ = info_.incarnation_;
            }},
        call.operation_);
    answer.clock_ms_ = clock_ms(now);
    return answer;
}

} // namespace dandelioncrank::pool
