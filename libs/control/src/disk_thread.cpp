#include "disk_thread.hpp"

#include <QMetaObject>

#include <utility>

namespace dandelioncrank::control {

disk_thread::disk_thread()
{
    writer_.moveToThread(&thread_);
    thread_.start();
}

disk_thread::~disk_thread()
{
    thread_.quit();
    thread_.wait();
}

void disk_thread::run(std::function<void()> write,
                      std::function<void(instant now)> on_done)
{
    QMetaObject::invokeMethod(
        &writer_,
        [this, write = std::move(write), on_done = std::move(on_done)] {
            write();
            QMetaObject::invokeMethod(
                &context_, [on_done] { on_done(steady_now()); },
                Qt::QueuedConnection);
        },
        Qt::QueuedConnection);
}

} // namespace dandelioncrank::control
