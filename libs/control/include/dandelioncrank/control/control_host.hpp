#pragma once

#include "dandelioncrank/control/client_call.hpp"
#include "dandelioncrank/control/control_settings.hpp"
#include "dandelioncrank/metrics/metric_registry.hpp"
#include "dandelioncrank/pool/pool_state.hpp"
#include "dandelioncrank/pool/worker_calls.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace dandelioncrank::control {

/// What became of a worker's or an operator's call.
enum class control_outcome
{
    done,
    /// Another host leads; see its control address.
    redirect,
    /// No leader is known, or it could not commit in time.
    unavailable
};

struct control_response
{
    control_outcome outcome_ = control_outcome::unavailable;
    /// Control address of the leader, for elsewhere and done.
    std::string leader_;
    /// Of a read of the configuration; empty if there is none yet.
    std::string text_;
};

/// A control host: a replica of the pool's state and, while it leads, the
/// owner of the pool.
class control_host
{
  public:
    using response_handler = std::function<void(control_response)>;
    using result_handler = std::function<void(pool::call_result)>;
    /// Carries a call to a worker.
    using worker_caller =
        std::function<void(const pool::worker_call&, result_handler)>;

    /// Throws storage_error, std::system_error.
    control_host(const control_settings& settings, worker_caller call_worker,
                 metric_registry& metrics);
    ~control_host();

    control_host(const control_host&) = delete;
    control_host& operator=(const control_host&) = delete;

    /// A worker describes itself; sequence counts its announcements.
    void announce_worker(const pool::worker_info& info, std::int64_t clock_ms,
                         std::uint64_t sequence, response_handler on_response);
    /// A worker has ended its work and leaves.
    void remove_worker(const worker_name& worker, std::int64_t life,
                       response_handler on_response);
    void put_config(const pool::pool_config& config,
                    response_handler on_response);
    /// The newest configuration, as it was sent.
    void read_config(response_handler on_response);

    /// Seeds of a settings file that was read again.
    void add_seeds(const std::vector<host_port>& seeds);

    /// Begins the planned stop; on_done is called once another host leads.
    void begin_stop(std::function<void()> on_done);

    /// State of this host as JSON, for people.
    [[nodiscard]] std::string describe() const;

    /// Called once if the durable state cannot be written any more.
    std::function<void()> on_failure_;

  private:
    class implementation;

    std::unique_ptr<implementation> implementation_;
};

} // namespace dandelioncrank::control
