// Runs that a worker lists and the state does not hold.
#include "owner_fixture.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::pool;
using namespace std::chrono_literals;

namespace {

/// One worker whose state holds no run while run 1 of job a is waited for.
class stray_fixture : public owner_fixture
{
  public:
    explicit stray_fixture(std::int64_t accelerators = 1,
                           bool is_guarded = true)
    {
        hold_ = start_run_on_worker(make_step(1, accelerators, false));
        state_.apply(end_unreported_run{
            name_of(0), 1, run_, run_outcome::stopped, {}, {}});
        if (!is_guarded) {
            (void)grant_queue_access(1, "t");
            pool_config config = state_.config();
            config.version_ += 9;
            config.unguarded_services_ = {service_name("rota")};
            state_.apply(put_config{config});
        }
        owner_.state_changed();
        advance(1ms);
        listing_.running_ = {{run_, {}, 10}};
    }

    /// Counts the starts while all calls get the reply.
    std::size_t starts(int steps, duration step, const call_answer& reply)
    {
        std::size_t result = 0;
        for (int i = 0; i < steps; ++i) {
            for (const worker_call& call : advance(step)) {
                result += std::holds_alternative<start_call>(call.operation_);
                answer(call, reply);
            }
        }
        return result;
    }

    worker_call hold_;
    call_answer listing_;
    const run_ref run_{{job_id("a"), 0, 0, 0}, 1};
};

/// Two workers; the first has a stray run of a task that waits.
class two_workers : public owner_fixture
{
  public:
    two_workers()
    {
        add_worker(1, 0);
        owner_.state_changed();
        owner_.add_worker(name_of(1), now_);
        owner_.record_announcement(name_of(1), 1, clock(), now_);
        for (int i = 0; i < 3; ++i)
            for (const worker_call& call : advance(50ms))
                answer(call);
        submit("a", {make_step(1, 1, false)});
        advance(20ms);
        std::vector<worker_call> calls = advance(20ms);
        auto start = filter<start_call>(calls);
        at_ = start.at(0).worker_;
        answer(start[0]);
        state_.apply(
            end_unreported_run{at_, 1, run_, run_outcome::stopped, {}, {}});
        owner_.state_changed();
        advance(1ms);
        hold_ = filter<hold_call>(calls).at(0);
    }

    /// Counts the starts while holds of the first worker get the listing.
    std::size_t starts(int steps, const call_answer& listing)
    {
        std::size_t result = 0;
        for (int i = 0; i < steps; ++i) {
            for (const worker_call& call : advance(50ms)) {
                result += std::holds_alternative<start_call>(call.operation_);
                bool is_hold =
                    std::holds_alternative<hold_call>(call.operation_);
                answer(call, call.worker_ == at_ && is_hold ? listing
                                                            : call_answer{});
            }
        }
        return result;
    }

    worker_name at_;
    worker_call hold_;
    const run_ref run_{{job_id("a"), 0, 0, 0}, 1};
};

} // namespace

// A run that is being stopped still takes its resources (issue 34).
TEST_CASE("a worker with a stray run gets no starts", "[stray_run]")
{
    stray_fixture pool(6, false);
    pool.answer(pool.hold_, pool.listing_);
    accept_job job;
    job.spec_.id_ = job_id("b");
    job.spec_.steps_ = {pool_fixture::make_step(1, 6, false)};
    job.access_ = {"a.example", "/queue-1/", "key-of-t"};
    job.accepted_ms_ = 50;
    job.request_ = "call-b";
    REQUIRE(pool.state_.apply(job) == pool_reply::applied);
    // Capacity 8 accelerators: 6 of the stray and 6 of b do not fit.
    std::size_t starts = 0;
    for (int i = 0; i < 10; ++i) {
        pool.owner_.record_announcement(pool.name_of(0), 1, pool.clock(),
                                        pool.now_);
        starts += pool.starts(1, 50ms, pool.listing_);
    }
    CHECK(starts == 0);
}

// Answers on different connections may overtake each other; the task then
// started beside its stray run (issue 34).
TEST_CASE("an older listing that arrives later shows no end of a stray run",
          "[stray_run]")
{
    stray_fixture pool;
    pool.answer(pool.hold_, pool.listing_);
    std::vector<worker_call> calls = pool.advance(50ms);
    auto stops = owner_fixture::filter<stop_call>(calls);
    auto first = owner_fixture::filter<hold_call>(calls);
    REQUIRE(stops.size() == 1);
    REQUIRE(first.size() == 1);
    pool.drop(stops[0]);
    std::vector<worker_call> second;
    for (int i = 0; i < 10 && second.empty(); ++i)
        second = owner_fixture::filter<hold_call>(pool.advance(20ms));
    REQUIRE(second.size() == 1);
    pool.answer(second[0], pool.listing_);
    pool.answer(first[0]); // older, without the run
    CHECK(pool.starts(4, 20ms, pool.listing_) == 0);
}

