// The evacuation of a zone in the replicated state and at the owner.
#include "owner_fixture.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::pool;
using namespace std::chrono_literals;

namespace {

const zone_name north("north");
const zone_name south("south");

/// An owner with two workers in the north and one in the south. They answer as
/// told; a call that a worker does not answer is lost after the call timeout.
class evacuation_fixture : public owner_fixture
{
  public:
    evacuation_fixture()
    {
        add_worker(1, 0);
        add_worker(2, 0);
        move(0, north);
        move(1, north);
        move(2, south);
        take_over(2);
    }

    void move(int number, const zone_name& zone)
    {
        worker_info info = state_.worker_at(name_of(number)).info_;
        info.zone_ = zone;
        state_.apply(put_worker{info});
    }

    /// Begins a term, as after a change of the owner.
    void take_over(std::uint64_t term)
    {
        owner_.begin(term, now_);
        for (int i = 0; i < 3; ++i)
            owner_.record_announcement(name_of(i), 1, clock(), now_);
    }

    void evacuate(const zone_name& zone, bool is_evacuated = true)
    {
        state_.apply(set_evacuation{zone, is_evacuated});
        owner_.state_changed();
    }

    /// Advances the time and answers the calls: a worker lists what it has
    /// begun, and what it has ended.
    std::vector<worker_call> advance_and_answer(duration time)
    {
        std::vector<worker_call> calls = advance(time);
        for (const worker_call& call : calls) {
            auto& running = running_[call.worker_];
            if (const auto* start = std::get_if<start_call>(&call.operation_))
                running.insert(start->run_);
            if (const auto* stop = std::get_if<stop_call>(&call.operation_)) {
                if (running.erase(stop->run_) > 0)
                    ended_[call.worker_].push_back(
                        {++sequence_, stop->run_, run_outcome::stopped, {}});
            }
            call_answer reply;
            for (const run_ref& run : running)
                reply.running_.push_back({run, {}, 1});
            reply.ended_ = ended_[call.worker_];
            answer(call, reply);
        }
        return calls;
    }

    std::size_t runs_on(int number) const
    {
        return state_.runs_on(name_of(number)).size();
    }

    std::map<worker_name, std::set<run_ref>> running_;
    std::map<worker_name, std::vector<reported_outcome>> ended_;
    std::uint64_t sequence_ = 0;
};

start_run make_start(const job_id& id, int worker)
{
    return {id, 0, 0, 1, {{0, pool_fixture::name_of(worker), 1}}};
}

/// A snapshot of a build without evacuations.
struct earlier_state
{
    pool_config config_;
    std::map<job_id, job_record> jobs_;
    std::map<worker_name, worker_record> workers_;
    std::vector<job_id> final_jobs_;
    std::map<worker_name, std::int64_t> ended_incarnations_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(config_, jobs_, workers_, final_jobs_, ended_incarnations_);
    }
};

} // namespace

// Guards against an answer that depends on the number of calls: an operator
// repeats a call that got no answer, and two operators may act at once.
TEST_CASE("the order of the log decides between calls for a zone",
          "[evacuation]")
{
    pool_state state;
    CHECK(state.apply(set_evacuation{north, false}) == pool_reply::unchanged);
    CHECK(state.apply(set_evacuation{north, true}) == pool_reply::applied);
    CHECK(state.apply(set_evacuation{north, true}) == pool_reply::unchanged);
    CHECK(state.apply(set_evacuation{south, true}) == pool_reply::applied);
    CHECK(state.apply(set_evacuation{north, false}) == pool_reply::applied);
    CHECK(state.evacuated_zones() == std::set<zone_name>{south});
    CHECK(state.notice_count() == 3);
}

// Guards against a control host that forgets an evacuation with its disk: it
// gets a snapshot from the leader.
TEST_CASE("a snapshot carries the evacuated zones", "[evacuation]")
{
    pool_state first;
    first.apply(set_evacuation{north, true});
    pool_state second;
    second.restore(first.snapshot());
    CHECK(second.is_evacuated(north));
    CHECK_FALSE(second.is_evacuated(south));
    second.restore(to_wire(earlier_state{}));
    CHECK(second.evacuated_zones().empty());
}

