#include "client_service.hpp"

#include "dandelioncrank/control/member_planner.hpp"

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

// When a client should come back that came before the first configuration.
constexpr duration retry_time = 1s;

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
    group_.confirm([this, call, on_answer](bool granted) {
        open_call item{call, on_answer, state().config().version_,
                       replica_.applied()};
        if (granted)
            serve_confirmed(item);
        else
            finish(item, client_outcome_kind::not_leader);
    });
}

void client_service::serve_confirmed(const open_call& item)
{
    const client_call& call = item.call_;
    const pool::pool_config& config = state().config();
    if (config.version_ == 0) {
        client_answer answer;
        answer.kind_ = client_outcome_kind::unavailable;
        answer.retry_after_ = retry_time;
        finish(item, answer);
        return;
    }
    if (is_stored_by(call)) {
        finish(item, client_outcome_kind::done);
        return;
    }
    pool::access_decision access = config.decide(call.access_);
    if (access.verdict_ == pool::access_verdict::unknown_route)
        finish(item, client_outcome_kind::unknown_route);
    else if (access.verdict_ == pool::access_verdict::unknown_key)
        finish(item, client_outcome_kind::unknown_key);
    else
        serve_routed(item, *access.route_);
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

void client_service::serve_routed(const open_call& item,
                                  const pool::queue_route& route)
{
    const client_call& call = item.call_;
    client_answer answer;
    answer.kind_ = client_outcome_kind::done;
    if (call.verb_ == client_verb::count_waiting) {
        if (call.access_.path_ != route.prefix_)
            answer.kind_ = client_outcome_kind::unknown_job;
        answer.waiting_jobs_ = state().waiting_jobs(route.policy_.name_);
        finish(item, answer);
        return;
    }
    if (call.verb_ == client_verb::submit) {
        submit(item);
        return;
    }
    job_id id(call.access_.path_.substr(route.prefix_.size()));
    const pool::job_record* job = state().find_job(id);
    if (job == nullptr || job->queue_.name_ != route.policy_.name_) {
        finish(item, client_outcome_kind::unknown_job);
        return;
    }
    if (call.verb_ == client_verb::cancel) {
        change(item, pool::cancel_job{id, call.access_});
        return;
    }
    answer.has_begun_ = job->has_begun_;
    answer.phase_ = job->phase_;
    finish(item, answer);
}

void client_service::submit(const open_call& item)
{
    const client_call& call = item.call_;
    if (!call.order_) {
        client_answer answer;
        answer.kind_ = client_outcome_kind::invalid;
        answer.fault_ = call.fault_;
        finish(item, answer);
        return;
    }
    if (state().find_job(call.order_->id_) != nullptr) {
        finish(item, client_outcome_kind::done);
        return;
    }
    change(item, pool::accept_job{*call.order_, call.access_,
                                  wall_milliseconds(), call.request_});
}

// A configuration may come between this turn and the command's place in the
// log, so the answer is what the command gave there.
void client_service::change(open_call item, pool::pool_command command)
{
    group_.enqueue(std::move(command),
                   [this, item = std::move(item)](
                       proposal_end end, pool::pool_reply reply) mutable {
                       switch (end) {
                       case proposal_end::committed:
                           item.config_version_ = state().config().version_;
                           finish(item, outcome_of(reply));
                           return;
                       case proposal_end::not_taken:
                           finish(item, client_outcome_kind::not_leader);
                           return;
                       case proposal_end::unsure:
                           finish(item, client_outcome_kind::unsure);
                           return;
                       }
                   });
}

void client_service::finish(const open_call& item, client_outcome_kind kind)
{
    client_answer answer;
    answer.kind_ = kind;
    finish(item, answer);
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
    std::uint64_t version_now = state().config().version_;
    bool changes =
        call.verb_ == client_verb::submit || call.verb_ == client_verb::cancel;
    if (changes && version_now != item.config_version_)
        metrics_.count("client_calls_overtaken_by_config");
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
                {"decided_by_config", std::to_string(item.config_version_)},
                {"decided_at", std::to_string(item.applied_)},
                {"config", std::to_string(version_now)},
                {"term", std::to_string(replica_.status().term_)},
                {"applied", std::to_string(replica_.applied())},
                {"stored_by", known != nullptr ? known->accepted_by_ : ""},
                {"fault", answer.fault_}});
}

} // namespace dandelioncrank::control
