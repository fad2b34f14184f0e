#pragma once

#include "announcement_balancer.hpp"
#include "dandelioncrank/control/control_host.hpp"
#include "dandelioncrank/logging/component_logger.hpp"
#include "dandelioncrank/pool/pool_owner.hpp"
#include "group_log.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dandelioncrank::control {

/// Handles worker announcements, as the leader or on its behalf, and removals,
/// which are answered once the worker may exit.
class worker_service
{
  public:
    using response_handler = control_host::response_handler;

    /// `own_address` is the address at which workers reach this host.
    worker_service(const replica<pool_state_machine>& replica, group_log& group,
                   pool::pool_owner& owner,
                   control_host::worker_caller call_worker,
                   metric_registry& metrics, std::string own_address);

    void announce(const pool::worker_info& info, std::int64_t clock_ms,
                  std::uint64_t sequence, duration cold_remaining,
                  const response_handler& on_response);
    void remove(const worker_name& worker, std::int64_t incarnation,
                const response_handler& on_response);
    /// Answers pending removals: with done once the worker's incarnation has
    /// ended in the state or the worker has had its time to report outcomes,
    /// with redirect or unavailable if this host no longer owns the pool.
    void complete_removals(bool owns_pool);
    /// Registers the announced workers whose predecessors have ended in the
    /// state; those that have waited for too long are told to ask again.
    void complete_registrations(bool owns_pool, instant now);
    /// Processes announcements that other hosts have acknowledged on the
    /// leader's behalf.
    void receive_relayed(const relayed_announcements& item, instant now);
    /// Returns announcements acknowledged on the leader's behalf; empty if no
    /// batch is due.
    std::vector<relayed_announcement> take_batch(instant now)
    {
        return balancer_.take_batch(now);
    }

    /// Returns the response of a host that is not the leader.
    std::function<control_response()> redirect_to_leader_;
    /// Returns the control addresses of the live control hosts.
    std::function<std::vector<std::string>()> live_hosts_;
    /// Called when the pool owner has work to do.
    std::function<void()> on_owner_work_;

  private:
    /// A worker that is new or has changed.
    struct registration
    {
        pool::worker_info info_;
        std::int64_t clock_ms_ = 0;
        /// The response once it is registered.
        control_response done_;
        response_handler on_response_;
        instant since_{};
        /// The process at the address has confirmed the announcement.
        bool is_confirmed_ = false;
        duration cold_remaining_{};
    };

    void log_registration(const pool::worker_info& info);
    /// Whether to believe the announcement takes the end of another incarnation
    /// or the return of one that has ended.
    [[nodiscard]] bool contradicts_state(const pool::worker_info& info) const;
    /// Asks the process at the announced address who it is.
    void confirm_worker(registration item);
    void handle_confirmation(registration& item,
                             const pool::call_result& result,
                             std::uint64_t token);
    void commit_worker(const registration& item);
    /// Tells the worker to ask again.
    void give_up(const registration& item);
    /// Returns the host to which a worker sends its announcements.
    [[nodiscard]] std::string assigned_host(const worker_name& worker) const;
    [[nodiscard]] const pool::pool_state& state() const
    {
        return replica_.machine().state();
    }

    component_logger log_{"control"};
    const replica<pool_state_machine>& replica_;
    group_log& group_;
    pool::pool_owner& owner_;
    control_host::worker_caller call_worker_;
    metric_registry& metrics_;
    std::string own_address_;
    announcement_balancer balancer_;
    /// Announcements that wait for their confirmation, or for the end of the
    /// incarnations that they replace.
    std::map<worker_name, registration> registrations_;
    /// Revision of the workers for which the registrations were last checked.
    std::optional<std::uint64_t> seen_workers_revision_;
    /// Removals that wait for the end of the incarnation of a worker.
    std::map<std::pair<worker_name, std::int64_t>,
             std::vector<response_handler>>
        pending_removals_;
};

} // namespace dandelioncrank::control
