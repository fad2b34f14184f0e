#pragma once

#include "control_messages.hpp"
#include "dandelioncrank/core/time.hpp"
#include "dandelioncrank/pool/job_model.hpp"
#include "dandelioncrank/pool/pool_state.hpp"

#include <map>
#include <string>
#include <vector>

namespace dandelioncrank::control {

/// Distributes the announcements of a large pool's workers over the control
/// hosts. Each host acknowledges announcements that change nothing and relays
/// them to the leader in batches. Performs no I/O.
class announcement_balancer
{
  public:
    explicit announcement_balancer(const pool::pool_state& state)
        : state_(state)
    {
    }

    /// Whether the pool is large enough to distribute announcements.
    [[nodiscard]] bool is_distributed() const;
    /// Whether this or a later announcement of the worker has already arrived.
    /// If not, records the sequence.
    bool is_stale(const pool::worker_info& info, std::uint64_t sequence,
                  instant now);
    /// Discards the last sequence of a worker whose change was not committed.
    void reset_sequence(const worker_name& worker);
    /// Whether the state already holds exactly the announced information.
    [[nodiscard]] bool is_unchanged(const pool::worker_info& info) const;
    /// Adds an announcement to the next batch for the leader.
    void add_to_batch(const pool::worker_info& info, std::int64_t clock_ms,
                      duration cold_remaining = {});
    /// Returns the batch if the batch interval has passed, else an empty one.
    std::vector<relayed_announcement> take_batch(instant now);

    /// Returns the host to which a worker sends its announcements; empty if
    /// there are no hosts.
    [[nodiscard]] static std::string
    assigned_host(const worker_name& worker,
                  const std::vector<std::string>& hosts);

  private:
    /// The last announcement of a worker.
    struct announcement
    {
        std::int64_t incarnation_ = 0;
        std::uint64_t sequence_ = 0;
        /// A lower one that came long after it; 0 for none.
        std::uint64_t lower_sequence_ = 0;
        instant at_{};
    };

    const pool::pool_state& state_;
    std::map<worker_name, announcement> announcements_;
    std::vector<relayed_announcement> batch_;
    instant batch_sent_at_{};
};

} // namespace dandelioncrank::control
