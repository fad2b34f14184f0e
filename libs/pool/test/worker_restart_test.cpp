#include "crash_simulation.hpp"
#include "owner_fixture.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::pool;
using namespace std::chrono_literals;

namespace {

constexpr duration down_time = 1s;

/// Crashes all workers, which run nothing, and returns when they are back.
void restart_idle_workers(crash_simulation& pool)
{
    for (const worker_name& name : pool.worker_names())
        pool.crash_worker(name);
    pool.run_for(down_time + 20ms);
}

} // namespace

// A worker that has restarted under its own name carries out a start that was
// meant for its earlier incarnation; if the run counts as lost with that one,
// its task runs twice at the same time. Reported on grown Sineira (issue 31).
TEST_CASE("a start that a new incarnation has taken is not repeated elsewhere",
          "[worker_restart]")
{
    crash_behaviour behaviour;
    behaviour.down_time_ = down_time;
    behaviour.announce_delay_ = 1500ms;
    bool is_gang = false;
    SECTION("a single task") {}
    SECTION("a gang")
    {
        is_gang = true;
    }
    crash_simulation pool(2, behaviour);
    pool.run_for(20ms);
    restart_idle_workers(pool);
    job_id job = pool.submit("a", {pool_fixture::make_step(2, 1, is_gang)});
    pool.run_for(20s);
    CHECK(pool.most_parallel_runs() == 1);
    CHECK(pool.phase_of(job) == job_phase::completed);
}

// The same for a start that got no answer and is carried out after the worker
// has restarted and announced itself (issue 31).
TEST_CASE("a start that is carried out after a restart is blocked first",
          "[worker_restart]")
{
    crash_behaviour behaviour;
    behaviour.down_time_ = down_time;
    behaviour.is_silent_ = true;
    behaviour.late_start_delay_ = 1500ms;
    crash_simulation pool(2, behaviour);
    pool.run_for(20ms);
    for (const worker_name& name : pool.worker_names())
        pool.crash_worker(name);
    job_id job = pool.submit("a", {pool_fixture::make_step(2, 1, false)});
    pool.run_for(20s);
    CHECK(pool.most_parallel_runs() == 1);
    CHECK(pool.phase_of(job) == job_phase::completed);
}
