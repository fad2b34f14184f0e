#include "pool_fixture.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace dandelioncrank;
using namespace dandelioncrank::pool;

namespace {

std::map<worker_name, int> count_assignments(const placement_plan& plan)
{
    std::map<worker_name, int> counts;
    for (const start_run& command : plan.starts_) {
        for (const task_assignment& assignment : command.assignments_)
            ++counts[assignment.worker_];
    }
    return counts;
}

std::size_t count_tasks(const placement_plan& plan)
{
    std::size_t count = 0;
    for (const start_run& command : plan.starts_)
        count += command.assignments_.size();
    return count;
}

} // namespace

// Tasks of a step without a gang are placed one by one; if earlier placements
// of the same pass are not counted, the limit per worker is exceeded.
// Seen in arreola-rol trouble-1, seed 147289689.
TEST_CASE("tasks placed in one pass count against the limit of their step",
          "[placement_planner]")
{
    pool_fixture pool(4);
    step_spec step = pool_fixture::make_step(6, 1, false);
    step.per_worker_limit_ = 1;
    pool.submit("a", {step});
    placement_plan plan = pool.plan_and_start();
    REQUIRE(count_assignments(plan).size() == 4);
    for (const auto& [worker, count] : count_assignments(plan))
        CHECK(count == 1);
    CHECK(pool.plan().starts_.empty());
}

TEST_CASE("a start beyond the limit of its step is rejected",
          "[placement_planner]")
{
    pool_fixture pool(2);
    step_spec step = pool_fixture::make_step(2, 1, false);
    step.per_worker_limit_ = 1;
    job_id id = pool.submit("a", {step});
    worker_name worker = pool_fixture::name_of(0);
    CHECK(pool.state_.apply(start_run{id, 0, 0, 1, {{0, worker, 1}}}) ==
          pool_reply::applied);
    CHECK(pool.state_.apply(start_run{id, 0, 0, 1, {{1, worker, 1}}}) ==
          pool_reply::rejected);
}

TEST_CASE("a rack-sensitive gang waits for a rack that it fits into",
          "[placement_planner]")
{
    pool_fixture pool(12);
    step_spec step = pool_fixture::make_step(6, 8, true);
    step.is_rack_sensitive_ = true;
    pool.submit("a", {step});
    pool.submit("b", {pool_fixture::make_step(1, 8, true)});
    pool.submit("c", {step});
    placement_plan plan = pool.plan_and_start();
    // The small job is placed first and leaves one whole rack.
    REQUIRE(plan.starts_.size() == 2);
    std::set<rack_name> racks;
    for (const task_assignment& assignment : plan.starts_[1].assignments_)
        racks.insert(pool.state_.workers().at(assignment.worker_).info_.rack_);
    CHECK(racks.size() == 1);
}

// Without a limit on the wait, gangs of three whole workers wait forever for a
// rack while half of the pool is idle.
// Seen in arreola-rol, whole-core power loss, seed 1989416023.
TEST_CASE("a gang that waits for a rack is spread when half the pool is idle",
          "[placement_planner]")
{
    // One task occupies one of the two workers of each rack.
    pool_fixture pool(8, 2);
    step_spec blocker = pool_fixture::make_step(4, 1, false);
    blocker.need_.cpu_ = 64'000;
    blocker.per_worker_limit_ = 1;
    blocker.is_gang_ = true;
    pool.submit("a", {blocker});
    pool.state_.apply(start_run{job_id("a"),
                                0,
                                0,
                                1,
                                {{0, pool_fixture::name_of(0), 1},
                                 {1, pool_fixture::name_of(2), 1},
                                 {2, pool_fixture::name_of(4), 1},
                                 {3, pool_fixture::name_of(6), 1}}});
    step_spec step = pool_fixture::make_step(2, 2, true);
    step.need_.cpu_ = 64'000;
    step.is_rack_sensitive_ = true;
    job_id id = pool.submit("b", {step});
    placement_plan first = pool.plan();
    CHECK(first.starts_.empty());
    step_key key{id, 0, 0};
    CHECK(first.waits_.at(key) == wait_reason::no_suitable_rack);

    pool.input_.waiting_since_[key] = pool.input_.now_;
    pool.input_.now_ += std::chrono::seconds(2);
    placement_plan second = pool.plan();
    REQUIRE(second.starts_.size() == 1);
    CHECK(second.spread_steps_.contains(key));
}

