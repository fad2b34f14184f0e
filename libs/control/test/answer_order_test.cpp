#include "answer_order.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::control;
using namespace std::chrono_literals;

namespace {

const instant start{1h};

} // namespace

TEST_CASE("calls decided in the order in which they came agree",
          "[answer_order]")
{
    answer_order order;
    CHECK(!order.note({"a", start, 72}, start + 10ms));
    CHECK(!order.note({"b", start + 20ms, 72}, start + 30ms));
    CHECK(!order.note({"c", start + 40ms, 81}, start + 50ms));
    // Answered last, but it came first and was decided by the older one.
    CHECK(!order.note({"d", start - 1ms, 72}, start + 60ms));
}

TEST_CASE("a call that came earlier and was decided by a newer configuration "
          "contradicts",
          "[answer_order]")
{
    answer_order order;
    SECTION("the older decision is answered last")
    {
        order.note({"a", start, 81}, start + 700ms);
        auto other = order.note({"b", start + 400ms, 72}, start + 750ms);
        REQUIRE(other);
        CHECK(other->request_ == "a");
    }
    SECTION("the older decision is answered first")
    {
        order.note({"b", start + 400ms, 72}, start + 450ms);
        auto other = order.note({"a", start, 81}, start + 700ms);
        REQUIRE(other);
        CHECK(other->request_ == "b");
    }
}

TEST_CASE("answers of long ago are not compared with", "[answer_order]")
{
    answer_order order;
    order.note({"a", start, 81}, start);
    CHECK(!order.note({"b", start + 1min, 72}, start + 1min));
}
