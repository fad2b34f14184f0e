#include "dandelioncrank/pool/cold_start_limiter.hpp"
#include "pool_fixture.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::pool;
using namespace std::chrono_literals;

namespace {

const worker_name worker = pool_fixture::name_of(0);

// Share of a worker that is not limited.
constexpr int full_share = 100;

int share_of(const cold_start_limiter& limiter, instant now)
{
    auto shares = limiter.shares(now);
    auto found = shares.find(worker);
    return found == shares.end() ? full_share : found->second;
}

} // namespace

// Guards against a zone that is filled at once after its return, while each
// task there takes several times as long.
TEST_CASE("a cold worker is filled in steps", "[cold_start_limiter]")
{
    cold_start_limiter limiter;
    instant start(1h);
    limiter.record(worker, 1, 8s, start);
    CHECK(share_of(limiter, start) == 25);
    CHECK(share_of(limiter, start + 2s) == 50);
    // Each announcement says what is left.
    limiter.record(worker, 1, 4s, start + 4s);
    CHECK(share_of(limiter, start + 4s) == 75);
    CHECK(share_of(limiter, start + 6s) == full_share);
    limiter.record(worker, 1, 0s, start + 7s);
    CHECK(share_of(limiter, start + 7s) == full_share);
}

// Guards against an announcement of before a restart that warms the new
// incarnation, and against one that outlives its worker.
TEST_CASE("each incarnation of a worker is cold for itself",
          "[cold_start_limiter]")
{
    cold_start_limiter limiter;
    instant start(1h);
    limiter.record(worker, 2, 8s, start);
    limiter.record(worker, 1, 0s, start + 4s);
    CHECK(share_of(limiter, start + 4s) == 75);
    limiter.record(worker, 3, 8s, start + 4s);
    CHECK(share_of(limiter, start + 4s) == 25);
    limiter.expire(start + 12s);
    CHECK(limiter.shares(start).empty());
}

// Guards against idle capacity beside waiting work.
TEST_CASE("cold workers are used in full when nothing else is free",
          "[cold_start_limiter]")
{
    pool_fixture pool(2);
    pool.input_.cold_shares_[worker] = 25;
    auto count_on_cold = [&pool] { return pool.state_.runs_on(worker).size(); };
    pool.submit("a", {pool_fixture::make_step(8, 1, false)});
    pool.plan_and_start();
    CHECK(count_on_cold() <= 2);
    pool.submit("b", {pool_fixture::make_step(4, 1, false)});
    pool.plan_and_start();
    CHECK(count_on_cold() == 4);
    pool.submit("c", {pool_fixture::make_step(2, 2, true)});
    pool.plan_and_start();
    CHECK(count_on_cold() == 6);
}
