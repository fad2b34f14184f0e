// Tests clients' calls on a leader whose log is on disk.
#include "client_service.hpp"
#include "dandelioncrank/control/membership_planner.hpp"
#include "event_loop.hpp"

#include <QTemporaryDir>

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::control;
using namespace std::chrono_literals;

namespace {

const std::string job_name = "0123456789abcdef";

/// A group of one control host, which is the leader.
class leader_fixture
{
  public:
    explicit leader_fixture(
        std::uint64_t weight_limit = pool::default_weight_limit)
        : weight_limit_(weight_limit),
          replica_(folder_.path().toStdString(), make_origin(), 1, steady_now(),
                   [](const consensus_message&) {})
    {
        replica_.tick(steady_now() + 1min);
        replica_.tick(steady_now());
        REQUIRE(replica_.is_leader());
    }

    /// Enqueues a configuration with one route without waiting for its commit.
    void enqueue_config(std::uint64_t version,
                        const std::set<std::string>& keys,
                        const std::string& prefix = "/urgent/",
                        const std::string& name = "urgent")
    {
        pool::pool_config config;
        config.version_ = version;
        pool::queue_route route;
        route.host_ = "a.example";
        route.prefix_ = prefix;
        route.policy_.name_ = name;
        config.routes_.push_back(route);
        config.teams_[team_name("bakers")].keys_ = keys;
        log_.enqueue(pool::put_config{config}, nullptr);
    }

    void configure(std::uint64_t version, const std::set<std::string>& keys,
                   const std::string& prefix = "/urgent/",
                   const std::string& name = "urgent")
    {
        enqueue_config(version, keys, prefix, name);
        REQUIRE(
            run_until([&] { return state().config().version_ == version; }));
    }

    [[nodiscard]] static client_call
    make_submit(const std::string& request, const std::string& job = job_name)
    {
        client_call call;
        call.request_id_ = request;
        call.verb_ = client_verb::submit;
        call.access_ = {"a.example", "/urgent/" + job, "key-1"};
        call.spec_.emplace();
        call.spec_->id_ = job_id(job);
        call.spec_->steps_.resize(1);
        return call;
    }

    [[nodiscard]] static client_call make_read(const std::string& request)
    {
        client_call call;
        call.request_id_ = request;
        call.verb_ = client_verb::count_waiting;
        call.access_ = {"a.example", "/urgent/", "key-1"};
        return call;
    }

    /// The response arrives once the event loop has run.
    void serve_async(const client_call& call,
                     std::optional<client_response>& response)
    {
        clients_.serve(call, [&response](const client_response& result) {
            response = result;
        });
    }

    void end_leadership() { clients_.end_leadership(); }

    /// Calls the handler when the read barriers of all calls so far are
    /// complete.
    void after_read_barrier(const std::function<void()>& handler)
    {
        log_.read_barrier([handler](bool) { handler(); });
    }

    client_response serve(const client_call& call)
    {
        std::optional<client_response> response;
        serve_async(call, response);
        REQUIRE(run_until([&] { return response.has_value(); }));
        return *response;
    }

    [[nodiscard]] const pool::pool_state& state() const
    {
        return replica_.machine().state();
    }

  private:
    static replica_bootstrap make_origin()
    {
        test_application();
        voter_name self = make_identity("127.0.0.1:1", "0");
        replica_bootstrap origin;
        origin.identity_ = self;
        origin.members_.voters_.insert(self);
        return origin;
    }

    std::uint64_t weight_limit_;
    QTemporaryDir folder_;
    metric_registry metrics_;
    replica<pool_state_machine> replica_;
    activity_meter meter_{control_activity_names()};
    group_log log_{replica_, metrics_, meter_};
    client_service clients_{replica_, log_, metrics_, weight_limit_};
};

} // namespace

// A client resubmitted an accepted job after its key had been removed, the
// leader was lost, and the second attempt was served.
TEST_CASE("a resubmitted job is refused after its key was removed",
          "[client_service]")
{
    leader_fixture leader;
    leader.configure(1, {"key-1"});
    REQUIRE(leader.serve(leader_fixture::make_submit("entry-1-1")).outcome_ ==
            client_call_outcome::done);
    client_call retry = leader_fixture::make_submit("entry-2-1");
    retry.may_have_executed_ = true;
    SECTION("the key was removed")
    {
        leader.configure(2, {"key-2"});
        CHECK(leader.serve(retry).outcome_ == client_call_outcome::unknown_key);
    }
    SECTION("the route was removed")
    {
        leader.configure(2, {"key-1"}, "/other/");
        CHECK(leader.serve(retry).outcome_ ==
              client_call_outcome::unknown_route);
    }
    SECTION("both still exist")
    {
        leader.configure(2, {"key-1", "key-2"});
        CHECK(leader.serve(retry).outcome_ == client_call_outcome::done);
    }
}

