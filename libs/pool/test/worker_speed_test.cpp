// Speeds of workers and run times of queues, under the loads that misled
// placement: workers of different speeds, unusual tasks, wrong declarations.
#include "speed_simulation.hpp"

#include "dandelioncrank/pool/pool_owner.hpp"
#include "fake_worker.hpp"

#include <catch2/catch.hpp>

#include <cmath>

using namespace dandelioncrank;
using namespace dandelioncrank::pool;
using namespace std::chrono_literals;

// Without estimates, a quarter of the workers of wcds-kingston-grown ran urgent
// work at half of the speed of the others.
TEST_CASE("a quarter of the workers at 0.55 beside others at 1.2 is found",
          "[worker_speed]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        speed_simulation pool(24, seed);
        for (int i = 0; i < 24; ++i)
            pool.set_speed(i, i % 4 == 0 ? 0.55 : 1.2);
        pool.run_for(90s);
        for (int i = 0; i < 24; ++i) {
            INFO("seed " << seed << ", worker " << i);
            if (i % 4 == 0)
                CHECK(pool.speed_of(i) == Approx(0.55 / 1.2).margin(0.1));
            else
                CHECK(pool.speed_of(i) == Approx(1.0).margin(0.001));
        }
    }
}

// A mean over few runs marks the workers slow that happen to run long tasks.
TEST_CASE("3 % of tasks that take 7 times as long mark no equal worker",
          "[worker_speed]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        speed_simulation pool(24, seed);
        pool.run_for(120s);
        INFO("seed " << seed);
        CHECK(pool.most_marked() == 0);
    }
}

// Estimates that average over a long past follow a change too late.
TEST_CASE("a worker that turns 4 times slower is found, and its recovery",
          "[worker_speed]")
{
    speed_simulation pool(24);
    pool.run_for(60s);
    pool.set_speed(5, 0.25);
    pool.run_for(40s);
    // Some of the runs began before.
    CHECK(pool.speed_of(5) < 0.45);
    CHECK(pool.marked() == 1);
    pool.set_speed(5, 1.0);
    pool.run_for(60s);
    CHECK(pool.marked() == 0);
}

// A worker without runs in a slow rack would get urgent work first.
TEST_CASE("a slow rack is the prior of its restarted workers", "[worker_speed]")
{
    speed_simulation pool(24);
    for (int i = 6; i < 12; ++i)
        pool.set_speed(i, 0.5);
    pool.run_for(90s);
    CHECK(pool.speed_of(7) == Approx(0.5).margin(0.1));
    CHECK(pool.marked() == 6);
    pool.restart(7);
    CHECK(pool.speed_of(7) == Approx(0.5).margin(0.1));
}

TEST_CASE("a new incarnation outside of a slow rack starts as typical",
          "[worker_speed]")
{
    speed_simulation pool(24);
    pool.set_speed(3, 0.4);
    pool.run_for(90s);
    REQUIRE(pool.speed_of(3) < 0.6);
    pool.restart(3);
    CHECK(pool.speed_of(3) == 1.0);
    pool.run_for(1s);
    CHECK(pool.speed_of(3) == 1.0);
}

// Samples that outlive their cause keep work away from a worker that nothing
// runs on.
TEST_CASE("a speed without further evidence is forgotten", "[worker_speed]")
{
    speed_model model;
    worker_name worker("w");
    instant now(1h);
    for (const char* name : {"w", "x", "y"})
        model.add_worker(worker_name(name), rack_name("r"), now);
    for (std::uint64_t i = 0; i < 5; ++i)
        model.record(worker, {i, i, std::log(0.5), now, now + 60s}, true);
    model.refresh(now);
    CHECK(model.speed_of(worker) == Approx(0.5));
    model.refresh(now + 61s);
    CHECK(model.speed_of(worker) == 1.0);
}

TEST_CASE("fewer than five runs tell nothing of a worker", "[worker_speed]")
{
    speed_model model;
    worker_name worker("w");
    instant now(1h);
    for (const char* name : {"w", "x", "y"})
        model.add_worker(worker_name(name), rack_name("r"), now);
    for (std::uint64_t i = 0; i < 4; ++i)
        model.record(worker, {i, i, std::log(0.1), now, now + 60s}, true);
    model.refresh(now);
    CHECK(model.speed_of(worker) == 1.0);
}

