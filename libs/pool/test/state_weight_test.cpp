// What accepted jobs may take of the memory (docs/incidents/state-memory.md).
#include "dandelioncrank/pool/state_weight.hpp"
#include "pool_fixture.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::pool;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t small_limit = 1024 * 1024;

/// A job and a state as builds up to 9a7bef3 stored them.
struct earlier_job
{
    job_record job_;
    std::vector<occurrence_record> occurrences_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(job_.spec_, job_.accepted_policy_, job_.team_,
                job_.accepted_ms_, job_.accepted_by_, job_.phase_,
                job_.has_started_, occurrences_, job_.failure_,
                job_.was_given_up_);
    }
};

struct earlier_state
{
    pool_config config_;
    std::map<job_id, earlier_job> jobs_;
    std::map<worker_name, worker_record> workers_;
    std::vector<job_id> final_jobs_;
    std::map<worker_name, std::int64_t> ended_incarnations_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(config_, jobs_, workers_, final_jobs_, ended_incarnations_);
    }
};

/// Submits jobs against a limit, at a wall-clock time.
class limited_pool : public pool_fixture
{
  public:
    limited_pool() : pool_fixture(4) {}

    pool_reply submit_job(const std::string& id, job_spec spec = make_spec(16))
    {
        accept_job job;
        job.spec_ = std::move(spec);
        job.spec_.id_ = job_id(id);
        job.access_ = grant_queue_access(1, "t");
        job.accepted_ms_ = wall_ms_;
        job.request_ = "call-" + id;
        job.weight_limit_ = small_limit;
        input_.accepted_at_[job.spec_.id_] = input_.now_;
        return state_.apply(job);
    }

    static job_spec make_spec(std::uint32_t tasks)
    {
        job_spec spec;
        spec.steps_ = {make_step(tasks, 1, false)};
        return spec;
    }

    /// Submits jobs with numbers from `first` on. Returns the number of the
    /// first one that is refused.
    int fill(const job_spec& spec, int first = 0)
    {
        int number = first;
        while (submit_job("f" + std::to_string(number), spec) ==
               pool_reply::applied)
            REQUIRE(++number < 100'000);
        return number;
    }

    void cancel(const std::string& id)
    {
        queue_access access = grant_queue_access(1, "t");
        state_.apply(cancel_job{job_id(id), access});
    }

    std::int64_t wall_ms_ = 1'000'000;
};

} // namespace

// Records of all tasks of all occurrences took 16 MB for a job with 1,000
// occurrences, and the control hosts ran out of memory (review/3).
TEST_CASE("a recurring job takes no memory for occurrences to come",
          "[state_weight]")
{
    pool_fixture pool(4);
    accept_job job;
    job.access_ = pool.grant_queue_access(1, "t");
    std::vector<qsizetype> sizes;
    for (std::uint32_t repeats : {6U, 1000U}) {
        job.spec_ = limited_pool::make_spec(94);
        job.spec_.id_ = job_id("r" + std::to_string(repeats + 1000));
        job.spec_.repeats_ = repeats;
        job.spec_.first_due_ms_ = 1;
        qsizetype before = pool.state_.snapshot().size();
        REQUIRE(pool.state_.apply(job) == pool_reply::applied);
        sizes.push_back(pool.state_.snapshot().size() - before);
    }
    CHECK(sizes[1] - sizes[0] < 16);
}

// Occurrences that were done kept their records for good (review/3).
TEST_CASE("an occurrence that is done takes no memory", "[state_weight]")
{
    pool_fixture pool(4);
    job_id id = pool.submit("a", {pool_fixture::make_step(16, 1, false)});
    accept_job job;
    job.access_ = pool.grant_queue_access(1, "t");
    job.spec_ = limited_pool::make_spec(16);
    job.spec_.id_ = job_id("r");
    job.spec_.repeats_ = 5;
    job.spec_.first_due_ms_ = 1;
    job.spec_.interval_ms_ = 10;
    pool.state_.apply(job);
    pool.input_.accepted_at_[job.spec_.id_] = pool.input_.now_;
    std::uint64_t weight = pool.state_.weight();
    for (int k = 0; k < 4; ++k) {
        pool.input_.wall_ms_ = 1 + 10 * k;
        pool.plan_and_start();
        const job_record& record = *pool.state_.find_job(job.spec_.id_);
        CHECK(record.occurrences_.records().size() == 1);
        pool.end_all(id, run_outcome::done);
        pool.end_all(job.spec_.id_, run_outcome::done);
        CHECK(record.occurrences_.records().empty());
        CHECK(record.occurrences_.is_done(k));
        CHECK(record.phase_ == job_phase::open);
        CHECK(pool.plan().starts_.empty());
    }
    CHECK(pool.state_.weight() < weight);
    pool.input_.wall_ms_ = 41;
    pool.plan_and_start();
    pool.end_all(job.spec_.id_, run_outcome::done);
    CHECK(pool.state_.find_job(job.spec_.id_)->phase_ == job_phase::completed);
}

// Accepted jobs outgrew the memory, in whatever form (review/3).
TEST_CASE("a job that would pass the limit is refused and not stored",
          "[state_weight]")
{
    limited_pool pool;
    job_spec spec = limited_pool::make_spec(16);
    SECTION("small jobs") {}
    SECTION("long payloads")
    {
        spec.payload_.assign(4000, 'x');
    }
    SECTION("wide steps")
    {
        spec.steps_[0].count_ = 1000;
    }
    SECTION("many steps")
    {
        spec.steps_.resize(50, spec.steps_[0]);
    }
    SECTION("many occurrences")
    {
        spec.repeats_ = 1000;
    }
    int accepted = pool.fill(spec);
    CHECK(accepted > 0);
    CHECK(pool.state_.weight() <= small_limit);
    job_id refused("f" + std::to_string(accepted));
    CHECK(pool.state_.find_job(refused) == nullptr);
    CHECK(pool.state_.notices().back().subject_ == refused.str());
    // The same decision after a restart.
    pool_state copy;
    copy.restore(pool.state_.snapshot());
    CHECK(copy.weight() == pool.state_.weight());
    CHECK(copy.snapshot() == pool.state_.snapshot());
}

