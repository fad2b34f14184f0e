#include "loop_report.hpp"

#include "dandelioncrank/control/control_activity.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::control;
using namespace std::chrono_literals;

namespace {

struct report_fixture
{
    std::chrono::nanoseconds now_{};
    activity_meter meter_{control_activity_names(), [this] { return now_; }};
    metric_registry metrics_;
    loop_report report_{meter_, metrics_};

    [[nodiscard]] bool shows(const std::string& line) const
    {
        return metrics_.to_text().find(line) != std::string::npos;
    }
};

} // namespace

TEST_CASE("a loop that is busy for over half of the time is reported",
          "[loop_report]")
{
    report_fixture host;
    std::vector<std::chrono::nanoseconds> spent(
        control_activity_names().size());
    spent[idle] = 500ms;
    spent[planning] = 300ms;
    spent[sessions] = 200ms;
    CHECK_FALSE(host.report_.high_load(spent));
    spent[sessions] = 450ms;
    auto fields = host.report_.high_load(spent);
    REQUIRE(fields);
    CHECK(fields->front() == component_logger::field{"busy_percent", "60"});
    CHECK(std::find(fields->begin(), fields->end(),
                    component_logger::field{"planning_ms", "300"}) !=
          fields->end());
}

TEST_CASE("the time of each activity is published once a second",
          "[loop_report]")
{
    report_fixture host;
    instant now{};
    host.report_.tick(now + 1s);
    {
        activity_meter::scope scope(host.meter_, planning);
        host.now_ += 250ms;
    }
    host.report_.tick(now + 1500ms);
    CHECK_FALSE(host.shows("dandelioncrank_loop_seconds_planning 0.25"));
    host.report_.tick(now + 2s);
    CHECK(host.shows("dandelioncrank_loop_seconds_planning 0.25"));
}
