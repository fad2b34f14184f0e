#include "fake_pool.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::test;
using namespace std::chrono_literals;

namespace {

constexpr instant start{1h};

/// Two racks of six workers with eight accelerators each. Team "a" has a
/// guarantee of two blocks of 16 within a rack, "b" of one block of 8 within a
/// worker, "c" none.
configuration make_configuration()
{
    configuration rules;
    zone_rule zone{zone_name("z"), "r", 2, 6, 8};
    rules.zones_.emplace(zone.name_, zone);
    for (const char* name : {"a", "b", "c"}) {
        team_rule team;
        team.name_ = team_name(name);
        team.queued_jobs_ = 20000;
        team.jobs_per_minute_ = 20000;
        rules.teams_.emplace(team.name_, team);
    }
    rules.teams_.at(team_name("a")).guarantees_ = {
        {zone.name_, 2, 16, adjacency::rack}};
    rules.teams_.at(team_name("b")).guarantees_ = {
        {zone.name_, 1, 8, adjacency::worker}};
    return rules;
}

scheduler_options make_options()
{
    scheduler_options options;
    options.zone_ = zone_name("z");
    options.wait_for_reports_ = false;
    return options;
}

job_spec make_job(const std::string& id, const std::string& team, int tasks,
                  int accelerators, adjacency within = adjacency::any)
{
    job_spec spec;
    spec.id_ = job_id(id);
    spec.team_ = team_name(team);
    spec.tasks_ = tasks;
    spec.accelerators_ = accelerators;
    spec.within_ = within;
    spec.declared_run_time_ = 60s;
    return spec;
}

const fake_pool::observed_job& observed(const fake_pool& pool,
                                        const std::string& id)
{
    return pool.observed_jobs().at(job_id(id));
}

job_state state_of(const fake_pool& pool, const std::string& id)
{
    return observed(pool, id).record_.state_;
}

} // namespace

TEST_CASE("a gang is placed on few adjacent workers and completes",
          "[scheduler]")
{
    fake_pool pool({}, make_options(), make_configuration());
    pool.submit(make_job("j", "c", 16, 1, adjacency::rack), 20s, start + 5s);
    pool.run_until(start + 10s);
    auto view = pool.scheduler().job(job_id("j"), pool.now());
    REQUIRE(view);
    CHECK(view->record_.state_ == job_state::running);
    CHECK(view->workers_.size() == 2);
    pool.run_to_end(start + 1min);
    CHECK(state_of(pool, "j") == job_state::completed);
}

TEST_CASE("a job that could never run is rejected with the reason",
          "[scheduler]")
{
    fake_pool pool({}, make_options(), make_configuration());
    pool.submit(make_job("wide", "c", 49, 1, adjacency::rack), 1s, start + 5s);
    pool.submit(make_job("fat", "c", 1, 9), 1s, start + 5s);
    pool.submit(make_job("team", "nobody", 1, 1), 1s, start + 5s);
    pool.run_to_end(start + 10s);
    CHECK(state_of(pool, "wide") == job_state::not_run);
    CHECK(observed(pool, "wide").record_.reason_.find("could ever hold 49") !=
          std::string::npos);
    CHECK(state_of(pool, "fat") == job_state::not_run);
    CHECK(state_of(pool, "team") == job_state::not_run);
}

TEST_CASE("a team's limits reject only its own jobs", "[scheduler]")
{
    configuration rules = make_configuration();
    rules.teams_.at(team_name("a")).jobs_per_minute_ = 3;
    rules.teams_.at(team_name("b")).queued_jobs_ = 2;
    fake_pool pool({}, make_options(), rules);
    for (int i = 0; i < 5; ++i) {
        std::string number = std::to_string(i);
        pool.submit(make_job("a" + number, "a", 1, 1), 1s, start + 5s);
        // Each needs the whole pool, so they have to wait for each other.
        pool.submit(make_job("b" + number, "b", 96, 1), 1s, start + 5s);
        pool.submit(make_job("c" + number, "c", 1, 1), 1s, start + 5s);
    }
    pool.submit(make_job("later", "a", 1, 1), 1s, start + 65s);
    pool.run_to_end(start + 10min);
    int refused_a = 0;
    int refused_b = 0;
    for (const auto& [id, job] : pool.observed_jobs()) {
        bool refused = job.record_.state_ == job_state::not_run;
        refused_a += refused && id.str()[0] == 'a';
        refused_b += refused && id.str()[0] == 'b';
        CHECK_FALSE((refused && id.str()[0] == 'c'));
    }
    CHECK(refused_a == 2);
    CHECK(refused_b >= 2);
    CHECK(state_of(pool, "later") == job_state::completed);
}

