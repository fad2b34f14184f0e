#include "dandelioncrank/state/replicated_state.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace std::chrono_literals;

namespace {

submit_config make_submit(const std::string& request, std::uint64_t replaces,
                          std::uint64_t revision, const std::string& body,
                          const std::string& author = "ana")
{
    return {request_id(request),
            author,
            revision,
            {"leon", replaces, {"leon.yaml", body}}};
}

template <class Result>
Result apply(replicated_state& state, const state_change& change,
             std::chrono::sys_seconds at = {})
{
    return std::get<Result>(state.apply({at, change}));
}

} // namespace

TEST_CASE("one of two concurrent changes to a version is accepted", "[state]")
{
    replicated_state state;
    apply<submit_result>(state, make_submit("r1", 0, 0, "a"));
    auto won = apply<submit_result>(state, make_submit("r2", 1, 1, "b", "bea"));
    auto lost = apply<submit_result>(state, make_submit("r3", 1, 1, "c"));
    CHECK(won.outcome_ == submit_outcome::accepted);
    CHECK(lost.outcome_ == submit_outcome::conflict);
    CHECK(lost.author_ == "bea");
    CHECK(lost.version_ == 2);
    auto same = apply<submit_result>(state, make_submit("r4", 1, 1, "b"));
    CHECK(same.outcome_ == submit_outcome::unchanged);
}

TEST_CASE("a retry gets the result of the first request", "[state]")
{
    replicated_state state;
    auto first = apply<submit_result>(state, make_submit("r1", 0, 0, "a"));
    apply<submit_result>(state, make_submit("r2", 1, 1, "b"));
    auto again = apply<submit_result>(state, make_submit("r1", 0, 0, "a"));
    CHECK(again.outcome_ == submit_outcome::accepted);
    CHECK(again.revision_ == first.revision_);
    CHECK(state.config().revision() == 2);
}

TEST_CASE("a change validated against an older revision is a stale check",
          "[state]")
{
    replicated_state state;
    apply<submit_result>(state, make_submit("r1", 0, 0, "a"));
    auto stale = apply<submit_result>(state, make_submit("r2", 1, 0, "b"));
    CHECK(stale.outcome_ == submit_outcome::stale_check);
    auto fresh = apply<submit_result>(state, make_submit("r2", 1, 1, "b"));
    CHECK(fresh.outcome_ == submit_outcome::accepted);
}

TEST_CASE("a claim is granted once and returns its fate", "[state]")
{
    replicated_state state;
    acquire_claim first{"k", request_id("q1"), host_name("h1"), 7};
    acquire_claim second{"k", request_id("q2"), host_name("h2"), 7};
    acquire_claim other{"k", request_id("q3"), host_name("h2"), 8};
    CHECK(apply<claim_result>(state, first).outcome_ == claim_outcome::granted);
    CHECK(apply<claim_result>(state, second).outcome_ == claim_outcome::open);
    CHECK(apply<claim_result>(state, other).outcome_ ==
          claim_outcome::mismatch);
    settle_claim done{"k", request_id("q1"), request_outcome::completed,
                      "answer"};
    apply<claim_result>(state, done);
    auto again = apply<claim_result>(state, second);
    CHECK(again.outcome_ == claim_outcome::settled);
    CHECK(again.answer_ == "answer");
}

TEST_CASE("a claim whose request did not run can be acquired again", "[state]")
{
    replicated_state state;
    acquire_claim first{"k", request_id("q1"), host_name("h1"), 7};
    acquire_claim second{"k", request_id("q2"), host_name("h2"), 7};
    apply<claim_result>(state, first);
    apply<claim_result>(
        state,
        settle_claim{"k", request_id("q1"), request_outcome::not_run, {}});
    CHECK(apply<claim_result>(state, second).outcome_ ==
          claim_outcome::granted);

    // A late settlement by the first host does not affect the claim of the
    // second.
    apply<claim_result>(
        state,
        settle_claim{"k", request_id("q1"), request_outcome::not_run, {}});
    CHECK(apply<claim_result>(state, first).outcome_ == claim_outcome::open);
}

TEST_CASE("claims expire after one day", "[state]")
{
    replicated_state state;
    std::chrono::sys_seconds at(1000h);
    acquire_claim claim{"k", request_id("q1"), host_name("h1"), 7};
    apply<claim_result>(state, claim, at);
    apply<barrier_result>(state, read_barrier{}, at + 23h);
    CHECK(state.claims().size() == 1);
    apply<barrier_result>(state, read_barrier{}, at + 25h);
    CHECK(state.claims().size() == 0);
}

TEST_CASE("records of an older owner and of ended jobs are ignored", "[state]")
{
    replicated_state state;
    zone_name zone("z");
    auto one =
        apply<zone_result>(state, acquire_zone{zone, host_name("h1"), 1});
    auto same =
        apply<zone_result>(state, acquire_zone{zone, host_name("h1"), 1});
    auto two =
        apply<zone_result>(state, acquire_zone{zone, host_name("h2"), 2});
    CHECK(one.epoch_ == same.epoch_);
    CHECK(two.epoch_ == one.epoch_ + 1);
    job_record record;
    record.spec_.id_ = job_id("j");
    CHECK(apply<job_result>(state, put_job{zone, record, 0, true}).accepted_);
    CHECK_FALSE(
        apply<job_result>(state, put_job{zone, record, 0, true}).accepted_);
    record.state_ = job_state::completed;
    CHECK_FALSE(
        apply<job_result>(state, put_job{zone, record, one.epoch_, false})
            .accepted_);
    CHECK(apply<job_result>(state, put_job{zone, record, two.epoch_, false})
              .accepted_);
    record.state_ = job_state::running;
    CHECK_FALSE(
        apply<job_result>(state, put_job{zone, record, two.epoch_, false})
            .accepted_);
}

// Writes of one owner can commit in another order than they were sent in; a
// successor would start a job again that may run only once.
TEST_CASE("a late record does not overwrite a recorded start", "[state]")
{
    replicated_state state;
    zone_name zone("z");
    auto owner =
        apply<zone_result>(state, acquire_zone{zone, host_name("h1"), 1});
    auto put = [&](job_state next, std::uint64_t attempt) {
        job_record record;
        record.spec_.id_ = job_id("j");
        record.state_ = next;
        record.attempt_ = attempt;
        return apply<job_result>(state,
                                 put_job{zone, record, owner.epoch_, false})
            .accepted_;
    };
    CHECK(put(job_state::queued, 0));
    CHECK(put(job_state::running, 1));
    CHECK_FALSE(put(job_state::acquiring, 1));
    CHECK_FALSE(put(job_state::queued, 0));
    CHECK(state.jobs().at(job_id("j")).record_.state_ == job_state::running);
    CHECK(put(job_state::queued, 1));
    CHECK(put(job_state::acquiring, 2));
    CHECK(put(job_state::completed, 2));
}

TEST_CASE("a snapshot restores the same state", "[state]")
{
    replicated_state state;
    apply<submit_result>(state, make_submit("r1", 0, 0, "a"));
    apply<claim_result>(state,
                        acquire_claim{"k", request_id("q"), host_name("h"), 7});
    apply<zone_result>(state, acquire_zone{zone_name("z"), host_name("h"), 1});
    replicated_state copy;
    CHECK(copy.hash() != state.hash());
    copy.restore(state.snapshot());
    CHECK(copy.hash() == state.hash());
    CHECK(copy.config().cached_result(request_id("r1")));
}