// A retry was refused after its key had been removed, although its first
// attempt had stored the job.
TEST_CASE("a retry of a call that stored its job is served without its key",
          "[client_service]")
{
    leader_fixture leader;
    leader.configure(1, {"key-1"});
    client_call call = leader_fixture::make_submit("entry-1-1");
    REQUIRE(leader.serve(call).outcome_ == client_call_outcome::done);
    leader.configure(2, {"key-2"});
    call.may_have_executed_ = true;
    CHECK(leader.serve(call).outcome_ == client_call_outcome::done);
}

// A job was accepted by the configuration that the leader had applied, but
// stored behind one that had removed its key.
TEST_CASE("a call is decided by the configuration before it in the log",
          "[client_service]")
{
    leader_fixture leader;
    leader.configure(1, {"key-1"});
    client_call call = leader_fixture::make_submit("entry-1-1");
    SECTION("a submit whose key the preceding configuration removes")
    {
        leader.enqueue_config(2, {"key-2"});
        CHECK(leader.serve(call).outcome_ == client_call_outcome::unknown_key);
        CHECK(leader.state().find_job(job_id(job_name)) == nullptr);
    }
    SECTION("a submit whose route the preceding configuration removes")
    {
        leader.enqueue_config(2, {"key-1"}, "/other/");
        CHECK(leader.serve(call).outcome_ ==
              client_call_outcome::unknown_route);
        CHECK(leader.state().find_job(job_id(job_name)) == nullptr);
    }
    SECTION("a cancel whose key the preceding configuration removes")
    {
        REQUIRE(leader.serve(call).outcome_ == client_call_outcome::done);
        leader.enqueue_config(2, {"key-2"});
        call.verb_ = client_verb::cancel;
        call.spec_.reset();
        CHECK(leader.serve(call).outcome_ == client_call_outcome::unknown_key);
        CHECK(leader.state().find_job(job_id(job_name))->phase_ ==
              pool::job_phase::open);
    }
    SECTION("a submit that the preceding configuration does not affect")
    {
        leader.enqueue_config(2, {"key-1", "key-2"});
        client_response response = leader.serve(call);
        CHECK(response.outcome_ == client_call_outcome::done);
        CHECK(response.config_version_ == 2);
    }
}

// A read was decided by an older configuration than a submit that had arrived
// before it and was not yet committed.
TEST_CASE("a read is decided after a submit that arrived before it",
          "[client_service]")
{
    leader_fixture leader;
    leader.configure(1, {"key-1"});
    std::optional<client_response> submitted;
    std::optional<client_response> counted;
    SECTION("a configuration arrives between them")
    {
        leader.serve_async(leader_fixture::make_submit("entry-1-1"), submitted);
        leader.serve_async(leader_fixture::make_read("entry-1-2"), counted);
        leader.enqueue_config(2, {"key-1", "key-2"});
    }
    SECTION("a configuration arrives while they are decided")
    {
        leader.after_read_barrier([&] {
            leader.enqueue_config(2, {"key-1", "key-2"});
        });
        leader.serve_async(leader_fixture::make_submit("entry-1-1"), submitted);
        leader.serve_async(leader_fixture::make_read("entry-1-2"), counted);
    }
    REQUIRE(run_until([&] { return submitted && counted; }));
    CHECK(submitted->config_version_ == 2);
    CHECK(counted->config_version_ == 2);
}

// A read was decided by a newer configuration than a submit that arrived after
// it, because both shared a log entry with that configuration, or because the
// read waited for the later submit.
TEST_CASE("a read is decided before a submit that arrived after it",
          "[client_service]")
{
    leader_fixture leader;
    leader.configure(1, {"key-1"});
    std::optional<client_response> first;
    std::optional<client_response> counted;
    std::optional<client_response> submitted;
    client_call later =
        leader_fixture::make_submit("entry-1-3", "fedcba9876543210");
    leader.serve_async(leader_fixture::make_submit("entry-1-1"), first);
    leader.serve_async(leader_fixture::make_read("entry-1-2"), counted);
    std::uint64_t submit_version = 0;
    SECTION("a configuration arrives after both")
    {
        leader.serve_async(later, submitted);
        leader.after_read_barrier([&] { leader.enqueue_config(2, {"key-1"}); });
        submit_version = 1;
    }
    SECTION("a configuration arrives between them")
    {
        leader.after_read_barrier([&] { leader.enqueue_config(2, {"key-1"}); });
        leader.serve_async(later, submitted);
        submit_version = 2;
    }
    REQUIRE(run_until([&] { return submitted && counted; }));
    CHECK(counted->config_version_ == 1);
    CHECK(submitted->config_version_ == submit_version);
}

