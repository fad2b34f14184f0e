#pragma once

#include "dandelioncrank/control/client_call.hpp"
#include "dandelioncrank/logging/part_log.hpp"
#include "group_log.hpp"

#include <functional>

namespace dandelioncrank::control {

/// Serves clients' calls on the leader. Every answer, a refusal too, waits
/// for a round of the quorum, so that a deposed leader gives none.
class client_service
{
  public:
    using answer_handler = std::function<void(client_answer)>;

    client_service(const replica<pool_machine>& replica, group_log& log,
                   metric_registry& metrics)
        : replica_(replica), group_(log), metrics_(metrics)
    {
    }

    /// Answers not_leader on any other host.
    void serve(const client_call& call, answer_handler on_answer);

  private:
    void serve_confirmed(const client_call& call,
                         const answer_handler& on_answer);
    void serve_routed(const client_call& call, const pool::queue_route& route,
                      const answer_handler& on_answer);
    void submit(const client_call& call, const pool::queue_route& route,
                const answer_handler& on_answer);
    void cancel(const client_call& call, const job_id& id,
                const answer_handler& on_answer);
    void finish(const client_call& call, const client_answer& answer,
                const answer_handler& on_answer);
    void finish(const client_call& call, client_outcome_kind kind,
                const answer_handler& on_answer);

    [[nodiscard]] const pool::pool_state& state() const
    {
        return replica_.machine().state();
    }

    part_log log_{"control"};
    const replica<pool_machine>& replica_;
    group_log& group_;
    metric_registry& metrics_;
};

} // namespace dandelioncrank::control
