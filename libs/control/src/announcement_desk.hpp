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
class announcement_desk
{
  public:
    explicit announcement_desk(const pool::pool_state& state) : state_(state) {}

    /// Whether the pool is large enough to be worth it.
    [[nodiscard]] bool spreads() const;
    /// Whether an announcement came after a later one of its worker.
    bool is_late(const pool::worker_info& info, std::uint64_t sequence);
    /// Forgets the last sequence of a worker whose change was not committed.
    void forget(const worker_name& worker);
    /// Whether the state holds exactly what a worker announces.
    [[nodiscard]] bool is_known(const pool::worker_info& info) const;
    /// Keeps an announcement for the next batch to the leader.
    void keep(const pool::worker_info& info, std::int64_t clock_ms);
    /// The batch, if there is one and the last one is long enough ago.
    std::vector<worker_sign> take_batch(instant now);

    /// The host where a worker announces itself, among some; empty for none.
    [[nodiscard]] static std::string
    home_of(const worker_name& worker, const std::vector<std::string>& hosts);

  private:
    const pool::pool_state& state_;
    std::map<worker_name, std::pair<std::int64_t, std::uint64_t>> sequences_;
    std::vector<worker_sign> batch_;
    instant sent_at_{};
};

} // namespace dandelioncrank::control
