#include "pool_fixture.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::pool;

// Load: tamarack, with requests of 1, 2, 4 and 8. Three free accelerators on
// each of two workers serve no request for 8.
TEST_CASE("idle accelerators that are too few for what waits are unusable",
          "[idle_capacity]")
{
    pool_fixture pool(2);
    step_spec one_each = pool_fixture::make_step(2, 5, true);
    one_each.per_worker_limit_ = 1;
    pool.submit("a", {one_each});
    pool.plan_and_start();
    CHECK(pool.plan().idle_unusable_percent_ == 0);
    pool.submit("b", {pool_fixture::make_step(1, 8, true)}, 2);
    CHECK(pool.plan().idle_unusable_percent_ == 100);
    // A gang that finds room for two of its three tasks uses none of it.
    pool.submit("c", {pool_fixture::make_step(3, 3, true)}, 2);
    CHECK(pool.plan().idle_unusable_percent_ == 100);
    // What is only held back for guarantees could be used.
    pool.guarantee("t", 40);
    job_id held = pool.submit("d", {pool_fixture::make_step(1, 3, true)}, 2);
    placement_plan plan = pool.plan();
    REQUIRE(plan.waits_.contains({held, 0, 0}));
    CHECK(plan.idle_unusable_percent_ == 0);
}

TEST_CASE("a plan counts what its preemptions lose", "[idle_capacity]")
{
    pool_fixture pool(1);
    pool.submit("a", {pool_fixture::make_step(1, 8, true)}, 2, "u");
    pool.plan_and_start();
    pool.guarantee("t", 8);
    pool.input_.now_ += std::chrono::seconds(1);
    pool.submit("b", {pool_fixture::make_step(1, 8, true)}, 0);
    placement_plan plan = pool.plan();
    REQUIRE(plan.preemptions_.size() == 1);
    // One second of one core and 8 accelerators, and a restart.
    CHECK(plan.preempted_core_seconds_ == Approx(2 * 65));
}
