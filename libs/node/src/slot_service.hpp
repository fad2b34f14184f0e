#pragma once

#include "dandelioncrank/dissemination/disseminator.hpp"
#include "dandelioncrank/gateway/gateway_hooks.hpp"
#include "dandelioncrank/logging/component_logger.hpp"
#include "dandelioncrank/metrics/metric_registry.hpp"
#include "dandelioncrank/routing/dispatcher.hpp"
#include "peer_directory.hpp"

#include <QObject>

#include <map>

namespace dandelioncrank {

/// Obtains slots for this host's requests, from the local dispatcher or from
/// the entry host that owns the slots of the service in a zone.
///
/// Each host determines the owner by rendezvous hashing (highest random
/// weight) over the live hosts it knows. A new owner waits for reports of slots
/// in use before it grants any.
class slot_service : public QObject
{
  public:
    using decision_handler = std::function<void(slot_decision)>;
    /// Receives nullopt if this host does not own the slots of the service.
    using remote_decision_handler =
        std::function<void(std::optional<slot_decision>)>;

    slot_service(const node_settings& settings, peer_directory& peers,
                 disseminator& gossip, metric_registry& metrics);

    void configure(const configuration& rules);

    void request_slot(const slot_request_message& request,
                      decision_handler on_decision);
    void withdraw(const slot_request_id& id, const service_name& service);
    void return_slot(const slot_returned& item, const service_name& service);

    // Messages from other hosts.
    void handle_request(const slot_request_message& request,
                        remote_decision_handler on_decision);
    void handle_return(const slot_return_message& message);
    void handle_withdrawal(const slot_withdraw_message& message);
    void handle_report(const slot_report_message& message);

    // Events of the gossip protocol.
    void update_endpoint(const endpoint_info& info);
    void remove_endpoint(const endpoint_info& info);
    void handle_host_loss(const host_name& host);
    void refresh_owners();

    void tick(instant now);

    [[nodiscard]] bool is_served(const service_name& service) const;
    [[nodiscard]] std::vector<service_summary> summaries() const;
    [[nodiscard]] host_name owner_of(const zone_name& zone,
                                     const service_name& service) const;

  private:
    struct outstanding_slot
    {
        host_name owner_;
        /// Id of the request at the owner.
        slot_request_id owner_request_id_;
        zone_name zone_;
        service_name service_;
        endpoint_name endpoint_;
        std::string route_;
        instant since_;
    };

    struct pending_request
    {
        /// Has a new id for each attempt: an owner that did not respond may
        /// still hold an earlier attempt.
        slot_request_message request_;
        slot_request_id original_id_;
        host_name owner_;
        instant deadline_;
        zone_name zone_;
        bool spilled_ = false;
        bool withdrawn_ = false;
        decision_handler on_decision_;
    };

    void route(const std::shared_ptr<pending_request>& item);
    void handle_decision(const std::shared_ptr<pending_request>& item,
                         slot_decision decision);
    void retry_route(const std::shared_ptr<pending_request>& item);
    [[nodiscard]] bool spill(const std::shared_ptr<pending_request>& item,
                             refusal_reason reason);
    void submit_to_dispatcher(const slot_request_message& request,
                              remote_decision_handler on_decision);
    void process_event(const routing_event& event);
    void notify_owner(const host_name& owner, const peer_payload& payload,
                      int attempts_left);
    void lose_ownership(const service_name& service);

    component_logger log_{"routing"};
    host_name self_;
    zone_name zone_;
    peer_directory& peers_;
    disseminator& gossip_;
    metric_registry& metrics_;
    dispatcher dispatcher_;
    configuration rules_;
    std::map<service_name, host_name> owners_;
    std::map<slot_request_id, outstanding_slot> outstanding_;
    std::map<slot_request_id, std::shared_ptr<pending_request>> pending_;
    std::uint64_t next_request_number_;
    std::map<slot_request_id, std::pair<service_name, remote_decision_handler>>
        queued_requests_;
    std::map<service_name, std::map<zone_name, std::set<endpoint_name>>>
        serving_endpoints_;
    std::vector<std::pair<remote_decision_handler, slot_decision>>
        ready_decisions_;
};

} // namespace dandelioncrank
