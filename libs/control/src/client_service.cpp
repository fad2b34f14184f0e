#include "client_service.hpp"

#include "dandelioncrank/control/member_planner.hpp"

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

// When a client should come back that came before the first configuration.
constexpr duration retry_time = 1s;

client_answer make_answer(client_outcome_kind kind)
{
    client_answer answer;
    answer.kind_ = kind;
    return answer;
}

client_outcome_kind outcome_of(pool::pool_reply reply)
{
    switch (reply) {
    case pool::pool_reply::applied:
    case pool::pool_reply::unchanged:
        break;
    case pool::pool_reply::rejected:
        return client_outcome_kind::unknown_job;
    case pool::pool_reply::unknown_route:
        return client_outcome_kind::unknown_route;
    case pool::pool_reply::unknown_key:
        return client_outcome_kind::unknown_key;
    }
    return client_outcome_kind::done;
}

} // namespace

void client_service::serve(const client_call& call, answer_handler on_answer)
{
    if (!replica_.is_leader()) {
        client_answer answer;
        answer.kind_ = client_outcome_kind::not_leader;
        voter_name leader = replica_.status().leader_;
        if (!leader.empty())
            answer.leader_ = address_of(leader);
        on_answer(answer);
        return;
    }
    group_.confirm([this, item = open_call{call, std::move(on_answer)}](
                       bool granted) mutable {
        if (granted)
            settle(std::move(item));
        else
            finish(item, client_outcome_kind::not_leader);
    });
}

// Calls are granted in the order in which they came, so each change that is
// still on its way came before this call. A call that changes nothing is
// decided right behind the last of them: now it would be decided by an older
// configuration than the change, and any later by a newer one than changes
// that come after it.
void client_service::settle(open_call item)
{
    decision said = decide(item.call_);
    bool is_change = std::holds_alternative<pool::pool_command>(said);
    if (is_change || changes_.empty())
        carry_out(std::move(item), std::move(said));
    else
        changes_.rbegin()->second.behind_.push_back(std::move(item));
}

void client_service::carry_out(open_call item, decision said)
{
    note_state(item);
    if (auto* command = std::get_if<pool::pool_command>(&said))
        change(std::move(item), std::move(*command));
    else
        finish(item, std::get<client_answer>(std::move(said)));
}

void client_service::note_state(open_call& item) const
{
    item.config_version_ = state().config().version_;
    item.applied_ = replica_.applied();
}

client_service::decision client_service::decide(const client_call& call) const
{
    const pool::pool_config& config = state().config();
    if (config.version_ == 0) {
        client_answer answer = make_answer(client_outcome_kind::unavailable);
        answer.retry_after_ = retry_time;
        return answer;
    }
    if (is_stored_by(call))
        return make_answer(client_outcome_kind::done);
    pool::access_decision access = config.authorize(call.access_);
    switch (access.verdict_) {
    case pool::access_verdict::unknown_route:
        return make_answer(client_outcome_kind::unknown_route);
    case pool::access_verdict::unknown_key:
        return make_answer(client_outcome_kind::unknown_key);
    case pool::access_verdict::granted:
        break;
    }
    switch (call.verb_) {
    case client_verb::count_waiting:
        return count_waiting(call, *access.route_);
    case client_verb::submit:
        return decide_submit(call);
    case client_verb::show:
    case client_verb::cancel:
        break;
    }
    return decide_for_job(call, *access.route_);
}

// An earlier attempt of this call counts, even if its key is gone by now. A
// job that another call has stored says nothing about this one: clients send
// accepted jobs again.
bool client_service::is_stored_by(const client_call& call) const
{
    if (!call.is_repeat_ || !call.order_)
        return false;
    const pool::job_record* job = state().find_job(call.order_->id_);
    return job != nullptr && job->accepted_by_ == call.request_;
}

client_answer
client_service::count_waiting(const client_call& call,
                              const pool::queue_route& route) const
{
    bool is_queue = call.access_.path_ == route.prefix_;
    client_answer answer =
        make_answer(is_queue ? client_outcome_kind::done
                             : client_outcome_kind::unknown_job);
    answer.waiting_jobs_ = state().waiting_jobs(route.policy_.name_);
    return answer;
}

