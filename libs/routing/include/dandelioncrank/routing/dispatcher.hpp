#pragma once

#include "dandelioncrank/routing/service_dispatcher.hpp"

#include <map>
#include <memory>
#include <vector>

namespace dandelioncrank {

/// Makes the routing decisions of one entry host for the services that it
/// owns in its availability zone. Performs no I/O and reads no clock: takes
/// events and the current time, returns actions.
class dispatcher
{
  public:
    dispatcher(queue_discipline discipline, std::uint64_t seed);

    /// Applies a new configuration. Requests for services that are no longer
    /// configured are refused.
    void configure(const configuration& config);

    /// Takes over a service from its previous owner. No slot is granted before
    /// the given time.
    void acquire_service(const service_name& service,
                         instant hold_grants_until);

    /// Discards all state of a service that another host now owns.
    void release_service(const service_name& service);

    [[nodiscard]] std::vector<routing_action> handle(const routing_event& event,
                                                     instant now);

    [[nodiscard]] std::vector<service_summary> summaries(instant now) const;

  private:
    service_dispatcher* find(const service_name& name);
    service_dispatcher* find_by_request(const slot_request_id& id);

    queue_discipline discipline_;
    std::uint64_t seed_;
    configuration config_;
    std::map<service_name, std::unique_ptr<service_dispatcher>> services_;
    std::map<slot_request_id, service_name> request_services_;
};

} // namespace dandelioncrank
