#pragma once

#include "dandelioncrank/gateway/gateway_hooks.hpp"
#include "dandelioncrank/gateway/gateway_options.hpp"
#include "dandelioncrank/gateway/routing_table.hpp"
#include "dandelioncrank/http/buffer_budget.hpp"

#include <memory>
#include <vector>

namespace dandelioncrank {

class gateway_loop;

/// Serves callers on several threads. Each thread has its own event loop and
/// its own listener on the common address.
class gateway
{
  public:
    /// Starts the threads. Throws std::system_error if listening on the address
    /// fails.
    gateway(const gateway_options& options, const rcu_routing_table& table,
            gateway_hooks hooks);
    ~gateway();

    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Stops accepting connections; requests in flight are completed.
    void stop_accepting();
    [[nodiscard]] std::size_t in_flight() const;
    [[nodiscard]] int port() const { return port_; }
    /// The buffers of each loop.
    [[nodiscard]] std::vector<const buffer_budget*> buffers() const;

  private:
    class worker_thread;

    gateway_hooks hooks_;
    std::vector<std::unique_ptr<worker_thread>> threads_;
    int port_ = 0;
};

} // namespace dandelioncrank
