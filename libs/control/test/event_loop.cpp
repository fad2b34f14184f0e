#include "event_loop.hpp"

#include "dandelioncrank/logging/component_logger.hpp"

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>

namespace dandelioncrank {

QCoreApplication& test_application()
{
    static int count = 1;
    static char name[] = "test";
    static char* words[] = {name, nullptr};
    static QCoreApplication instance(count, words);
    static bool is_logging = [] {
        start_logging("test", log_level::error);
        return true;
    }();
    (void)is_logging;
    return instance;
}

bool run_until(const std::function<bool()>& condition)
{
    test_application();
    QTimer wake;
    wake.start(5);
    instant deadline = steady_now() + test_timeout;
    while (!condition() && steady_now() < deadline)
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    return condition();
}

} // namespace dandelioncrank
