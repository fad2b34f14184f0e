#pragma once

#include "dandelioncrank/core/time.hpp"

#include <QObject>
#include <QThread>

#include <functional>

namespace dandelioncrank::control {

/// Runs writes to the disk on a thread of their own, so that the event loop
/// does not wait for syncs.
class disk_thread
{
  public:
    disk_thread();
    /// Waits for the end of the current write; its handler is not called.
    ~disk_thread();

    disk_thread(const disk_thread&) = delete;
    disk_thread& operator=(const disk_thread&) = delete;

    /// Runs `write` on the thread, then `on_done` on the thread of this object.
    void run(std::function<void()> write,
             std::function<void(instant now)> on_done);

  private:
    QThread thread_;
    /// Lives on the thread.
    QObject writer_;
    /// Lives on the thread of this object.
    QObject context_;
};

} // namespace dandelioncrank::control
