#include "crash_simulation.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::pool;
using namespace std::chrono_literals;

namespace {

// After the third crash under a task, two more starts are allowed.
constexpr int max_starts_after_third_crash = 2;

/// The end of an incarnation as builds without loss records have stored it.
struct earlier_end_incarnation
{
    worker_name worker_;
    std::int64_t incarnation_ = 0;
    std::vector<observed_checkpoint> checkpoints_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(worker_, incarnation_, checkpoints_);
    }
};

} // namespace

// A run that ends with its worker counts as no attempt, so that a task that
// crashes each worker is started until the end of the day. Seen in all
// deployments (issue 28).
TEST_CASE("a task that crashes its workers is given up", "[worker_crash]")
{
    crash_behaviour behaviour;
    SECTION("and its worker is soon back") {}
    SECTION("and its worker is back under another name")
    {
        behaviour.changes_name_ = true;
    }
    SECTION("and its worker stays away for longer than a lease")
    {
        behaviour.down_time_ = 12s;
    }
    SECTION("and its worker falls silent")
    {
        behaviour.is_silent_ = true;
    }
    SECTION("after some seconds of work")
    {
        behaviour.crash_after_ = 3s;
    }
    SECTION("under changing owners that start from snapshots")
    {
        behaviour.owner_change_interval_ = 2300ms;
    }
    crash_simulation pool(8, behaviour);
    job_id crashing =
        pool.submit_crashing("bad", {pool_fixture::make_step(1, 2, false)});
    job_id other = pool.submit("good", {pool_fixture::make_step(20, 1, false)});
    pool.run_for(150s);
    CHECK(pool.most_crashes() >= 2);
    CHECK(pool.most_starts_after_third_crash() <= max_starts_after_third_crash);
    CHECK(pool.phase_of(crashing) == job_phase::failed);
    CHECK(pool.phase_of(other) == job_phase::completed);
    // Operators are told which job it was, and why.
    REQUIRE(pool.state_.given_up_jobs(10).size() == 1);
    CHECK(pool.state_.given_up_jobs(10)[0]->failure_.find("bad.0.0.0") !=
          std::string::npos);
}

// The same for a gang: each start starts all members, so the crashes of one
// run count once, whichever member caused them.
TEST_CASE("a gang that crashes its workers is given up", "[worker_crash]")
{
    crash_behaviour behaviour;
    SECTION("and its workers are soon back") {}
    SECTION("and its workers fall silent")
    {
        behaviour.is_silent_ = true;
    }
    crash_simulation pool(8, behaviour);
    job_id crashing =
        pool.submit_crashing("bad", {pool_fixture::make_step(5, 4, true)});
    job_id other = pool.submit("good", {pool_fixture::make_step(20, 1, false)});
    pool.run_for(150s);
    CHECK(pool.most_starts_after_third_crash() <= max_starts_after_third_crash);
    CHECK(pool.phase_of(crashing) == job_phase::failed);
    CHECK(pool.phase_of(other) == job_phase::completed);
}

// A gang whose members lapse one by one counted a lapse for each of them, and
// waited for half a minute beside an idle pool. Seen in a trial on
// arreola-rol-grown, crashing_disturbed.toml --vary --seed 21 (LOST).
TEST_CASE("the members of a gang count as one lapse", "[worker_crash]")
{
    pool_fixture pool(14);
    job_id id = pool.submit("a", {pool_fixture::make_step(14, 8, true)});
    pool.plan_and_start();
    for (std::uint32_t i = 0; i < 14; ++i) {
        const job_record& job = *pool.state_.find_job(id);
        worker_name worker = job.occurrences_.at(0).steps_[0].tasks_[i].worker_;
        pool.state_.apply(end_unreported_run{
            worker, 1, {{id, 0, 0, i}, 1}, run_outcome::lapsed, {}});
    }
    for (std::uint32_t i = 0; i < 14; ++i) {
        REQUIRE(pool.state_.losses_of({id, 0, 0, i}) != nullptr);
        CHECK(pool.state_.losses_of({id, 0, 0, i})->lapses_ == 1);
        CHECK(pool.state_.suspicion_of({id, 0, 0, i}) == nullptr);
    }
}

