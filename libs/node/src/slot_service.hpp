#pragma once

#include "dandelioncrank/dissemination/disseminator.hpp"
#include "dandelioncrank/gateway/gateway_hooks.hpp"
#include "dandelioncrank/logging/part_log.hpp"
#include "dandelioncrank/metrics/metric_registry.hpp"
#include "dandelioncrank/routing/dispatcher.hpp"
#include "peer_directory.hpp"

#include <QObject>

#include <map>

namespace dandelioncrank {

/// Gives slots to this host's requests, from its own dispatcher or from the
/// entry host that owns the service's slots in a zone.
///
/// Every host of a zone works the owner out alike, from the hosts that it
/// hears of (highest random weight). A new owner waits a moment for reports
/// of slots in use before it gives any.
class slot_service : public QObject
{
  public:
    using answer = std::function<void(slot_decision)>;
    /// Nothing if this host does not own the service's slots.
    using remote_answer = std::function<void(std::optional<slot_decision>)>;

    slot_service(const node_settings& settings, peer_directory& peers,
                 disseminator& gossip, metric_registry& metrics);

    void configure(const configuration& rules);

    void order(const slot_request_message& wanted, answer on_decision);
    void withdraw(const slot_request_id& id, const service_name& service);
    void return_slot(const slot_returned& item, const service_name& service);

    // From other hosts.
    void take_order(const slot_request_message& wanted,
                    remote_answer on_decision);
    void take_return(const slot_return_message& message);
    void take_withdrawal(const slot_withdraw_message& message);
    void take_report(const slot_report_message& message);

    // From the spread of announcements.
    void endpoint_changed(const endpoint_info& info);
    void endpoint_gone(const endpoint_info& info);
    void host_lost(const host_name& host);
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
        /// Id of the slot request at the owner.
        slot_request_id owner_request_id_;
        zone_name zone_;
        service_name service_;
        endpoint_name endpoint_;
        std::string route_;
        instant since_;
    };

    struct pending_order
    {
        /// Its id is new for each try: an earlier try may still be known at
        /// an owner that did not answer.
        slot_request_message order_;
        slot_request_id asked_as_;
        host_name owner_;
        instant deadline_;
        zone_name zone_;
        bool spilled_ = false;
        bool withdrawn_ = false;
        answer on_decision_;
    };

    void route(const std::shared_ptr<pending_order>& item);
    void take_decision(const std::shared_ptr<pending_order>& item,
                       slot_decision decision);
    void retry_route(const std::shared_ptr<pending_order>& item);
    [[nodiscard]] bool spill(const std::shared_ptr<pending_order>& item,
                             refusal_reason reason);
    void submit_here(const slot_request_message& wanted,
                     remote_answer on_decision);
    void feed(const routing_event& event);
    void tell(const host_name& owner, const peer_payload& payload,
              int tries_left);
    void lose_ownership(const service_name& service);

    part_log log_{"routing"};
    host_name self_;
    zone_name zone_;
    peer_directory& peers_;
    disseminator& gossip_;
    metric_registry& metrics_;
    dispatcher dispatcher_;
    configuration rules_;
    std::map<service_name, host_name> owners_;
    std::map<slot_request_id, outstanding_slot> outstanding_;
    std::map<slot_request_id, std::shared_ptr<pending_order>> pending_;
    std::uint64_t next_number_;
    std::map<slot_request_id, std::pair<service_name, remote_answer>>
        waiting_here_;
    std::map<service_name, std::map<zone_name, std::set<endpoint_name>>>
        serving_;
    std::vector<std::pair<remote_answer, slot_decision>> decided_;
};

} // namespace dandelioncrank
