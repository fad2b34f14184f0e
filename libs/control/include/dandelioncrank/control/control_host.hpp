#pragma once

#include "dandelioncrank/control/client_call.hpp"
#include "dandelioncrank/control/control_activity.hpp"
#include "dandelioncrank/control/control_settings.hpp"
#include "dandelioncrank/metrics/activity_meter.hpp"
#include "dandelioncrank/metrics/metric_registry.hpp"
#include "dandelioncrank/pool/pool_state.hpp"
#include "dandelioncrank/pool/worker_calls.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace dandelioncrank::control {

/// Result of a worker's or an operator's call.
enum class control_outcome
{
    done,
    /// Another host is the leader; leader_ holds its control address.
    redirect,
    /// No leader is known, or it could not commit in time.
    unavailable,
    /// The call contradicts what the worker that it names has said.
    refused,
    /// The call names something that does not exist; text_ says what.
    not_found
};

struct control_response
{
    control_outcome outcome_ = control_outcome::unavailable;
    /// Control address of the leader, or, when an announcement is done, of the
    /// host to which the worker sends its next announcement.
    std::string leader_;
    /// The configuration, for a read; empty if there is none yet. The reason,
    /// if the call is refused for one.
    std::string text_;
};

/// A replica of the pool's state that owns the pool while it is the leader.
class control_host
{
  public:
    using response_handler = std::function<void(control_response)>;
    using result_handler = std::function<void(pool::call_result)>;
    /// Sends a call to a worker.
    using worker_caller =
        std::function<void(const pool::worker_call&, result_handler)>;

    /// Throws storage_error, std::system_error.
    control_host(const control_settings& settings, worker_caller call_worker,
                 metric_registry& metrics);
    ~control_host();

    control_host(const control_host&) = delete;
    control_host& operator=(const control_host&) = delete;

    /// Registers or refreshes a worker; `sequence` numbers its announcements,
    /// and it will be slow for `cold_remaining`.
    void announce_worker(const pool::worker_info& info, std::int64_t clock_ms,
                         std::uint64_t sequence, duration cold_remaining,
                         response_handler on_response);
    /// Removes a worker that has finished its work.
    void remove_worker(const worker_name& worker, std::int64_t incarnation,
                       response_handler on_response);
    void put_config(const pool::pool_config& config,
                    response_handler on_response);
    /// Requests that nothing more starts on the workers of a zone, or withdraws
    /// that request. Idempotent.
    void set_evacuation(const zone_name& zone, bool is_evacuated,
                        response_handler on_response);
    /// Reads the current configuration, as it was submitted.
    void read_config(response_handler on_response);

    /// Adds seeds after the settings file was read again.
    void add_seeds(const std::vector<host_port>& seeds);

    /// Starts a graceful shutdown. Calls on_done once another host is the
    /// leader or the leadership transfer has timed out.
    void begin_stop(std::function<void()> on_done);

    /// Records how the event loop spends its time, by control_activity.
    [[nodiscard]] activity_meter& meter();

    /// Returns the state of this host as JSON, for operators.
    [[nodiscard]] std::string describe() const;

    /// Called once when the durable state can no longer be written.
    std::function<void()> on_failure_;

  private:
    class implementation;

    std::unique_ptr<implementation> implementation_;
};

} // namespace dandelioncrank::control
