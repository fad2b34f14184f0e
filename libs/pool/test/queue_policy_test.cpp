// What of a queue's policy holds for jobs that were accepted before a change.
#include "owner_fixture.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace dandelioncrank;
using namespace dandelioncrank::pool;
using namespace std::chrono_literals;

namespace {

const service_name old_service("rota");
const service_name new_service("plan");

/// Two workers of the service that the queues have at first, w00 and w01, and
/// two of another one, w02 and w03.
class moving_pool : public pool_fixture
{
  public:
    moving_pool() : pool_fixture(4)
    {
        for (int i : {2, 3}) {
            worker_info info = state_.workers().at(name_of(i)).info_;
            info.service_ = new_service;
            state_.apply(put_worker{info});
        }
    }

    /// Sends the queue of a priority to another service.
    void move_queue(const service_name& service = new_service, int priority = 1)
    {
        change_policy(priority,
                      [&](queue_policy& policy) { policy.service_ = service; });
    }

    template <class Change>
    void change_policy(int priority, Change change)
    {
        reconfigure([&](pool_config& config) {
            for (queue_route& route : config.routes_) {
                if (route.prefix_ == "/queue-" + std::to_string(priority) + '/')
                    change(route.policy_);
            }
        });
    }

    /// Services of the workers that run a job now.
    [[nodiscard]] std::multiset<service_name>
    services_of(const job_id& id) const
    {
        std::multiset<service_name> result;
        for (const auto& [name, record] : state_.workers()) {
            for (const run_ref& run : state_.runs_on(name)) {
                if (run.task_.job_ == id)
                    result.insert(record.info_.service_);
            }
        }
        return result;
    }

    /// Ends an incarnation of a worker that has left.
    void remove_worker(int number)
    {
        input_.usable_workers_.erase(name_of(number));
        state_.apply(end_incarnation{
            name_of(number), 1, {}, incarnation_end_cause::left});
    }
};

using services = std::multiset<service_name>;

} // namespace

// Jobs that were accepted before their queue was sent to another service
// waited for the old one for ever (review/9).
TEST_CASE("waiting jobs go with their queue to another service",
          "[queue_policy]")
{
    moving_pool pool;
    job_id first = pool.submit("a", {pool_fixture::make_step(2, 8, false)});
    pool.plan_and_start();
    job_id second = pool.submit("b", {pool_fixture::make_step(1, 8, false)});
    CHECK(pool.plan().starts_.empty());
    bool is_restored = GENERATE(false, true);
    pool.move_queue();
    if (is_restored)
        pool.state_.restore(pool.state_.snapshot());
    pool.plan_and_start();
    CHECK(pool.services_of(second) == services{new_service});
    // Runs under way go on where they are.
    CHECK(pool.services_of(first) == services{old_service, old_service});
    CHECK(pool.state_.is_desired({{first, 0, 0, 0}, 1}));
}

TEST_CASE("what starts later goes with the queue", "[queue_policy]")
{
    moving_pool pool;
    SECTION("the next step of a job")
    {
        step_spec next = pool_fixture::make_step(1, 8, false);
        next.depends_on_ = {0};
        job_id id =
            pool.submit("a", {pool_fixture::make_step(1, 8, false), next});
        pool.plan_and_start();
        pool.move_queue();
        pool.end_all(id, run_outcome::done);
        pool.plan_and_start();
        CHECK(pool.services_of(id) == services{new_service});
    }
    SECTION("a run that ended without success")
    {
        job_id id = pool.submit("a", {pool_fixture::make_step(2, 8, false)});
        pool.plan_and_start();
        pool.move_queue();
        pool.remove_worker(0);
        pool.plan_and_start();
        CHECK(pool.services_of(id) == services{old_service, new_service});
    }
    SECTION("a gang, as a whole")
    {
        job_id id = pool.submit("a", {pool_fixture::make_step(2, 8, true)});
        pool.plan_and_start();
        pool.move_queue();
        CHECK(pool.plan().starts_.empty());
        pool.remove_worker(0);
        // The other member ends first.
        CHECK(pool.plan().starts_.empty());
        pool.end_all(id, run_outcome::broken);
        pool.plan_and_start();
        CHECK(pool.services_of(id) == services{new_service, new_service});
    }
    SECTION("work that lasts")
    {
        step_spec step = pool_fixture::make_step(1, 8, false);
        step.is_long_running_ = true;
        job_id id = pool.submit("a", {step});
        pool.plan_and_start();
        pool.move_queue();
        CHECK(pool.services_of(id) == services{old_service});
        pool.end_all(id, run_outcome::failed);
        pool.plan_and_start();
        CHECK(pool.services_of(id) == services{new_service});
    }
    SECTION("an occurrence that is due later")
    {
        accept_job job;
        job.spec_.id_ = job_id("r");
        job.spec_.steps_ = {pool_fixture::make_step(1, 8, false)};
        job.spec_.repeats_ = 2;
        job.spec_.first_due_ms_ = 1000;
        job.spec_.interval_ms_ = 1000;
        job.access_ = pool.grant_queue_access(1, "t");
        pool.state_.apply(job);
        pool.input_.wall_ms_ = 1500;
        pool.plan_and_start();
        pool.move_queue();
        pool.input_.wall_ms_ = 2500;
        pool.plan_and_start();
        CHECK(pool.services_of(job_id("r")) ==
              services{old_service, new_service});
    }
    SECTION("a checkpoint goes along")
    {
        step_spec step = pool_fixture::make_step(1, 8, false);
        step.supports_checkpoints_ = true;
        job_id id = pool.submit("a", {step});
        pool.plan_and_start();
        worker_name worker = pool.state_.find_job(id)
                                 ->occurrences_.at(0)
                                 .steps_[0]
                                 .tasks_[0]
                                 .worker_;
        pool.move_queue();
        pool.state_.apply(record_outcomes{
            worker, 1, {{1, {{id, 0, 0, 0}, 1}, run_outcome::stopped, "cp"}}});
        pool.plan_and_start();
        CHECK(pool.services_of(id) == services{new_service});
        CHECK(pool.state_.checkpoint_of({id, 0, 0, 0}) == "cp");
    }
}

