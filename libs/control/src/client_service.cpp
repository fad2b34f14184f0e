#include "client_service.hpp"

#include "dandelioncrank/control/membership_planner.hpp"

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

// Retry-After of calls that arrive before the first configuration.
constexpr duration unconfigured_retry_after = 1s;
// Retry-After of jobs that do not fit into the memory for the state: room comes
// as jobs end.
constexpr duration no_room_retry_after = 10s;

client_response make_response(client_call_outcome outcome)
{
    client_response response;
    response.outcome_ = outcome;
    return response;
}

client_response response_of(pool::pool_reply reply)
{
    switch (reply) {
    case pool::pool_reply::applied:
    case pool::pool_reply::unchanged:
        break;
    case pool::pool_reply::rejected:
        return make_response(client_call_outcome::unknown_job);
    case pool::pool_reply::unknown_route:
        return make_response(client_call_outcome::unknown_route);
    case pool::pool_reply::unknown_key:
        return make_response(client_call_outcome::unknown_key);
    case pool::pool_reply::no_room: {
        client_response response =
            make_response(client_call_outcome::unavailable);
        response.fault_ = "the state has no room for the job";
        response.retry_after_ = no_room_retry_after;
        return response;
    }
    }
    return make_response(client_call_outcome::done);
}

} // namespace

void client_service::serve(const client_call& call,
                           response_handler on_response)
{
    if (!replica_.is_leader()) {
        client_response response;
        response.outcome_ = client_call_outcome::not_leader;
        voter_name leader = replica_.status().leader_;
        if (!leader.empty())
            response.leader_ = address_of(leader);
        on_response(response);
        return;
    }
    group_.read_barrier(
        [this, item = pending_call{call, std::move(on_response)}](
            bool granted) mutable {
            if (granted)
                handle_confirmed(std::move(item));
            else
                respond(item, client_call_outcome::not_leader);
        });
}

// Read barriers complete in the order of the calls, so each pending change
// arrived before this call. A call that changes nothing is decided right after
// the last pending change: decided now, it would see an older configuration
// than that change; decided later, a newer one than changes that arrive after
// it.
void client_service::handle_confirmed(pending_call item)
{
    decision decided = decide(item.call_);
    bool is_change = std::holds_alternative<pool::pool_command>(decided);
    if (is_change || pending_changes_.empty())
        execute(std::move(item), std::move(decided));
    else
        pending_changes_.rbegin()->second.deferred_.push_back(std::move(item));
}

void client_service::execute(pending_call item, decision decided)
{
    record_state(item);
    if (auto* command = std::get_if<pool::pool_command>(&decided))
        propose_change(std::move(item), std::move(*command));
    else
        respond(item, std::get<client_response>(std::move(decided)));
}

void client_service::record_state(pending_call& item) const
{
    item.config_version_ = state().config().version_;
    item.applied_ = replica_.applied();
}

client_service::decision client_service::decide(const client_call& call) const
{
    const pool::pool_config& config = state().config();
    if (config.version_ == 0) {
        client_response response =
            make_response(client_call_outcome::unavailable);
        response.retry_after_ = unconfigured_retry_after;
        return response;
    }
    if (is_stored_by_earlier_attempt(call))
        return make_response(client_call_outcome::done);
    pool::access_decision access = config.authorize(call.access_);
    switch (access.verdict_) {
    case pool::access_verdict::unknown_route:
        return make_response(client_call_outcome::unknown_route);
    case pool::access_verdict::unknown_key:
        return make_response(client_call_outcome::unknown_key);
    case pool::access_verdict::granted:
        break;
    }
    switch (call.verb_) {
    case client_verb::count_waiting:
        return count_waiting(call, *access.route_);
    case client_verb::submit:
        return decide_submit(call, *access.route_);
    case client_verb::show:
    case client_verb::cancel:
        break;
    }
    return decide_for_job(call, *access.route_);
}

// A job stored by an earlier attempt of this call counts even if the key has
// been removed since. A job stored by another call says nothing about this one:
// clients resubmit accepted jobs.
bool client_service::is_stored_by_earlier_attempt(const client_call& call) const
{
    if (!call.may_have_executed_ || !call.spec_)
        return false;
    const pool::job_record* job = state().find_job(call.spec_->id_);
    return job != nullptr && job->accepted_by_ == call.request_id_;
}

client_response
client_service::count_waiting(const client_call& call,
                              const pool::queue_route& route) const
{
    bool is_queue = call.access_.path_ == route.prefix_;
    client_response response =
        make_response(is_queue ? client_call_outcome::done
                               : client_call_outcome::unknown_job);
    response.waiting_jobs_ = state().waiting_jobs(route);
    return response;
}