// Cancels must pass a full state and make room.
TEST_CASE("a final job gives way once clients had time to see it",
          "[state_weight]")
{
    limited_pool pool;
    int accepted = pool.fill(limited_pool::make_spec(16));
    for (int i = 0; i < accepted; ++i)
        pool.cancel("f" + std::to_string(i));
    CHECK(pool.state_.active_jobs().empty());
    int next = pool.fill(limited_pool::make_spec(16), accepted);
    CHECK(next > accepted);
    std::string refused = "f" + std::to_string(next);
    CHECK(pool.state_.find_job(job_id("f0")) != nullptr);
    for (int second = 0; second < 110; second += 5) {
        pool.wall_ms_ += 5'000;
        CHECK(pool.submit_job(refused) == pool_reply::no_room);
    }
    // The jobs were first known to be final 5 s after the start, and one
    // command advances the time by 10 s at most, here to 120 s.
    pool.wall_ms_ += 15'000;
    CHECK(pool.submit_job(refused) == pool_reply::no_room);
    pool.wall_ms_ += 5'000;
    CHECK(pool.submit_job(refused) == pool_reply::applied);
    CHECK(pool.state_.find_job(job_id("f0")) == nullptr);
}

// A snapshot or log of an earlier build may hold more than the limit.
TEST_CASE("what was accepted without a limit is served", "[state_weight]")
{
    limited_pool pool;
    for (int i = 0; i < 1000; ++i)
        pool.submit("s" + std::to_string(i),
                    {pool_fixture::make_step(16, 1, false)});
    REQUIRE(pool.state_.weight() > small_limit);
    CHECK(pool.submit_job("more") == pool_reply::no_room);
    pool_state copy;
    copy.restore(pool.state_.snapshot());
    CHECK(copy.active_jobs().size() == 1000);
    CHECK(!pool.plan().starts_.empty());
}

TEST_CASE("a snapshot of an earlier build is read", "[state_weight]")
{
    pool_fixture pool(1);
    earlier_state stored;
    stored.workers_ = pool.state_.workers();
    earlier_job& job = stored.jobs_[job_id("a")];
    job.job_.spec_ = limited_pool::make_spec(2);
    job.job_.spec_.id_ = job_id("a");
    job.job_.spec_.repeats_ = 3;
    job.job_.has_started_ = true;
    job.occurrences_.resize(3);
    for (occurrence_record& item : job.occurrences_) {
        item.steps_.resize(1);
        item.steps_[0].tasks_.resize(2);
    }
    for (task_record& task : job.occurrences_[0].steps_[0].tasks_)
        task = {1, 0, true, {}, 0};
    job.occurrences_[1].steps_[0].tasks_[0] = {2, 0, false,
                                               pool_fixture::name_of(0), 1};
    earlier_job& final_job = stored.jobs_[job_id("b")];
    final_job = job;
    final_job.job_.spec_.id_ = job_id("b");
    final_job.job_.phase_ = job_phase::completed;
    final_job.occurrences_.resize(1);
    stored.final_jobs_ = {job_id("b")};

    pool.state_.restore(to_wire(stored));
    const job_record& read = *pool.state_.find_job(job_id("a"));
    CHECK(read.has_started_);
    CHECK(read.occurrences_.is_done(0));
    CHECK(read.occurrences_.records().size() == 1);
    CHECK(read.occurrences_.at(1).steps_[0].tasks_[0].run_ == 2);
    CHECK(pool.state_.runs_on(pool_fixture::name_of(0)).size() == 1);
    CHECK(pool.state_.active_jobs() == std::set<job_id>{job_id("a")});
    CHECK(pool.state_.find_job(job_id("b"))->phase_ == job_phase::completed);
    CHECK(pool.state_.waiting_jobs(queue_route()) == 0);
    CHECK(pool.state_.weight() > 0);
}

// All occurrences that are due at a time would start beside each other.
TEST_CASE("a full state starts one occurrence of a job at a time",
          "[state_weight]")
{
    limited_pool pool;
    job_spec spec = limited_pool::make_spec(2);
    spec.repeats_ = 10;
    REQUIRE(pool.submit_job("r", spec) == pool_reply::applied);
    pool.input_.weight_limit_ = pool.state_.weight();
    CHECK(pool.plan().starts_.size() == 1);
    pool.input_.weight_limit_ +=
        weight_of_occurrence(pool.state_.find_job(job_id("r"))->spec_);
    CHECK(pool.plan().starts_.size() == 2);
}

TEST_CASE("the time of final jobs ignores steps of the wall clock",
          "[state_weight]")
{
    retained_jobs jobs;
    jobs.advance(1'000'000);
    jobs.add(job_id("a"));
    jobs.advance(1'001'000);
    CHECK(jobs.is_oldest_kept_for(0s));
    jobs.advance(9'001'000);
    CHECK(!jobs.is_oldest_kept_for(11s));
    jobs.advance(500'000);
    CHECK(!jobs.is_oldest_kept_for(11s));
    jobs.advance(502'000);
    CHECK(jobs.is_oldest_kept_for(11s));
}