TEST_CASE("a start that was planned for the old service is rejected",
          "[queue_policy]")
{
    moving_pool pool;
    job_id id = pool.submit("a", {pool_fixture::make_step(1, 8, false)});
    placement_plan plan = pool.plan();
    REQUIRE(plan.starts_.size() == 1);
    pool.move_queue();
    CHECK(pool.state_.apply(plan.starts_[0]) == pool_reply::rejected);
    CHECK(pool.services_of(id).empty());
}

TEST_CASE("two queues that exchange their prefixes exchange their services",
          "[queue_policy]")
{
    moving_pool pool;
    (void)pool.grant_queue_access(2, "t");
    pool.move_queue(new_service, 2);
    job_id first = pool.submit("a", {pool_fixture::make_step(1, 8, false)}, 1);
    job_id second = pool.submit("b", {pool_fixture::make_step(1, 8, false)}, 2);
    pool.reconfigure([](pool_config& config) {
        std::swap(config.routes_.at(0).prefix_, config.routes_.at(1).prefix_);
    });
    pool.plan_and_start();
    CHECK(pool.services_of(first) == services{new_service});
    CHECK(pool.services_of(second) == services{old_service});
}

TEST_CASE("a queue without a route keeps its policy for its jobs",
          "[queue_policy]")
{
    moving_pool pool;
    job_id id = pool.submit("a", {pool_fixture::make_step(1, 8, false)});
    queue_route route = pool.state_.config().routes_.at(0);
    pool.reconfigure([](pool_config& config) { config.routes_.clear(); });
    bool is_restored = GENERATE(false, true);
    if (is_restored)
        pool.state_.restore(pool.state_.snapshot());
    CHECK(pool.state_.queues().at(route.address()).open_jobs_ == 1);
    SECTION("it runs")
    {
        pool.plan_and_start();
        CHECK(pool.services_of(id) == services{old_service});
        pool.end_all(id, run_outcome::done);
        CHECK(pool.state_.find_job(id)->phase_ == job_phase::completed);
        CHECK(pool.state_.queues().empty());
    }
    SECTION("another route comes with another service")
    {
        route.policy_.service_ = new_service;
        route.policy_.name_ = "other";
        pool.reconfigure(
            [&](pool_config& config) { config.routes_ = {route}; });
        pool.plan_and_start();
        CHECK(pool.services_of(id) == services{new_service});
    }
    SECTION("a route elsewhere does not take its jobs")
    {
        route.prefix_ = "/elsewhere/";
        route.policy_.service_ = new_service;
        pool.reconfigure(
            [&](pool_config& config) { config.routes_ = {route}; });
        pool.plan_and_start();
        CHECK(pool.services_of(id) == services{old_service});
    }
}

TEST_CASE("jobs have the priority that their queue has now", "[queue_policy]")
{
    moving_pool pool;
    job_id running =
        pool.submit("a", {pool_fixture::make_step(2, 8, false)}, 1);
    pool.plan_and_start();
    job_id waiting =
        pool.submit("b", {pool_fixture::make_step(1, 8, false)}, 2);
    CHECK(pool.plan().preemptions_.empty());
    pool.change_policy(2, [](queue_policy& policy) { policy.priority_ = 0; });
    placement_plan plan = pool.plan();
    REQUIRE(plan.preemptions_.size() == 1);
    CHECK(plan.preemptions_[0].run_.task_.job_ == running);
    CHECK(plan.preemptions_[0].for_job_ == waiting);
}