client_service::decision
client_service::decide_submit(const client_call& call,
                              const pool::queue_route& route) const
{
    if (!call.spec_) {
        client_response response = make_response(client_call_outcome::invalid);
        response.fault_ = call.fault_;
        return response;
    }
    if (state().find_job(call.spec_->id_) != nullptr)
        return make_response(client_call_outcome::done);
    if (route.is_below(call.access_.path_, call.spec_->id_))
        return make_response(client_call_outcome::unknown_route);
    // It would not fit into an empty state either.
    if (pool::initial_weight_of(*call.spec_) > weight_limit_) {
        client_response response = make_response(client_call_outcome::invalid);
        response.fault_ = "the job is larger than the memory for the state; "
                          "submit it as several jobs";
        return response;
    }
    return pool::accept_job{*call.spec_, call.access_, wall_milliseconds(),
                            call.request_id_, weight_limit_};
}

client_service::decision
client_service::decide_for_job(const client_call& call,
                               const pool::queue_route& route) const
{
    const pool::job_record* job = state().find_job_at(call.access_, route);
    if (job == nullptr)
        return make_response(client_call_outcome::unknown_job);
    if (call.verb_ == client_verb::cancel)
        return pool::cancel_job{job->spec_.id_, call.access_};
    client_response response = make_response(client_call_outcome::done);
    response.has_started_ = job->has_started_;
    response.phase_ = job->phase_;
    return response;
}

// A configuration may be committed between this decision and the command's
// position in the log, so the response is the command's result there.
void client_service::propose_change(pending_call item,
                                    pool::pool_command command)
{
    std::uint64_t number = next_change_++;
    pending_changes_[number].call_ = std::move(item);
    group_.enqueue(std::move(command), [this, number](commit_result end,
                                                      pool::pool_reply reply) {
        if (auto found = pending_changes_.extract(number))
            complete_change(std::move(found.mapped()), end, reply);
    });
}

void client_service::complete_change(pending_change change, commit_result end,
                                     pool::pool_reply reply)
{
    switch (end) {
    case commit_result::committed:
        record_state(change.call_);
        if (reply == pool::pool_reply::no_room)
            metrics_.count("jobs_refused_for_room");
        respond(change.call_, response_of(reply));
        break;
    case commit_result::rejected:
        respond(change.call_, client_call_outcome::not_leader);
        break;
    case commit_result::unknown:
        respond(change.call_, client_call_outcome::unsure);
        break;
    }
    for (pending_call& call : change.deferred_) {
        if (end != commit_result::committed) {
            respond(call, client_call_outcome::not_leader);
            continue;
        }
        decision decided = decide(call.call_);
        execute(std::move(call), std::move(decided));
    }
}

void client_service::end_leadership()
{
    auto interrupted = std::exchange(pending_changes_, {});
    for (auto& [number, change] : interrupted)
        complete_change(std::move(change), commit_result::unknown,
                        pool::pool_reply::rejected);
}

void client_service::respond(const pending_call& item,
                             client_call_outcome outcome)
{
    respond(item, make_response(outcome));
}

void client_service::respond(const pending_call& item, client_response response)
{
    metrics_.count("client_calls_" + to_text(item.call_.verb_));
    if (response.outcome_ != client_call_outcome::not_leader)
        response.config_version_ = item.config_version_;
    log_response(item, response);
    item.on_response_(response);
}

void client_service::log_response(const pending_call& item,
                                  const client_response& response)
{
    const client_call& call = item.call_;
    bool is_write =
        call.verb_ == client_verb::submit || call.verb_ == client_verb::cancel;
    if (!is_write && response.outcome_ == client_call_outcome::done)
        return;
    const pool::job_record* stored_job =
        call.spec_ ? state().find_job(call.spec_->id_) : nullptr;
    log_.event(
        "Client call answered: " + to_text(response.outcome_) + ".",
        {{"request", call.request_id_},
         {"verb", to_text(call.verb_)},
         {"path", call.access_.path_},
         {"attempt", std::to_string(call.attempt_)},
         {"repeat", call.may_have_executed_ ? "yes" : "no"},
         {"config", std::to_string(item.config_version_)},
         {"applied", std::to_string(item.applied_)},
         {"term", std::to_string(replica_.status().term_)},
         {"stored_by", stored_job != nullptr ? stored_job->accepted_by_ : ""},
         {"fault", response.fault_}});
}

} // namespace dandelioncrank::control
