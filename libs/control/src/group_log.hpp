#pragma once

#include "dandelioncrank/control/control_activity.hpp"
#include "dandelioncrank/metrics/activity_meter.hpp"
#include "dandelioncrank/metrics/metric_registry.hpp"
#include "dandelioncrank/replica/replica.hpp"
#include "pool_state_machine.hpp"

#include <QObject>

#include <functional>
#include <optional>
#include <vector>

namespace dandelioncrank::control {

/// Batches the commands and reads of one control host for the group's
/// replicated log. Those that arrive close together share one entry and one
/// quorum round.
class group_log
{
  public:
    using command_handler =
        std::function<void(commit_result, pool::pool_reply)>;
    using settled_handler = std::function<void()>;
    using read_handler = std::function<void(bool granted)>;

    group_log(replica<pool_state_machine>& replica, metric_registry& metrics,
              activity_meter& meter)
        : replica_(replica), metrics_(metrics), meter_(meter)
    {
    }

    /// Proposes a command; the handler may be empty.
    void enqueue(pool::pool_command command, command_handler on_response);
    /// Proposes commands of the leader of a term, in order. The handler is
    /// called once each of them has been applied or certainly never will be;
    /// not if the term has ended before that.
    void enqueue_all(pool::pool_batch commands, term_number term,
                     settled_handler on_settled);
    /// Calls the handler once the state holds everything that was committed on
    /// any host or queued here before this call. Handlers run in the order of
    /// the calls.
    void read_barrier(read_handler on_response);
    /// Schedules a flush, even if nothing is queued.
    void schedule_flush();

    /// Called before each flush; may enqueue more.
    std::function<void()> on_flush_;

  private:
    struct queued_command
    {
        pool::pool_command command_;
        command_handler on_response_;
        settled_handler on_settled_;
        /// The only term in which it may be proposed, if set.
        std::optional<term_number> term_;
    };

    void flush();
    void flush_reads();
    void flush_commands();
    /// Drops commands that a leader of an earlier term has queued.
    void drop_outdated(std::vector<queued_command>& queue) const;
    void propose(std::vector<queued_command> commands);

    replica<pool_state_machine>& replica_;
    metric_registry& metrics_;
    activity_meter& meter_;
    std::vector<queued_command> commands_;
    std::vector<read_handler> reads_;
    bool flush_scheduled_ = false;
    instant flushed_at_{};
    /// Cancels pending timers when this object is destroyed.
    QObject context_;
};

} // namespace dandelioncrank::control
