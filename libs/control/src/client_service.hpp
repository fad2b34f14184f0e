#pragma once

#include "dandelioncrank/control/client_call.hpp"
#include "dandelioncrank/logging/part_log.hpp"
#include "group_log.hpp"

#include <functional>
#include <map>
#include <variant>
#include <vector>

namespace dandelioncrank::control {

/// Serves clients' calls on the leader, which decides them in the order in
/// which they come. Every answer, a refusal too, waits for a round of the
/// quorum, so that a deposed leader gives none.
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

    /// This host has lost the lead, or has it anew: whether changes on their
    /// way were made is for the next leader to say.
    void end_leadership();

  private:
    /// A call on its way, and the state in which it was decided.
    struct open_call
    {
        client_call call_;
        answer_handler on_answer_;
        std::uint64_t config_version_ = 0;
        log_index applied_ = 0;
    };

    /// A client's change on its way to the log.
    struct open_change
    {
        open_call call_;
        /// Calls that are decided behind it.
        std::vector<open_call> behind_;
    };

    /// What the state says of a call: an answer, or a command that has to be
    /// committed before there is one.
    using decision = std::variant<client_answer, pool::pool_command>;

    /// Takes a call further after the quorum has confirmed that this host
    /// leads.
    void settle(open_call item);
    /// Answers a call, or has its command committed first.
    void carry_out(open_call item, decision said);
    /// Notes the state in which a call is decided.
    void note_state(open_call& item) const;
    [[nodiscard]] decision decide(const client_call& call) const;
    [[nodiscard]] bool is_stored_by(const client_call& call) const;
    [[nodiscard]] client_answer
    count_waiting(const client_call& call,
                  const pool::queue_route& route) const;
    [[nodiscard]] decision decide_submit(const client_call& call) const;
    [[nodiscard]] decision decide_for_job(const client_call& call,
                                          const pool::queue_route& route) const;
    /// Has a command committed and answers what came of it.
    void change(open_call item, pool::pool_command command);
    void end_change(open_change change, commit_result end,
                    pool::pool_reply reply);
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
    /// Changes of this term by the order in which they came.
    std::map<std::uint64_t, open_change> changes_;
    std::uint64_t next_change_ = 1;
};

} // namespace dandelioncrank::control