// Guards against a start that an owner has proposed before it has seen the
// evacuation, and against counts that hold for another set of workers.
TEST_CASE("the state rejects starts in an evacuated zone", "[evacuation]")
{
    evacuation_fixture pool;
    job_id id = pool.submit("a", {pool_fixture::make_step(1, 1, false)});
    pool.evacuate(north);
    CHECK(pool.state_.waiting_jobs_without_workers() == 0);
    CHECK(pool.state_.apply(make_start(id, 0)) == pool_reply::rejected);
    pool.evacuate(south);
    CHECK(pool.state_.waiting_jobs_without_workers() == 1);
    pool_state copy;
    copy.restore(pool.state_.snapshot());
    CHECK(copy.waiting_jobs_without_workers() == 1);
    pool.evacuate(north, false);
    CHECK(pool.state_.waiting_jobs_without_workers() == 0);
    CHECK(pool.state_.apply(make_start(id, 0)) == pool_reply::applied);
}

// A worker that joins the zone, or moves there, counts from the beginning.
TEST_CASE("nothing starts on a worker that joins an evacuated zone",
          "[evacuation]")
{
    evacuation_fixture pool;
    pool.evacuate(south);
    pool.evacuate(north);
    pool.add_worker(3, 0);
    pool.move(3, south);
    pool.owner_.add_worker(pool_fixture::name_of(3), pool.now_);
    pool.owner_.record_announcement(pool_fixture::name_of(3), 1, pool.clock(),
                                    pool.now_);
    pool.submit("a", {pool_fixture::make_step(1, 1, false)});
    for (int i = 0; i < 50; ++i)
        CHECK(owner_fixture::filter<start_call>(pool.advance_and_answer(20ms))
                  .empty());
    CHECK(pool.state_.waiting_jobs_without_workers() == 1);
    pool.evacuate(south, false);
    for (int i = 0; i < 50; ++i)
        pool.advance_and_answer(20ms);
    CHECK(pool.runs_on(2) + pool.runs_on(3) == 1);
}

// Guards against a start that leaves after the evacuation though its run was
// committed before it.
TEST_CASE("a committed start that was not sent is refused", "[evacuation]")
{
    evacuation_fixture pool;
    job_id id = pool.submit("a", {pool_fixture::make_step(1, 1, false)});
    REQUIRE(pool.state_.apply(make_start(id, 0)) == pool_reply::applied);
    pool.evacuate(north);
    for (int i = 0; i < 20; ++i) {
        for (const worker_call& call :
             owner_fixture::filter<start_call>(pool.advance_and_answer(20ms)))
            CHECK(call.worker_ == pool_fixture::name_of(2));
    }
    CHECK(pool.runs_on(0) == 0);
    CHECK(pool.runs_on(2) == 1);
}

// Guards against the repetition of a start whose answer is lost: the worker may
// have begun the run, or may still do so.
TEST_CASE("a start without an answer is stopped and not sent again",
          "[evacuation]")
{
    evacuation_fixture pool;
    job_id id = pool.submit("a", {pool_fixture::make_step(1, 1, false)});
    REQUIRE(pool.state_.apply(make_start(id, 0)) == pool_reply::applied);
    pool.owner_.state_changed();
    std::vector<worker_call> calls = pool.advance(20ms);
    REQUIRE(owner_fixture::filter<start_call>(calls).size() == 1);
    pool.evacuate(north);
    pool.now_ += 400ms;
    for (const worker_call& call : calls)
        pool.drop(call);
    std::size_t stops = 0;
    bool is_repeated = false;
    for (int i = 0; i < 100; ++i) {
        for (const worker_call& call : pool.advance_and_answer(20ms)) {
            if (call.worker_ != pool_fixture::name_of(0))
                continue;
            stops += std::holds_alternative<stop_call>(call.operation_);
            is_repeated = is_repeated ||
                          std::holds_alternative<start_call>(call.operation_);
        }
    }
    CHECK_FALSE(is_repeated);
    CHECK(stops == 1);
    CHECK(pool.runs_on(2) == 1);
}

