#include "dandelioncrank/metrics/metric_registry.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace std::chrono_literals;

TEST_CASE("metrics are shown in the exposition format", "[metrics]")
{
    metric_registry registry;
    registry.count("requests", 2);
    registry.gauge("workers", 7);
    for (int i = 1; i <= 100; ++i)
        registry.time("wait", i * 1ms);
    std::string text = registry.to_text();
    CHECK(text.find("dandelioncrank_requests_total 2\n") != text.npos);
    CHECK(text.find("dandelioncrank_workers 7\n") != text.npos);
    CHECK(text.find("dandelioncrank_wait_seconds_count 100\n") != text.npos);
    CHECK(text.find("dandelioncrank_wait_seconds_max 0.1\n") != text.npos);
}
