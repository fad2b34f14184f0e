#pragma once

#include "dandelioncrank/control/client_call.hpp"
#include "dandelioncrank/control/control_settings.hpp"
#include "dandelioncrank/metrics/metric_registry.hpp"

#include <functional>
#include <memory>
#include <string>

namespace dandelioncrank::control {

/// Finds the leader and forwards clients' calls to it.
class entry_host
{
  public:
    using response_handler = std::function<void(client_response)>;

    entry_host(const control_settings& settings, metric_registry& metrics);
    ~entry_host();

    entry_host(const entry_host&) = delete;
    entry_host& operator=(const entry_host&) = delete;

    /// Responds within the timeout: with the leader's response, with
    /// unavailable if the call was not executed, or with unsure.
    void serve(client_call call, duration timeout,
               response_handler on_response);

    /// Whether a leader with a configuration was reached recently.
    [[nodiscard]] bool is_ready() const;

    /// Adds seeds after the settings file was read again.
    void add_seeds(const std::vector<host_port>& seeds);

    /// Returns the state of this host as JSON, for operators.
    [[nodiscard]] std::string describe() const;

  private:
    class implementation;

    std::unique_ptr<implementation> implementation_;
};

} // namespace dandelioncrank::control
