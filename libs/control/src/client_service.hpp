#pragma once

#include "dandelioncrank/control/client_call.hpp"
#include "dandelioncrank/logging/component_logger.hpp"
#include "dandelioncrank/pool/state_weight.hpp"
#include "group_log.hpp"

#include <functional>
#include <map>
#include <variant>
#include <vector>

namespace dandelioncrank::control {

/// Serves clients' calls on the leader, which decides them in order of arrival.
/// Every response, including a refusal, waits for a quorum round, so that a
/// deposed leader decides nothing.
class client_service
{
  public:
    using response_handler = std::function<void(client_response)>;

    client_service(const replica<pool_state_machine>& replica, group_log& log,
                   metric_registry& metrics,
                   std::uint64_t weight_limit = pool::default_weight_limit)
        : replica_(replica), group_(log), metrics_(metrics),
          weight_limit_(weight_limit)
    {
    }

    /// Responds with not_leader on any other host.
    void serve(const client_call& call, response_handler on_response);

    /// Called when this host has lost leadership or was elected again. Pending
    /// changes are answered with unsure: only the next leader knows whether
    /// they were committed.
    void end_leadership();

  private:
    /// A call in progress and the state in which it was decided.
    struct pending_call
    {
        client_call call_;
        response_handler on_response_;
        std::uint64_t config_version_ = 0;
        log_index applied_ = 0;
    };

    /// A client's change that is not yet committed.
    struct pending_change
    {
        pending_call call_;
        /// Calls to decide right after this change is applied.
        std::vector<pending_call> deferred_;
    };

    /// Decision on a call: a response, or a command that must be committed
    /// before the response is known.
    using decision = std::variant<client_response, pool::pool_command>;

    /// Continues a call after the quorum has confirmed this host as the leader.
    void handle_confirmed(pending_call item);
    /// Responds to a call, or proposes its command first.
    void execute(pending_call item, decision decided);
    /// Records the state in which a call is decided.
    void record_state(pending_call& item) const;
    [[nodiscard]] decision decide(const client_call& call) const;
    [[nodiscard]] bool
    is_stored_by_earlier_attempt(const client_call& call) const;
    [[nodiscard]] client_response
    count_waiting(const client_call& call,
                  const pool::queue_route& route) const;
    [[nodiscard]] decision decide_submit(const client_call& call,
                                         const pool::queue_route& route) const;
    [[nodiscard]] decision decide_for_job(const client_call& call,
                                          const pool::queue_route& route) const;

    /// Proposes a command and responds with its result.
    void propose_change(pending_call item, pool::pool_command command);
    void complete_change(pending_change change, commit_result end,
                         pool::pool_reply reply);
    void respond(const pending_call& item, client_call_outcome outcome);
    void respond(const pending_call& item, client_response response);
    void log_response(const pending_call& item,
                      const client_response& response);

    [[nodiscard]] const pool::pool_state& state() const
    {
        return replica_.machine().state();
    }

    component_logger log_{"control"};
    const replica<pool_state_machine>& replica_;
    group_log& group_;
    metric_registry& metrics_;
    /// New jobs are refused above this weight of the state, in bytes.
    std::uint64_t weight_limit_;
    /// Pending changes of this term, in order of arrival.
    std::map<std::uint64_t, pending_change> pending_changes_;
    std::uint64_t next_change_ = 1;
};

} // namespace dandelioncrank::control
