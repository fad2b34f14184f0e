#include "gateway_loop.hpp"

#include "dandelioncrank/core/overloaded.hpp"
#include "dandelioncrank/core/wire.hpp"

#include <algorithm>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

constexpr int max_attempts = 3;
// For larger responses, only the outcome is stored for replay.
constexpr std::size_t max_stored_response_bytes = 64 * 1024;

http_limits endpoint_limits(const http_limits& limits)
{
    http_limits result = limits;
    result.body_bytes_ = 64 * 1024 * 1024;
    return result;
}

std::string outcome_json(const outcome_record& record)
{
    return "{\"request_id\":\"" + record.id_.str() + "\",\"fate\":\"" +
           to_text(record.request_outcome_) + "\",\"reason\":\"" +
           record.reason_ + "\",\"status\":" + std::to_string(record.status_) +
           "}\n";
}

} // namespace

gateway_loop::gateway_loop(const gateway_options& options, int number,
                           const rcu_routing_table& table,
                           const gateway_hooks& hooks)
    : options_(options), number_(number), table_(table), hooks_(hooks),
      pool_(endpoint_limits(options.limits_)), buffers_(options.buffer_bytes_),
      server_(options.address_, options.limits_,
              [this](http_request request,
                     const std::shared_ptr<responder>& reply) {
                  handle_request(std::move(request), reply);
              })
{
    server_.set_buffer_budget(buffers_);
    // Each loop of a host numbers its slot requests in a separate range.
    last_slot_request_number_ =
        options_.incarnation_ * 1'000'000'000'000ULL +
        static_cast<std::uint64_t>(number) * 10'000'000'000ULL;
    server_.on_error_response_ = [](http_response& response) {
        response.headers_.set("X-Fate", to_text(request_outcome::not_run));
        response.headers_.set("X-Reason", to_text(refusal_reason::bad_request));
    };
}

gateway_loop::~gateway_loop() = default;

gateway_hooks::post gateway_loop::make_post()
{
    std::weak_ptr<bool> alive = alive_;
    mailbox* inbox = &inbox_;
    return [alive, inbox](std::function<void()> work) {
        if (auto keep = alive.lock())
            inbox->post(std::move(work));
    };
}

gateway_loop::active_request* gateway_loop::find(std::uint64_t number)
{
    auto found = active_requests_.find(number);
    return found == active_requests_.end() ? nullptr : found->second.get();
}

void gateway_loop::stop_accepting()
{
    server_.stop_accepting();
}

// --- Incoming requests

void gateway_loop::handle_request(http_request request,
                                  const std::shared_ptr<responder>& reply)
{
    if (auto id = parse_outcome_target(request.target_)) {
        answer_outcome_query(*id, reply);
        return;
    }
    std::string generated_id =
        options_.host_.str() + '-' + std::to_string(options_.incarnation_) +
        '-' + std::to_string(number_) + '-' + std::to_string(++next_number_);
    caller_request_result parsed;
    table_.read([&](const routing_table& table) {
        parsed = parse_caller_request(request, table, generated_id);
    });
    std::visit(
        overloaded{
            [&](caller_request& item) {
                start_request(std::move(item), reply);
            },
            [&](request_refused& item) {
                bool later = item.reason_ == refusal_reason::stopping ||
                             item.reason_ == refusal_reason::dependency_down;
                outcome_record record{item.id_, request_outcome::not_run,
                                      status_of(item.reason_),
                                      to_text(item.reason_)};
                hooks_.record_outcome_(
                    record, {request_outcome::not_run, record.reason_, {}, {}});
                (*reply)(refusal_response(item.id_, item.reason_, item.detail_,
                                          later ? 1s : 0s));
            }},
        parsed);
}

void gateway_loop::answer_outcome_query(const request_id& id,
                                        const std::shared_ptr<responder>& reply)
{
    hooks_.find_outcome_(
        id, make_post(), [reply, id](std::optional<outcome_record> record) {
            if (record) {
                (*reply)(json_response(200, outcome_json(*record)));
                return;
            }
            (*reply)(json_response(404, "{\"reason\":\"no entry host remembers "
                                        "this request\"}\n"));
        });
}

