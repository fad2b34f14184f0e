#pragma once

#include <QObject>
#include <QSocketNotifier>

#include <functional>
#include <memory>

#include <urcu/wfcqueue.h>

namespace dandelioncrank {

/// Multi-producer queue of tasks for the thread that created it.
///
/// post() is wait-free and may be called from any thread; tasks run in FIFO
/// order in the owner's event loop. Tasks still queued at destruction are
/// discarded.
class mailbox : public QObject
{
  public:
    using task = std::function<void()>;

    /// Throws std::system_error if the eventfd cannot be created.
    mailbox();
    ~mailbox() override;

    mailbox(const mailbox&) = delete;
    mailbox& operator=(const mailbox&) = delete;

    void post(task new_task);

    /// Runs all queued tasks now. Call only from the owner's thread.
    void drain();

  private:
    struct entry;

    cds_wfcq_head head_;
    cds_wfcq_tail tail_;
    int event_descriptor_;
    std::unique_ptr<QSocketNotifier> notifier_;
};

} // namespace dandelioncrank
