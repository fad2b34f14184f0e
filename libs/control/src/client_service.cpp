#include "client_service.hpp"

#include "dandelioncrank/control/member_planner.hpp"

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

// When a client should come back that came before the first configuration.
constexpr duration retry_time = 1s;

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
        if (granted)
            serve_confirmed(call, on_answer);
        else
            finish(call, client_outcome_kind::not_leader, on_answer);
    });
}

void client_service::serve_confirmed(const client_call& call,
                                     const answer_handler& on_answer)
{
    const pool::pool_config& config = state().config();
    if (config.version_ == 0) {
        client_answer answer;
        answer.kind_ = client_outcome_kind::unavailable;
        answer.retry_after_ = retry_time;
        finish(call, answer, on_answer);
        return;
    }
    // The first attempt of a submit counts, even if its key is gone by now.
    bool was_stored = call.is_repeat_ && call.order_ &&
                      state().find_job(call.order_->id_) != nullptr;
    if (was_stored) {
        finish(call, client_outcome_kind::done, on_answer);
        return;
    }
    const pool::queue_route* route = config.find_route(call.host_, call.path_);
    if (route == nullptr)
        finish(call, client_outcome_kind::unknown_route, on_answer);
    else if (!route->is_public_ && !config.find_team(call.key_))
        finish(call, client_outcome_kind::unknown_key, on_answer);
    else
        serve_routed(call, *route, on_answer);
}

void client_service::serve_routed(const client_call& call,
                                  const pool::queue_route& route,
                                  const answer_handler& on_answer)
{
    client_answer answer;
    answer.kind_ = client_outcome_kind::done;
    if (call.verb_ == client_verb::count_waiting) {
        if (call.path_ != route.prefix_)
            answer.kind_ = client_outcome_kind::unknown_job;
        answer.waiting_jobs_ = state().waiting_jobs(route.policy_.name_);
        finish(call, answer, on_answer);
        return;
    }
    if (call.verb_ == client_verb::submit) {
        submit(call, route, on_answer);
        return;
    }
    job_id id(call.path_.substr(route.prefix_.size()));
    const pool::job_record* job = state().find_job(id);
    if (job == nullptr || job->queue_.name_ != route.policy_.name_) {
        finish(call, client_outcome_kind::unknown_job, on_answer);
        return;
    }
    if (call.verb_ == client_verb::cancel) {
        cancel(call, id, on_answer);
        return;
    }
    answer.has_begun_ = job->has_begun_;
    answer.phase_ = job->phase_;
    finish(call, answer, on_answer);
}

void client_service::submit(const client_call& call,
                            const pool::queue_route& route,
                            const answer_handler& on_answer)
{
    if (!call.order_) {
        client_answer answer;
        answer.kind_ = client_outcome_kind::invalid;
        answer.fault_ = call.fault_;
        finish(call, answer, on_answer);
        return;
    }
    if (state().find_job(call.order_->id_) != nullptr) {
        finish(call, client_outcome_kind::done, on_answer);
        return;
    }
    team_name team =
        state().config().find_team(call.key_).value_or(team_name());
    pool::accept_job command{*call.order_, route.policy_, team,
                             wall_milliseconds()};
    group_.enqueue(std::move(command),
                   [this, call, on_answer](proposal_end end, pool::pool_reply) {
                       auto kind = client_outcome_kind::done;
                       if (end == proposal_end::not_taken)
                           kind = client_outcome_kind::not_leader;
                       else if (end == proposal_end::unsure)
                           kind = client_outcome_kind::unsure;
                       finish(call, kind, on_answer);
                   });
}

void client_service::cancel(const client_call& call, const job_id& id,
                            const answer_handler& on_answer)
{
    group_.enqueue(pool::cancel_job{id},
                   [this, call, on_answer](proposal_end end, pool::pool_reply) {
                       bool committed = end == proposal_end::committed;
                       finish(call,
                              committed ? client_outcome_kind::done
                                        : client_outcome_kind::unsure,
                              on_answer);
                   });
}

void client_service::finish(const client_call& call, client_outcome_kind kind,
                            const answer_handler& on_answer)
{
    client_answer answer;
    answer.kind_ = kind;
    finish(call, answer, on_answer);
}

void client_service::finish(const client_call& call,
                            const client_answer& answer,
                            const answer_handler& on_answer)
{
    metrics_.count("client_calls_" + to_text(call.verb_));
    bool changes =
        call.verb_ == client_verb::submit || call.verb_ == client_verb::cancel;
    if (changes || answer.kind_ != client_outcome_kind::done)
        log_.event("Client call " + to_text(answer.kind_) + ".",
                   {{"request", call.request_},
                    {"verb", to_text(call.verb_)},
                    {"path", call.path_},
                    {"config", std::to_string(state().config().version_)},
                    {"term", std::to_string(replica_.status().term_)},
                    {"applied", std::to_string(replica_.applied())},
                    {"fault", answer.fault_}});
    on_answer(answer);
}

} // namespace dandelioncrank::control
