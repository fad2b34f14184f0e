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
    /// A call on its way, and the state in which it was decided.
    struct open_call
    {
        client_call call_;
        answer_handler on_answer_;
        std::uint64_t config_version_ = 0;
        log_index applied_ = 0;
    };

    void serve_confirmed(const open_call& item);
    [[nodiscard]] bool is_stored_by(const client_call& call) const;
    void serve_routed(const open_call& item, const pool::queue_route& route);
    void submit(const open_call& item);
    /// Has a command committed and answers what came of it.
    void change(open_call item, pool::pool_command command);
    void finish(const open_call& item, client_outcome_kind kind);
    void finish(const open_call& item, client_answer answer);
    void log_answer(const open_call& item, const client_answer& answer);

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
