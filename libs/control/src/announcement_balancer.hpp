#pragma once

#include "control_messages.hpp"
#include "dandelioncrank/core/time.hpp"
#include "dandelioncrank/pool/job_model.hpp"
#include "dandelioncrank/pool/pool_state.hpp"

#include <map>
#include <string>
#include <vector>

namespace dandelioncrank::control {

/// Spreads the announcements of a large pool's workers over the control
/// hosts: each host acknowledges those that change nothing, and tells the
/// leader of them in batches. Pure.
class announcement_balancer
{
  public:
    explicit announcement_balancer(const pool::pool_state& state)
        : state_(state)
    {
    }

    /// Whether the pool is large enough to be worth it.
    [[nodiscard]] bool is_distributed() const;
    /// Whether an announcement came after a later one of its worker.
    bool is_stale(const pool::worker_info& info, std::uint64_t sequence);
    /// Forgets the last sequence of a worker whose change was not committed.
    void reset_sequence(const worker_name& worker);
    /// Whether the state holds exactly what a worker announces.
    [[nodiscard]] bool is_unchanged(const pool::worker_info& info) const;
    /// Keeps an announcement for the next batch to the leader.
    void add_to_batch(const pool::worker_info& info, std::int64_t clock_ms);
    /// The batch, if there is one and the last one is long enough ago.
    std::vector<relayed_announcement> take_batch(instant now);

    /// The host where a worker announces itself, among some; empty for none.
    [[nodiscard]] static std::string
    assigned_host(const worker_name& worker,
                  const std::vector<std::string>& hosts);

  private:
    const pool::pool_state& state_;
    std::map<worker_name, std::pair<std::int64_t, std::uint64_t>> sequences_;
    std::vector<relayed_announcement> batch_;
    instant batch_sent_at_{};
};

} // namespace dandelioncrank::control
