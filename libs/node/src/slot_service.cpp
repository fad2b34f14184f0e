#include "slot_service.hpp"

#include "dandelioncrank/core/wire.hpp"

#include <QRandomGenerator>
#include <QTimer>

#include <algorithm>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

constexpr duration takeover_delay = 500ms;
constexpr auto route_retry_interval = 20ms;
constexpr auto notify_retry_interval = 200ms;
constexpr int max_notify_attempts = 50;
constexpr duration notify_timeout = 1s;

slot_request make_slot_request(const slot_request_message& request, instant now)
{
    slot_request result;
    result.id_ = request.id_;
    result.service_ = request.service_;
    result.team_ = request.team_;
    result.route_ = request.route_;
    result.deadline_ = now + request.time_left_;
    result.attempt_ = request.attempt_;
    result.excluded_endpoints_ = request.excluded_endpoints_;
    return result;
}

} // namespace

slot_service::slot_service(const node_settings& settings, peer_directory& peers,
                           disseminator& gossip, metric_registry& metrics)
    : self_(settings.host_), zone_(settings.zone_), peers_(peers),
      gossip_(gossip), metrics_(metrics),
      dispatcher_(queue_discipline::protect_short_work,
                  QRandomGenerator::global()->generate64()),
      next_request_number_(QRandomGenerator::global()->generate64() >> 8)
{
}

void slot_service::configure(const configuration& rules)
{
    rules_ = rules;
    dispatcher_.configure(rules);
    for (const endpoint_entry& entry : gossip_.endpoints(steady_now())) {
        if (entry.info_.zone_ == zone_)
            process_event(endpoint_announced{entry.info_});
    }
    refresh_owners();
}

host_name slot_service::owner_of(const zone_name& zone,
                                 const service_name& service) const
{
    host_name best;
    std::uint64_t best_weight = 0;
    auto consider = [&](const host_status& host) {
        bool may_own = host.zone_ == zone && host.is_gateway_ &&
                       host.serving_ && !host.leaving_;
        if (!may_own)
            return;
        std::uint64_t weight =
            stable_hash(host.name_.str() + '|' + service.str());
        if (best.empty() || weight > best_weight) {
            best = host.name_;
            best_weight = weight;
        }
    };
    consider(gossip_.self());
    for (const host_status& host : gossip_.live_hosts())
        consider(host);
    return best;
}

// --- Requests of this host

void slot_service::request_slot(const slot_request_message& request,
                                decision_handler on_decision)
{
    // Shared by the callbacks of consecutive attempts.
    auto item = std::make_shared<pending_request>();
    item->request_ = request;
    item->deadline_ = steady_now() + request.time_left_;
    item->zone_ = zone_;
    item->original_id_ = request.id_;
    item->on_decision_ = std::move(on_decision);
    pending_[request.id_] = item;
    bool own_zone_serves = serving_endpoints_[request.service_].contains(zone_);
    // If no other zone serves it either, the request is refused in its own
    // zone.
    if (!own_zone_serves)
        static_cast<void>(spill(item, refusal_reason::no_endpoint));
    route(item);
}

void slot_service::route(const std::shared_ptr<pending_request>& item)
{
    if (item->withdrawn_)
        return;
    instant now = steady_now();
    item->request_.id_ = {self_, ++next_request_number_};
    item->request_.time_left_ = time_left(now, item->deadline_);
    item->owner_ = owner_of(item->zone_, item->request_.service_);
    if (item->request_.time_left_ == duration::zero() || item->owner_.empty()) {
        auto reason = item->owner_.empty()
                          ? refusal_reason::dispatcher_unreachable
                          : refusal_reason::deadline_passed;
        handle_decision(item, slot_refused{item->request_.id_, reason, 1s});
        return;
    }
    if (item->owner_ == self_) {
        submit_to_dispatcher(
            item->request_,
            [this, item](std::optional<slot_decision> decision) {
                if (decision)
                    handle_decision(item, *decision);
                else
                    retry_route(item);
            });
        return;
    }
    peers_.call<slot_response>(
        item->owner_, item->request_, item->request_.time_left_ + 200ms,
        [this, item](std::optional<slot_response> response) {
            if (response && !response->decision_.empty()) {
                handle_decision(item, response->decision_.front());
                return;
            }
            // The response may have been a grant; the withdrawal frees its
            // slot.
            if (!response)
                notify_owner(item->owner_,
                             slot_withdraw_message{item->request_.service_,
                                                   item->request_.id_},
                             max_notify_attempts);
            retry_route(item);
        });
}

