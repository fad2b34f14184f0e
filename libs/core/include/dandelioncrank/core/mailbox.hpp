#pragma once

#include <QObject>
#include <QSocketNotifier>

#include <functional>
#include <memory>

#include <urcu/wfcqueue.h>

namespace dandelioncrank {

/// Queue of calls into the thread that created it.
///
/// post() is wait-free and may be called from any thread; the calls run in
/// order in the owner's event loop. Calls still queued at destruction are
/// dropped.
class mailbox : public QObject
{
  public:
    using task = std::function<void()>;

    /// Throws std::system_error when no event descriptor can be had.
    mailbox();
    ~mailbox() override;

    mailbox(const mailbox&) = delete;
    mailbox& operator=(const mailbox&) = delete;

    void post(task new_task);

    /// Runs every queued call now; owner's thread only.
    void drain();

  private:
    struct entry;

    cds_wfcq_head head_;
    cds_wfcq_tail tail_;
    int event_descriptor_;
    std::unique_ptr<QSocketNotifier> notifier_;
};

} // namespace dandelioncrank