client_service::decision
client_service::decide_submit(const client_call& call) const
{
    if (!call.order_) {
        client_answer answer = make_answer(client_outcome_kind::invalid);
        answer.fault_ = call.fault_;
        return answer;
    }
    if (state().find_job(call.order_->id_) != nullptr)
        return make_answer(client_outcome_kind::done);
    return pool::accept_job{*call.order_, call.access_, wall_milliseconds(),
                            call.request_};
}

client_service::decision
client_service::decide_for_job(const client_call& call,
                               const pool::queue_route& route) const
{
    job_id id(call.access_.path_.substr(route.prefix_.size()));
    const pool::job_record* job = state().find_job(id);
    if (job == nullptr || job->queue_.name_ != route.policy_.name_)
        return make_answer(client_outcome_kind::unknown_job);
    if (call.verb_ == client_verb::cancel)
        return pool::cancel_job{id, call.access_};
    client_answer answer = make_answer(client_outcome_kind::done);
    answer.has_begun_ = job->has_started_;
    answer.phase_ = job->phase_;
    return answer;
}

// A configuration may come between this turn and the command's place in the
// log, so the answer is what the command gave there.
void client_service::change(open_call item, pool::pool_command command)
{
    std::uint64_t number = next_change_++;
    changes_[number].call_ = std::move(item);
    group_.enqueue(std::move(command),
                   [this, number](proposal_end end, pool::pool_reply reply) {
                       if (auto found = changes_.extract(number))
                           end_change(std::move(found.mapped()), end, reply);
                   });
}

void client_service::end_change(open_change change, proposal_end end,
                                pool::pool_reply reply)
{
    switch (end) {
    case proposal_end::committed:
        note_state(change.call_);
        finish(change.call_, outcome_of(reply));
        break;
    case proposal_end::not_taken:
        finish(change.call_, client_outcome_kind::not_leader);
        break;
    case proposal_end::unsure:
        finish(change.call_, client_outcome_kind::unsure);
        break;
    }
    for (open_call& call : change.behind_) {
        if (end != proposal_end::committed) {
            finish(call, client_outcome_kind::not_leader);
            continue;
        }
        decision said = decide(call.call_);
        carry_out(std::move(call), std::move(said));
    }
}

void client_service::end_leadership()
{
    auto open = std::exchange(changes_, {});
    for (auto& [number, change] : open)
        end_change(std::move(change), proposal_end::unsure,
                   pool::pool_reply::rejected);
}

void client_service::finish(const open_call& item, client_outcome_kind kind)
{
    finish(item, make_answer(kind));
}

void client_service::finish(const open_call& item, client_answer answer)
{
    metrics_.count("client_calls_" + to_text(item.call_.verb_));
    if (answer.kind_ != client_outcome_kind::not_leader)
        answer.config_version_ = item.config_version_;
    log_answer(item, answer);
    item.on_answer_(answer);
}

void client_service::log_answer(const open_call& item,
                                const client_answer& answer)
{
    const client_call& call = item.call_;
    bool changes =
        call.verb_ == client_verb::submit || call.verb_ == client_verb::cancel;
    if (!changes && answer.kind_ == client_outcome_kind::done)
        return;
    const pool::job_record* known =
        call.order_ ? state().find_job(call.order_->id_) : nullptr;
    log_.event("Client call " + to_text(answer.kind_) + ".",
               {{"request", call.request_},
                {"verb", to_text(call.verb_)},
                {"path", call.access_.path_},
                {"attempt", std::to_string(call.attempt_)},
                {"repeat", call.is_repeat_ ? "yes" : "no"},
                {"config", std::to_string(item.config_version_)},
                {"applied", std::to_string(item.applied_)},
                {"term", std::to_string(replica_.status().term_)},
                {"stored_by", known != nullptr ? known->accepted_by_ : ""},
                {"fault", answer.fault_}});
}

} // namespace dandelioncrank::control
