#pragma once

#include "dandelioncrank/control/client_call.hpp"
#include "dandelioncrank/control/control_settings.hpp"
#include "dandelioncrank/metrics/metric_registry.hpp"

#include <functional>
#include <memory>
#include <string>

namespace dandelioncrank::control {

/// An entry host: finds the leader and passes clients' calls to it.
class entry_host
{
  public:
    using response_handler = std::function<void(client_response)>;

    entry_host(const control_settings& settings, metric_registry& metrics);
    ~entry_host();

    entry_host(const entry_host&) = delete;
    entry_host& operator=(const entry_host&) = delete;

    /// Answers within the limit: what the leader said, unavailable if
    /// nothing of the call was done, or unsure.
    void serve(client_call call, duration limit, response_handler on_response);

    /// Whether a leader with a configuration was reached lately.
    [[nodiscard]] bool is_ready() const;

    /// Seeds of a settings file that was read again.
    void add_seeds(const std::vector<host_port>& seeds);

    /// State of this host as JSON, for people.
    [[nodiscard]] std::string describe() const;

  private:
    class implementation;

    std::unique_ptr<implementation> implementation_;
};

} // namespace dandelioncrank::control
