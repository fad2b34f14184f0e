#include "group_log.hpp"

#include <QTimer>

#include <memory>
#include <utility>

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

// Pause between two flushes while a commit is under way: calls and
// observations that come within it share one entry of the log, one sync and
// one round of messages to every member.
constexpr auto flush_pause = 6ms;

} // namespace

void group_log::enqueue(pool::pool_command command, command_handler on_answer)
{
    commands_.push_back({std::move(command), std::move(on_answer)});
    schedule_flush();
}

void group_log::confirm(read_handler on_answer)
{
    reads_.push_back(std::move(on_answer));
    schedule_flush();
}

void group_log::schedule_flush()
{
    if (flush_scheduled_)
        return;
    flush_scheduled_ = true;
    std::chrono::milliseconds pause{};
    if (open_commits_ > 0)
        pause = std::chrono::ceil<std::chrono::milliseconds>(
            time_left(steady_now(), flushed_at_ + flush_pause));
    QTimer::singleShot(pause, Qt::PreciseTimer, &context_, [this] { flush(); });
}

void group_log::flush()
{
    flush_scheduled_ = false;
    flushed_at_ = steady_now();
    if (on_flush_)
        on_flush_();
    flush_reads();
    flush_commands();
}

void group_log::flush_reads()
{
    if (reads_.empty())
        return;
    // Shared by the answers of all calls of this turn.
    auto batch =
        std::make_shared<std::vector<read_handler>>(std::exchange(reads_, {}));
    replica_.read(steady_now(), [batch](bool granted) {
        for (const read_handler& handler : *batch)
            handler(granted);
    });
}

void group_log::flush_commands()
{
    if (commands_.empty())
        return;
    auto batch = std::make_shared<std::vector<queued_command>>(
        std::exchange(commands_, {}));
    pool::pool_batch entry;
    for (const queued_command& item : *batch)
        entry.push_back(item.command_);
    metrics_.count("commits");
    ++open_commits_;
    instant sent_at = steady_now();
    replica_.propose(
        to_wire(entry), sent_at,
        [this, batch, sent_at](proposal_end end,
                               std::optional<pool_machine::reply> replies) {
            --open_commits_;
            if (end == proposal_end::committed)
                metrics_.time("commit", steady_now() - sent_at);
            for (std::size_t i = 0; i < batch->size(); ++i) {
                const queued_command& item = (*batch)[i];
                auto reply =
                    replies ? replies->at(i) : pool::pool_reply::rejected;
                if (item.on_answer_)
                    item.on_answer_(end, reply);
            }
        });
}

} // namespace dandelioncrank::control