void gateway_loop::start_request(caller_request request,
                                 const std::shared_ptr<responder>& reply)
{
    std::uint64_t number = ++next_number_;
    auto owned = std::make_unique<active_request>();
    active_request& item = *owned;
    item.number_ = number;
    item.request_ = std::move(request);
    item.reply_ = reply;
    item.accepted_at_ = steady_now();
    item.deadline_ = item.accepted_at_ + item.request_.deadline_;
    active_requests_.emplace(number, std::move(owned));
    ++in_flight_;
    reply->on_disconnected_ = [this, number] { handle_disconnect(number); };
    bool needs_claim =
        !item.request_.repeatable_ && !item.request_.idempotency_key_.empty();
    if (!needs_claim) {
        request_slot(item);
        return;
    }
    acquire_claim claim{item.request_.idempotency_key_, item.request_.id_,
                        options_.host_, item.request_.digest_};
    hooks_.claim_(claim, time_left(steady_now(), item.deadline_), make_post(),
                  [this, number, claim](std::optional<claim_result> result) {
                      handle_claim_result(number, claim, result);
                  });
}

// --- Idempotency key claims

void gateway_loop::handle_claim_result(
    std::uint64_t number, const acquire_claim& claim,
    const std::optional<claim_result>& result)
{
    active_request* item = find(number);
    if (item == nullptr) {
        // The caller disconnected before anything was sent. Settling the claim
        // as not run erases it, so that the key can be used again.
        bool own = result && result->outcome_ == claim_outcome::granted;
        if (own)
            hooks_.settle_(
                {claim.key_, claim.request_, request_outcome::not_run, {}});
        return;
    }
    if (!result) {
        refuse(*item, refusal_reason::no_quorum,
               "the claim of the idempotency key could not be recorded", 1s);
        return;
    }
    switch (result->outcome_) {
    case claim_outcome::granted:
        item->claimed_ = true;
        request_slot(*item);
        break;
    case claim_outcome::settled:
        replay(*item, *result);
        break;
    case claim_outcome::open: {
        http_response response = json_response(
            409, "{\"fate\":\"unknown\",\"reason\":\"in-progress\","
                 "\"first_request_id\":\"" +
                     result->request_.str() + "\"}\n");
        response.headers_.set("X-Reason", "in-progress");
        response.headers_.set("Retry-After", "1");
        finish(*item, request_outcome::unknown, "in-progress",
               std::move(response));
        break;
    }
    case claim_outcome::mismatch:
        refuse(*item, refusal_reason::bad_request,
               "the idempotency key belongs to a different request", 0s);
        break;
    }
}

// Repeated requests get the stored response of the first one.
void gateway_loop::replay(active_request& item, const claim_result& result)
{
    http_response response;
    if (result.answer_.isEmpty()) {
        response = json_response(
            result.request_outcome_ == request_outcome::completed ? 200 : 502,
            "{\"fate\":\"" + to_text(result.request_outcome_) +
                "\",\"reason\":\"first-answer-not-kept\"}\n");
    } else {
        response = from_wire<http_response>(result.answer_);
    }
    response.headers_.set("X-Replayed", "yes");
    response.headers_.set("X-First-Request-Id", result.request_.str());
    finish(item, result.request_outcome_, "replayed", std::move(response));
}

// --- Slots

void gateway_loop::request_slot(active_request& item)
{
    ++item.attempt_;
    item.slot_request_id_ = {options_.host_, ++last_slot_request_number_};
    item.slot_request_open_ = true;
    item.requested_at_ = steady_now();
    slot_request_message message;
    message.id_ = item.slot_request_id_;
    message.service_ = item.request_.service_;
    message.team_ = item.request_.team_;
    message.route_ = item.request_.route_;
    message.time_left_ = time_left(item.requested_at_, item.deadline_);
    message.attempt_ = item.attempt_;
    message.excluded_endpoints_ = item.excluded_endpoints_;
    std::uint64_t number = item.number_;
    slot_request_id id = item.slot_request_id_;
    hooks_.request_slot_(message, make_post(),
                         [this, number, id](const slot_decision& decision) {
                             handle_slot_decision(number, id, decision);
                         });
}