// A new owner does not know what its predecessor has sent. What the worker does
// not list must not be sent, and what it lists goes on.
TEST_CASE("a new owner sends no inherited start to an evacuated zone",
          "[evacuation]")
{
    evacuation_fixture pool;
    job_id sent = pool.submit("a", {pool_fixture::make_step(1, 1, false)});
    job_id unsent = pool.submit("b", {pool_fixture::make_step(1, 1, false)});
    REQUIRE(pool.state_.apply(make_start(sent, 0)) == pool_reply::applied);
    REQUIRE(pool.state_.apply(make_start(unsent, 1)) == pool_reply::applied);
    pool.running_[pool_fixture::name_of(0)] = {{{sent, 0, 0, 0}, 1}};
    pool.evacuate(north);
    pool.take_over(3);
    for (int i = 0; i < 50; ++i) {
        for (const worker_call& call :
             owner_fixture::filter<start_call>(pool.advance_and_answer(20ms)))
            CHECK(call.worker_ == pool_fixture::name_of(2));
    }
    CHECK(pool.runs_on(0) == 1);
    CHECK(pool.runs_on(1) == 0);
    CHECK(pool.runs_on(2) == 1);
}

// A member that waits for 4 s for the others ends `alone`, which breaks a rule.
TEST_CASE("a gang of which a member may not start any more ends as a whole",
          "[evacuation]")
{
    evacuation_fixture pool;
    job_id id = pool.submit("a", {pool_fixture::make_step(2, 4, true)});
    start_run start{
        id,
        0,
        0,
        1,
        {{0, pool_fixture::name_of(0), 1}, {1, pool_fixture::name_of(2), 1}}};
    REQUIRE(pool.state_.apply(start) == pool_reply::applied);
    pool.owner_.state_changed();
    std::vector<worker_call> lost;
    for (const worker_call& call : pool.advance(20ms)) {
        if (call.worker_ == pool_fixture::name_of(0)) {
            lost.push_back(call);
            continue;
        }
        if (const auto* begun = std::get_if<start_call>(&call.operation_))
            pool.running_[call.worker_].insert(begun->run_);
        call_answer listing;
        listing.running_ = {{{{id, 0, 0, 1}, 1}, {}, 0}};
        pool.answer(call, listing);
    }
    REQUIRE(lost.size() == 2);
    pool.evacuate(north);
    // The open call may still be answered, so nothing is stopped yet.
    CHECK(owner_fixture::filter<stop_call>(pool.advance(20ms)).empty());
    pool.now_ += 380ms;
    for (const worker_call& call : lost)
        pool.drop(call);
    // The first worker stays silent; the other member must not wait for it.
    std::size_t stops = 0;
    for (int i = 0; i < 5; ++i) {
        for (const worker_call& call :
             owner_fixture::filter<stop_call>(pool.advance(20ms)))
            stops += call.worker_ == pool_fixture::name_of(2);
    }
    CHECK(stops == 1);
}

// Guards against a gang that stays in the zone with some of its members, and
// against the end of one that has begun.
TEST_CASE("a gang that has begun runs on in an evacuated zone", "[evacuation]")
{
    evacuation_fixture pool;
    job_id id = pool.submit("a", {pool_fixture::make_step(2, 4, true)});
    start_run start{
        id,
        0,
        0,
        1,
        {{0, pool_fixture::name_of(0), 1}, {1, pool_fixture::name_of(2), 1}}};
    REQUIRE(pool.state_.apply(start) == pool_reply::applied);
    pool.owner_.state_changed();
    pool.advance_and_answer(20ms);
    pool.evacuate(north);
    for (int i = 0; i < 50; ++i)
        CHECK(owner_fixture::filter<stop_call>(pool.advance_and_answer(20ms))
                  .empty());
    CHECK(pool.runs_on(0) == 1);
    CHECK(pool.runs_on(2) == 1);
}

// A start in flight may be carried out as long as its lease, and a replaced
// owner may send it for 1.2 s after the evacuation: 5 s in all, with clocks
// that are 2 % slow over the lease and the 4 s since they were read.
TEST_CASE("a delayed start is void in time for an evacuation", "[evacuation]")
{
    evacuation_fixture pool;
    pool.submit("a", {pool_fixture::make_step(1, 1, false)});
    pool.advance(20ms);
    auto starts = owner_fixture::filter<start_call>(pool.advance(20ms));
    REQUIRE(starts.size() == 1);
    std::chrono::milliseconds lease(
        std::get<start_call>(starts[0].operation_).lease_until_ms_ -
        pool.clock());
    owner_timing timing;
    CHECK(timing.replaced_owner_time_ + lease +
              (lease + timing.silence_timeout_) * 2 / 100 <
          5s);
}