TEST_CASE("rack-sensitive work keeps waiting while the pool is well used",
          "[placement_planner]")
{
    // One of three workers is free in each rack.
    pool_fixture pool(6, 3);
    step_spec busy = pool_fixture::make_step(4, 8, true);
    busy.per_worker_limit_ = 1;
    pool.submit("a", {busy});
    pool.state_.apply(start_run{job_id("a"),
                                0,
                                0,
                                1,
                                {{0, pool_fixture::name_of(0), 1},
                                 {1, pool_fixture::name_of(1), 1},
                                 {2, pool_fixture::name_of(3), 1},
                                 {3, pool_fixture::name_of(4), 1}}});
    step_spec step = pool_fixture::make_step(2, 8, true);
    step.is_rack_sensitive_ = true;
    job_id id = pool.submit("b", {step});
    pool.input_.waiting_since_[{id, 0, 0}] = pool.input_.now_;
    pool.input_.now_ += std::chrono::seconds(20);
    CHECK(pool.plan().starts_.empty());
}

// Guarantees sized for a full pool, of which few workers are left, must not
// block all other work.
TEST_CASE("headroom for guarantees does not keep a pool idle",
          "[placement_planner]")
{
    pool_fixture pool(2);
    pool.guarantee("t", 384);
    pool.submit("a", {pool_fixture::make_step(16, 1, false)}, 2, "u");
    placement_plan plan = pool.plan_and_start();
    // Placement stops once less than two fifths of the accelerators are free.
    CHECK(count_tasks(plan) == 10);
}

TEST_CASE("the plan gives a reason for each waiting step",
          "[placement_planner]")
{
    pool_fixture pool(1);
    pool.submit("a", {pool_fixture::make_step(1, 8, true)});
    pool.plan_and_start();
    job_id id = pool.submit("b", {pool_fixture::make_step(1, 8, true)});
    job_id urgent = pool.submit("c", {pool_fixture::make_step(1, 1, true)}, 0);
    pool.input_.now_ += std::chrono::seconds(30);
    placement_plan plan = pool.plan();
    CHECK(plan.waits_.at({id, 0, 0}) == wait_reason::no_capacity);
    CHECK(plan.waits_.at({urgent, 0, 0}) == wait_reason::preemption_too_costly);
}

TEST_CASE("a guaranteed job preempts borrowers of its accelerators at once",
          "[placement_planner]")
{
    pool_fixture pool(2);
    job_id borrower =
        pool.submit("a", {pool_fixture::make_step(16, 1, false)}, 2, "u");
    pool.plan_and_start();
    pool.guarantee("t", 16);
    job_id owner = pool.submit("b", {pool_fixture::make_step(2, 8, true)}, 0);
    placement_plan plan = pool.plan();
    CHECK(plan.starts_.empty());
    CHECK(plan.preemptions_.size() == 16);
    pool.end_all(borrower, run_outcome::stopped);
    plan = pool.plan_and_start();
    REQUIRE(!plan.starts_.empty());
    CHECK(plan.starts_.front().job_ == owner);
}

// If runs without an observation count as free of cost, gangs preempt each
// other's newly committed runs: twelve thousand times in arreola-rol scale-2,
// seed 114877015.
TEST_CASE("a run without observations is not a victim without cost",
          "[placement_planner]")
{
    pool_fixture pool(1);
    pool.submit("a", {pool_fixture::make_step(1, 8, true)}, 0);
    pool.plan_and_start();
    pool.input_.runs_.clear();
    pool.submit("b", {pool_fixture::make_step(1, 8, true)}, 0);
    CHECK(pool.plan().preemptions_.empty());
}

TEST_CASE("an urgent job without a guarantee does not preempt larger work",
          "[placement_planner]")
{
    pool_fixture pool(6);
    pool.submit("a", {pool_fixture::make_step(6, 8, true)}, 1);
    pool.plan_and_start();
    pool.submit("b", {pool_fixture::make_step(1, 1, true)}, 0);
    pool.input_.now_ += std::chrono::seconds(4);
    CHECK(pool.plan().preemptions_.empty());
}

// Workers refuse tasks that are placed in resources which a stopping run still
// holds. Seen in arreola-rol scale-2, seed 114877015.
TEST_CASE("resources that a stopping run still holds are not allocated",
          "[placement_planner]")
{
    pool_fixture pool(1);
    pool.submit("a", {pool_fixture::make_step(1, 8, false)}, 2, "u");
    pool.plan_and_start();
    pool.guarantee("t", 8);
    pool.submit("b", {pool_fixture::make_step(1, 2, true)}, 0);
    pool.submit("c", {pool_fixture::make_step(4, 1, false)}, 2, "u");
    pool.input_.now_ += std::chrono::seconds(2);
    placement_plan plan = pool.plan();
    CHECK(plan.preemptions_.size() == 1);
    CHECK(plan.starts_.empty());
}