TEST_CASE("an incomplete listing shows no end of a stray run", "[stray_run]")
{
    stray_fixture pool;
    pool.answer(pool.hold_, pool.listing_);
    CHECK(pool.starts(4, 50ms, pool.listing_) == 0);
    call_answer part;
    part.is_complete_ = false;
    CHECK(pool.starts(10, 50ms, part) == 0);
}

TEST_CASE("an incomplete first listing does not show what a worker runs",
          "[stray_run]")
{
    owner_fixture pool;
    pool.add_worker(1, 0);
    pool.owner_.state_changed();
    pool.owner_.add_worker(pool.name_of(1), pool.now_);
    pool.owner_.record_announcement(pool.name_of(1), 1, pool.clock(),
                                    pool.now_);
    pool.submit("a", {pool_fixture::make_step(2, 8, false)});
    call_answer part;
    part.is_complete_ = false;
    std::size_t starts = 0;
    for (int i = 0; i < 10; ++i) {
        for (const worker_call& call : pool.advance(50ms)) {
            if (call.worker_ != pool.name_of(1)) {
                pool.answer(call);
                continue;
            }
            starts += std::holds_alternative<start_call>(call.operation_);
            pool.answer(call, part);
        }
    }
    CHECK(starts == 0);
}

TEST_CASE("a committed start waits for the end of a stray run", "[stray_run]")
{
    stray_fixture pool;
    // The state commits run 2 before the listing is read.
    pool.advance(250ms);
    REQUIRE(pool.state_.runs_on(pool.name_of(0)).size() == 1);
    pool.answer(pool.hold_, pool.listing_);
    CHECK(pool.starts(4, 20ms, pool.listing_) == 0);
}

// The end of a stray run on a new incarnation was forgotten with the session of
// the earlier one, so its task ran again after it was done (issue 34).
TEST_CASE("a stray run that is done on a new incarnation is not repeated",
          "[stray_run]")
{
    two_workers pool;
    call_answer running;
    running.incarnation_ = 2;
    running.running_ = {{pool.run_, {}, 10}};
    call_answer done;
    done.incarnation_ = 2;
    done.ended_ = {{1, pool.run_, run_outcome::done, {}}};
    pool.answer(pool.hold_, running);
    REQUIRE(pool.starts(4, running) == 0);
    CHECK(pool.starts(6, done) == 0);
}

TEST_CASE("a fenced or incomplete answer of a new incarnation shows no end",
          "[stray_run]")
{
    two_workers pool;
    call_answer running;
    running.incarnation_ = 2;
    running.running_ = {{pool.run_, {}, 10}};
    pool.answer(pool.hold_, running);
    REQUIRE(pool.starts(4, running) == 0);
    call_answer part;
    part.incarnation_ = 2;
    part.is_complete_ = false;
    if (GENERATE(false, true))
        part.verdict_ = call_verdict::fenced;
    CHECK(pool.starts(6, part) == 0);
}

TEST_CASE("a worker that leaves keeps the task of its stray run", "[stray_run]")
{
    two_workers pool;
    call_answer running;
    running.running_ = {{pool.run_, {}, 10}};
    pool.answer(pool.hold_, running);
    REQUIRE(pool.starts(2, running) == 0);
    REQUIRE(pool.owner_.retire_worker(pool.at_, 1, pool.now_));
    // It goes on listing the run.
    CHECK(pool.starts(10, running) == 0);
}

TEST_CASE("a run that has ended since the last tick is stray", "[stray_run]")
{
    owner_fixture pool;
    worker_call hold =
        pool.start_run_on_worker(pool_fixture::make_step(1, 1, false));
    run_ref run{{job_id("a"), 0, 0, 0}, 1};
    pool.state_.apply(end_unreported_run{
        pool.name_of(0), 1, run, run_outcome::lapsed, {}, {}});
    pool.owner_.state_changed();
    call_answer listing;
    listing.running_ = {{run, {}, 10}};
    pool.answer(hold, listing);
    std::size_t starts = 0;
    for (int i = 0; i < 4; ++i)
        for (const worker_call& call : pool.advance(50ms)) {
            starts += std::holds_alternative<start_call>(call.operation_);
            pool.answer(call, listing);
        }
    CHECK(starts == 0);
}

// Without a pause there were 200 holds in 10 s in a trial.
TEST_CASE("a worker whose answers name no incarnation is asked at intervals",
          "[stray_run]")
{
    owner_fixture pool;
    pool.add_worker(1, 0);
    pool.owner_.state_changed();
    pool.owner_.add_worker(pool.name_of(1), pool.now_);
    std::size_t holds = 0;
    for (int i = 0; i < 200; ++i) {
        for (const worker_call& call : pool.advance(50ms)) {
            holds += call.worker_ == pool.name_of(1);
            call_answer none;
            none.clock_ms_ = pool.clock();
            pool.owner_.handle_result(call.id_, none, pool.now_);
        }
    }
    CHECK(holds > 5);
    CHECK(holds <= 25);
}