void gateway_loop::handle_slot_decision(std::uint64_t number,
                                        const slot_request_id& id,
                                        const slot_decision& decision)
{
    active_request* item = find(number);
    bool current = item != nullptr && item->slot_request_id_ == id;
    const auto* granted = std::get_if<slot_granted>(&decision);
    if (!current) {
        // The caller disconnected before the decision arrived.
        return;
    }
    item->queued_ += steady_now() - item->requested_at_;
    if (granted != nullptr) {
        send(*item, *granted);
        return;
    }
    item->slot_request_open_ = false;
    const auto& refused = std::get<slot_refused>(decision);
    if (item->may_have_run_)
        finish_unknown(*item, item->last_reason_);
    else
        refuse(*item, refused.reason_, {}, refused.retry_after_);
}

void gateway_loop::return_slot(active_request& item, slot_outcome outcome)
{
    if (!item.slot_request_open_)
        return;
    item.slot_request_open_ = false;
    duration run_time = outcome == slot_outcome::unused
                            ? duration::zero()
                            : steady_now() - item.sent_at_;
    hooks_.return_slot_({item.slot_request_id_, outcome, run_time},
                        item.request_.service_);
}

// --- Endpoint communication

void gateway_loop::send(active_request& item, const slot_granted& grant)
{
    duration left = time_left(steady_now(), item.deadline_);
    if (left == duration::zero()) {
        return_slot(item, slot_outcome::unused);
        if (item.may_have_run_)
            finish_unknown(item, "deadline");
        else
            refuse(item, refusal_reason::deadline_passed, {}, 0s);
        return;
    }
    item.endpoint_ = grant.endpoint_;
    item.sent_at_ = steady_now();
    // Connections in excess of the slots are divided among all loops of all
    // hosts.
    int spare = std::max(0, grant.connections_ - grant.slots_);
    int sharing_loops = std::max(1, options_.sharing_hosts_ * options_.loops_);
    item.max_idle_ = static_cast<std::size_t>(spare / sharing_loops);
    http_request forwarded = item.request_.forwarded_;
    auto left_ms = std::chrono::floor<std::chrono::milliseconds>(left);
    forwarded.headers_.set("X-Deadline-Ms", std::to_string(left_ms.count()));
    forwarded.headers_.set("Host", grant.address_.to_text());
    forwarded.headers_.set("X-Attempt", std::to_string(item.attempt_));
    item.connection_ = pool_.acquire(grant.address_, item.request_.repeatable_);
    std::uint64_t number = item.number_;
    item.connection_->send(
        forwarded, left, [this, number](client_outcome outcome) {
            handle_client_outcome(number, std::move(outcome));
        });
}

void gateway_loop::handle_client_outcome(std::uint64_t number,
                                         client_outcome outcome)
{
    active_request* item = find(number);
    if (item == nullptr)
        return;
    pool_.release_connection(std::move(item->connection_), item->max_idle_);
    std::visit(overloaded{[&](request_answered& result) {
                              handle_response(*item,
                                              std::move(result.response_));
                          },
                          [&](const request_not_sent& result) {
                              return_slot(*item, slot_outcome::unreachable);
                              handle_failure(*item, result.reason_, false);
                          },
                          [&](const request_unanswered& result) {
                              return_slot(*item, result.timed_out_
                                                     ? slot_outcome::timed_out
                                                     : slot_outcome::failed);
                              item->timed_out_ = result.timed_out_;
                              handle_failure(*item, result.reason_, true);
                          }},
               outcome);
}

