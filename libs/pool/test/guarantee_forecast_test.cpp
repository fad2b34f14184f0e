#include "guarantee_forecast.hpp"
#include "pool_fixture.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::pool;
using namespace std::chrono_literals;

namespace {

step_spec make_gang(bool saves_checkpoints)
{
    step_spec step = pool_fixture::make_step(2, 4, true);
    step.estimate_ = 10s;
    step.supports_checkpoints_ = saves_checkpoints;
    return step;
}

bool starts(const placement_plan& plan, const job_id& id)
{
    for (const start_run& command : plan.starts_) {
        if (command.job_ == id)
            return true;
    }
    return false;
}

/// A pool of 48 accelerators, of which 32 run other work, with a guarantee of
/// 24 and a demand for 12 of them each two seconds.
pool_fixture make_pool_with_demand()
{
    pool_fixture pool(6);
    pool.submit("a", {pool_fixture::make_step(32, 1, false)}, 2, "u");
    pool.plan_and_start();
    pool.guarantee("t", 24);
    pool.input_.demand_.teams_[team_name("t")] = {12, 0};
    pool.input_.demand_.arrival_interval_ = 2s;
    return pool;
}

} // namespace

// Load: wcds trouble-3, where gangs of 10 s were started into room that
// guaranteed jobs took back within seconds.
TEST_CASE("a gang that cannot be stopped cheaply leaves the expected room",
          "[guarantee_forecast]")
{
    pool_fixture pool = make_pool_with_demand();
    job_id gang = pool.submit("b", {make_gang(false)}, 1, "u");
    placement_plan plan = pool.plan();
    CHECK_FALSE(starts(plan, gang));
    CHECK(plan.waits_.at({gang, 0, 0}) == wait_reason::reserved_for_guarantees);
    // The room goes to guaranteed work, which stops nothing.
    job_id urgent = pool.submit("c", {pool_fixture::make_step(3, 4, true)}, 0);
    plan = pool.plan();
    CHECK(starts(plan, urgent));
    CHECK(plan.preemptions_.empty());
}

TEST_CASE("work that saves checkpoints or ends in time fills the expected room",
          "[guarantee_forecast]")
{
    pool_fixture pool = make_pool_with_demand();
    job_id saving = pool.submit("b", {make_gang(true)}, 1, "u");
    placement_plan plan = pool.plan();
    CHECK(starts(plan, saving));
    CHECK(plan.tasks_backfilled_ == 2);
    pool = make_pool_with_demand();
    step_spec quick = make_gang(false);
    quick.estimate_ = 1s;
    job_id soon_over = pool.submit("b", {quick}, 1, "u");
    CHECK(starts(pool.plan(), soon_over));
}

// Guaranteed jobs that arrive all the time would hold back gangs without end.
TEST_CASE("a gang is held back for expected work for a bounded time",
          "[guarantee_forecast]")
{
    pool_fixture pool = make_pool_with_demand();
    job_id gang = pool.submit("b", {make_gang(false)}, 1, "u");
    // Its wait for free resources before does not count.
    pool.input_.waiting_since_[{gang, 0, 0}] = pool.input_.now_ - 20s;
    placement_plan plan = pool.plan();
    REQUIRE_FALSE(starts(plan, gang));
    pool.input_.held_since_ = plan.held_since_;
    pool.input_.now_ += 5s;
    CHECK(starts(pool.plan(), gang));
}

// Deployments whose guaranteed work finds room are served as before.
TEST_CASE("nothing is held back without demand or in an underused pool",
          "[guarantee_forecast]")
{
    pool_fixture pool = make_pool_with_demand();
    pool.input_.demand_ = {};
    job_id gang = pool.submit("b", {make_gang(false)}, 1, "u");
    CHECK(starts(pool.plan(), gang));
    pool = make_pool_with_demand();
    gang = pool.submit("b", {make_gang(false)}, 1, "u");
    pool.end_all(job_id("a"), run_outcome::done);
    CHECK(starts(pool.plan(), gang));
}

TEST_CASE("the demand follows recent arrivals after a preemption",
          "[guarantee_forecast]")
{
    pool_fixture pool(6);
    pool.guarantee("t", 24);
    guarantee_forecast forecast;
    instant now = pool.input_.now_;
    for (int i = 0; i < 5; ++i) {
        // Each occupies 12 accelerators for 5 s and one second more.
        job_id id = pool.submit("j" + std::to_string(i),
                                {pool_fixture::make_step(3, 4, true)}, 0);
        forecast.note_accepted(*pool.state_.find_job(id), pool.state_.config(),
                               {}, now);
    }
    CHECK(forecast.forecast(now).empty());
    forecast.note_preemption(now);
    guaranteed_demand demand = forecast.forecast(now);
    REQUIRE(demand.teams_.contains(team_name("t")));
    CHECK(demand.teams_[team_name("t")].mean_ == Approx(24));
    CHECK(demand.arrival_interval_ == 3s);
    CHECK(forecast.forecast(now + 16s).empty());
}

// What a team uses already is not expected a second time, and what exceeds its
// guarantee is not kept free.
TEST_CASE("the expected need stays within the unused guarantees",
          "[guarantee_forecast]")
{
    guaranteed_demand demand;
    demand.teams_[team_name("t")] = {30, 16};
    guarantee_usage usage;
    CHECK(expected_need(demand, usage) == 0);
    usage.teams_[team_name("t")] = {20, 40};
    CHECK(expected_need(demand, usage) == 14);
    usage.teams_[team_name("t")] = {20, 10};
    CHECK(expected_need(demand, usage) == 10);
    usage.teams_[team_name("t")] = {60, 0};
    CHECK(expected_need(demand, usage) == 0);
}
