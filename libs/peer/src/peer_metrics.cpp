#include "dandelioncrank/peer/peer_metrics.hpp"

namespace dandelioncrank {

void update_peer_metrics(const peer_server_status& status,
                         metric_registry& metrics)
{
    metrics.set_gauge("peer_connections",
                      static_cast<double>(status.connections_));
    metrics.set_gauge("peer_connections_unverified",
                      static_cast<double>(status.unverified_connections_));
    metrics.set_gauge("peer_held_bytes",
                      static_cast<double>(status.held_bytes_));
    metrics.set_counter("peer_connections_refused",
                        status.connections_refused_);
    metrics.set_counter("peer_connections_closed", status.connections_closed_);
    metrics.set_counter("peer_messages_refused", status.messages_refused_);
}

} // namespace dandelioncrank
