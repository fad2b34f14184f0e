#include "dandelioncrank/metrics/metric_registry.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace std::chrono_literals;

TEST_CASE("metrics are rendered in the exposition format", "[metrics]")
{
    metric_registry registry;
    registry.count("requests", 2);
    registry.set_gauge("workers", 7);
    for (int i = 1; i <= 100; ++i)
        registry.record_duration("wait", i * 1ms);
    std::string text = registry.to_text();
    CHECK(text.find("dandelioncrank_requests_total 2\n") != text.npos);
    CHECK(text.find("dandelioncrank_workers 7\n") != text.npos);
    CHECK(text.find("dandelioncrank_wait_seconds_count 100\n") != text.npos);
    CHECK(text.find("dandelioncrank_wait_seconds_max 0.1\n") != text.npos);
}

TEST_CASE("durations are counted in cumulative histogram buckets", "[metrics]")
{
    metric_registry metrics;
    metrics.record_duration("commit", std::chrono::milliseconds(3));
    metrics.record_duration("commit", std::chrono::milliseconds(15));
    metrics.record_duration("commit", std::chrono::seconds(9));
    std::string text = metrics.to_text();
    auto has = [&text](const std::string& line) {
        return text.find("dandelioncrank_commit_seconds_bucket{le=\"" + line) !=
               std::string::npos;
    };
    CHECK(has("0.002\"} 0\n"));
    CHECK(has("0.005\"} 1\n"));
    CHECK(has("0.02\"} 2\n"));
    CHECK(has("5\"} 2\n"));
    CHECK(has("+Inf\"} 3\n"));
}