// A gang that lost one worker behind a cut, and then another one each time
// under another member, was given up although no task had lost two. Seen in
// trials on arreola-rol-grown and dvqgc-crank, crashing_disturbed.toml --vary
// --seed 32 (LOST).
TEST_CASE("losses under different members of a gang do not add up",
          "[worker_crash]")
{
    incarnation_end_cause cause = GENERATE(incarnation_end_cause::crashed,
                                           incarnation_end_cause::disturbed);
    pool_fixture pool(8);
    job_id id = pool.submit("a", {pool_fixture::make_step(5, 8, true)});
    for (std::uint32_t i = 0; i < 5; ++i) {
        pool.input_.now_ += 2s;
        pool.plan_and_start();
        const job_record& job = *pool.state_.find_job(id);
        const task_record& task = job.occurrences_.at(0).steps_[0].tasks_[i];
        worker_name worker = task.worker_;
        REQUIRE(!worker.str().empty());
        worker_info info = pool.state_.workers().at(worker).info_;
        pool.state_.apply(end_incarnation{worker,
                                          info.incarnation_,
                                          {},
                                          cause,
                                          {{{{id, 0, 0, i}, task.run_},
                                            std::chrono::milliseconds(10),
                                            true}}});
        ++info.incarnation_;
        pool.state_.apply(put_worker{info});
        for (std::uint32_t other = 0; other < 5; ++other) {
            const task_record& member =
                job.occurrences_.at(0).steps_[0].tasks_[other];
            if (!member.worker_.str().empty())
                pool.state_.apply(end_unreported_run{
                    member.worker_,
                    pool.state_.workers().at(member.worker_).info_.incarnation_,
                    {{id, 0, 0, other}, member.run_},
                    run_outcome::stopped,
                    {}});
        }
    }
    CHECK(pool.state_.find_job(id)->phase_ == job_phase::open);
}

// A run lapsed behind a cut, its success was read after the cut, and a crash of
// the worker half a minute later counted against it all the same. Seen in the
// random runs, seed 51 (an innocent job was given up).
TEST_CASE("what a worker has outlived is no suspect of its crash",
          "[worker_crash]")
{
    pool_fixture pool(1);
    worker_name name = pool_fixture::name_of(0);
    job_id id = pool.submit("a", {pool_fixture::make_step(2, 1, false)});
    pool.plan_and_start();
    run_ref first{{id, 0, 0, 0}, 1};
    pool.state_.apply(end_unreported_run{
        name, 1, first, run_outcome::lapsed, {}, std::chrono::seconds(1)});
    pool.state_.apply(record_outcomes{
        name, 1, {{1, {{id, 0, 0, 1}, 1}, run_outcome::stopped, {}}}});
    pool.state_.apply(
        end_incarnation{name, 1, {}, incarnation_end_cause::crashed, {}});
    REQUIRE(pool.state_.losses_of(first.task_) != nullptr);
    CHECK(pool.state_.losses_of(first.task_)->losses_.empty());
}

