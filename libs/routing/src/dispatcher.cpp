#include "dandelioncrank/routing/dispatcher.hpp"

#include "dandelioncrank/core/overloaded.hpp"

namespace dandelioncrank {

dispatcher::dispatcher(queue_discipline discipline, std::uint64_t seed)
    : discipline_(discipline), seed_(seed)
{
}

void dispatcher::configure(const configuration& config)
{
    config_ = config;
    for (const auto& [name, rule] : config_.services_) {
        auto found = services_.find(name);
        if (found != services_.end()) {
            found->second->set_rule(rule);
            continue;
        }
        services_.emplace(name,
                          std::make_unique<service_dispatcher>(
                              rule, discipline_, seed_ ^ services_.size()));
    }
}

void dispatcher::acquire_service(const service_name& service,
                                 instant hold_grants_until)
{
    if (service_dispatcher* target = find(service))
        target->hold_grants_until(hold_grants_until);
}

void dispatcher::release_service(const service_name& service)
{
    auto rule = config_.services_.find(service);
    if (rule == config_.services_.end())
        return;
    services_[service] = std::make_unique<service_dispatcher>(
        rule->second, discipline_, seed_ ^ services_.size());
    std::erase_if(request_services_, [&service](const auto& entry) {
        return entry.second == service;
    });
}

service_dispatcher* dispatcher::find(const service_name& name)
{
    auto found = services_.find(name);
    bool configured = config_.services_.contains(name);
    return found == services_.end() || !configured ? nullptr
                                                   : found->second.get();
}

service_dispatcher* dispatcher::find_by_request(const slot_request_id& id)
{
    auto found = request_services_.find(id);
    if (found == request_services_.end())
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
            [&](const slot_requested& item) {
                const slot_request& request = item.request_;
                service_dispatcher* target = find(request.service_);
                if (target == nullptr) {
                    out.push_back(slot_refused{request.id_,
                                               refusal_reason::unknown_service,
                                               std::chrono::seconds(1)});
                    return;
                }
                // A duplicate submission must not take a second slot.
                if (!request_services_.emplace(request.id_, request.service_)
                         .second)
                    return;
                target->submit(request, config_.teams_, now, out);
            },
            [&](const slot_request_withdrawn& item) {
                if (service_dispatcher* target = find_by_request(item.id_))
                    target->withdraw(item.id_, now, out);
                request_services_.erase(item.id_);
            },
            [&](const slot_returned& item) {
                if (service_dispatcher* target = find_by_request(item.id_))
                    target->return_slot(item, now, out);
                request_services_.erase(item.id_);
            },
            [&](const slot_reported& item) {
                service_dispatcher* target = find(item.service_);
                if (target == nullptr)
                    return;
                request_services_.emplace(item.id_, item.service_);
                target->report_slot(item, now);
            },
            [&](const endpoint_announced& item) {
                if (service_dispatcher* target = find(item.info_.service_))
                    target->announce(item.info_, now, out);
            },
            [&](const endpoint_removed& item) {
                if (service_dispatcher* target = find(item.service_))
                    target->remove(item.name_, now, out);
            },
            [&](const host_lost& item) {
                for (auto& entry : services_)
                    entry.second->handle_host_loss(item.host_, now);
                std::erase_if(request_services_, [&item](const auto& entry) {
                    return entry.first.host_ == item.host_;
                });
            },
            [&](const clock_ticked&) {
                for (auto& entry : services_)
                    entry.second->tick(now, out);
            }},
        event);
    for (const routing_action& action : out) {
        if (const auto* refused = std::get_if<slot_refused>(&action))
            request_services_.erase(refused->id_);
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
