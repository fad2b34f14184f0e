#include "dandelioncrank/metrics/activity_meter.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace std::chrono_literals;

namespace {

enum activity : std::size_t
{
    other,
    planning,
    logging
};

} // namespace

TEST_CASE("nested activities are charged for their own time only",
          "[activity_meter]")
{
    std::chrono::nanoseconds now = 5ms;
    activity_meter meter({"other", "planning", "logging"},
                         [&now] { return now; });
    now += 1ms;
    {
        activity_meter::scope outer(meter, planning);
        now += 10ms;
        {
            activity_meter::scope inner(meter, logging);
            now += 3ms;
        }
        now += 20ms;
    }
    now += 2ms;
    auto totals = meter.totals();
    CHECK(totals[other] == 3ms);
    CHECK(totals[planning] == 30ms);
    CHECK(totals[logging] == 3ms);
}

TEST_CASE("totals include the activity in progress", "[activity_meter]")
{
    std::chrono::nanoseconds now = 0ms;
    activity_meter meter({"other", "planning"}, [&now] { return now; });
    activity_meter::scope scope(meter, planning);
    now += 7ms;
    CHECK(meter.totals()[planning] == 7ms);
    now += 1ms;
    CHECK(meter.totals()[planning] == 8ms);
}

TEST_CASE("an exception ends the activity", "[activity_meter]")
{
    std::chrono::nanoseconds now = 0ms;
    activity_meter meter({"other", "planning"}, [&now] { return now; });
    try {
        activity_meter::scope scope(meter, planning);
        now += 4ms;
        throw std::string("fault");
    } catch (const std::string&) {
        now += 6ms;
    }
    auto totals = meter.totals();
    CHECK(totals[planning] == 4ms);
    CHECK(totals[other] == 6ms);
}
