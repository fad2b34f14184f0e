#include "disk_thread.hpp"

#include "event_loop.hpp"

#include <catch2/catch.hpp>

#include <QCoreApplication>

#include <future>

using namespace dandelioncrank;
using namespace dandelioncrank::control;
using namespace std::chrono_literals;

// A sync that hangs blocked the event loop, and with it heartbeats and answers.
TEST_CASE("the event loop goes on while a write hangs", "[disk_thread]")
{
    test_application();
    disk_thread disk;
    std::promise<void> disk_recovers;
    std::shared_future<void> recovered = disk_recovers.get_future().share();
    bool is_done = false;
    disk.run([recovered] { recovered.wait(); },
             [&is_done](instant) { is_done = true; });
    bool loop_ran = false;
    QMetaObject::invokeMethod(
        QCoreApplication::instance(), [&loop_ran] { loop_ran = true; },
        Qt::QueuedConnection);
    CHECK(run_until([&loop_ran] { return loop_ran; }));
    CHECK_FALSE(is_done);
    disk_recovers.set_value();
    CHECK(run_until([&is_done] { return is_done; }));
}

TEST_CASE("writes run one after the other, each before its handler",
          "[disk_thread]")
{
    test_application();
    disk_thread disk;
    std::vector<int> order;
    disk.run([&order] { order.push_back(1); },
             [&](instant) {
                 order.push_back(2);
                 disk.run([&order] { order.push_back(3); },
                          [&order](instant) { order.push_back(4); });
             });
    CHECK(run_until([&order] { return order.size() == 4; }));
    CHECK(order == std::vector<int>{1, 2, 3, 4});
}
