#include "dandelioncrank/http/buffer_account.hpp"
#include "dandelioncrank/http/memory_share.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace dandelioncrank;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t limit = 100'000;
constexpr std::size_t large = 30'000;

/// An account that frees its buffers when it is asked to.
struct holder
{
    explicit holder(buffer_budget& budget) : account_(budget)
    {
        account_.on_granted_ = [this] { ++granted_; };
        account_.on_reclaim_ = [this] {
            ++reclaimed_;
            account_.release_reservation();
            account_.set_buffered(0);
        };
    }

    buffer_account account_;
    int granted_ = 0;
    int reclaimed_ = 0;
};

} // namespace

// Guards against more bodies being read at once than memory is there for.
TEST_CASE("large bodies wait for each other in order", "[buffer_budget]")
{
    buffer_budget budget(limit);
    std::vector<std::unique_ptr<holder>> holders;
    for (int i = 0; i < 4; ++i)
        holders.push_back(std::make_unique<holder>(budget));
    CHECK(holders[0]->account_.reserve(large, instant{}));
    CHECK(holders[1]->account_.reserve(large, instant{}));
    CHECK_FALSE(holders[2]->account_.reserve(large, instant{}));
    // A smaller one that comes later does not overtake.
    CHECK_FALSE(holders[3]->account_.reserve(1, instant{}));
    CHECK(budget.used_bytes() == 2 * large);
    holders[0]->account_.release_reservation();
    CHECK(holders[2]->granted_ == 1);
    CHECK(holders[3]->granted_ == 0);
    holders[1].reset();
    CHECK(holders[3]->granted_ == 1);
    CHECK(budget.used_bytes() == large + 1);
}

// Guards against bodies that wait unread in the kernel, without a bound.
TEST_CASE("no more bodies wait than the kernel may hold", "[buffer_budget]")
{
    buffer_budget budget(limit);
    budget.set_unread_bytes(limit / 2);
    holder active(budget);
    CHECK(active.account_.reserve(2 * limit / 3, instant{}));
    std::vector<std::unique_ptr<holder>> holders;
    for (int i = 0; i < 3; ++i) {
        holders.push_back(std::make_unique<holder>(budget));
        CHECK_FALSE(holders.back()->account_.reserve(large, instant{}));
    }
    CHECK(holders[0]->account_.is_waiting());
    CHECK(holders[1]->account_.is_waiting());
    CHECK_FALSE(holders[2]->account_.is_waiting());
    active.account_.release_reservation();
    CHECK(holders[0]->granted_ == 1);
    CHECK(holders[1]->granted_ == 1);
    CHECK(holders[2]->granted_ == 0);
}

TEST_CASE("a body larger than the limit is read if none else is",
          "[buffer_budget]")
{
    buffer_budget budget(limit);
    holder first(budget);
    holder second(budget);
    CHECK(first.account_.reserve(2 * limit / 3, instant{}));
    CHECK_FALSE(second.account_.reserve(1, instant{}));
    first.account_.release_reservation();
    CHECK(second.granted_ == 1);
}

// Guards against many connections that each stay below their own limit.
TEST_CASE("the largest buffers are reclaimed first", "[buffer_budget]")
{
    buffer_budget budget(limit);
    holder small(budget);
    holder medium(budget);
    holder busy(budget);
    holder largest(budget);
    small.account_.set_buffered(1'000);
    medium.account_.set_buffered(10'000);
    busy.account_.set_buffered(40'000);
    busy.account_.set_reclaimable(false);
    largest.account_.set_buffered(30'000);
    CHECK(largest.reclaimed_ == 0);
    small.account_.set_buffered(5'000);
    CHECK(largest.reclaimed_ == 1);
    CHECK(small.reclaimed_ + medium.reclaimed_ + busy.reclaimed_ == 0);
    CHECK(budget.used_bytes() == 55'000);
    CHECK_FALSE(budget.is_nearly_exhausted());
}

// Guards against senders that reserve room and send nothing.
TEST_CASE("a stalled sender gives up its reservation to one that waits",
          "[buffer_budget]")
{
    buffer_budget budget(limit);
    holder stalled(budget);
    holder active(budget);
    holder waiting(budget);
    instant start{};
    CHECK(stalled.account_.reserve(large, start));
    CHECK(active.account_.reserve(large, start));
    budget.reclaim_stalled(start + 1min);
    CHECK(stalled.reclaimed_ == 0);
    CHECK_FALSE(waiting.account_.reserve(large, start));
    active.account_.record_progress(start + 900ms);
    budget.reclaim_stalled(start + 1s);
    CHECK(stalled.reclaimed_ == 1);
    CHECK(active.reclaimed_ == 0);
    CHECK(waiting.granted_ == 1);
}

TEST_CASE("an account that ends releases all it held", "[buffer_budget]")
{
    buffer_budget budget(limit);
    {
        holder first(budget);
        holder second(budget);
        first.account_.reserve(large, instant{});
        second.account_.set_buffered(10);
        holder waiting(budget);
        waiting.account_.reserve(limit, instant{});
    }
    CHECK(budget.used_bytes() == 0);
    holder next(budget);
    CHECK(next.account_.reserve(limit, instant{}));
}

// Guards against an entry host of 120 MB that is given the buffers of a large
// machine.
TEST_CASE("buffers follow from the memory", "[buffer_budget]")
{
    constexpr std::size_t mebibyte = 1024 * 1024;
    CHECK(buffer_bytes_of(120) == 15 * mebibyte);
    CHECK(buffer_bytes_of(0) > 0);
    CHECK(buffer_bytes_of(0) <= 48 * mebibyte);
    CHECK(part_of_buffers(1000, 85, 10) == 850);
    CHECK(part_of_buffers(1000, 15, 256) == 768);
}