TEST_CASE("a guaranteed block is reclaimed from a full pool in time",
          "[scheduler]")
{
    bool checkpoints = GENERATE(true, false);
    fake_pool pool({}, make_options(), make_configuration());
    for (int i = 0; i < 24; ++i) {
        auto spec = make_job("b" + std::to_string(i), "c", 4, 1);
        spec.checkpoints_ = checkpoints;
        pool.submit(spec, 10h, start + 5s);
    }
    pool.run_until(start + 60s);
    REQUIRE(pool.scheduler().summary().free_ == 0);
    for (int i = 0; i < 2; ++i) {
        auto urgent =
            make_job("u" + std::to_string(i), "a", 16, 1, adjacency::rack);
        urgent.urgent_ = true;
        pool.submit(urgent, 30s, start + 60s);
    }
    pool.run_until(start + 64s);
    for (const char* id : {"u0", "u1"}) {
        REQUIRE(observed(pool, id).started_);
        CHECK(*observed(pool, id).started_ - (start + 60s) <= 3700ms);
    }
}

TEST_CASE("an unresponsive worker does not delay a reclaim", "[scheduler]")
{
    fake_pool pool({}, make_options(), make_configuration());
    for (int i = 0; i < 12; ++i) {
        auto spec = make_job("b" + std::to_string(i), "c", 8, 1);
        spec.checkpoints_ = true;
        pool.submit(spec, 10h, start + 5s);
    }
    pool.run_until(start + 60s);
    // One worker of each rack, so that either choice of rack is affected.
    for (int index : {0, 6})
        pool.partition(index, start + 59500ms, 60s);
    auto urgent = make_job("u", "a", 16, 1, adjacency::rack);
    urgent.urgent_ = true;
    pool.submit(urgent, 30s, start + 60s);
    pool.run_until(start + 70s);
    REQUIRE(observed(pool, "u").started_);
    CHECK(*observed(pool, "u").started_ - (start + 60s) <= 3700ms);
}

TEST_CASE("a job that may run once never uses reserved accelerators",
          "[scheduler]")
{
    fake_pool pool({}, make_options(), make_configuration());
    for (int i = 0; i < 96; ++i) {
        auto spec = make_job("o" + std::to_string(i), "c", 1, 1);
        spec.repeatable_ = false;
        pool.submit(spec, 10h, start + 5s);
    }
    pool.run_until(start + 30s);
    // 96 accelerators minus the 40 that are guaranteed to other teams.
    CHECK(pool.scheduler().summary().gangs_ == 56);
    auto last = pool.scheduler().job(job_id("o95"), pool.now());
    auto first = pool.scheduler().job(job_id("o0"), pool.now());
    REQUIRE(last);
    REQUIRE(first);
    bool waits = last->pending_reason_.find("only once") != std::string::npos ||
                 first->pending_reason_.find("only once") != std::string::npos;
    CHECK(waits);
}

TEST_CASE("a run-once job that needs accelerators reserved for others is "
          "rejected",
          "[scheduler]")
{
    fake_pool pool({}, make_options(), make_configuration());
    auto wide = make_job("wide", "c", 96, 1);
    wide.repeatable_ = false;
    pool.submit(wide, 1s, start + 5s);
    auto own = make_job("own", "a", 32, 1);
    own.repeatable_ = false;
    pool.submit(own, 1s, start + 5s);
    pool.run_to_end(start + 1min);
    CHECK(state_of(pool, "wide") == job_state::not_run);
    CHECK(state_of(pool, "own") == job_state::completed);
}

TEST_CASE("a lost part stops the whole gang, and the job runs again",
          "[scheduler]")
{
    fake_pool pool({}, make_options(), make_configuration());
    pool.submit(make_job("j", "c", 48, 1, adjacency::rack), 60s, start + 5s);
    pool.run_until(start + 10s);
    REQUIRE(state_of(pool, "j") == job_state::running);
    auto view = pool.scheduler().job(job_id("j"), pool.now());
    int index = std::stoi(view->workers_.front().str().substr(1));
    pool.crash(index, start + 20s, 5s);
    pool.run_to_end(start + 10min);
    CHECK(state_of(pool, "j") == job_state::completed);
    CHECK(observed(pool, "j").starts_ == 2);
}

