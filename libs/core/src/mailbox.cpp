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
    call work_;
    /// Orders the write of the work before its read for the language too;
    /// the queue's own barriers are in a library that race detectors do not
    /// see into.
    std::atomic<bool> written_{false};
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

void mailbox::post(call work)
{
    auto* item = new entry;
    item->work_ = std::move(work);
    cds_wfcq_node_init(&item->node_);
    item->written_.store(true, std::memory_order_release);
    bool was_filled =
        cds_wfcq_enqueue(cds_wfcq_head_cast(&head_), &tail_, &item->node_);
    if (was_filled)
        return;
    std::uint64_t one = 1;
    // A full counter still wakes the owner, so the result does not matter.
    [[maybe_unused]] auto written =
        ::write(event_descriptor_, &one, sizeof one);
}

void mailbox::drain()
{
    std::uint64_t count = 0;
    [[maybe_unused]] auto got = ::read(event_descriptor_, &count, sizeof count);
    while (cds_wfcq_node* node = __cds_wfcq_dequeue_blocking(
               cds_wfcq_head_cast(&head_), &tail_)) {
        std::unique_ptr<entry> item(reinterpret_cast<entry*>(node));
        if (item->written_.load(std::memory_order_acquire))
            item->work_();
    }
}

} // namespace dandelioncrank
