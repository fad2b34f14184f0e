// Jobs and queues across changes of the configuration.
#include "pool_fixture.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::pool;

namespace {

const std::string host = "a.example";

/// A pool with one job in the queue of priority 1.
class queue_pool : public pool_fixture
{
  public:
    queue_pool() : pool_fixture(2)
    {
        id_ = submit("5c0e7a21d94b36f8", {make_step(1, 1, false)});
    }

    /// Whether a call with this path finds the job, by the route in force.
    [[nodiscard]] bool finds_job(const std::string& path,
                                 const std::string& to = host) const
    {
        const queue_route* route = state_.config().find_route(to, path);
        if (route == nullptr)
            return false;
        return state_.find_job_at({to, path, {}}, *route) ==
               state_.find_job(id_);
    }

    pool_reply cancel(const std::string& path)
    {
        return state_.apply(cancel_job{id_, {host, path, "key-of-t"}});
    }

    [[nodiscard]] std::uint64_t waiting_at(const std::string& prefix) const
    {
        const queue_route* route = state_.config().find_route(host, prefix);
        return route == nullptr ? 0 : state_.waiting_jobs(*route);
    }

    job_id id_;
    const std::string prefix_ = "/queue-1/";
    const std::string path_ = prefix_ + "5c0e7a21d94b36f8";
};

/// A queue's job as builds stored it that went by the name of the route.
struct unbound_job
{
    job_record job_;

    template <class Archive>
    void fields(Archive& archive)
    {
        std::vector<occurrence_record> none;
        archive(job_.spec_, job_.accepted_policy_, job_.team_,
                job_.accepted_ms_, job_.accepted_by_, job_.phase_,
                job_.has_started_, none, job_.failure_, job_.was_given_up_,
                job_.occurrences_);
    }
};

struct unbound_state
{
    pool_config config_;
    std::map<job_id, unbound_job> jobs_;
    std::map<worker_name, worker_record> workers_;
    std::vector<job_id> final_jobs_;
    std::map<worker_name, std::int64_t> ended_incarnations_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(config_, jobs_, workers_, final_jobs_, ended_incarnations_);
    }
};

/// The command in the form of builds that went by the name of the route.
template <class Command>
Command by_route_name(Command command)
{
    command.identity_ = queue_identity::route_name;
    return command;
}

} // namespace

// A route came back under another name, its jobs were answered as unknown, and
// cancelling them did nothing (review/10).
TEST_CASE("a route that comes back under another name has its jobs",
          "[queue_address]")
{
    queue_pool pool;
    queue_route route = pool.state_.config().routes_.at(0);
    pool.reconfigure([](pool_config& config) { config.routes_.clear(); });
    // Without a route the configuration has no such queue.
    CHECK(!pool.finds_job(pool.path_));
    CHECK(pool.cancel(pool.path_) == pool_reply::unknown_route);
    REQUIRE(pool.state_.active_jobs().contains(pool.id_));
    bool is_restored = GENERATE(false, true);
    if (is_restored)
        pool.state_.restore(pool.state_.snapshot());
    pool.reconfigure([&](pool_config& config) {
        route.policy_.name_ = "renamed";
        config.routes_ = {route};
    });
    CHECK(pool.finds_job(pool.path_));
    CHECK(pool.waiting_at(pool.prefix_) == 1);
    CHECK(pool.cancel(pool.path_) == pool_reply::applied);
    CHECK(pool.state_.find_job(pool.id_)->phase_ == job_phase::cancelled);
    CHECK(pool.waiting_at(pool.prefix_) == 0);
    // Final jobs can be asked for as well.
    CHECK(pool.finds_job(pool.path_));
}