// An attempt that ended with its worker counted as none, so that a job which
// crashes its workers was started without a limit (issue 28, the same cause in
// this scheduler).
TEST_CASE("a job that crashes its workers ends as failed", "[scheduler]")
{
    bool changes_scheduler = GENERATE(false, true);
    fake_pool pool({}, make_options(), make_configuration());
    pool.submit(make_job("bad", "c", 12, 2), 20s, start + 5s);
    pool.set_crashing(job_id("bad"));
    for (int i = 0; i < 10; ++i)
        pool.submit(make_job("good" + std::to_string(i), "c", 4, 2), 30s,
                    start + 5s);
    for (int i = 0; changes_scheduler && i < 6; ++i)
        pool.replace_scheduler(start + 10s + i * 25s);
    pool.run_to_end(start + 20min);
    CHECK(state_of(pool, "bad") == job_state::failed);
    CHECK(observed(pool, "bad").starts_ <= 5);
    for (int i = 0; i < 10; ++i)
        CHECK(state_of(pool, "good" + std::to_string(i)) ==
              job_state::completed);
}

// Workers restart now and then under a job of hours; that is no evidence.
TEST_CASE("a long job survives the restarts of its workers", "[scheduler]")
{
    fake_pool pool({}, make_options(), make_configuration());
    job_spec spec = make_job("j", "c", 12, 8);
    spec.checkpoints_ = true;
    pool.submit(spec, 10min, start + 5s);
    for (int i = 0; i < 5; ++i)
        pool.crash(i, start + 5s + (i + 1) * 90s, 3s);
    pool.run_to_end(start + 3h);
    CHECK(state_of(pool, "j") == job_state::completed);
}

TEST_CASE("a job that may run once is unknown after its worker is lost",
          "[scheduler]")
{
    fake_pool pool({}, make_options(), make_configuration());
    auto spec = make_job("j", "a", 16, 1, adjacency::rack);
    spec.repeatable_ = false;
    pool.submit(spec, 60s, start + 5s);
    pool.run_until(start + 10s);
    auto view = pool.scheduler().job(job_id("j"), pool.now());
    int index = std::stoi(view->workers_.front().str().substr(1));
    pool.crash(index, start + 20s, 5s);
    pool.run_to_end(start + 10min);
    CHECK(state_of(pool, "j") == job_state::unknown);
    CHECK(observed(pool, "j").starts_ == 1);
}

// Any other incarnation was taken for a restart, so the tasks of the live
// process were lost and started elsewhere while they went on.
TEST_CASE("a late report of an earlier incarnation ends no task", "[scheduler]")
{
    fake_pool pool({}, make_options(), make_configuration());
    for (int index = 0; index < 12; ++index) {
        pool.delay_report(index, start + 5s, 25s);
        pool.crash(index, start + 6s, 2s);
    }
    for (int i = 0; i < 6; ++i)
        pool.submit(make_job("j" + std::to_string(i), "c", 8, 1), 60s,
                    start + 20s);
    pool.run_to_end(start + 10min);
    for (const auto& [id, job] : pool.observed_jobs()) {
        CHECK(job.record_.state_ == job_state::completed);
        CHECK(job.starts_ == 1);
    }
}

// The same with one report of another writer.
TEST_CASE("a report under the name of a live worker ends no task",
          "[scheduler]")
{
    fake_pool pool({}, make_options(), make_configuration());
    for (int i = 0; i < 6; ++i)
        pool.submit(make_job("j" + std::to_string(i), "c", 8, 1), 60s,
                    start + 20s);
    for (int index = 0; index < 12; ++index)
        pool.forge_report(index, start + 30s);
    pool.run_to_end(start + 10min);
    for (const auto& [id, job] : pool.observed_jobs()) {
        CHECK(job.record_.state_ == job_state::completed);
        CHECK(job.starts_ == 1);
    }
}

