#include "gang_driver.hpp"

#include <algorithm>

namespace dandelioncrank {

namespace {

// After this time a gang is stopped without its checkpoint.
constexpr duration checkpoint_timeout = std::chrono::milliseconds(1500);

bool all_parts_in(const gang& item, std::initializer_list<part_phase> phases)
{
    return std::all_of(item.parts_.begin(), item.parts_.end(),
                       [&](const gang_part& part) {
                           return std::find(phases.begin(), phases.end(),
                                            part.phase_) != phases.end();
                       });
}

} // namespace

gang_driver::gang_driver(worker_pool& pool, std::uint64_t epoch,
                         scheduling_fault fault)
    : pool_(pool), epoch_(epoch), fault_(fault)
{
}

resource_amount gang_driver::amount_of(const gang& item, const gang_part& part)
{
    return {part.tasks_ * item.spec_.accelerators_,
            part.tasks_ * item.spec_.processors_,
            part.tasks_ * item.spec_.memory_mb_};
}

void gang_driver::send(command_kind kind, gang& item, gang_part& part,
                       instant now, scheduling_actions& out)
{
    worker_command command;
    command.kind_ = kind;
    command.epoch_ = epoch_;
    command.gang_ = item.key_;
    command.tasks_ = part.tasks_;
    command.accelerators_ = item.spec_.accelerators_;
    command.processors_ = item.spec_.processors_;
    command.memory_mb_ = item.spec_.memory_mb_;
    pool_.change(part.worker_, [&](pool_worker& worker) {
        command.number_ = ++worker.last_command_;
    });
    part.command_ = command.number_;
    part.command_at_ = now;
    outboxes_[part.worker_].push_back(command);
    out.push_back(command_issued{pool_.at(part.worker_).info_.name_, command});
}

// The only place that changes occupied_ of a worker for a known gang.
void gang_driver::set_phase(gang& item, gang_part& part, part_phase next,
                            instant now)
{
    bool was_occupying = part.is_occupying();
    part.phase_ = next;
    part.phase_since_ = now;
    int change =
        static_cast<int>(part.is_occupying()) - static_cast<int>(was_occupying);
    if (change == 0)
        return;
    int accelerators = amount_of(item, part).accelerators_;
    pool_.change(part.worker_, [&](pool_worker& worker) {
        worker.occupied_ += change * accelerators;
    });
}

void gang_driver::advance(gang& item, instant now, scheduling_actions& out)
{
    switch (item.phase_) {
    case gang_phase::acquiring:
        send_holds(item, now, out);
        send_starts(item, now, out);
        break;
    case gang_phase::starting:
        if (all_parts_in(item, {part_phase::running, part_phase::finished,
                                part_phase::checkpointed})) {
            item.phase_ = gang_phase::running;
            item.running_since_ = now;
        }
        break;
    case gang_phase::running:
        break;
    case gang_phase::stopping:
        send_stops(item, now, out);
        break;
    }
}

void gang_driver::send_holds(gang& item, instant now, scheduling_actions& out)
{
    for (gang_part& part : item.parts_) {
        const pool_worker& worker = pool_.at(part.worker_);
        int need = amount_of(item, part).accelerators_;
        bool ready = part.phase_ == part_phase::waiting && worker.alive_ &&
                     worker.unoccupied() >= need;
        if (!ready)
            continue;
        set_phase(item, part, part_phase::hold_sent, now);
        send(command_kind::hold, item, part, now, out);
    }
}

void gang_driver::send_starts(gang& item, instant now, scheduling_actions& out)
{
    bool ready = all_parts_in(item, {part_phase::held});
    if (fault_ == scheduling_fault::start_before_all_hold)
        ready = item.parts_.front().phase_ == part_phase::held;
    if (!ready)
        return;
    if (!item.start_allowed_) {
        if (!item.record_requested_)
            out.push_back(start_record_requested{item.key_});
        item.record_requested_ = true;
        return;
    }
    item.phase_ = gang_phase::starting;
    item.started_ = true;
    for (gang_part& part : item.parts_) {
        set_phase(item, part, part_phase::start_sent, now);
        send(command_kind::start, item, part, now, out);
    }
}

void gang_driver::stop(gang& item, stop_cause cause, bool checkpoint,
                       instant now, scheduling_actions& out)
{
    if (item.phase_ == gang_phase::stopping)
        return;
    bool was_running = item.phase_ == gang_phase::running;
    item.phase_ = gang_phase::stopping;
    item.cause_ = cause;
    for (gang_part& part : item.parts_) {
        int accelerators = amount_of(item, part).accelerators_;
        if (part.phase_ == part_phase::ended)
            continue;
        part.counted_stopping_ = true;
        pool_.change(part.worker_, [&](pool_worker& worker) {
            worker.stopping_ += accelerators;
        });
    }
    item.checkpoint_requested_ = checkpoint && was_running;
    if (item.checkpoint_requested_) {
        item.checkpoint_deadline_ = now + checkpoint_timeout;
        for (gang_part& part : item.parts_) {
            if (part.phase_ == part_phase::running)
                send(command_kind::checkpoint, item, part, now, out);
        }
    }
    send_stops(item, now, out);
}

void gang_driver::send_stops(gang& item, instant now, scheduling_actions& out)
{
    if (item.checkpoint_requested_) {
        bool saved = all_parts_in(item, {part_phase::checkpointed});
        if (!saved && now < item.checkpoint_deadline_)
            return;
        item.checkpoint_done_ = saved;
        item.checkpoint_requested_ = false;
    }
    for (gang_part& part : item.parts_) {
        if (part.phase_ == part_phase::waiting)
            set_phase(item, part, part_phase::ended, now);
        bool already_stopping = part.phase_ == part_phase::ended ||
                                part.phase_ == part_phase::stop_sent;
        if (already_stopping)
            continue;
        set_phase(item, part, part_phase::stop_sent, now);
        send(command_kind::stop, item, part, now, out);
        if (fault_ == scheduling_fault::free_before_stop_confirmed)
            set_phase(item, part, part_phase::ended, now);
    }
}

stop_cause gang_driver::apply(gang& item, gang_part& part,
                              const reported_part* reported,
                              std::uint64_t applied_command, instant now)
{
    bool applied = applied_command >= part.command_;
    if (part.phase_ == part_phase::ended || part.phase_ == part_phase::waiting)
        return stop_cause::none;
    if (reported == nullptr) {
        if (!applied)
            return stop_cause::none;
        bool expected = part.phase_ == part_phase::stop_sent;
        set_phase(item, part, part_phase::ended, now);
        return expected ? stop_cause::none : stop_cause::part_lost;
    }
    if (part.phase_ == part_phase::stop_sent)
        return stop_cause::none;
    switch (reported->state_) {
    case part_state::held:
        if (part.phase_ == part_phase::hold_sent)
            set_phase(item, part, part_phase::held, now);
        return stop_cause::none;
    case part_state::running:
        if (part.phase_ == part_phase::start_sent)
            set_phase(item, part, part_phase::running, now);
        return stop_cause::none;
    case part_state::checkpointed:
        set_phase(item, part, part_phase::checkpointed, now);
        return stop_cause::none;
    case part_state::finished:
        set_phase(item, part, part_phase::finished, now);
        return stop_cause::none;
    case part_state::failed:
        set_phase(item, part, part_phase::failed, now);
        return stop_cause::task_failed;
    case part_state::refused:
        break;
    }
    return stop_cause::hold_refused;
}

void gang_driver::confirm(gang& item, gang_part& part, instant now,
                          scheduling_actions& out)
{
    send(command_kind::confirm, item, part, now, out);
}

void gang_driver::mark_part_lost(gang& item, gang_part& part, instant now)
{
    set_phase(item, part, part_phase::ended, now);
}

std::uint64_t gang_driver::stop_orphan(worker_index worker, const gang_key& key,
                                       scheduling_actions& out)
{
    worker_command command;
    command.kind_ = command_kind::stop;
    command.epoch_ = epoch_;
    command.gang_ = key;
    pool_.change(worker, [&](pool_worker& target) {
        command.number_ = ++target.last_command_;
    });
    outboxes_[worker].push_back(command);
    out.push_back(command_issued{pool_.at(worker).info_.name_, command});
    return command.number_;
}

const std::deque<worker_command>& gang_driver::outbox(worker_index worker) const
{
    static const std::deque<worker_command> empty;
    auto found = outboxes_.find(worker);
    return found == outboxes_.end() ? empty : found->second;
}

void gang_driver::acknowledge(worker_index worker, std::uint64_t applied)
{
    auto found = outboxes_.find(worker);
    if (found == outboxes_.end())
        return;
    auto& commands = found->second;
    while (!commands.empty() && commands.front().number_ <= applied)
        commands.pop_front();
    if (commands.empty())
        outboxes_.erase(found);
}

void gang_driver::clear_outbox(worker_index worker)
{
    outboxes_.erase(worker);
}

bool gang_driver::all_ended(const gang& item)
{
    return all_parts_in(item, {part_phase::ended});
}

} // namespace dandelioncrank
