// Which jobs have started (docs/incidents/decided-not-started.md).
#include "fake_worker.hpp"
#include "owner_fixture.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::pool;
using namespace std::chrono_literals;

namespace {

/// A job whose start call to the only worker is open.
class started_job : public owner_fixture
{
  public:
    explicit started_job(std::uint32_t tasks = 1)
        : id_(submit("a", {make_step(tasks, 1, false)}))
    {
        (void)advance(10ms);
        std::vector<worker_call> calls = advance(10ms);
        starts_ = filter<start_call>(calls);
        holds_ = filter<hold_call>(calls);
        REQUIRE(!starts_.empty());
    }

    /// Lets the owner record what its worker has confirmed.
    void settle() { (void)advance(300ms); }

    [[nodiscard]] std::uint64_t waiting() const { return waiting_jobs(1); }

    [[nodiscard]] bool is_shown_as_started() const
    {
        return state_.find_job(id_)->has_started_;
    }

    job_id id_;
    run_ref run_{{id_, 0, 0, 0}, 1};
    std::vector<worker_call> starts_;
    std::vector<worker_call> holds_;
};

} // namespace

// Jobs whose worker fell silent before it began were shown as running and not
// counted as waiting, for good (review/5).
TEST_CASE("a job is waiting until a worker confirms its start",
          "[waiting_jobs]")
{
    started_job pool;
    CHECK(pool.waiting() == 1);
    CHECK(!pool.is_shown_as_started());

    SECTION("the worker is silent and its lease expires")
    {
        for (const worker_call& call : pool.starts_)
            pool.drop(call);
        for (int i = 0; i < 300; ++i) {
            for (const worker_call& call : pool.advance(100ms))
                pool.drop(call);
        }
        CHECK(pool.state_.runs_on(pool_fixture::name_of(0)).empty());
        CHECK(pool.waiting() == 1);
        CHECK(!pool.is_shown_as_started());
    }
    SECTION("the worker refuses the start")
    {
        call_answer refusal;
        refusal.verdict_ = call_verdict::no_capacity;
        pool.answer(pool.starts_[0], refusal);
        pool.settle();
        CHECK(pool.waiting() == 1);
        CHECK(!pool.is_shown_as_started());
    }
    SECTION("the worker has started again and lists nothing")
    {
        pool.state_.apply(end_incarnation{pool_fixture::name_of(0),
                                          1,
                                          {},
                                          incarnation_end_cause::crashed,
                                          {{pool.run_, 0ms, false}}});
        CHECK(pool.waiting() == 1);
    }
    SECTION("the worker answers the start")
    {
        pool.answer(pool.starts_[0]);
        pool.settle();
        CHECK(pool.waiting() == 0);
        CHECK(pool.is_shown_as_started());
    }
    SECTION("the answer is lost, but the worker lists the run")
    {
        pool.drop(pool.starts_[0]);
        call_answer listing;
        listing.running_ = {{pool.run_, {}, 5}};
        pool.answer(pool.holds_.at(0), listing);
        pool.settle();
        CHECK(pool.waiting() == 0);
        CHECK(pool.is_shown_as_started());
    }
    SECTION("the answer is lost, but the worker reports the end")
    {
        pool.drop(pool.starts_[0]);
        call_answer listing;
        listing.ended_ = {{1, pool.run_, run_outcome::failed, {}}};
        pool.answer(pool.holds_.at(0), listing);
        pool.settle();
        CHECK(pool.waiting() == 0);
        CHECK(pool.is_shown_as_started());
    }
    SECTION("the job is cancelled")
    {
        pool.state_.apply(
            cancel_job{pool.id_, pool.grant_queue_access(1, "t")});
        CHECK(pool.waiting() == 0);
    }
}

// What was shown as running must not wait again while the run goes on.
TEST_CASE("a start is known to a later owner", "[waiting_jobs]")
{
    started_job pool;
    bool is_confirmed = GENERATE(false, true);
    if (is_confirmed)
        pool.answer(pool.starts_[0]);
    pool.settle();
    pool_state copy;
    copy.restore(pool.state_.snapshot());
    CHECK(copy.waiting_jobs(copy.config().routes_.at(0)) ==
          (is_confirmed ? 0 : 1));
    pool.owner_.begin(2, pool.now_);
    pool.owner_.record_announcement(pool_fixture::name_of(0), 1, pool.clock(),
                                    pool.now_);
    auto holds = owner_fixture::filter<hold_call>(pool.advance(10ms));
    CHECK(pool.waiting() == (is_confirmed ? 0 : 1));
    call_answer listing;
    listing.running_ = {{pool.run_, {}, 5}};
    pool.answer(holds.at(0), listing);
    pool.settle();
    CHECK(pool.waiting() == 0);
}

TEST_CASE("the start of a job is proposed once", "[waiting_jobs]")
{
    started_job pool(2);
    for (const worker_call& call : pool.starts_)
        pool.answer(call);
    call_answer listing;
    listing.running_ = {{pool.run_, {}, 5}, {{{pool.id_, 0, 0, 1}, 1}, {}, 5}};
    pool.answer(pool.holds_.at(0), listing);
    pool.now_ += 300ms;
    pool.owner_.tick(pool.now_, 0);
    pool.now_ += 300ms;
    pool.owner_.tick(pool.now_, 0);
    owner_output output = pool.owner_.take_output();
    auto count =
        std::count_if(output.observations_.begin(), output.observations_.end(),
                      [](const pool_command& command) {
                          return std::holds_alternative<confirm_start>(command);
                      });
    CHECK(count == 1);
}

// The answer of a start may be lost with its worker, whose next incarnation
// has taken the call.
TEST_CASE("a run on the next incarnation counts as started", "[waiting_jobs]")
{
    started_job pool;
    for (const worker_call& call : pool.starts_)
        pool.drop(call);
    call_answer listing;
    listing.incarnation_ = 2;
    listing.running_ = {{pool.run_, {}, 5}};
    pool.answer(pool.holds_.at(0), listing);
    pool.settle();
    CHECK(pool.waiting() == 0);
}

TEST_CASE("waiting jobs are counted by queue", "[waiting_jobs]")
{
    pool_fixture pool(1);
    for (int i = 0; i < 3; ++i)
        pool.submit("a" + std::to_string(i),
                    {pool_fixture::make_step(1, 8, false)}, 1);
    job_id other = pool.submit("b", {pool_fixture::make_step(1, 8, false)}, 2);
    CHECK(pool.waiting_jobs(1) == 3);
    CHECK(pool.waiting_jobs(2) == 1);
    CHECK(pool.waiting_jobs(3) == 0);
    pool.state_.apply(confirm_start{{{other, 0, 0, 0}, 1}});
    pool.state_.apply(confirm_start{{{other, 0, 0, 0}, 1}});
    CHECK(pool.waiting_jobs(2) == 0);
    CHECK(pool.waiting_jobs(1) == 3);
}
