#include "dandelioncrank/control/overload_detector.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::control;
using namespace std::chrono_literals;

namespace {

constexpr duration interval = 100ms;

/// Records the same sample for a while and returns whether the host was
/// overloaded at the end.
bool record_for(overload_detector& detector, instant& now, duration time,
                const load_sample& sample)
{
    for (duration passed{}; passed < time; passed += interval) {
        now += interval + sample.loop_lag_;
        detector.record(sample, now);
    }
    return detector.is_overloaded();
}

} // namespace

// Guards against a load balancer that goes on sending to a host that is full.
TEST_CASE("each means that is nearly exhausted is noticed",
          "[overload_detector]")
{
    struct exhausted_case
    {
        load_sample sample_;
        std::string cause_;
    };
    for (const exhausted_case& item :
         {exhausted_case{{0ms, 0.9, false}, "memory"},
          exhausted_case{{0ms, 0, true}, "descriptors"},
          exhausted_case{{1500ms, 0, false}, "processor"}}) {
        INFO(item.cause_);
        overload_detector detector;
        instant now{};
        CHECK(record_for(detector, now, 3s, item.sample_));
        CHECK(detector.cause() == item.cause_);
        CHECK_FALSE(record_for(detector, now, 2s, {}));
    }
}

// Guards against a host that is taken out for a peak, or that comes and goes.
TEST_CASE("short peaks and small changes do not count", "[overload_detector]")
{
    overload_detector detector;
    instant now{};
    for (int i = 0; i < 10; ++i) {
        CHECK_FALSE(record_for(detector, now, 1s, {0ms, 0.9, false}));
        CHECK_FALSE(record_for(detector, now, interval, {}));
    }
    CHECK_FALSE(record_for(detector, now, 1min, {100ms, 0.6, false}));
    CHECK(record_for(detector, now, 3s, {0ms, 0.9, false}));
    CHECK(record_for(detector, now, 1min, {0ms, 0.7, false}));
    CHECK_FALSE(record_for(detector, now, 2s, {0ms, 0.5, false}));
}