// By the names, each queue would show and cancel the jobs of the other one.
TEST_CASE("jobs stay with their queue when two routes exchange names",
          "[queue_address]")
{
    queue_pool pool;
    (void)pool.grant_queue_access(2, "t");
    bool exchanges_prefixes = GENERATE(false, true);
    pool.reconfigure([&](pool_config& config) {
        queue_route& first = config.routes_.at(0);
        queue_route& second = config.routes_.at(1);
        if (exchanges_prefixes)
            std::swap(first.prefix_, second.prefix_);
        else
            std::swap(first.policy_.name_, second.policy_.name_);
    });
    CHECK(pool.finds_job(pool.path_));
    CHECK(!pool.finds_job("/queue-2/" + pool.id_.str()));
    CHECK(pool.waiting_at("/queue-1/") == 1);
    CHECK(pool.waiting_at("/queue-2/") == 0);
    CHECK(pool.cancel("/queue-2/" + pool.id_.str()) == pool_reply::rejected);
    CHECK(pool.cancel(pool.path_) == pool_reply::applied);
}

TEST_CASE("a job is not known in a queue of the same name on another host",
          "[queue_address]")
{
    queue_pool pool;
    pool.reconfigure(
        [](pool_config& config) { config.routes_.at(0).host_ = "b.example"; });
    CHECK(!pool.finds_job(pool.path_, "b.example"));
    CHECK(!pool.finds_job(pool.path_));
    pool.reconfigure(
        [](pool_config& config) { config.routes_.at(0).host_ = host; });
    CHECK(pool.finds_job(pool.path_));
}

TEST_CASE("a job keeps its path when its prefix becomes part of a longer one",
          "[queue_address]")
{
    queue_pool pool;
    std::string longer = GENERATE("/queue-1/5c", "/queue-1/5c0e7a21d94b36f8");
    pool.reconfigure([&](pool_config& config) {
        queue_route route = config.routes_.at(0);
        route.prefix_ = longer;
        route.policy_.name_ = "longer";
        config.routes_.push_back(route);
    });
    CHECK(pool.finds_job(pool.path_));
    CHECK(!pool.finds_job(longer + "/5c0e7a21d94b36f8"));
    CHECK(pool.cancel(pool.path_) == pool_reply::applied);
}

// Jobs of builds that went by the name get their queue with the next
// configuration, at the same place of the log on every replica.
TEST_CASE("jobs of an earlier build are bound by the next configuration",
          "[queue_address]")
{
    pool_fixture first(1);
    (void)first.grant_queue_access(1, "t");
    pool_config config = first.state_.config();
    accept_job job;
    job.spec_.id_ = job_id("5c0e7a21d94b36f8");
    job.spec_.steps_ = {pool_fixture::make_step(1, 1, false)};
    job.access_ = first.grant_queue_access(1, "t");
    job.access_.path_ += job.spec_.id_.str();
    // One replica reads the log, the other one a snapshot.
    first.state_.apply(by_route_name(job));
    unbound_state stored;
    stored.config_ = config;
    stored.workers_ = first.state_.workers();
    stored.jobs_[job.spec_.id_].job_ = *first.state_.find_job(job.spec_.id_);
    pool_state second;
    second.restore(to_wire(stored));
    CHECK(second.weight() == first.state_.weight());

    const queue_route& route = config.routes_.at(0);
    std::vector<pool_state*> replicas = {&first.state_, &second};
    for (pool_state* state : replicas) {
        CHECK(state->waiting_jobs(route) == 1);
        CHECK(state->find_job_at(job.access_, route) != nullptr);
    }
    queue_route renamed = route;
    renamed.policy_.name_ = "renamed";
    // Earlier builds lose the jobs of a route with another name.
    config.version_ += 1;
    bool is_by_name = GENERATE(false, true);
    if (is_by_name) {
        for (pool_state* state : replicas)
            state->apply(by_route_name(put_config{config}));
        config.version_ += 1;
    }
    config.routes_ = {renamed};
    for (pool_state* state : replicas) {
        state->apply(put_config{config});
        CHECK(state->waiting_jobs(renamed) == 1);
        CHECK(state->find_job_at(job.access_, renamed) != nullptr);
        CHECK(state->find_job(job.spec_.id_)->address_ == renamed.address());
    }
    CHECK(second.snapshot() == first.state_.snapshot());
    CHECK(second.weight() == first.state_.weight());
}