// A new scheduler took a report from before the start for the end of the gang
// that it had adopted.
TEST_CASE("a late report ends no task that a new scheduler has adopted",
          "[scheduler]")
{
    fake_pool pool({}, make_options(), make_configuration());
    for (int index = 0; index < 12; ++index)
        pool.delay_report(index, start + 5s, 20s);
    for (int i = 0; i < 6; ++i)
        pool.submit(make_job("j" + std::to_string(i), "c", 8, 1), 60s,
                    start + 10s);
    pool.replace_scheduler(start + 20s);
    pool.run_to_end(start + 10min);
    for (const auto& [id, job] : pool.observed_jobs()) {
        CHECK(job.record_.state_ == job_state::completed);
        CHECK(job.starts_ == 1);
    }
}

// A new scheduler whose records are older than a start must not start the job
// again before the tasks have been stopped or their lease is over.
TEST_CASE("a job starts only after tasks that its record does not know of",
          "[scheduler]")
{
    pool_options options;
    options.write_delay_ = 10s;
    options.loss_percent_ = 30;
    options.seed_ = GENERATE(range(1, 21));
    fake_pool pool(options, make_options(), make_configuration());
    for (int i = 0; i < 6; ++i)
        pool.submit(make_job("j" + std::to_string(i), "c", 8, 1), 60s,
                    start + 10s);
    pool.replace_scheduler(start + 19s);
    pool.run_to_end(start + 30min);
    for (const auto& [id, job] : pool.observed_jobs())
        CHECK(job.record_.state_ == job_state::completed);
}

// A restart that is confirmed must not wait for the lease of the earlier
// incarnation.
TEST_CASE("the tasks of a restarted worker start again at once", "[scheduler]")
{
    fake_pool pool({}, make_options(), make_configuration());
    pool.submit(make_job("j", "c", 96, 1), 60s, start + 5s);
    pool.crash(3, start + 20s, 100ms);
    pool.run_until(start + 24s);
    CHECK(observed(pool, "j").starts_ == 2);
}

// The accelerators of unknown tasks were summed without a bound: the sum became
// negative, jobs were placed beyond the worker, and an invariant ended the
// daemon.
TEST_CASE("a report of many unknown tasks leaves the scheduler intact",
          "[scheduler]")
{
    zone_scheduler scheduler(make_options());
    instant now = start;
    scheduler.configure(make_configuration(), now);
    auto handle = [&](const scheduling_event& event) {
        now += 100ms;
        return scheduler.handle(event, now);
    };
    worker_report report;
    report.info_ = {worker_name("w0"), rack_name("r0"), 8, 64, 1 << 20};
    report.incarnation_ = "1";
    for (int i = 0; i < 600; ++i)
        report.parts_.push_back({{job_id("x" + std::to_string(i)), 1},
                                 part_state::running,
                                 4096,
                                 1024});
    static_cast<void>(handle(worker_reported{report}));
    static_cast<void>(handle(job_submitted{make_job("j", "c", 8, 1)}));
    for (int i = 0; i < 20; ++i)
        REQUIRE_NOTHROW(handle(scheduler_ticked{}));
    scheduler.check_invariants();
    CHECK(scheduler.pool().at(0).free() <= 0);
    report.parts_.clear();
    report.epoch_ = make_options().epoch_;
    report.applied_command_ = 600;
    static_cast<void>(handle(worker_reported{report}));
    CHECK(scheduler.summary().gangs_ == 1);
}

// Other resources were taken for the end of all tasks of the worker, so their
// jobs started elsewhere while they went on.
TEST_CASE("a worker that reports other resources keeps its tasks",
          "[scheduler]")
{
    int accelerators = GENERATE(7, 16);
    fake_pool pool({}, make_options(), make_configuration());
    for (int i = 0; i < 12; ++i)
        pool.submit(make_job("j" + std::to_string(i), "c", 3, 1), 60s,
                    start + 5s);
    for (int index = 0; index < 12; ++index)
        pool.resize(index, accelerators, start + 20s);
    pool.run_to_end(start + 10min);
    for (const auto& [id, job] : pool.observed_jobs()) {
        CHECK(job.record_.state_ == job_state::completed);
        CHECK(job.starts_ == 1);
    }
    CHECK(pool.scheduler().summary().accelerators_ == 12 * accelerators);
}

