#pragma once

#include <QObject>
#include <QSocketNotifier>

#include <functional>
#include <memory>

namespace dandelioncrank {

/// Invokes a callback in the event loop on SIGTERM or SIGINT.
class stop_signal
{
  public:
    explicit stop_signal(std::function<void()> on_stop);
    ~stop_signal();

    stop_signal(const stop_signal&) = delete;
    stop_signal& operator=(const stop_signal&) = delete;

  private:
    int descriptor_;
    std::unique_ptr<QSocketNotifier> notifier_;
};

} // namespace dandelioncrank
