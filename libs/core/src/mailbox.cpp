#include "dandelioncrank/core/mailbox.hpp"

#include <atomic>
#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <system_error>

#include <sys/eventfd.h>
#include <unistd.h>

namespace dandelioncrank {

struct mailbox::entry
{
    cds_wfcq_node node_;
    task task_;
    /// Establishes a C++ happens-before edge between writing and running the
    /// task. The queue's own barriers are inside liburcu, where race detectors
    /// do not see them.
    std::atomic<bool> published_{false};
};

mailbox::mailbox() : event_descriptor_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (event_descriptor_ < 0)
        throw std::system_error(errno, std::generic_category(), "eventfd");
    cds_wfcq_init(&head_, &tail_);
    notifier_ = std::make_unique<QSocketNotifier>(event_descriptor_,
                                                  QSocketNotifier::Read);
    QObject::connect(notifier_.get(), &QSocketNotifier::activated, this,
                     [this] { drain(); });
}

mailbox::~mailbox()
{
    notifier_.reset();
    while (cds_wfcq_node* node = __cds_wfcq_dequeue_blocking(
               cds_wfcq_head_cast(&head_), &tail_)) {
        delete reinterpret_cast<entry*>(node);
    }
    ::close(event_descriptor_);
    cds_wfcq_destroy(&head_, &tail_);
}

void mailbox::post(task new_task)
{
    auto* item = new entry;
    item->task_ = std::move(new_task);
    cds_wfcq_node_init(&item->node_);
    item->published_.store(true, std::memory_order_release);
    bool was_non_empty =
        cds_wfcq_enqueue(cds_wfcq_head_cast(&head_), &tail_, &item->node_);
    if (was_non_empty)
        return;
    std::uint64_t increment = 1;
    // The result is ignored: a write to a saturated counter fails, but a
    // saturated counter wakes the owner as well.
    [[maybe_unused]] auto bytes_written =
        ::write(event_descriptor_, &increment, sizeof increment);
}

void mailbox::drain()
{
    std::uint64_t count = 0;
    [[maybe_unused]] auto bytes_read =
        ::read(event_descriptor_, &count, sizeof count);
    while (cds_wfcq_node* node = __cds_wfcq_dequeue_blocking(
               cds_wfcq_head_cast(&head_), &tail_)) {
        std::unique_ptr<entry> item(reinterpret_cast<entry*>(node));
        if (item->published_.load(std::memory_order_acquire))
            item->task_();
    }
}

} // namespace dandelioncrank
