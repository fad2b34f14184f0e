#pragma once

#include "gang.hpp"

#include <deque>
#include <map>

namespace dandelioncrank {

/// Takes gangs through hold, start, checkpoint and stop on their workers.
///
/// Commands to a worker are numbered and stay in its outbox until a report
/// acknowledges them, so a lost message loses no command.
class gang_driver
{
  public:
    gang_driver(worker_pool& pool, std::uint64_t epoch, scheduling_fault fault);

    /// Sends the commands that the gang's phase requires next.
    void advance(gang& item, instant now, scheduling_actions& out);

    /// Begins to stop every part, after a checkpoint if requested.
    void stop(gang& item, stop_cause cause, bool checkpoint, instant now,
              scheduling_actions& out);

    /// Updates a part from a worker's report; reported is null if the worker
    /// does not list it. Returns why the gang must be stopped, or none.
    stop_cause apply(gang& item, gang_part& part, const reported_part* reported,
                     std::uint64_t applied_command, instant now);

    /// Asks the worker of an adopted part for a report that is newer than the
    /// one that listed it.
    void confirm(gang& item, gang_part& part, instant now,
                 scheduling_actions& out);

    /// Ends the part of a worker that restarted or whose lease expired.
    void mark_part_lost(gang& item, gang_part& part, instant now);

    /// Sends a stop for tasks that belong to no known gang. Returns the
    /// number of the command.
    std::uint64_t stop_orphan(worker_index worker, const gang_key& key,
                              scheduling_actions& out);

    [[nodiscard]] const std::deque<worker_command>&
    outbox(worker_index worker) const;
    void acknowledge(worker_index worker, std::uint64_t applied);
    void clear_outbox(worker_index worker);

    [[nodiscard]] static bool all_ended(const gang& item);
    [[nodiscard]] static resource_amount amount_of(const gang& item,
                                                   const gang_part& part);

  private:
    void send(command_kind kind, gang& item, gang_part& part, instant now,
              scheduling_actions& out);
    void set_phase(gang& item, gang_part& part, part_phase next, instant now);
    void send_holds(gang& item, instant now, scheduling_actions& out);
    void send_starts(gang& item, instant now, scheduling_actions& out);
    void send_stops(gang& item, instant now, scheduling_actions& out);

    worker_pool& pool_;
    std::uint64_t epoch_;
    scheduling_fault fault_;
    std::map<worker_index, std::deque<worker_command>> outboxes_;
};

} // namespace dandelioncrank
