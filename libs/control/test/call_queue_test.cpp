#include "call_queue.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::control;
using namespace std::chrono_literals;

namespace {

const instant start{1h};
using numbers = std::vector<call_queue::number>;

void add(call_queue& queue, const std::string& request, instant came_at)
{
    call_queue::open_call item;
    item.call_.request_ = request;
    item.came_at_ = came_at;
    item.deadline_ = came_at + 3s;
    queue.add(std::move(item));
}

} // namespace

TEST_CASE("a call whose attempt failed goes before those that came later",
          "[call_queue]")
{
    call_queue queue;
    add(queue, "a", start);
    CHECK(queue.take_waiting() == numbers{1});
    add(queue, "b", start + 1ms);
    queue.put_back(1, 1, true);
    CHECK(queue.take_waiting() == numbers{1, 2});
    CHECK(queue.find(1)->call_.attempt_ == 2);
    CHECK(queue.find(1)->call_.is_repeat_);
    CHECK(!queue.find(2)->call_.is_repeat_);
    CHECK(queue.take_waiting().empty());
}

TEST_CASE("a refused attempt leaves nothing in doubt", "[call_queue]")
{
    call_queue queue;
    add(queue, "a", start);
    queue.take_waiting();
    queue.put_back(1, 1, false);
    CHECK(!queue.find(1)->call_.is_repeat_);
}

TEST_CASE("what a replaced leader was asked waits again, in doubt",
          "[call_queue]")
{
    call_queue queue;
    add(queue, "a", start);
    queue.take_waiting();
    add(queue, "b", start + 1ms);
    queue.put_back_asked();
    CHECK(queue.find(1)->call_.is_repeat_);
    CHECK(!queue.find(2)->call_.is_repeat_);
    CHECK(queue.take_waiting() == numbers{1, 2});
    // The failure of the first attempt comes late.
    queue.put_back(1, 1, true);
    CHECK(!queue.has_waiting());
}

TEST_CASE("a call is answered once", "[call_queue]")
{
    call_queue queue;
    add(queue, "a", start);
    queue.take_waiting();
    CHECK(queue.take(1));
    CHECK(!queue.take(1));
    queue.put_back(1, 1, true);
    CHECK(!queue.has_waiting());
}

TEST_CASE("calls that wait in vain are taken out", "[call_queue]")
{
    call_queue queue;
    add(queue, "never asked", start);
    add(queue, "asked before", start);
    queue.take_waiting();
    queue.put_back(1, 1, false);
    queue.put_back(2, 1, true);
    SECTION("without a leader a call that is not in doubt waits briefly")
    {
        CHECK(queue.take_overdue(start + 299ms, false).empty());
        auto overdue = queue.take_overdue(start + 300ms, false);
        REQUIRE(overdue.size() == 1);
        CHECK(overdue[0].call_.request_ == "never asked");
    }
    SECTION("with one both wait until their time is over")
    {
        CHECK(queue.take_overdue(start + 2999ms, true).empty());
        CHECK(queue.take_overdue(start + 3s, true).size() == 2);
    }
    SECTION("a call that is asked is answered by its attempt")
    {
        queue.take_waiting();
        CHECK(queue.take_overdue(start + 1min, false).empty());
    }
}
