#include "config_order_checker.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::control;
using namespace std::chrono_literals;

namespace {

const instant start{1h};

} // namespace

TEST_CASE("calls decided in order of arrival do not contradict",
          "[config_order_checker]")
{
    config_order_checker checker;
    CHECK(!checker.record({"a", start, 72}, start + 10ms));
    CHECK(!checker.record({"b", start + 20ms, 72}, start + 30ms));
    CHECK(!checker.record({"c", start + 40ms, 81}, start + 50ms));
    // Answered last, but arrived first and was decided by the older one.
    CHECK(!checker.record({"d", start - 1ms, 72}, start + 60ms));
}

TEST_CASE(
    "a call that arrived earlier and was decided by a newer configuration "
    "contradicts",
    "[config_order_checker]")
{
    config_order_checker checker;
    SECTION("the older decision is answered last")
    {
        checker.record({"a", start, 81}, start + 700ms);
        auto other = checker.record({"b", start + 400ms, 72}, start + 750ms);
        REQUIRE(other);
        CHECK(other->request_id_ == "a");
    }
    SECTION("the older decision is answered first")
    {
        checker.record({"b", start + 400ms, 72}, start + 450ms);
        auto other = checker.record({"a", start, 81}, start + 700ms);
        REQUIRE(other);
        CHECK(other->request_id_ == "b");
    }
}

TEST_CASE("old responses are not compared", "[config_order_checker]")
{
    config_order_checker checker;
    checker.record({"a", start, 81}, start);
    CHECK(!checker.record({"b", start + 1min, 72}, start + 1min));
}