// A smaller worker's tasks were taken for ended before it had received their
// stops; fake_pool throws if their jobs start elsewhere meanwhile.
TEST_CASE("tasks that a smaller worker cannot hold end before they start "
          "elsewhere",
          "[scheduler]")
{
    pool_options options;
    options.loss_percent_ = 30;
    options.seed_ = GENERATE(range(1, 11));
    fake_pool pool(options, make_options(), make_configuration());
    for (int i = 0; i < 12; ++i)
        pool.submit(make_job("j" + std::to_string(i), "c", 6, 1), 60s,
                    start + 5s);
    for (int index = 0; index < 6; ++index)
        pool.resize(index, 4, start + 20s);
    pool.run_to_end(start + 10min);
    const worker_pool& workers = pool.scheduler().pool();
    for (int index = 0; index < 12; ++index) {
        auto known = workers.find(worker_name("w" + std::to_string(index)));
        REQUIRE(known);
        CHECK(workers.at(*known).info_.accelerators_ == (index < 6 ? 4 : 8));
    }
}

// A new scheduler that adopted more tasks than the worker can hold broke an
// invariant, which ended the daemon, and the next owner's in turn.
TEST_CASE("a new scheduler adopts the tasks of a worker that shrank",
          "[scheduler]")
{
    fake_pool pool({}, make_options(), make_configuration());
    for (int i = 0; i < 24; ++i)
        pool.submit(make_job("j" + std::to_string(i), "c", 4, 1), 60s,
                    start + 5s);
    for (int index = 0; index < 12; ++index)
        pool.resize(index, 4, start + 20s);
    pool.replace_scheduler(start + 20s);
    pool.run_to_end(start + 10min);
    for (const auto& [id, job] : pool.observed_jobs())
        CHECK(job.record_.state_ == job_state::completed);
    CHECK(pool.scheduler().summary().accelerators_ == 12 * 4);
}

// The same with a rack, which counted as other resources in each report, so
// that no task of the worker outlived the next one.
TEST_CASE("a worker that reports another rack keeps its tasks", "[scheduler]")
{
    fake_pool pool({}, make_options(), make_configuration());
    pool.submit(make_job("j", "c", 96, 1), 30s, start + 15s);
    pool.move_to_rack(0, "r1", start + 5s);
    pool.move_to_rack(1, "r1", start + 20s);
    pool.run_to_end(start + 5min);
    CHECK(state_of(pool, "j") == job_state::completed);
    CHECK(observed(pool, "j").starts_ == 1);
}

TEST_CASE("a worker that fails all tasks is quarantined", "[scheduler]")
{
    fake_pool pool({}, make_options(), make_configuration());
    pool.set_faulty(3);
    for (int i = 0; i < 60; ++i)
        pool.submit(make_job("j" + std::to_string(i), "c", 1, 4), 20s,
                    start + 5s + i * 500ms);
    pool.run_to_end(start + 30min);
    CHECK(pool.scheduler().summary().quarantined_ == 1);
    for (const auto& [id, job] : pool.observed_jobs())
        CHECK(job.record_.state_ == job_state::completed);
}

TEST_CASE("a job that fails everywhere ends without a quarantine",
          "[scheduler]")
{
    fake_pool pool({}, make_options(), make_configuration());
    pool.submit(make_job("bad", "c", 12, 8), 20s, start + 5s);
    pool.set_failing(job_id("bad"));
    pool.run_to_end(start + 5min);
    CHECK(state_of(pool, "bad") == job_state::failed);
    CHECK(pool.scheduler().summary().quarantined_ == 0);
}

TEST_CASE("a restarted scheduler adopts running gangs", "[scheduler]")
{
    fake_pool pool({}, make_options(), make_configuration());
    auto once = make_job("once", "a", 16, 1, adjacency::rack);
    once.repeatable_ = false;
    pool.submit(once, 60s, start + 5s);
    pool.submit(make_job("many", "c", 24, 1), 60s, start + 5s);
    pool.run_until(start + 10s);
    pool.replace_scheduler(start + 20s);
    pool.run_to_end(start + 5min);
    for (const char* id : {"once", "many"}) {
        CHECK(state_of(pool, id) == job_state::completed);
        CHECK(observed(pool, id).starts_ == 1);
    }
}

// An owner without the quorum goes on renewing leases, so its successor starts
// jobs whose tasks are running (issue 31, KNOWN-RED.txt).
TEST_CASE("a successor starts no job that a cut-off owner still runs",
          "[split_owners]")
{
    std::set<int> cut_off = GENERATE(std::set<int>{0, 1, 2, 3, 4, 5},
                                     std::set<int>{6, 7, 8, 9, 10, 11},
                                     std::set<int>{0, 2, 4, 6, 8, 10});
    auto moment = GENERATE(range(0, 10));
    fake_pool pool({}, make_options(), make_configuration());
    for (int i = 0; i < 6; ++i)
        pool.submit(make_job("j" + std::to_string(i), "c", 8, 1), 60s,
                    start + 5s);
    pool.cut_off_owner(cut_off, start + 20s + moment * 200ms, 2min);
    pool.run_to_end(start + 10min);
    for (const auto& [id, job] : pool.observed_jobs())
        CHECK(job.record_.state_ == job_state::completed);
}