// Work beside a crashing task is lost with its workers, and must not be given
// up or wait for long because of that.
TEST_CASE("work beside tasks that crash their workers completes",
          "[worker_crash]")
{
    std::uint64_t seed = GENERATE(range(1, 9));
    INFO("seed " << seed);
    crash_behaviour behaviour;
    behaviour.changes_name_ = seed % 2 == 0;
    if (seed % 4 == 0)
        behaviour.owner_change_interval_ = 4s;
    crash_simulation pool(24, behaviour, seed);
    std::mt19937_64& random = pool.random();
    std::vector<job_id> crashing;
    std::vector<job_id> others;
    for (int i = 0; i < 40; ++i) {
        bool crashes = random() % 4 == 0;
        bool is_gang = random() % 2 == 0;
        auto count = static_cast<std::uint32_t>(1 + random() % 6);
        std::int64_t accelerators = 1 << random() % 4;
        step_spec step = pool_fixture::make_step(count, accelerators, is_gang);
        step.estimate_ = std::chrono::milliseconds(500 + random() % 8000);
        int priority = static_cast<int>(random() % 3);
        std::string name = "j" + std::to_string(i);
        if (crashes)
            crashing.push_back(pool.submit_crashing(name, {step}, priority));
        else
            others.push_back(pool.submit(name, {step}, priority));
        pool.run_for(std::chrono::milliseconds(random() % 1000));
    }
    pool.run_for(60s);
    CHECK(pool.crash_count() > 10);
    CHECK(pool.most_starts_after_third_crash() <= max_starts_after_third_crash);
    for (const job_id& id : crashing)
        CHECK(pool.phase_of(id) == job_phase::failed);
    for (const job_id& id : others) {
        INFO(id.str());
        CHECK(pool.phase_of(id) == job_phase::completed);
    }
}

// A power loss is no evidence against what ran there: isolating all of it would
// take the pool from other work.
TEST_CASE("many workers lost together make nothing suspect", "[worker_crash]")
{
    crash_simulation pool(24, {});
    job_id id = pool.submit("good", {pool_fixture::make_step(90, 2, false)});
    pool.run_for(500ms);
    for (int i = 0; i < 6; ++i)
        pool.crash_worker(pool_fixture::name_of(i));
    pool.run_for(5s);
    for (std::uint32_t i = 0; i < 90; ++i) {
        const loss_record* losses = pool.state_.losses_of({id, 0, 0, i});
        CHECK((losses == nullptr || !losses->is_suspect_));
    }
    pool.run_for(20s);
    CHECK(pool.phase_of(id) == job_phase::completed);
}

TEST_CASE("a worker that leaves on notice is no evidence", "[worker_crash]")
{
    crash_simulation pool(2, {});
    step_spec step = pool_fixture::make_step(1, 8, false);
    job_id id = pool.submit("good", {step});
    for (int i = 0; i < 4; ++i) {
        pool.run_for(600ms);
        std::vector<worker_name> workers = pool.workers_of(id);
        REQUIRE(workers.size() == 1);
        pool.shut_down_worker(workers.front());
    }
    CHECK(pool.state_.losses_of({id, 0, 0, 0}) == nullptr);
    pool.run_for(20s);
    CHECK(pool.phase_of(id) == job_phase::completed);
}

// A host that crashes whatever it runs must not make the pool give up its work.
TEST_CASE("a worker that crashes under any task is itself suspected",
          "[worker_crash]")
{
    crash_simulation pool(6, {});
    worker_name faulty = pool_fixture::name_of(0);
    std::vector<job_id> jobs;
    for (int i = 0; i < 60; ++i) {
        step_spec step = pool_fixture::make_step(4, 4, false);
        step.estimate_ = 1500ms;
        jobs.push_back(pool.submit("j" + std::to_string(i), {step}));
        pool.run_for(600ms);
        if (!pool.state_.runs_on(faulty).empty())
            pool.crash_worker(faulty);
    }
    pool.run_for(30s);
    for (const job_id& id : jobs) {
        INFO(id.str());
        CHECK(pool.phase_of(id) == job_phase::completed);
    }
    bool was_noticed = std::any_of(
        pool.events().begin(), pool.events().end(), [](const auto& event) {
            return event.find("crashes under different work") !=
                   std::string::npos;
        });
    CHECK(was_noticed);
}

TEST_CASE("what an earlier build has stored makes nothing suspect",
          "[worker_crash]")
{
    pool_fixture pool(1);
    job_id id = pool.submit("a", {pool_fixture::make_step(1, 1, false)});
    pool.plan_and_start();
    auto command = from_wire<end_incarnation>(
        to_wire(earlier_end_incarnation{pool_fixture::name_of(0), 1, {}}));
    pool.state_.apply(command);
    CHECK(pool.state_.losses_of({id, 0, 0, 0}) == nullptr);
    CHECK(pool.state_.workers().empty());
}
