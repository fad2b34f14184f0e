#pragma once

#include "announcement_balancer.hpp"
#include "dandelioncrank/control/control_host.hpp"
#include "dandelioncrank/logging/component_logger.hpp"
#include "dandelioncrank/pool/pool_owner.hpp"
#include "group_log.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dandelioncrank::control {

/// Takes what workers say of themselves: announcements, by the leader or in its
/// name, and leaves, which are answered once their lives are over.
class worker_service
{
  public:
    using response_handler = control_host::response_handler;

    /// `own_address` is where workers reach this host.
    worker_service(const replica<pool_state_machine>& replica, group_log& group,
                   pool::pool_owner& owner, std::string own_address);

    void announce(const pool::worker_info& info, std::int64_t clock_ms,
                  std::uint64_t sequence, const response_handler& on_response);
    void remove(const worker_name& worker, std::int64_t life,
                const response_handler& on_response);
    /// Answers workers that leave: done once their lives are over in the
    /// state, and elsewhere if this host does not own the pool any more.
    void complete_removals(bool owns_pool);
    /// What other hosts have acknowledged in the leader's name.
    void receive_relayed(const relayed_announcements& item, instant now);
    /// What this host has acknowledged so; empty if nothing is due.
    std::vector<relayed_announcement> take_batch(instant now)
    {
        return balancer_.take_batch(now);
    }

    /// The answer of a host that does not lead.
    std::function<control_response()> redirect_to_leader_;
    /// Where workers reach the control hosts that are there.
    std::function<std::vector<std::string>()> live_hosts_;
    /// The owner has something to do.
    std::function<void()> on_owner_work_;

  private:
    void commit_worker(const pool::worker_info& info, std::int64_t clock_ms,
                       const control_response& done,
                       const response_handler& on_response);
    /// Where a worker is to announce itself.
    [[nodiscard]] std::string assigned_host(const worker_name& worker) const;
    [[nodiscard]] const pool::pool_state& state() const
    {
        return replica_.machine().state();
    }

    component_logger log_{"control"};
    const replica<pool_state_machine>& replica_;
    group_log& group_;
    pool::pool_owner& owner_;
    std::string own_address_;
    announcement_balancer balancer_;
    /// Workers that wait for the end of their lives.
    std::map<std::pair<worker_name, std::int64_t>,
             std::vector<response_handler>>
        pending_removals_;
};

} // namespace dandelioncrank::control
