#include "call_queue.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::control;
using namespace std::chrono_literals;

namespace {

const instant start{1h};
using numbers = std::vector<call_queue::call_number>;

void add(call_queue& queue, const std::string& request, instant received_at)
{
    call_queue::pending_call item;
    item.call_.request_id_ = request;
    item.received_at_ = received_at;
    item.deadline_ = received_at + 3s;
    queue.add(std::move(item));
}

} // namespace

TEST_CASE("a failed call is sent again before calls that arrived later",
          "[call_queue]")
{
    call_queue queue;
    add(queue, "a", start);
    CHECK(queue.take_unsent() == numbers{1});
    add(queue, "b", start + 1ms);
    queue.requeue(1, 1, true);
    CHECK(queue.take_unsent() == numbers{1, 2});
    CHECK(queue.find(1)->call_.attempt_ == 2);
    CHECK(queue.find(1)->call_.may_have_executed_);
    CHECK(!queue.find(2)->call_.may_have_executed_);
    CHECK(queue.take_unsent().empty());
}

TEST_CASE("a refused attempt was not executed", "[call_queue]")
{
    call_queue queue;
    add(queue, "a", start);
    queue.take_unsent();
    queue.requeue(1, 1, false);
    CHECK(!queue.find(1)->call_.may_have_executed_);
}

TEST_CASE("calls sent to a replaced leader may have been executed",
          "[call_queue]")
{
    call_queue queue;
    add(queue, "a", start);
    queue.take_unsent();
    add(queue, "b", start + 1ms);
    queue.requeue_sent();
    CHECK(queue.find(1)->call_.may_have_executed_);
    CHECK(!queue.find(2)->call_.may_have_executed_);
    CHECK(queue.take_unsent() == numbers{1, 2});
    // The failure of the first attempt is reported late.
    queue.requeue(1, 1, true);
    CHECK(!queue.has_unsent());
}

TEST_CASE("a call is answered once", "[call_queue]")
{
    call_queue queue;
    add(queue, "a", start);
    queue.take_unsent();
    CHECK(queue.take(1));
    CHECK(!queue.take(1));
    queue.requeue(1, 1, true);
    CHECK(!queue.has_unsent());
}

TEST_CASE("expired calls are removed", "[call_queue]")
{
    call_queue queue;
    add(queue, "not executed", start);
    add(queue, "may have executed", start);
    queue.take_unsent();
    queue.requeue(1, 1, false);
    queue.requeue(2, 1, true);
    SECTION("without a leader a call that was not executed waits briefly")
    {
        CHECK(queue.take_expired(start + 299ms, false).empty());
        auto expired = queue.take_expired(start + 300ms, false);
        REQUIRE(expired.size() == 1);
        CHECK(expired[0].call_.request_id_ == "not executed");
    }
    SECTION("with a leader both wait until their deadline")
    {
        CHECK(queue.take_expired(start + 2999ms, true).empty());
        CHECK(queue.take_expired(start + 3s, true).size() == 2);
    }
    SECTION("a sent call does not expire")
    {
        queue.take_unsent();
        CHECK(queue.take_expired(start + 1min, false).empty());
    }
}