// Guards against a quarantine that is lifted, or not, by the number of workers
// that may not start anything anyway, and against room that nobody can use.
TEST_CASE("the plan leaves the workers of an evacuated zone out",
          "[evacuation]")
{
    pool_fixture pool(2);
    for (int i = 0; i < 2; ++i) {
        worker_info info =
            pool.state_.worker_at(pool_fixture::name_of(i)).info_;
        info.zone_ = i == 0 ? north : south;
        pool.state_.apply(put_worker{info});
    }
    pool.state_.apply(set_evacuation{north, true});
    pool.submit("a", {pool_fixture::make_step(12, 1, false)});
    placement_plan plan = pool.plan_and_start();
    REQUIRE(plan.starts_.size() == 1);
    CHECK(plan.starts_[0].assignments_.size() == 8);
    for (const task_assignment& item : plan.starts_[0].assignments_)
        CHECK(item.worker_ == pool_fixture::name_of(1));
}

// Guards against a service that stays in the zone for ever, against one that is
// stopped without room elsewhere, and against the loss of work with an end.
TEST_CASE("tasks without an end leave an evacuated zone as room allows",
          "[evacuation]")
{
    pool_fixture pool(2);
    for (int i = 0; i < 2; ++i) {
        worker_info info =
            pool.state_.worker_at(pool_fixture::name_of(i)).info_;
        info.zone_ = i == 0 ? north : south;
        pool.state_.apply(put_worker{info});
    }
    step_spec service = pool_fixture::make_step(6, 1, false);
    service.is_long_running_ = true;
    pool.state_.apply(set_evacuation{south, true});
    pool.submit("service", {service}, 0);
    pool.submit("batch", {pool_fixture::make_step(2, 1, false)}, 0);
    pool.plan_and_start();
    REQUIRE(pool.state_.runs_on(pool_fixture::name_of(0)).size() == 8);
    for (auto& item : pool.input_.runs_)
        item.second.running_since_ = pool.input_.now_;
    pool.state_.apply(set_evacuation{south, false});
    pool.submit("other", {pool_fixture::make_step(1, 7, false)}, 0);
    pool.plan_and_start();
    pool.state_.apply(set_evacuation{north, true});
    // There is room for one.
    placement_plan plan = pool.plan();
    REQUIRE(plan.moves_.size() == 1);
    CHECK(plan.moves_[0].task_.job_ == job_id("service"));
    pool.end_all(job_id("other"), run_outcome::done);
    plan = pool.plan();
    CHECK(plan.moves_.size() == 4);
    for (const run_ref& run : plan.moves_)
        pool.input_.runs_[run].is_stopping_ = true;
    CHECK(pool.plan().moves_.empty());
    for (const run_ref& run : plan.moves_)
        pool.end_run(run, run_outcome::stopped);
    pool.plan_and_start();
    CHECK(pool.state_.runs_on(pool_fixture::name_of(1)).size() == 4);
}

// Guards against a gang that moves in part.
TEST_CASE("a gang without an end moves as a whole", "[evacuation]")
{
    pool_fixture pool(4);
    for (int i = 0; i < 4; ++i) {
        worker_info info =
            pool.state_.worker_at(pool_fixture::name_of(i)).info_;
        info.zone_ = i == 0 ? north : south;
        pool.state_.apply(put_worker{info});
    }
    step_spec service = pool_fixture::make_step(2, 8, true);
    service.is_long_running_ = true;
    pool.submit("service", {service}, 0);
    pool.plan_and_start();
    REQUIRE(pool.state_.runs_on(pool_fixture::name_of(0)).size() == 1);
    pool.state_.apply(set_evacuation{north, true});
    // A member that is not under way may still have to wait for the others.
    CHECK(pool.plan().moves_.empty());
    for (auto& item : pool.input_.runs_)
        item.second.running_since_ = pool.input_.now_;
    CHECK(pool.plan().moves_.size() == 2);
}
