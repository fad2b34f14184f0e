#include "dandelioncrank/routing/dispatcher.hpp"

#include "dandelioncrank/core/overloaded.hpp"

namespace dandelioncrank {

dispatcher::dispatcher(queue_policy policy, std::uint64_t seed)
    : policy_(policy), seed_(seed)
{
}

void dispatcher::configure(const configuration& rules)
{
    rules_ = rules;
    for (const auto& [name, rule] : rules_.services_) {
        auto found = services_.find(name);
        if (found != services_.end()) {
            found->second->set_rule(rule);
            continue;
        }
        services_.emplace(name, std::make_unique<service_dispatcher>(
                                    rule, policy_, seed_ ^ services_.size()));
    }
}

void dispatcher::take_over(const service_name& service, instant hold_until)
{
    if (service_dispatcher* target = find(service))
        target->hold_until(hold_until);
}

void dispatcher::hand_over(const service_name& service)
{
    auto rule = rules_.services_.find(service);
    if (rule == rules_.services_.end())
        return;
    services_[service] = std::make_unique<service_dispatcher>(
        rule->second, policy_, seed_ ^ services_.size());
    std::erase_if(tickets_, [&service](const auto& entry) {
        return entry.second == service;
    });
}

service_dispatcher* dispatcher::find(const service_name& name)
{
    auto found = services_.find(name);
    bool configured = rules_.services_.contains(name);
    return found == services_.end() || !configured ? nullptr
                                                   : found->second.get();
}

service_dispatcher* dispatcher::find_owner(const ticket_id& id)
{
    auto found = tickets_.find(id);
    if (found == tickets_.end())
        return nullptr;
    auto service = services_.find(found->second);
    return service == services_.end() ? nullptr : service->second.get();
}

std::vector<routing_action> dispatcher::handle(const routing_event& event,
                                               instant now)
{
    std::vector<routing_action> out;
    std::visit(
        overloaded{
            [&](const ticket_submitted& item) {
                const ticket& request = item.ticket_;
                service_dispatcher* target = find(request.service_);
                if (target == nullptr) {
                    out.push_back(ticket_refused{
                        request.id_, refusal_reason::unknown_service,
                        std::chrono::seconds(1)});
                    return;
                }
                // A doubled submit must not take a second slot.
                if (!tickets_.emplace(request.id_, request.service_).second)
                    return;
                target->submit(request, rules_.teams_, now, out);
            },
            [&](const ticket_withdrawn& item) {
                if (service_dispatcher* target = find_owner(item.id_))
                    target->withdraw(item.id_, now, out);
                tickets_.erase(item.id_);
            },
            [&](const slot_returned& item) {
                if (service_dispatcher* target = find_owner(item.id_))
                    target->return_slot(item, now, out);
                tickets_.erase(item.id_);
            },
            [&](const slot_reported& item) {
                service_dispatcher* target = find(item.service_);
                if (target == nullptr)
                    return;
                tickets_.emplace(item.id_, item.service_);
                target->report_slot(item, now);
            },
            [&](const endpoint_announced& item) {
                if (service_dispatcher* target = find(item.info_.service_))
                    target->announce(item.info_, now, out);
            },
            [&](const endpoint_gone& item) {
                if (service_dispatcher* target = find(item.service_))
                    target->remove(item.name_, now, out);
            },
            [&](const host_lost& item) {
                for (auto& entry : services_)
                    entry.second->lose_host(item.host_, now);
                std::erase_if(tickets_, [&item](const auto& entry) {
                    return entry.first.host_ == item.host_;
                });
            },
            [&](const clock_ticked&) {
                for (auto& entry : services_)
                    entry.second->tick(now, out);
            }},
        event);
    for (const routing_action& action : out) {
        if (const auto* refused = std::get_if<ticket_refused>(&action))
            tickets_.erase(refused->id_);
    }
    return out;
}

std::vector<service_summary> dispatcher::summaries(instant now) const
{
    std::vector<service_summary> result;
    for (const auto& entry : services_)
        result.push_back(entry.second->summary(now));
    return result;
}

} // namespace dandelioncrank
