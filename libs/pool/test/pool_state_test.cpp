#include "pool_fixture.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::pool;

TEST_CASE("a worker that drains stays so for the rest of its life",
          "[pool_state]")
{
    pool_fixture pool(1);
    worker_name name = pool_fixture::name_of(0);
    worker_info info = pool.state_.workers().at(name).info_;
    info.is_draining_ = true;
    pool.state_.apply(put_worker{info});
    // Held up on its way, and from before.
    info.is_draining_ = false;
    pool.state_.apply(put_worker{info});
    CHECK(pool.state_.workers().at(name).info_.is_draining_);
    ++info.life_;
    pool.state_.apply(put_worker{info});
    CHECK(!pool.state_.workers().at(name).info_.is_draining_);
}

TEST_CASE("a life that has ended is not announced back", "[pool_state]")
{
    pool_fixture pool(1);
    worker_name name = pool_fixture::name_of(0);
    worker_info info = pool.state_.workers().at(name).info_;
    pool.state_.apply(end_life{name, info.life_, {}});
    CHECK(pool.state_.apply(put_worker{info}) == pool_reply::rejected);
    ++info.life_;
    CHECK(pool.state_.apply(put_worker{info}) == pool_reply::applied);
}

TEST_CASE("a restored state knows runs, lives and active jobs", "[pool_state]")
{
    pool_fixture pool(2);
    job_id id = pool.submit("a", {pool_fixture::make_step(2, 8, true)});
    pool.plan_and_start();
    pool.state_.apply(end_life{pool_fixture::name_of(1), 1, {}});
    pool_state copy;
    copy.restore(pool.state_.snapshot());
    CHECK(copy.snapshot() == pool.state_.snapshot());
    CHECK(copy.active_jobs() == pool.state_.active_jobs());
    worker_name name = pool_fixture::name_of(0);
    CHECK(copy.runs_on(name) == pool.state_.runs_on(name));
    // One member is lost, so the gang is not wanted any more.
    CHECK(!copy.is_wanted({{id, 0, 0, 0}, 1}));
}

TEST_CASE("attempts of a gang are counted once for each run", "[pool_state]")
{
    pool_fixture pool(2);
    job_id id = pool.submit("a", {pool_fixture::make_step(2, 8, true)});
    pool.plan_and_start();
    pool.end_all(id, run_end::failed);
    CHECK(pool.state_.find_job(id)->phase_ == job_phase::open);
    pool.plan_and_start();
    pool.end_all(id, run_end::failed);
    CHECK(pool.state_.find_job(id)->phase_ == job_phase::failed);
    CHECK(pool.plan().starts_.empty());
}