void slot_service::retry_route(const std::shared_ptr<pending_request>& item)
{
    QTimer::singleShot(route_retry_interval, this,
                       [this, item] { route(item); });
}

bool slot_service::spill(const std::shared_ptr<pending_request>& item,
                         refusal_reason reason)
{
    bool can_spill = reason == refusal_reason::no_endpoint ||
                     reason == refusal_reason::queue_full ||
                     reason == refusal_reason::would_miss_deadline;
    if (!can_spill || item->spilled_)
        return false;
    for (const auto& [zone, endpoints] :
         serving_endpoints_[item->request_.service_]) {
        bool usable = zone != item->zone_ && !endpoints.empty() &&
                      !owner_of(zone, item->request_.service_).empty();
        if (!usable)
            continue;
        item->spilled_ = true;
        item->zone_ = zone;
        metrics_.count("spilled_requests");
        return true;
    }
    return false;
}

void slot_service::handle_decision(const std::shared_ptr<pending_request>& item,
                                   slot_decision decision)
{
    if (item->withdrawn_) {
        // The request was withdrawn while the decision was in transit.
        return;
    }
    if (auto* granted = std::get_if<slot_granted>(&decision)) {
        outstanding_[item->original_id_] = {
            item->owner_,       item->request_.id_,
            item->zone_,        item->request_.service_,
            granted->endpoint_, item->request_.route_,
            steady_now()};
        granted->id_ = item->original_id_;
    } else {
        auto& refused = std::get<slot_refused>(decision);
        if (spill(item, refused.reason_)) {
            route(item);
            return;
        }
        refused.id_ = item->original_id_;
    }
    pending_.erase(item->original_id_);
    item->on_decision_(decision);
}

void slot_service::withdraw(const slot_request_id& id,
                            const service_name& service)
{
    slot_withdraw_message message{service, id};
    host_name owner;
    auto waiting = pending_.find(id);
    auto found = outstanding_.find(id);
    if (waiting != pending_.end()) {
        waiting->second->withdrawn_ = true;
        message.id_ = waiting->second->request_.id_;
        owner = waiting->second->owner_;
        pending_.erase(waiting);
    } else if (found != outstanding_.end()) {
        message.id_ = found->second.owner_request_id_;
        owner = found->second.owner_;
        outstanding_.erase(found);
    } else {
        return;
    }
    if (owner == self_)
        handle_withdrawal(message);
    else
        notify_owner(owner, message, max_notify_attempts);
}

void slot_service::return_slot(const slot_returned& item,
                               const service_name& service)
{
    auto found = outstanding_.find(item.id_);
    if (found == outstanding_.end())
        return;
    host_name owner = found->second.owner_;
    slot_return_message message{service, found->second.owner_request_id_,
                                item.outcome_, item.run_time_};
    outstanding_.erase(found);
    if (owner == self_)
        handle_return(message);
    else
        notify_owner(owner, message, max_notify_attempts);
}

// Retries until the host acknowledges or the attempts are exhausted, because a
// slot that is not returned would leak.
void slot_service::notify_owner(const host_name& owner,
                                const peer_payload& payload, int attempts_left)
{
    if (attempts_left <= 0)
        return;
    peers_.call<slot_response>(
        owner, payload, notify_timeout,
        [this, owner, payload,
         attempts_left](std::optional<slot_response> response) {
            if (response)
                return;
            QTimer::singleShot(notify_retry_interval, this,
                               [this, owner, payload, attempts_left] {
                                   notify_owner(owner, payload,
                                                attempts_left - 1);
                               });
        });
}

// --- Requests to the dispatcher of this host

void slot_service::handle_request(const slot_request_message& request,
                                  remote_decision_handler on_decision)
{
    if (owner_of(zone_, request.service_) != self_) {
        on_decision(std::nullopt);
        return;
    }
    submit_to_dispatcher(request, std::move(on_decision));
}

void slot_service::submit_to_dispatcher(const slot_request_message& request,
                                        remote_decision_handler on_decision)
{
    queued_requests_[request.id_] = {request.service_, std::move(on_decision)};
    process_event(slot_requested{make_slot_request(request, steady_now())});
}

void slot_service::handle_return(const slot_return_message& message)
{
    process_event(
        slot_returned{message.id_, message.outcome_, message.run_time_});
}

void slot_service::handle_withdrawal(const slot_withdraw_message& message)
{
    queued_requests_.erase(message.id_);
    process_event(slot_request_withdrawn{message.id_});
}