TEST_CASE("a gang stays with the rack that is already being cleared",
          "[placement_planner]")
{
    pool_fixture pool(4, 2);
    pool.submit("a", {pool_fixture::make_step(32, 1, false)}, 2, "u");
    pool.plan_and_start();
    pool.guarantee("t", 16);
    pool.input_.now_ += std::chrono::seconds(2);
    step_spec step = pool_fixture::make_step(2, 8, true);
    step.is_rack_sensitive_ = true;
    pool.submit("b", {step}, 0);
    placement_plan first = pool.plan();
    REQUIRE(first.clearings_.size() == 1);
    std::string rack = first.clearings_.begin()->second.rack_;
    pool.input_.clearings_ = first.clearings_;
    // Work in the other rack has become cheaper to preempt.
    for (auto& [run, seen] : pool.input_.runs_)
        seen.started_at_ = pool.input_.now_;
    placement_plan second = pool.plan();
    REQUIRE(second.clearings_.size() == 1);
    CHECK(second.clearings_.begin()->second.rack_ == rack);
}

// Pattern: a stream of small urgent jobs arrives while a rack is cleared for an
// urgent gang. They took the cleared workers, and the gang stopped further work
// in 56 rounds. Seen in arreola-rol-large scale-1 and in grown leaves.toml,
// seed 363868962908.
TEST_CASE("small urgent jobs do not take what was cleared for a gang",
          "[placement_planner]")
{
    pool_fixture pool(4, 2);
    job_id filler =
        pool.submit("a", {pool_fixture::make_step(32, 1, false)}, 2);
    pool.plan_and_start();
    pool.input_.now_ += std::chrono::seconds(2);
    step_spec step = pool_fixture::make_step(2, 8, true);
    step.estimate_ = std::chrono::seconds(20);
    job_id gang = pool.submit("b", {step}, 0);
    placement_plan first = pool.plan();
    REQUIRE(first.preemptions_.size() == 16);
    pool.input_.clearings_ = first.clearings_;
    pool.input_.now_ += std::chrono::milliseconds(100);
    // All stopped runs but one have ended when the small jobs arrive.
    for (const preemption& item : first.preemptions_)
        pool.input_.runs_[item.run_].is_stopping_ = true;
    for (std::size_t i = 1; i < first.preemptions_.size(); ++i)
        pool.end_run(first.preemptions_[i].run_, run_outcome::stopped);
    for (int i = 0; i < 20; ++i)
        pool.submit("small" + std::to_string(i),
                    {pool_fixture::make_step(1, 1, false)}, 0);
    placement_plan second = pool.plan_and_start();
    for (const preemption& item : second.preemptions_)
        CHECK(item.for_job_ != gang);
    pool.input_.clearings_ = second.clearings_;
    pool.end_run(first.preemptions_[0].run_, run_outcome::stopped);
    placement_plan third = pool.plan();
    bool gang_starts = false;
    for (const start_run& command : third.starts_)
        gang_starts = gang_starts || command.job_ == gang;
    CHECK(gang_starts);
}

// A gang whose cleared resources are lost again, for example with their
// workers, may not stop other work without a limit.
TEST_CASE("all work lost for a waiting gang counts against its own",
          "[placement_planner]")
{
    pool_fixture pool(2);
    pool.submit("a", {pool_fixture::make_step(16, 1, false)}, 2);
    pool.plan_and_start();
    pool.input_.now_ += std::chrono::seconds(2);
    job_id gang = pool.submit("b", {pool_fixture::make_step(2, 8, true)}, 0);
    REQUIRE_FALSE(pool.plan().preemptions_.empty());
    step_key step{gang, 0, 0};
    pool.input_.clearings_[step] = {pool.input_.now_, 1'000'000, ""};
    CHECK(pool.plan().preemptions_.empty());
}

// An expired job ranks last, so a wide expired gang that may preempt stops the
// work placed ahead of it in every pass. Seen in arreola-rol scale-2, seed
// 114877015.
TEST_CASE("an expired job preempts nothing", "[placement_planner]")
{
    pool_fixture pool(2);
    pool.submit("a", {pool_fixture::make_step(16, 1, false)}, 2);
    pool.plan_and_start();
    job_id late = pool.submit("b", {pool_fixture::make_step(2, 8, true)}, 0);
    pool.input_.accepted_at_[late] -= std::chrono::minutes(2);
    CHECK(pool.plan().preemptions_.empty());
}

// Without headroom, low-priority work fills the pool and urgent gangs must wait
// for stops: 1,600 tasks were stopped in sineira scale-1, seed of the site
// file.
TEST_CASE("non-urgent work leaves headroom for unused guarantees",
          "[placement_planner]")
{
    pool_fixture pool(6);
    pool.guarantee("t", 40);
    pool.submit("a", {pool_fixture::make_step(48, 1, false)}, 2, "u");
    placement_plan plan = pool.plan_and_start();
    CHECK(count_tasks(plan) == 40);
    pool.submit("b", {pool_fixture::make_step(1, 8, true)}, 0);
    plan = pool.plan_and_start();
    CHECK(plan.preemptions_.empty());
    REQUIRE(plan.starts_.size() == 1);
}