// Placement by declared run times packs the widest jobs of a queue as if they
// took a tenth of their time.
TEST_CASE("run times are learned where declared ones are off by 90 %",
          "[worker_speed]")
{
    run_time_model model;
    queue_address queue{"a.example", "/batch/"};
    step_spec wide = pool_fixture::make_step(39, 1, false);
    step_spec narrow = pool_fixture::make_step(5, 1, false);
    std::mt19937_64 random(3);
    for (int i = 0; i < 60; ++i) {
        wide.estimate_ = 500ms + std::chrono::milliseconds(random() % 500);
        narrow.estimate_ = 2s;
        bool is_long = random() % 100 < 3;
        model.record(queue, wide, wide.estimate_ * (is_long ? 70 : 10));
        model.record(queue, narrow, 2s);
    }
    auto seconds = [](duration time) {
        return std::chrono::duration<double>(time).count();
    };
    wide.estimate_ = 800ms;
    CHECK(seconds(model.estimate(queue, wide)) == Approx(8).epsilon(0.2));
    CHECK(model.estimate(queue, narrow) == 2s);
    // A queue without runs keeps its declarations.
    CHECK(model.estimate({"a.example", "/other/"}, wide) == 800ms);
}

// Declared run times that vary at random predict worse than the usual time.
TEST_CASE("the usual run time is used where declarations tell nothing",
          "[worker_speed]")
{
    run_time_model model;
    queue_address queue{"a.example", "/batch/"};
    step_spec step = pool_fixture::make_step(13, 1, false);
    std::mt19937_64 random(5);
    for (int i = 0; i < 100; ++i) {
        step.estimate_ = std::chrono::milliseconds(100 + random() % 20'000);
        model.record(queue, step, 10s);
    }
    step.estimate_ = 10s;
    CHECK(model.reliable_estimate(queue, step) == duration(10s));
    step.estimate_ = 1s;
    CHECK(model.estimate(queue, step) > 8s);
}

TEST_CASE("a few runs move an estimate in part only", "[worker_speed]")
{
    run_time_model model;
    queue_address queue{"a.example", "/batch/"};
    step_spec step = pool_fixture::make_step(13, 1, false);
    model.record(queue, step, 50s);
    CHECK(model.estimate(queue, step) > step.estimate_);
    CHECK(model.estimate(queue, step) < 10s);
    CHECK_FALSE(model.reliable_estimate(queue, step));
}

// --- Placement

namespace {

/// A pool of which every third worker is slow and every third one fast.
class mixed_pool : public pool_fixture
{
  public:
    explicit mixed_pool(int workers) : pool_fixture(workers)
    {
        for (int i = 0; i < workers; ++i) {
            if (i % 3 != 1)
                input_.estimates_.worker_speeds_[name_of(i)] =
                    i % 3 == 0 ? 0.5 : 1.5;
        }
    }

    [[nodiscard]] std::vector<double>
    speeds_of(const placement_plan& plan) const
    {
        std::vector<double> result;
        for (const start_run& command : plan.starts_) {
            for (const task_assignment& item : command.assignments_)
                result.push_back(input_.estimates_.speed_of(item.worker_));
        }
        return result;
    }
};

std::vector<std::pair<worker_name, std::uint32_t>>
assignments_of(const placement_plan& plan)
{
    std::vector<std::pair<worker_name, std::uint32_t>> result;
    for (const start_run& command : plan.starts_) {
        for (const task_assignment& item : command.assignments_)
            result.emplace_back(item.worker_, item.index_);
    }
    return result;
}

} // namespace

TEST_CASE("urgent work takes the fastest workers, other work the slow ones",
          "[worker_speed]")
{
    mixed_pool pool(6);
    job_id urgent =
        pool.submit("a", {pool_fixture::make_step(16, 1, false)}, 0);
    placement_plan plan = pool.plan_and_start();
    CHECK(pool.speeds_of(plan) == std::vector<double>(16, 1.5));
    CHECK(plan.speed_choices_.at({urgent, 0, 0}) == "fast workers");
    pool.submit("b", {pool_fixture::make_step(16, 1, false)}, 2);
    plan = pool.plan_and_start();
    CHECK(pool.speeds_of(plan) == std::vector<double>(16, 0.5));
}

// A gang is as slow as its slowest member.
TEST_CASE("the members of a gang get workers of one speed class",
          "[worker_speed]")
{
    for (bool is_rack_sensitive : {false, true}) {
        mixed_pool pool(6);
        // One of the two slow workers is full.
        pool.submit("filler", {pool_fixture::make_step(1, 8, false)}, 2);
        REQUIRE(pool.speeds_of(pool.plan_and_start()) ==
                std::vector<double>{0.5});
        step_spec step = pool_fixture::make_step(2, 8, true);
        step.is_rack_sensitive_ = is_rack_sensitive;
        pool.submit("gang", {step}, 1);
        CHECK(pool.speeds_of(pool.plan_and_start()) ==
              std::vector<double>(2, 1.0));
    }
}

// Preferences for a speed must not leave anything idle.
TEST_CASE("all workers are used while work waits, whatever their speed",
          "[worker_speed]")
{
    for (int priority : {0, 2}) {
        for (bool is_gang : {false, true}) {
            mixed_pool pool(6);
            pool.input_.estimates_.worker_speeds_[pool_fixture::name_of(5)] =
                0.1;
            pool.submit("a", {pool_fixture::make_step(48, 1, is_gang)},
                        priority);
            CHECK(pool.speeds_of(pool.plan_and_start()).size() == 48);
        }
    }
}

// A change of the order of free workers would undo the packing that keeps whole
// workers free.
TEST_CASE("plans for workers that differ by less than 15 % are as without "
          "estimates",
          "[worker_speed]")
{
    auto place = [](bool has_estimates) {
        pool_fixture pool(12);
        for (int i = 0; has_estimates && i < 12; ++i)
            pool.input_.estimates_.worker_speeds_[pool_fixture::name_of(i)] =
                i % 2 == 0 ? 0.9 : 1.1;
        pool.submit("a", {pool_fixture::make_step(5, 1, false)}, 0);
        pool.submit("b", {pool_fixture::make_step(3, 4, true)}, 1);
        pool.submit("c", {pool_fixture::make_step(39, 1, false)}, 2);
        placement_plan plan = pool.plan();
        CHECK(plan.speed_choices_.empty());
        return assignments_of(plan);
    };
    CHECK(place(true) == place(false));
}

// --- The owner

namespace {

/// An owner whose workers answer its calls at once.
class speed_owner : public pool_fixture
{
  public:
    explicit speed_owner(int workers)
        : pool_fixture(workers), owner_(state_, owner_timing{})
    {
        owner_.begin(1, input_.now_);
        for (const auto& [name, record] : state_.workers())
            workers_.emplace(name, fake_worker(record.info_, input_.now_));
    }

    void run_for(duration time)
    {
        constexpr duration interval = 20ms;
        for (duration passed{}; passed < time; passed += interval) {
            input_.now_ += interval;
            for (auto& [name, worker] : workers_)
                owner_.record_announcement(
                    name, 1, worker.clock_ms(input_.now_), input_.now_);
            owner_.tick(input_.now_, 0);
            owner_output output = owner_.take_output();
            for (const owner_event& event : output.events_)
                events_.push_back(event.message_);
            for (const pool_command& item : output.observations_)
                state_.apply(item);
            for (const pool_command& item : output.starts_)
                state_.apply(item);
            owner_.proposal_settled(output.proposal_, input_.now_);
            owner_.starts_resolved();
            owner_.state_changed();
            for (const worker_call& call : output.calls_)
                answer(call);
        }
    }

    pool_owner owner_;
    std::map<worker_name, fake_worker> workers_;
    std::vector<std::string> events_;
    int slow_worker_ = -1;
    /// Its calls and answers are lost for three of each four seconds.
    int cut_worker_ = -1;

  private:
    void answer(const worker_call& call)
    {
        step_spec spec = make_step(1, 1, false);
        fake_worker& worker = workers_.at(call.worker_);
        bool is_slow = call.worker_ == name_of(slow_worker_);
        bool is_cut = input_.now_.time_since_epoch() % 4s < 3s;
        if (is_cut && call.worker_ == name_of(cut_worker_)) {
            owner_.handle_result(call.id_, call_lost{}, input_.now_);
            return;
        }
        owner_.handle_result(
            call.id_,
            worker.execute(call, spec, is_slow ? 4s : 1s, false, input_.now_),
            input_.now_);
    }
};

} // namespace

// The path from the listings of a worker to the log line of a placement.
TEST_CASE("the owner learns from listings and says what it chose",
          "[worker_speed]")
{
    speed_owner pool(6);
    pool.slow_worker_ = 0;
    for (int i = 0; i < 8; ++i)
        pool.submit("job" + std::to_string(i),
                    {pool_fixture::make_step(40, 1, false)}, 2);
    pool.run_for(12s);
    worker_speed_summary found = pool.owner_.summarize_worker_speeds(10);
    REQUIRE(found.slowest_.size() == 1);
    CHECK(found.slowest_[0].first == pool_fixture::name_of(0));
    CHECK(found.slowest_[0].second < 0.4);
    CHECK(found.spread_ > 2.5);
    pool.submit("urgent", {pool_fixture::make_step(4, 1, false)}, 0);
    pool.run_for(1s);
    auto names_speed = [](const std::string& text) {
        return text.find("chosen for their speed") != std::string::npos;
    };
    CHECK(std::any_of(pool.events_.begin(), pool.events_.end(), names_speed));
    pool.owner_.end();
    CHECK(pool.owner_.summarize_worker_speeds(10).slowest_.empty());
}

// Ends that are told late, after lost calls, look like long runs.
TEST_CASE("a worker behind a bad link is not taken for slow", "[worker_speed]")
{
    speed_owner pool(6);
    pool.cut_worker_ = 2;
    for (int i = 0; i < 20; ++i)
        pool.submit("job" + std::to_string(i),
                    {pool_fixture::make_step(40, 1, false)}, 2);
    for (int i = 0; i < 10; ++i) {
        pool.run_for(1500ms);
        CHECK(pool.owner_.summarize_worker_speeds(10).slowest_.empty());
    }
}
