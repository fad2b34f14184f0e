// Workers that answer calls without doing anything for them.
#include "call_simulation.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::pool;
using namespace std::chrono_literals;

namespace {

// What a silent worker takes: the longest wait of a hold call with its timeout,
// and the lease that the call may have granted, both by the slowest clock.
constexpr duration max_recovery_time = 2400ms + 5500ms * 102 / 100 + 500ms;

/// The time from the first call with this fate until the task runs on the other
/// worker, at most the limit.
duration recovery_time(const call_simulation::policy& policy,
                       duration limit = 60s)
{
    call_simulation simulation;
    simulation.start_task();
    simulation.run_for(3s);
    simulation.policy_ = policy;
    simulation.calls_.clear();
    return simulation.run_until([&] { return simulation.running_on(1); },
                                limit);
}

/// The worker leaves starts unanswered, the third of which is carried out late,
/// and takes some time for its listings.
call_simulation::policy slow_listings(duration time,
                                      std::optional<duration> third_start)
{
    return [=](call_kind kind, int number) {
        call_fate fate = kind == call_kind::start ? unanswered : carried_out;
        if (kind == call_kind::hold)
            fate.answer_delay_ = time;
        if (kind == call_kind::start && number == 2)
            fate.carried_out_after_ = third_start;
        return fate;
    };
}

void submit_minute(call_simulation& simulation)
{
    step_spec step = pool_fixture::make_step(1, 1, false);
    step.estimate_ = 60s;
    simulation.submit("a", step);
}

} // namespace

// Guards against tasks that wait as long as their worker refuses all calls:
// each refused hold call counted as a lease (review/11).
TEST_CASE("the task of a worker that refuses all calls starts elsewhere",
          "[refusing_worker]")
{
    CHECK(recovery_time([](call_kind, int) { return refused; }) <=
          max_recovery_time);
    // 500 or 400: what the worker has done is not known.
    CHECK(recovery_time([](call_kind, int) {
              return call_fate{call_verdict::malformed};
          }) <= max_recovery_time);
    // A call that might grant a lease is open nearly all the time.
    CHECK(recovery_time([](call_kind, int) {
              return call_fate{call_verdict::unhealthy, true, 390ms};
          }) <= max_recovery_time + 2400ms);
}

// Neither answer tells more than silence.
TEST_CASE("refusals beside silence postpone nothing", "[refusing_worker]")
{
    for (int interval : {2, 3, 5}) {
        CAPTURE(interval);
        CHECK(recovery_time([interval](call_kind, int number) {
                  return number % interval == 0 ? unanswered : refused;
              }) <= max_recovery_time);
        CHECK(recovery_time([interval](call_kind, int number) {
                  return number % interval == 0 ? refused : unanswered;
              }) <= max_recovery_time);
    }
}

// Work that is thrown away is dearer than a late look.
TEST_CASE("a run goes on while its worker refuses some calls",
          "[refusing_worker]")
{
    auto check = [](const call_simulation::policy& policy) {
        call_simulation simulation;
        simulation.start_task();
        simulation.policy_ = policy;
        simulation.run_for(40s);
        CHECK(simulation.running_on(0));
        CHECK(simulation.run_number() == 1);
    };
    // Every second call, and two of three.
    check([](call_kind, int number) {
        return number % 2 == 0 ? refused : carried_out;
    });
    check([](call_kind, int number) {
        return number % 3 == 0 ? carried_out : refused;
    });
    check([](call_kind, int number) {
        return number % 2 == 0 ? call_fate{call_verdict::malformed}
                               : carried_out;
    });
    check([](call_kind kind, int) {
        return kind == call_kind::start ? refused : carried_out;
    });
}

TEST_CASE("a run goes on if its worker is well again before its lease is over",
          "[refusing_worker]")
{
    for (duration time = 500ms; time <= 10s; time += 250ms) {
        CAPTURE(time / 1ms);
        call_simulation simulation;
        simulation.start_task();
        simulation.run_for(3s);
        simulation.policy_ = [](call_kind, int) { return refused; };
        simulation.run_for(time);
        simulation.policy_ = [](call_kind, int) { return carried_out; };
        simulation.run_for(5s);
        CHECK((simulation.running_on(0) || simulation.running_on(1)));
        // The last lease was granted at most 2 s before the first refusal.
        if (time <= 3s)
            CHECK(simulation.run_number() == 1);
    }
}