void slot_service::handle_report(const slot_report_message& message)
{
    process_event(slot_reported{message.id_, message.service_,
                                message.endpoint_, message.route_,
                                message.age_});
}

void slot_service::process_event(const routing_event& event)
{
    for (const auto& action : dispatcher_.handle(event, steady_now())) {
        if (const auto* item = std::get_if<endpoint_ejected>(&action)) {
            metrics_.count("ejected_endpoints");
            log_.warning("Endpoint '" + item->name_.str() +
                         "' is ejected for " +
                         std::to_string(item->length_ / 1ms) + " ms.");
            continue;
        }
        slot_decision decision;
        slot_request_id id;
        if (const auto* item = std::get_if<slot_granted>(&action)) {
            decision = *item;
            id = item->id_;
        } else {
            decision = std::get<slot_refused>(action);
            id = std::get<slot_refused>(action).id_;
        }
        auto found = queued_requests_.find(id);
        if (found == queued_requests_.end())
            continue;
        ready_decisions_.emplace_back(std::move(found->second.second),
                                      decision);
        queued_requests_.erase(found);
    }
    // The handlers may call this function again.
    while (!ready_decisions_.empty()) {
        auto [on_decision, decision] = std::move(ready_decisions_.front());
        ready_decisions_.erase(ready_decisions_.begin());
        on_decision(decision);
    }
}

// --- Endpoints and hosts

void slot_service::update_endpoint(const endpoint_info& info)
{
    auto& zones = serving_endpoints_[info.service_];
    if (info.leaving_)
        zones[info.zone_].erase(info.name_);
    else
        zones[info.zone_].insert(info.name_);
    if (zones[info.zone_].empty())
        zones.erase(info.zone_);
    if (info.zone_ == zone_)
        process_event(endpoint_announced{info});
}

void slot_service::remove_endpoint(const endpoint_info& info)
{
    auto& zones = serving_endpoints_[info.service_];
    zones[info.zone_].erase(info.name_);
    if (zones[info.zone_].empty())
        zones.erase(info.zone_);
    if (info.zone_ == zone_)
        process_event(
            dandelioncrank::endpoint_removed{info.service_, info.name_});
}

bool slot_service::is_served(const service_name& service) const
{
    auto found = serving_endpoints_.find(service);
    return found != serving_endpoints_.end() && !found->second.empty();
}

void slot_service::handle_host_loss(const host_name& host)
{
    process_event(dandelioncrank::host_lost{host});
    refresh_owners();
}

void slot_service::refresh_owners()
{
    for (const auto& [name, rule] : rules_.services_) {
        host_name owner = owner_of(zone_, name);
        host_name& known = owners_[name];
        if (owner == known)
            continue;
        host_name previous = std::exchange(known, owner);
        if (previous == self_)
            lose_ownership(name);
        if (owner != self_)
            continue;
        log_.info("Acquired the slots of service '" + name.str() +
                  "' in zone '" + zone_.str() + "'.");
        dispatcher_.acquire_service(name, steady_now() + takeover_delay);
    }
    for (auto& [id, item] : outstanding_) {
        host_name owner = owner_of(item.zone_, item.service_);
        if (owner == item.owner_ || owner.empty())
            continue;
        item.owner_ = owner;
        slot_report_message report{item.owner_request_id_, item.service_,
                                   item.endpoint_, item.route_,
                                   steady_now() - item.since_};
        if (owner == self_)
            handle_report(report);
        else
            notify_owner(owner, report, max_notify_attempts);
    }
}

// Queued requests are rerouted to the new owner.
void slot_service::lose_ownership(const service_name& service)
{
    log_.info("Released the slots of service '" + service.str() + "'.");
    std::vector<remote_decision_handler> handlers;
    for (auto it = queued_requests_.begin(); it != queued_requests_.end();) {
        if (it->second.first != service) {
            ++it;
            continue;
        }
        handlers.push_back(std::move(it->second.second));
        it = queued_requests_.erase(it);
    }
    dispatcher_.release_service(service);
    for (const endpoint_entry& entry : gossip_.endpoints(steady_now())) {
        bool matches =
            entry.info_.zone_ == zone_ && entry.info_.service_ == service;
        if (matches)
            process_event(endpoint_announced{entry.info_});
    }
    for (remote_decision_handler& on_decision : handlers)
        on_decision(std::nullopt);
}

void slot_service::tick(instant)
{
    process_event(clock_ticked{});
}

std::vector<service_summary> slot_service::summaries() const
{
    return dispatcher_.summaries(steady_now());
}

} // namespace dandelioncrank