TEST_CASE("the attempts of a queue hold for the jobs that it has",
          "[queue_policy]")
{
    moving_pool pool;
    bool is_gang = GENERATE(false, true);
    pool.submit("other", {pool_fixture::make_step(1, 1, false)}, 2);
    job_id id = pool.submit("a", {pool_fixture::make_step(1, 8, is_gang)});
    auto set_attempts = [&](std::uint32_t attempts) {
        pool.change_policy(1, [attempts](queue_policy& policy) {
            policy.attempts_ = attempts;
        });
    };
    auto fail_once = [&] {
        pool.plan_and_start();
        pool.end_all(id, run_outcome::failed);
    };
    auto phase = [&] { return pool.state_.find_job(id)->phase_; };
    set_attempts(3);
    fail_once();
    fail_once();
    REQUIRE(phase() == job_phase::open);
    SECTION("more of them")
    {
        set_attempts(4);
        fail_once();
        CHECK(phase() == job_phase::open);
        fail_once();
        CHECK(phase() == job_phase::failed);
    }
    SECTION("so few that it may not start again")
    {
        set_attempts(2);
        CHECK(phase() == job_phase::failed);
        CHECK(pool.waiting_jobs(1) == 0);
        CHECK(pool.state_.queues().at({"a.example", "/queue-1/"}).open_jobs_ ==
              0);
    }
    SECTION("so few while its last run is under way, which succeeds")
    {
        pool.plan_and_start();
        set_attempts(2);
        CHECK(phase() == job_phase::open);
        pool.end_all(id, run_outcome::done);
        CHECK(phase() == job_phase::completed);
    }
    SECTION("so few while its last run is under way, which is lost")
    {
        pool.plan_and_start();
        set_attempts(2);
        pool.end_all(id, run_outcome::stopped);
        CHECK(phase() == job_phase::failed);
    }
    CHECK(pool.state_.find_job(job_id("other"))->phase_ == job_phase::open);
}

TEST_CASE("operators see that a queue moves", "[queue_policy]")
{
    moving_pool pool;
    pool.submit("a", {pool_fixture::make_step(1, 8, false)});
    pool.submit("b", {pool_fixture::make_step(1, 8, false)});
    pool.plan_and_start();
    pool.state_.apply(confirm_start{{{job_id("a"), 0, 0, 0}, 1}});
    pool.move_queue();
    REQUIRE(pool.state_.notices().size() == 1);
    CHECK(pool.state_.notices().back().subject_ == "a.example/queue-1/");
    CHECK(pool.state_.notices().back().message_ ==
          "queue moves from service rota to plan with 2 open jobs, 1 of them "
          "waiting");
    CHECK(pool.state_.waiting_jobs_without_workers() == 0);
    pool.move_queue(service_name("nobody"));
    CHECK(pool.state_.waiting_jobs_without_workers() == 1);
    pool.move_queue();
    pool.remove_worker(2);
    CHECK(pool.state_.waiting_jobs_without_workers() == 0);
    pool.remove_worker(3);
    CHECK(pool.state_.waiting_jobs_without_workers() == 1);
}

// A team that got another name lost the guarantee for the jobs that it had, and
// its new jobs got all of it again (found beside review/10).
TEST_CASE("a team keeps the guarantee for its jobs under another name",
          "[queue_policy]")
{
    pool_fixture pool(2);
    pool.guarantee("t", 8);
    job_id other =
        pool.submit("other", {pool_fixture::make_step(2, 8, false)}, 0, "u");
    pool.plan_and_start();
    job_id id = pool.submit("a", {pool_fixture::make_step(1, 8, false)}, 0);
    REQUIRE(pool.state_.find_job(id)->team_ == team_name("t"));
    auto rename = [](pool_config& config, const std::string& from,
                     const std::string& to) {
        auto node = config.teams_.extract(team_name(from));
        node.key() = team_name(to);
        config.teams_.insert(std::move(node));
    };
    auto preempts = [&] {
        pool.input_.now_ += 10s;
        placement_plan plan = pool.plan();
        return plan.preemptions_.size() == 1 &&
               plan.preemptions_[0].run_.task_.job_ == other &&
               plan.preemptions_[0].for_job_ == id;
    };
    REQUIRE(preempts());
    SECTION("in one configuration")
    {
        pool.reconfigure(
            [&](pool_config& config) { rename(config, "t", "new"); });
        CHECK(preempts());
        CHECK(pool.state_.find_job(id)->team_ == team_name("new"));
    }
    SECTION("removed, and back under another name")
    {
        team_rule rule = pool.state_.config().teams_.at(team_name("t"));
        pool.reconfigure(
            [](pool_config& config) { config.teams_.erase(team_name("t")); });
        CHECK(!preempts());
        if (GENERATE(false, true))
            pool.state_.restore(pool.state_.snapshot());
        pool.reconfigure([](pool_config&) {});
        pool.reconfigure([&](pool_config& config) {
            config.teams_[team_name("new")] = rule;
        });
        CHECK(preempts());
    }
    SECTION("two teams exchange names")
    {
        pool.reconfigure([&](pool_config& config) {
            rename(config, "t", "x");
            rename(config, "u", "t");
            rename(config, "x", "u");
        });
        CHECK(preempts());
        CHECK(pool.state_.find_job(other)->team_ == team_name("t"));
    }
    SECTION("keys that are exchanged change no team")
    {
        pool.reconfigure([](pool_config& config) {
            config.teams_[team_name("t")].keys_ = {"another-key"};
        });
        CHECK(preempts());
        pool.reconfigure([](pool_config& config) {
            config.teams_[team_name("t")].keys_ = {"third-key"};
        });
        CHECK(preempts());
    }
    SECTION("one of its keys goes to another team")
    {
        pool.reconfigure([](pool_config& config) {
            config.teams_[team_name("t")].keys_ = {"key-of-t", "more"};
        });
        pool.reconfigure([](pool_config& config) {
            config.teams_[team_name("t")].keys_ = {"more"};
            config.teams_[team_name("u")].keys_.insert("key-of-t");
        });
        CHECK(preempts());
        CHECK(pool.state_.find_job(id)->team_ == team_name("t"));
    }
}