void gateway_loop::handle_response(active_request& item, http_response response)
{
    bool refused = response.headers_.value_or("X-Fate", "") == "not-run";
    if (refused) {
        return_slot(item, slot_outcome::refused);
        item.last_reason_ = "the endpoint refused it";
        item.excluded_endpoints_.push_back(item.endpoint_);
        if (item.request_.repeatable_ && may_retry(item)) {
            request_slot(item);
            return;
        }
        if (item.may_have_run_)
            finish_unknown(item, item.last_reason_);
        else
            refuse(item, refusal_reason::endpoint_refused, {}, 1s);
        return;
    }
    bool failed = response.status_ >= 500;
    return_slot(item, failed ? slot_outcome::failed : slot_outcome::succeeded);
    bool transient = response.status_ == 502 || response.status_ == 503;
    if (transient && item.request_.repeatable_ && may_retry(item)) {
        item.excluded_endpoints_.push_back(item.endpoint_);
        item.may_have_run_ = true;
        item.last_reason_ =
            "the endpoint answered " + std::to_string(response.status_);
        request_slot(item);
        return;
    }
    complete(item, std::move(response));
}

void gateway_loop::handle_failure(active_request& item,
                                  const std::string& reason, bool sent)
{
    item.last_reason_ = reason;
    item.may_have_run_ = item.may_have_run_ || sent;
    item.excluded_endpoints_.push_back(item.endpoint_);
    // A request that was not sent can always be retried; one that was sent only
    // if it is repeatable.
    bool may_repeat = !sent || item.request_.repeatable_;
    if (may_repeat && may_retry(item)) {
        request_slot(item);
        return;
    }
    if (item.may_have_run_)
        finish_unknown(item, reason);
    else
        refuse(item, refusal_reason::no_endpoint,
               "the endpoint could not be reached: " + reason, 1s);
}

bool gateway_loop::may_retry(const active_request& item) const
{
    return item.attempt_ < max_attempts && !item.timed_out_ &&
           steady_now() < item.deadline_;
}

// --- Completion

void gateway_loop::handle_disconnect(std::uint64_t number)
{
    active_request* item = find(number);
    if (item == nullptr)
        return;
    // A request that was sent to an endpoint is allowed to complete, so that
    // its slot is not granted to another request in the meantime.
    if (item->connection_)
        return;
    if (item->slot_request_open_)
        hooks_.withdraw_(item->slot_request_id_, item->request_.service_);
    item->slot_request_open_ = false;
    bool ran = item->may_have_run_;
    finish(*item, ran ? request_outcome::unknown : request_outcome::not_run,
           "caller-gone", {});
}

void gateway_loop::complete(active_request& item, http_response response)
{
    remove_hop_by_hop_headers(response.headers_);
    finish(item, request_outcome::completed, {}, std::move(response));
}

void gateway_loop::refuse(active_request& item, refusal_reason reason,
                          const std::string& detail, duration retry_after)
{
    finish(item, request_outcome::not_run, to_text(reason),
           refusal_response(item.request_.id_, reason, detail, retry_after));
}

void gateway_loop::finish_unknown(active_request& item,
                                  const std::string& reason)
{
    bool late = item.timed_out_ || steady_now() >= item.deadline_;
    http_response response = json_response(
        late ? 504 : 502,
        "{\"fate\":\"unknown\",\"reason\":\"no whole answer came back\"}\n");
    response.headers_.set("X-Reason", "no-whole-answer");
    finish(item, request_outcome::unknown, reason, std::move(response));
}

void gateway_loop::finish(active_request& item, request_outcome value,
                          const std::string& reason, http_response response)
{
    set_outcome_headers(response, item.request_.id_, value);
    outcome_record record{item.request_.id_, value, response.status_, reason};
    request_metrics metrics{value, reason, steady_now() - item.accepted_at_,
                            item.queued_};
    hooks_.record_outcome_(record, metrics);
    if (item.claimed_) {
        settle_claim settled{
            item.request_.idempotency_key_, item.request_.id_, value, {}};
        if (value == request_outcome::completed &&
            response.body_.size() <= max_stored_response_bytes)
            settled.answer_ = to_wire(response);
        hooks_.settle_(settled);
    }
    std::shared_ptr<responder> reply = std::move(item.reply_);
    active_requests_.erase(item.number_);
    --in_flight_;
    (*reply)(std::move(response));
}

} // namespace dandelioncrank