TEST_CASE("pending calls are answered at once when leadership is lost",
          "[client_service]")
{
    leader_fixture leader;
    leader.configure(1, {"key-1"});
    std::optional<client_response> submitted;
    std::optional<client_response> counted;
    leader.serve_async(leader_fixture::make_submit("entry-1-1"), submitted);
    leader.serve_async(leader_fixture::make_read("entry-1-2"), counted);
    bool was_granted = false;
    leader.after_read_barrier([&] {
        was_granted = true;
        leader.end_leadership();
    });
    REQUIRE(run_until([&] { return was_granted; }));
    REQUIRE(submitted);
    REQUIRE(counted);
    // The submit is queued for the log and may still be stored.
    CHECK(submitted->outcome_ == client_call_outcome::unsure);
    CHECK(counted->outcome_ == client_call_outcome::not_leader);
}

// Jobs were accepted beyond the memory of the control hosts, which then ended
// and could not start again (review/3).
TEST_CASE("a job without room is refused at once and not stored",
          "[client_service]")
{
    leader_fixture leader(16 * 1024);
    leader.configure(1, {"key-1"});
    auto submit = [&leader](int number) {
        std::string name = job_name.substr(2) + std::to_string(number + 10);
        return leader.serve(leader_fixture::make_submit("entry-" + name, name));
    };
    int accepted = 0;
    client_response response = submit(0);
    while (response.outcome_ == client_call_outcome::done && accepted < 80)
        response = submit(++accepted);
    CHECK(accepted > 0);
    CHECK(response.outcome_ == client_call_outcome::unavailable);
    CHECK(response.retry_after_ > 0s);
    CHECK(leader.state().active_jobs().size() ==
          static_cast<std::size_t>(accepted));
    // Everything else is served.
    client_call read = leader_fixture::make_read("entry-read");
    CHECK(leader.serve(read).waiting_jobs_ ==
          static_cast<std::uint64_t>(accepted));
    client_call cancel = leader_fixture::make_submit("entry-cancel", "");
    cancel.verb_ = client_verb::cancel;
    cancel.access_.path_ = "/urgent/" + job_name.substr(2) + "10";
    cancel.spec_.reset();
    CHECK(leader.serve(cancel).outcome_ == client_call_outcome::done);
}

// Such a job would be asked to come back for ever.
TEST_CASE("a job that no state can hold is rejected as invalid",
          "[client_service]")
{
    leader_fixture leader(16 * 1024);
    leader.configure(1, {"key-1"});
    client_call call = leader_fixture::make_submit("entry-1");
    call.spec_->steps_[0].count_ = 1000;
    client_response response = leader.serve(call);
    CHECK(response.outcome_ == client_call_outcome::invalid);
    CHECK(!response.fault_.empty());
    CHECK(leader.state().active_jobs().empty());
}

// A route came back under another name, its jobs were answered as unknown, and
// cancelling them did nothing (review/10).
TEST_CASE("a client finds its job after its route came back as another one",
          "[client_service]")
{
    leader_fixture leader;
    leader.configure(1, {"key-1"});
    REQUIRE(leader.serve(leader_fixture::make_submit("entry-1")).outcome_ ==
            client_call_outcome::done);
    client_call show = leader_fixture::make_submit("entry-2");
    show.verb_ = client_verb::show;
    show.spec_.reset();
    leader.configure(2, {"key-1"}, "/other/", "other");
    CHECK(leader.serve(show).outcome_ == client_call_outcome::unknown_route);
    leader.configure(3, {"key-1"}, "/urgent/", "renamed");
    client_response shown = leader.serve(show);
    CHECK(shown.outcome_ == client_call_outcome::done);
    CHECK(shown.phase_ == pool::job_phase::open);
    CHECK(leader.serve(leader_fixture::make_read("entry-3")).waiting_jobs_ ==
          1);
    client_call cancel = show;
    cancel.verb_ = client_verb::cancel;
    CHECK(leader.serve(cancel).outcome_ == client_call_outcome::done);
    CHECK(leader.serve(show).phase_ == pool::job_phase::cancelled);
}

// A job that was submitted below a queue's prefix was accepted, and then was
// answered as unknown (found beside review/10).
TEST_CASE("a job below the prefix of a queue has no queue", "[client_service]")
{
    leader_fixture leader;
    leader.configure(1, {"key-1"});
    client_call call = leader_fixture::make_submit("entry-1");
    call.access_.path_ = "/urgent/deeper/" + job_name;
    CHECK(leader.serve(call).outcome_ == client_call_outcome::unknown_route);
    CHECK(leader.state().active_jobs().empty());
    // The route may come between the decision and the commit of a submit.
    pool::pool_state state;
    state.apply(pool::put_config{leader.state().config()});
    pool::accept_job command{*call.spec_, call.access_, 0, "entry-1", 0};
    CHECK(state.apply(command) == pool::pool_reply::unknown_route);
    command.access_.path_ = "/urgent/" + job_name;
    CHECK(state.apply(command) == pool::pool_reply::applied);
}
