#include "group_log.hpp"

#include <QTimer>

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

// Minimum interval between two flushes: commands and reads that arrive within
// it share one log entry, one sync and one round of messages to every member.
constexpr auto min_flush_interval = 6ms;

} // namespace

void group_log::enqueue(pool::pool_command command, command_handler on_response)
{
    commands_.push_back(
        {std::move(command), std::move(on_response), nullptr, std::nullopt});
    schedule_flush();
}

void group_log::enqueue_all(pool::pool_batch commands, term_number term,
                            settled_handler on_settled)
{
    struct open_batch
    {
        std::size_t undecided_ = 0;
        settled_handler on_settled_;
    };
    auto batch = std::make_shared<open_batch>(
        open_batch{commands.size(), std::move(on_settled)});
    auto on_one = [batch] {
        if (--batch->undecided_ == 0)
            batch->on_settled_();
    };
    for (pool::pool_command& command : commands)
        commands_.push_back({std::move(command), nullptr, on_one, term});
    schedule_flush();
}

void group_log::read_barrier(read_handler on_response)
{
    reads_.push_back(std::move(on_response));
    schedule_flush();
}

void group_log::schedule_flush()
{
    if (flush_scheduled_)
        return;
    flush_scheduled_ = true;
    auto delay = std::chrono::ceil<std::chrono::milliseconds>(
        time_left(steady_now(), flushed_at_ + min_flush_interval));
    QTimer::singleShot(delay, Qt::PreciseTimer, &context_, [this] { flush(); });
}

void group_log::flush()
{
    flush_scheduled_ = false;
    flushed_at_ = steady_now();
    activity_meter::scope scope(meter_, consensus);
    if (on_flush_)
        on_flush_();
    // A read must see the commands that were queued before it.
    flush_commands();
    flush_reads();
}

void group_log::flush_reads()
{
    if (reads_.empty())
        return;
    // One quorum round serves all reads of this flush.
    auto batch =
        std::make_shared<std::vector<read_handler>>(std::exchange(reads_, {}));
    replica_.read(steady_now(), [batch](bool granted) {
        for (const read_handler& handler : *batch)
            handler(granted);
    });
}

// Calls are decided by the configuration in effect between two entries, so a
// configuration shares its entry with no other command.
void group_log::flush_commands()
{
    std::vector<queued_command> queue = std::exchange(commands_, {});
    drop_outdated(queue);
    auto is_config = [](const queued_command& item) {
        return std::holds_alternative<pool::put_config>(item.command_);
    };
    for (auto first = queue.begin(); first != queue.end();) {
        auto last = is_config(*first)
                        ? std::next(first)
                        : std::find_if(first, queue.end(), is_config);
        propose(
            {std::make_move_iterator(first), std::make_move_iterator(last)});
        first = last;
    }
}

// A later owner of the pool takes nothing for granted that is not applied by
// its beginning.
void group_log::drop_outdated(std::vector<queued_command>& queue) const
{
    bool has_terms =
        std::any_of(queue.begin(), queue.end(), [](const queued_command& item) {
            return item.term_.has_value();
        });
    if (!has_terms)
        return;
    term_number term = replica_.status().term_;
    std::erase_if(queue, [term](const queued_command& item) {
        return item.term_ && *item.term_ != term;
    });
}

void group_log::propose(std::vector<queued_command> commands)
{
    pool::pool_batch entry;
    for (const queued_command& item : commands)
        entry.push_back(item.command_);
    metrics_.count("commits");
    instant sent_at = steady_now();
    auto batch =
        std::make_shared<std::vector<queued_command>>(std::move(commands));
    replica_.propose(
        to_wire(entry), sent_at,
        [this, batch,
         sent_at](commit_result end,
                  const std::optional<pool_state_machine::reply>& replies) {
            if (end == commit_result::committed)
                metrics_.record_duration("commit", steady_now() - sent_at);
            for (std::size_t i = 0; i < batch->size(); ++i) {
                const queued_command& item = batch->at(i);
                auto reply =
                    replies ? replies->at(i) : pool::pool_reply::rejected;
                if (item.on_response_)
                    item.on_response_(end, reply);
            }
        },
        [this, batch, sent_at] {
            metrics_.record_duration("proposal", steady_now() - sent_at);
            for (const queued_command& item : *batch) {
                if (item.on_settled_)
                    item.on_settled_();
            }
        });
}

} // namespace dandelioncrank::control