// A refused call is void, one without an answer is not.
TEST_CASE("nothing runs twice if calls without an answer arrive late",
          "[refusing_worker]")
{
    for (duration delay = 1s; delay <= 12s; delay += 500ms) {
        CAPTURE(delay / 1ms);
        // The simulation checks at each step that at most one run exists.
        CHECK(recovery_time([delay](call_kind, int number) {
                  if (number % 2 == 0)
                      return refused;
                  call_fate late = unanswered;
                  late.carried_out_after_ = delay;
                  return late;
              }) <= 20s);
    }
}

TEST_CASE("a worker that refuses holds gets no work until it accepts them",
          "[refusing_worker]")
{
    call_simulation simulation;
    simulation.start_task();
    simulation.policy_ = [](call_kind kind, int) {
        return kind == call_kind::hold ? refused : carried_out;
    };
    simulation.run_until([&] { return simulation.running_on(1); }, 20s);
    REQUIRE(simulation.running_on(1));
    simulation.calls_.clear();
    // More than the other worker has room for.
    simulation.submit("b", pool_fixture::make_step(8, 1, false));
    simulation.run_for(5s);
    CHECK(simulation.calls_[call_kind::start] == 0);
    CHECK_FALSE(simulation.running_on(0));
    simulation.policy_ = [](call_kind, int) { return carried_out; };
    CHECK(simulation.run_until([&] { return simulation.running_on(0); }, 5s) <
          2s);
}

// Guards against a start that is sent to the same worker without end while
// other calls to it are answered (review/12).
TEST_CASE("a start that its worker leaves unanswered goes to another one",
          "[refusing_worker]")
{
    bool do_holds_wait = GENERATE(false, true);
    auto recover = [&](std::optional<duration> carried_out_after) {
        call_simulation simulation;
        simulation.do_holds_wait_ = do_holds_wait;
        simulation.policy_ = [=](call_kind kind, int) {
            if (kind != call_kind::start)
                return carried_out;
            call_fate fate = unanswered;
            fate.carried_out_after_ = carried_out_after;
            return fate;
        };
        submit_minute(simulation);
        return simulation.run_until(
            [&] {
                return simulation.running_on(0) || simulation.running_on(1);
            },
            60s);
    };
    // Three starts with their timeouts and pauses, and the time to plan.
    CHECK(recover(std::nullopt) <= 3 * (400ms + 400ms) + 500ms);
    // The simulation checks at each step that at most one run exists.
    for (duration delay = 500ms; delay <= 12s; delay += 500ms) {
        CAPTURE(delay / 1ms);
        CHECK(recover(delay) <= 3s);
    }
}

// Guards against a listing that is taken for proof though it was requested
// before the last start was lost, whose token it does not make void
// (review/12).
TEST_CASE("a listing shows nothing of starts with its own token",
          "[refusing_worker]")
{
    for (duration listing_time : {150ms, 250ms, 350ms}) {
        for (duration delay = 400ms; delay <= 800ms; delay += 10ms) {
            CAPTURE(listing_time / 1ms, delay / 1ms);
            call_simulation simulation;
            simulation.policy_ = slow_listings(listing_time, delay);
            submit_minute(simulation);
            // The simulation checks at each step that at most one run exists.
            simulation.run_for(6s);
            CHECK(simulation.calls_[call_kind::start] >= 3);
        }
    }
}

// Guards against a start that is repeated without end because the next one is
// open whenever a listing arrives.
TEST_CASE("a start without an answer is given up also if listings are slow",
          "[slow_listings]")
{
    for (duration listing_time = 50ms; listing_time < 400ms;
         listing_time += 50ms) {
        CAPTURE(listing_time / 1ms);
        call_simulation simulation;
        simulation.policy_ = slow_listings(listing_time, std::nullopt);
        submit_minute(simulation);
        auto is_running = [&] { return simulation.running_on(1); };
        CHECK(simulation.run_until(is_running, 60s) <=
              3 * (400ms + 400ms) + 2 * listing_time + 500ms);
    }
}

TEST_CASE("the log tells when a worker refuses hold calls", "[refusing_worker]")
{
    call_simulation simulation;
    simulation.start_task();
    simulation.policy_ = [](call_kind, int) { return refused; };
    simulation.run_for(3s);
    simulation.policy_ = [](call_kind, int) { return carried_out; };
    simulation.run_for(3s);
    auto count = [&](const std::string& text) {
        return std::count_if(
            simulation.events_.begin(), simulation.events_.end(),
            [&text](const owner_event& item) {
                return item.message_.find(text) != std::string::npos;
            });
    };
    CHECK(count("worker w00 refuses hold calls with 1 runs: unhealthy") == 1);
    CHECK(count("worker w00 accepts hold calls again after") == 1);
}
