// Ends of runs whose commit takes longer than anything else.
#include "owner_fixture.hpp"

#include <catch2/catch.hpp>

#include <deque>

using namespace dandelioncrank;
using namespace dandelioncrank::pool;
using namespace std::chrono_literals;

namespace {

/// An owner whose proposals are committed when the test says so.
class held_pool : public owner_fixture
{
  public:
    /// Advances the time by small steps and returns all calls.
    std::vector<worker_call> wait(duration time)
    {
        std::vector<worker_call> calls;
        for (duration passed{}; passed < time; passed += 10ms) {
            now_ += 10ms;
            owner_.state_changed();
            owner_.tick(now_, 0);
            owner_output output = owner_.take_output();
            calls.insert(calls.end(), output.calls_.begin(),
                         output.calls_.end());
            if (!output.observations_.empty() || !output.starts_.empty())
                log_.push_back(std::move(output));
        }
        return calls;
    }

    /// Waits, and no call gets an answer.
    void wait_in_silence(duration time)
    {
        for (duration passed{}; passed < time; passed += 10ms) {
            for (const worker_call& call : wait(10ms))
                drop(call);
        }
    }

    /// Waits, and all calls are answered. Returns the starts.
    std::vector<worker_call> wait_in_contact(duration time)
    {
        std::vector<worker_call> starts;
        for (duration passed{}; passed < time; passed += 10ms) {
            for (const worker_call& call : wait(10ms)) {
                if (std::holds_alternative<start_call>(call.operation_))
                    starts.push_back(call);
                answer(call);
            }
        }
        return starts;
    }

    /// Commits all proposals so far, or drops them as never taken in.
    void decide(bool commits = true)
    {
        std::deque<owner_output> entries = std::exchange(log_, {});
        for (const owner_output& entry : entries) {
            for (const pool_command& item : entry.observations_)
                if (commits)
                    state_.apply(item);
            for (const pool_command& item : entry.starts_)
                if (commits)
                    state_.apply(item);
            if (!entry.observations_.empty())
                owner_.proposal_settled(entry.proposal_, now_);
            if (!entry.starts_.empty())
                owner_.starts_resolved();
        }
    }

    /// The outcomes of the ends that are proposed and undecided.
    [[nodiscard]] std::vector<run_outcome> proposed_ends() const
    {
        std::vector<run_outcome> result;
        for (const owner_output& entry : log_) {
            for (const pool_command& item : entry.observations_) {
                if (const auto* end = std::get_if<end_unreported_run>(&item))
                    result.push_back(end->outcome_);
            }
        }
        return result;
    }

    [[nodiscard]] bool has_run(std::uint32_t number) const
    {
        return state_.runs_on(name_of(0))
            .contains(run_ref{{job_id("a"), 0, 0, 0}, number});
    }

  private:
    std::deque<owner_output> log_;
};

/// A pool where an end of the only run of a job is proposed while its worker is
/// silent.
void propose_refusal(held_pool& pool)
{
    pool.submit("a", {pool_fixture::make_step(1, 1, false)});
    (void)pool.wait(50ms);
    pool.owner_.record_announcement(pool_fixture::name_of(0), 1, pool.clock(),
                                    pool.now_);
    // Calls are lost while the start is on its way into the log.
    pool.state_.apply(record_outcomes{
        pool_fixture::name_of(0),
        1,
        {{1, {{job_id("x"), 0, 0, 0}, 1}, run_outcome::stopped, {}}}});
    pool.wait_in_silence(1s);
    pool.decide();
    pool.wait_in_silence(50ms);
    REQUIRE(pool.proposed_ends() == std::vector{run_outcome::refused});
}

void propose_lapse(held_pool& pool)
{
    pool.submit("a", {pool_fixture::make_step(1, 1, false)});
    (void)pool.wait(50ms);
    pool.decide();
    pool.wait_in_silence(8s);
    REQUIRE(pool.proposed_ends() == std::vector{run_outcome::lapsed});
}

} // namespace

