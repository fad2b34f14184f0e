#include "slot_service.hpp"

#include "dandelioncrank/core/wire.hpp"

#include <QRandomGenerator>
#include <QTimer>

#include <algorithm>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

constexpr duration takeover_wait = 500ms;
constexpr auto route_retry = 20ms;
constexpr auto tell_retry = 200ms;
constexpr int tell_tries = 50;
constexpr duration tell_limit = 1s;

slot_request make_slot_request(const slot_request_message& wanted, instant now)
{
    slot_request result;
    result.id_ = wanted.id_;
    result.service_ = wanted.service_;
    result.team_ = wanted.team_;
    result.route_ = wanted.route_;
    result.deadline_ = now + wanted.time_left_;
    result.attempt_ = wanted.attempt_;
    result.excluded_endpoints_ = wanted.excluded_endpoints_;
    return result;
}

} // namespace

slot_service::slot_service(const node_settings& settings, peer_directory& peers,
                           disseminator& gossip, metric_registry& metrics)
    : self_(settings.host_), zone_(settings.zone_), peers_(peers),
      gossip_(gossip), metrics_(metrics),
      dispatcher_(queue_discipline::protect_short_work,
                  QRandomGenerator::global()->generate64()),
      next_number_(QRandomGenerator::global()->generate64() >> 8)
{
}

