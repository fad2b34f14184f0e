#include "dandelioncrank/http/buffer_metrics.hpp"

namespace dandelioncrank {

void update_buffer_metrics(const std::vector<const buffer_budget*>& budgets,
                           metric_registry& metrics)
{
    std::size_t used = 0;
    std::size_t limit = 0;
    std::uint64_t refused = 0;
    std::uint64_t closed_idle = 0;
    std::uint64_t closed_for_memory = 0;
    std::uint64_t refused_for_memory = 0;
    std::uint64_t refused_for_size = 0;
    for (const buffer_budget* budget : budgets) {
        used += budget->used_bytes();
        limit += budget->limit_bytes();
        refused += budget->connections_refused_;
        closed_idle += budget->connections_closed_idle_;
        closed_for_memory += budget->connections_closed_for_memory_;
        refused_for_memory += budget->requests_refused_for_memory_;
        refused_for_size += budget->requests_refused_for_size_;
    }
    metrics.set_gauge("http_buffered_bytes", static_cast<double>(used));
    metrics.set_gauge("http_buffer_limit_bytes", static_cast<double>(limit));
    metrics.set_counter("http_connections_refused", refused);
    metrics.set_counter("connections_closed_idle", closed_idle);
    metrics.set_counter("connections_closed_for_memory", closed_for_memory);
    metrics.set_counter("http_requests_refused_for_memory", refused_for_memory);
    metrics.set_counter("http_requests_refused_for_size", refused_for_size);
}

} // namespace dandelioncrank