// The counts of the queues, and a restored copy, after any order of changes.
TEST_CASE("queues keep their jobs under any changes of the configuration",
          "[queue_policy]")
{
    constexpr int steps = 400;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        auto pick = [&](std::uint64_t below) { return random() % below; };
        moving_pool pool;
        std::vector<job_id> jobs;
        for (int step = 0; step < steps; ++step) {
            INFO("step " << step);
            int priority = static_cast<int>(1 + pick(3));
            switch (pick(8)) {
            case 0:
            case 1:
                jobs.push_back(pool.submit(
                    "j" + std::to_string(jobs.size()),
                    {pool_fixture::make_step(
                        1, static_cast<std::int64_t>(1 + pick(8)), false)},
                    priority));
                break;
            case 2:
                pool.plan_and_start();
                break;
            case 3:
                if (!jobs.empty())
                    pool.end_all(jobs[pick(jobs.size())],
                                 std::array{run_outcome::done,
                                            run_outcome::failed,
                                            run_outcome::stopped}[pick(3)]);
                break;
            case 4:
                if (!jobs.empty())
                    pool.state_.apply(
                        cancel_job{jobs[pick(jobs.size())],
                                   pool.grant_queue_access(priority, "t")});
                break;
            case 5:
                pool.move_queue(pick(2) == 0 ? old_service : new_service,
                                priority);
                break;
            case 6:
                pool.change_policy(priority, [&](queue_policy& policy) {
                    policy.name_ = "n" + std::to_string(pick(100));
                    policy.attempts_ = static_cast<std::uint32_t>(1 + pick(3));
                });
                break;
            default:
                pool.reconfigure([&](pool_config& config) {
                    if (!config.routes_.empty())
                        config.routes_.erase(config.routes_.begin() +
                                             static_cast<std::ptrdiff_t>(
                                                 pick(config.routes_.size())));
                });
                break;
            }
            std::map<queue_address, std::pair<std::uint64_t, std::uint64_t>>
                counts;
            for (const job_id& id : pool.state_.active_jobs()) {
                const job_record& job = *pool.state_.find_job(id);
                REQUIRE(job.queue_ == &pool.state_.queues().at(job.address_));
                counts[job.address_].first += job.is_final() ? 0 : 1;
                counts[job.address_].second +=
                    job.is_final() || job.has_started_ ? 0 : 1;
            }
            pool_state copy;
            copy.restore(pool.state_.snapshot());
            REQUIRE(copy.snapshot() == pool.state_.snapshot());
            REQUIRE(copy.queues().size() == pool.state_.queues().size());
            for (const auto& [address, queue] : pool.state_.queues()) {
                const queue_record& other = copy.queues().at(address);
                REQUIRE(queue.open_jobs_ == counts[address].first);
                REQUIRE(queue.waiting_jobs_ == counts[address].second);
                REQUIRE(other.open_jobs_ == queue.open_jobs_);
                REQUIRE(other.waiting_jobs_ == queue.waiting_jobs_);
                REQUIRE(other.active_jobs_ == queue.active_jobs_);
                REQUIRE(other.policy_.service_ == queue.policy_.service_);
                REQUIRE(other.policy_.attempts_ == queue.policy_.attempts_);
            }
        }
    }
}
