#include "stop_signal.hpp"

#include <csignal>

#include <sys/signalfd.h>
#include <unistd.h>

namespace dandelioncrank {

stop_signal::stop_signal(std::function<void()> on_stop)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    descriptor_ = ::signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    notifier_ =
        std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
    QObject::connect(notifier_.get(), &QSocketNotifier::activated,
                     [this, on_stop] {
                         signalfd_siginfo info{};
                         [[maybe_unused]] auto bytes_read =
                             ::read(descriptor_, &info, sizeof info);
                         on_stop();
                     });
}

stop_signal::~stop_signal()
{
    ::close(descriptor_);
}

} // namespace dandelioncrank
