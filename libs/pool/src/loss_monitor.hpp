#pragma once

#include "dandelioncrank/pool/placement_planner.hpp"

#include <deque>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dandelioncrank::pool {

/// A worker that has lost contact, or whose incarnation has ended.
struct lost_worker
{
    worker_name name_;
    std::string address_;
    instant lost_at_{};
    /// Jobs that ran there, and gangs with members there.
    std::set<job_id> jobs_;
    std::set<step_key> gangs_;
    /// Contact was lost without a closed connection.
    bool is_silent_ = false;
    /// It had announced its shutdown.
    bool is_leaving_ = false;
};

/// Why a worker was lost, with the reason for the log.
struct loss_verdict
{
    incarnation_end_cause cause_ = incarnation_end_cause::crashed;
    std::string reason_;
};

/// Tells crashes that the tasks of a worker may have caused from those that
/// something else explains.
class loss_monitor
{
  public:
    /// Whether a job was given up because it crashes its workers.
    using blame_query = std::function<bool(const job_id&)>;

    explicit loss_monitor(blame_query is_blamed)
        : is_blamed_(std::move(is_blamed))
    {
    }

    /// Judges the end of an incarnation. `out_of_contact` holds the other
    /// workers that do not answer now.
    [[nodiscard]] loss_verdict
    judge(const lost_worker& lost,
          const std::vector<lost_worker>& out_of_contact, std::size_t pool_size,
          instant now);

    /// Whether a worker has crashed so often under different tasks that it
    /// gets no new work.
    [[nodiscard]] bool is_untrusted(const std::string& address,
                                    instant now) const;

  private:
    struct crash
    {
        instant at_{};
        std::set<job_id> jobs_;
    };

    struct address_history
    {
        std::deque<crash> crashes_;
        instant untrusted_until_{};
    };

    /// Crashes that no job is to blame for.
    [[nodiscard]] std::size_t
    unexplained_crashes(const address_history& history) const;

    [[nodiscard]] bool
    is_mass_loss(const lost_worker& lost,
                 const std::vector<lost_worker>& out_of_contact,
                 std::size_t pool_size) const;
    void forget_old(instant now);

    blame_query is_blamed_;
    std::deque<lost_worker> recent_;
    std::unordered_map<std::string, address_history> addresses_;
};

} // namespace dandelioncrank::pool
