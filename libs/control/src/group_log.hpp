#pragma once

#include "dandelioncrank/control/control_activity.hpp"
#include "dandelioncrank/metrics/activity_meter.hpp"
#include "dandelioncrank/metrics/metric_registry.hpp"
#include "dandelioncrank/replica/replica.hpp"
#include "pool_state_machine.hpp"

#include <QObject>

#include <functional>
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
    using read_handler = std::function<void(bool granted)>;

    group_log(replica<pool_state_machine>& replica, metric_registry& metrics,
              activity_meter& meter)
        : replica_(replica), metrics_(metrics), meter_(meter)
    {
    }

    /// Proposes a command; the handler may be empty.
    void enqueue(pool::pool_command command, command_handler on_response);
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
    };

    void flush();
    void flush_reads();
    void flush_commands();
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