// The same with jobs that the cut-off owner starts without a record.
TEST_CASE("a successor starts no job that a cut-off owner has started",
          "[split_owners]")
{
    auto moment = GENERATE(range(0, 10));
    fake_pool pool({}, make_options(), make_configuration());
    for (int i = 0; i < 24; ++i)
        pool.submit(make_job("j" + std::to_string(i), "c", 8, 1),
                    15s + i % 12 * 200ms, start + 5s);
    pool.cut_off_owner({0, 2, 4, 6, 8, 10}, start + 20s + moment * 200ms, 2min);
    pool.run_to_end(start + 30min);
    for (const auto& [id, job] : pool.observed_jobs())
        CHECK(job.record_.state_ == job_state::completed);
}

// The record of a start was overwritten by the one from before it, so a new
// scheduler started a job a second time that may run only once.
TEST_CASE("a recorded start is not overwritten by an earlier record",
          "[scheduler]")
{
    auto moment = GENERATE(range(0, 20));
    pool_options options;
    options.write_delay_ = 300ms;
    options.delay_ = 50ms;
    fake_pool pool(options, make_options(), make_configuration());
    auto spec = make_job("j", "a", 16, 1, adjacency::rack);
    spec.repeatable_ = false;
    pool.submit(spec, 60s, start + 5s);
    instant replaced = start + 5s + moment * 50ms;
    for (int index = 0; index < 12; ++index)
        pool.partition(index, replaced, 1min);
    pool.replace_scheduler(replaced);
    pool.run_to_end(start + 10min);
    CHECK(observed(pool, "j").starts_ <= 1);
}

TEST_CASE("a lost rack is reported as a shortage per team", "[scheduler]")
{
    configuration rules = make_configuration();
    rules.teams_.at(team_name("a")).guarantees_ = {
        {zone_name("z"), 4, 16, adjacency::rack}};
    fake_pool pool({}, make_options(), rules);
    pool.run_until(start + 10s);
    CHECK(pool.scheduler().guarantees().shortages().empty());
    for (int index = 0; index < 6; ++index)
        pool.crash(index, start + 10s, 1h);
    pool.run_until(start + 40s);
    int missing = 0;
    for (const team_view& view : pool.scheduler().teams(pool.now()))
        missing += view.shortage_;
    CHECK(missing == 16 * 4 + 8 - 48);
    CHECK(pool.alarms() > 0);
    pool.run_until(start + 2h);
    CHECK(pool.scheduler().guarantees().shortages().empty());
}

TEST_CASE("mass cancellation ends every job once", "[scheduler]")
{
    pool_options options;
    options.check_every_event_ = false;
    fake_pool pool(options, make_options(), make_configuration());
    for (int i = 0; i < 10000; ++i) {
        pool.submit(make_job("j" + std::to_string(i), "c", 1, 1), 1h,
                    start + 5s);
        pool.cancel(job_id("j" + std::to_string(i)), start + 10s + i * 100us);
    }
    pool.run_to_end(start + 30s);
    pool.scheduler().check_invariants();
    CHECK(pool.scheduler().summary().gangs_ == 0);
    for (const auto& [id, job] : pool.observed_jobs())
        CHECK(job.record_.state_ == job_state::cancelled);
}

TEST_CASE("a large gang is not starved by small jobs", "[scheduler]")
{
    fake_pool pool({}, make_options(), make_configuration());
    for (int i = 0; i < 2000; ++i) {
        auto spec = make_job("s" + std::to_string(i), "c", 1, 1);
        spec.checkpoints_ = true;
        spec.declared_run_time_ = 60s;
        pool.submit(spec, 90s, start + 5s + i * 1s);
    }
    auto wide = make_job("wide", "c", 64, 1);
    wide.declared_run_time_ = 1h;
    pool.submit(wide, 60s, start + 300s);
    pool.run_until(start + 300s + 15min);
    CHECK(observed(pool, "wide").started_);
}
