#include "speed_description.hpp"

#include <QJsonArray>

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::control;

// A list of all workers would make the state dump of a large pool unreadable.
TEST_CASE("the state dump lists a bounded number of slow and fast workers",
          "[speed_description]")
{
    std::unordered_map<worker_name, double> speeds;
    for (int i = 0; i < 30; ++i)
        speeds[worker_name("w" + std::to_string(i))] =
            i < 20 ? 0.2 + i * 0.01 : 1.2 + i * 0.01;
    QJsonObject found = describe_worker_speeds(
        pool::summarize_speeds(speeds, max_listed_speeds));
    QJsonArray slowest = found["slowest"].toArray();
    QJsonArray fastest = found["fastest"].toArray();
    REQUIRE(slowest.size() == 10);
    CHECK(slowest[0].toObject()["worker"] == "w0");
    CHECK(slowest[0].toObject()["speed"].toDouble() == Approx(0.2));
    REQUIRE(fastest.size() == 10);
    CHECK(fastest[0].toObject()["worker"] == "w29");
    CHECK(found["slow"].toInt() == 20);
    CHECK(found["spread"].toDouble() == Approx(1.49 / 0.2).margin(0.01));
}