// A start was sent 400 ms after its run was proposed as refused; the refusal
// was committed later, and the task was started elsewhere as well (review/6).
TEST_CASE("a run does not start while its end is undecided", "[held_commits]")
{
    held_pool pool;
    bool is_refusal = GENERATE(true, false);
    if (is_refusal)
        propose_refusal(pool);
    else
        propose_lapse(pool);
    // The worker answers again, and the commit takes five seconds more.
    std::size_t proposed = pool.proposed_ends().size();
    CHECK(pool.wait_in_contact(5s).empty());
    CHECK(pool.proposed_ends().size() == proposed);
    REQUIRE(pool.has_run(1));
    SECTION("the end is committed")
    {
        pool.decide();
        CHECK(!pool.has_run(1));
        CHECK(pool.wait_in_contact(50ms).empty());
        pool.decide();
        std::vector<worker_call> starts = pool.wait_in_contact(100ms);
        REQUIRE(starts.size() == 1);
        CHECK(std::get<start_call>(starts[0].operation_).run_.run_ == 2);
    }
    SECTION("the end was never taken in")
    {
        pool.decide(false);
        std::vector<worker_call> starts = pool.wait_in_contact(1s);
        if (is_refusal) {
            REQUIRE(starts.size() == 1);
            CHECK(std::get<start_call>(starts[0].operation_).run_.run_ == 1);
            CHECK(pool.proposed_ends().empty());
            return;
        }
        // While it is undecided that the worker was out of contact, it gets no
        // lease, so the run has lapsed for good.
        CHECK(starts.empty());
        CHECK(pool.proposed_ends() == std::vector{run_outcome::lapsed});
        REQUIRE(pool.has_run(1));
        pool.decide();
        CHECK(!pool.has_run(1));
        CHECK(pool.wait_in_contact(50ms).empty());
        pool.decide();
        starts = pool.wait_in_contact(100ms);
        REQUIRE(starts.size() == 1);
        CHECK(std::get<start_call>(starts[0].operation_).run_.run_ == 2);
    }
    SECTION("another owner takes over")
    {
        pool.owner_.begin(2, pool.now_);
        pool.decide();
        CHECK(!pool.has_run(1));
    }
}

// The delay after a second lapse was over before the lapse was committed.
TEST_CASE("the delay of a task that lapsed twice counts from the commit",
          "[held_commits]")
{
    held_pool pool;
    propose_lapse(pool);
    (void)pool.wait_in_contact(500ms);
    pool.decide();
    (void)pool.wait_in_contact(50ms);
    pool.decide();
    REQUIRE(pool.has_run(2));
    pool.wait_in_silence(8s);
    REQUIRE(pool.proposed_ends().size() == 1);
    (void)pool.wait_in_contact(3s);
    pool.decide();
    REQUIRE(!pool.has_run(2));
    (void)pool.wait_in_contact(1500ms);
    pool.decide();
    CHECK(!pool.has_run(3));
    (void)pool.wait_in_contact(1s);
    pool.decide();
    CHECK(pool.has_run(3));
}

// Guards against lost ends: after the end of a run, a worker that is about to
// leave is not asked again until that end is committed. What ends there
// meanwhile is lost when it leaves, and the task runs again.
TEST_CASE("a worker that leaves is asked for further ends before the earlier "
          "ones are committed",
          "[departing_ends]")
{
    held_pool pool;
    const worker_name name = pool_fixture::name_of(0);
    pool.submit("a", {pool_fixture::make_step(2, 1, false)});
    (void)pool.wait(50ms);
    pool.decide();
    std::vector<worker_call> calls = pool.wait(50ms);
    auto holds = owner_fixture::filter<hold_call>(calls);
    REQUIRE(holds.size() == 1);
    for (const worker_call& start : owner_fixture::filter<start_call>(calls))
        pool.answer(start);
    worker_info info = pool.state_.worker_at(name).info_;
    info.is_draining_ = true;
    pool.state_.apply(put_worker{info});
    std::vector<run_ref> runs;
    for (const run_ref& run : pool.state_.runs_on(name))
        runs.push_back(run);
    REQUIRE(runs.size() == 2);
    call_answer listing;
    listing.running_ = {{runs[1], {}, 90}};
    listing.ended_ = {{1, runs[0], run_outcome::done, {}}};
    pool.answer(holds[0], listing);
    // The commit takes longer than the worker stays.
    holds = owner_fixture::filter<hold_call>(pool.wait(20ms));
    REQUIRE(holds.size() == 1);
    CHECK(std::get<hold_call>(holds[0].operation_).outcome_cursor_ == 0);
    listing.running_.clear();
    listing.ended_.push_back({2, runs[1], run_outcome::done, {}});
    pool.answer(holds[0], listing);
    REQUIRE(pool.owner_.retire_worker(name, 1, pool.now_));
    for (int i = 0; i < 10; ++i) {
        for (const worker_call& call : pool.wait(10ms))
            pool.owner_.handle_result(
                call.id_, call_lost{true, true, true, true}, pool.now_);
    }
    pool.decide();
    CHECK(pool.state_.find_job(job_id("a"))->phase_ == job_phase::completed);
}