void slot_service::configure(const configuration& rules)
{
    rules_ = rules;
    dispatcher_.configure(rules);
    for (const endpoint_entry& entry : gossip_.endpoints(steady_now())) {
        if (entry.info_.zone_ == zone_)
            feed(endpoint_announced{entry.info_});
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

// --- Orders of this host

void slot_service::order(const slot_request_message& wanted, answer on_decision)
{
    // Shared by the callbacks of one try after another.
    auto item = std::make_shared<pending_order>();
    item->order_ = wanted;
    item->deadline_ = steady_now() + wanted.time_left_;
    item->zone_ = zone_;
    item->asked_as_ = wanted.id_;
    item->on_decision_ = std::move(on_decision);
    pending_[wanted.id_] = item;
    bool own_zone_serves = serving_[wanted.service_].contains(zone_);
    // Where no other zone serves it either, the own zone's refusal stands.
    if (!own_zone_serves)
        static_cast<void>(spill(item, refusal_reason::no_endpoint));
    route(item);
}

void slot_service::route(const std::shared_ptr<pending_order>& item)
{
    if (item->withdrawn_)
        return;
    instant now = steady_now();
    item->order_.id_ = {self_, ++next_number_};
    item->order_.time_left_ = time_left(now, item->deadline_);
    item->owner_ = owner_of(item->zone_, item->order_.service_);
    if (item->order_.time_left_ == duration::zero() || item->owner_.empty()) {
        auto reason = item->owner_.empty()
                          ? refusal_reason::dispatcher_unreachable
                          : refusal_reason::deadline_passed;
        take_decision(item, slot_refused{item->order_.id_, reason, 1s});
        return;
    }
    if (item->owner_ == self_) {
        submit_here(item->order_,
                    [this, item](std::optional<slot_decision> decision) {
                        if (decision)
                            take_decision(item, *decision);
                        else
                            retry_route(item);
                    });
        return;
    }
    peers_.ask<slot_answer>(
        item->owner_, item->order_, item->order_.time_left_ + 200ms,
        [this, item](std::optional<slot_answer> answer) {
            if (answer && !answer->decision_.empty()) {
                take_decision(item, answer->decision_.front());
                return;
            }
            // A grant may have been lost on its way.
            if (!answer)
                tell(item->owner_,
                     slot_withdraw_message{item->order_.service_,
                                           item->order_.id_},
                     tell_tries);
            retry_route(item);
        });
}

void slot_service::retry_route(const std::shared_ptr<pending_order>& item)
{
    QTimer::singleShot(route_retry, this, [this, item] { route(item); });
}

bool slot_service::spill(const std::shared_ptr<pending_order>& item,
                         refusal_reason reason)
{
    bool helps = reason == refusal_reason::no_endpoint ||
                 reason == refusal_reason::queue_full ||
                 reason == refusal_reason::would_miss_deadline;
    if (!helps || item->spilled_)
        return false;
    for (const auto& [zone, endpoints] : serving_[item->order_.service_]) {
        bool usable = zone != item->zone_ && !endpoints.empty() &&
                      !owner_of(zone, item->order_.service_).empty();
        if (!usable)
            continue;
        item->spilled_ = true;
        item->zone_ = zone;
        metrics_.count("spilled_requests");
        return true;
    }
    return false;
}

void slot_service::take_decision(const std::shared_ptr<pending_order>& item,
                                 slot_decision decision)
{
    if (item->withdrawn_) {
        // The withdrawal and the grant have crossed.
        return;
    }
    if (auto* granted = std::get_if<slot_granted>(&decision)) {
        outstanding_[item->asked_as_] = {
            item->owner_,          item->order_.id_,   item->zone_,
            item->order_.service_, granted->endpoint_, item->order_.route_,
            steady_now()};
        granted->id_ = item->asked_as_;
    } else {
        auto& refused = std::get<slot_refused>(decision);
        if (spill(item, refused.reason_)) {
            route(item);
            return;
        }
        refused.id_ = item->asked_as_;
    }
    pending_.erase(item->asked_as_);
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
        message.id_ = waiting->second->order_.id_;
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
        take_withdrawal(message);
    else
        tell(owner, message, tell_tries);
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
        take_return(message);
    else
        tell(owner, message, tell_tries);
}

// Repeats until the other host has heard it or is gone: a slot that is not
// returned would be lost.
void slot_service::tell(const host_name& owner, const peer_payload& payload,
                        int tries_left)
{
    if (tries_left <= 0)
        return;
    peers_.ask<slot_answer>(
        owner, payload, tell_limit,
        [this, owner, payload, tries_left](std::optional<slot_answer> answer) {
            if (answer)
                return;
            QTimer::singleShot(tell_retry, this,
                               [this, owner, payload, tries_left] {
                                   tell(owner, payload, tries_left - 1);
                               });
        });
}

// --- Orders that come to this host's dispatcher

void slot_service::take_order(const slot_request_message& wanted,
                              remote_answer on_decision)
{
    if (owner_of(zone_, wanted.service_) != self_) {
        on_decision(std::nullopt);
        return;
    }
    submit_here(wanted, std::move(on_decision));
}

void slot_service::submit_here(const slot_request_message& wanted,
                               remote_answer on_decision)
{
    waiting_here_[wanted.id_] = {wanted.service_, std::move(on_decision)};
    feed(slot_requested{make_slot_request(wanted, steady_now())});
}

void slot_service::take_return(const slot_return_message& message)
{
    feed(slot_returned{message.id_, message.outcome_, message.run_time_});
}

void slot_service::take_withdrawal(const slot_withdraw_message& message)
{
    waiting_here_.erase(message.id_);
    feed(slot_request_withdrawn{message.id_});
}

void slot_service::take_report(const slot_report_message& message)
{
    feed(slot_reported{message.id_, message.service_, message.endpoint_,
                       message.route_, message.age_});
}

void slot_service::feed(const routing_event& event)
{
    for (const auto& action : dispatcher_.handle(event, steady_now())) {
        if (const auto* item = std::get_if<endpoint_ejected>(&action)) {
            metrics_.count("ejected_endpoints");
            log_.warning("Endpoint '" + item->name_.str() +
                         "' gets no work for " +
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
        auto found = waiting_here_.find(id);
        if (found == waiting_here_.end())
            continue;
        decided_.emplace_back(std::move(found->second.second), decision);
        waiting_here_.erase(found);
    }
    // Answers may lead back into this function.
    while (!decided_.empty()) {
        auto [on_decision, decision] = std::move(decided_.front());
        decided_.erase(decided_.begin());
        on_decision(decision);
    }
}

// --- Endpoints and hosts

void slot_service::endpoint_changed(const endpoint_info& info)
{
    auto& zones = serving_[info.service_];
    if (info.leaving_)
        zones[info.zone_].erase(info.name_);
    else
        zones[info.zone_].insert(info.name_);
    if (zones[info.zone_].empty())
        zones.erase(info.zone_);
    if (info.zone_ == zone_)
        feed(endpoint_announced{info});
}

void slot_service::endpoint_gone(const endpoint_info& info)
{
    auto& zones = serving_[info.service_];
    zones[info.zone_].erase(info.name_);
    if (zones[info.zone_].empty())
        zones.erase(info.zone_);
    if (info.zone_ == zone_)
        feed(dandelioncrank::endpoint_removed{info.service_, info.name_});
}

bool slot_service::is_served(const service_name& service) const
{
    auto found = serving_.find(service);
    return found != serving_.end() && !found->second.empty();
}

void slot_service::host_lost(const host_name& host)
{
    feed(dandelioncrank::host_lost{host});
    refresh_owners();
}

void slot_service::refresh_owners()
{
    for (const auto& [name, rule] : rules_.services_) {
        host_name owner = owner_of(zone_, name);
        host_name& known = owners_[name];
        if (owner == known)
            continue;
        host_name before = std::exchange(known, owner);
        if (before == self_)
            lose_ownership(name);
        if (owner != self_)
            continue;
        log_.info("Owns the slots of '" + name.str() + "' in zone '" +
                  zone_.str() + "'.");
        dispatcher_.acquire_service(name, steady_now() + takeover_wait);
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
            take_report(report);
        else
            tell(owner, report, tell_tries);
    }
}

// Requests that wait here go to the new owner.
void slot_service::lose_ownership(const service_name& service)
{
    log_.info("No longer owns the slots of '" + service.str() + "'.");
    std::vector<remote_answer> moved;
    for (auto it = waiting_here_.begin(); it != waiting_here_.end();) {
        if (it->second.first != service) {
            ++it;
            continue;
        }
        moved.push_back(std::move(it->second.second));
        it = waiting_here_.erase(it);
    }
    dispatcher_.release_service(service);
    for (const endpoint_entry& entry : gossip_.endpoints(steady_now())) {
        bool own =
            entry.info_.zone_ == zone_ && entry.info_.service_ == service;
        if (own)
            feed(endpoint_announced{entry.info_});
    }
    for (remote_answer& on_decision : moved)
        on_decision(std::nullopt);
}

void slot_service::tick(instant)
{
    feed(clock_ticked{});
}

std::vector<service_summary> slot_service::summaries() const
{
    return dispatcher_.summaries(steady_now());
}

} // namespace dandelioncrank
