// Clients' calls at a leader, with its log on a disk.
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

/// A group of one control host, which leads.
class leader_fixture
{
  public:
    leader_fixture()
        : replica_(folder_.path().toStdString(), make_origin(), 1, steady_now(),
                   [](const consensus_message&) {})
    {
        replica_.tick(steady_now() + 1min);
        replica_.tick(steady_now());
        REQUIRE(replica_.is_leader());
    }

    /// Queues a configuration with one route; nothing has read it yet.
    void enqueue_config(std::uint64_t version,
                        const std::set<std::string>& keys,
                        const std::string& prefix = "/urgent/")
    {
        pool::pool_config config;
        config.version_ = version;
        pool::queue_route route;
        route.host_ = "a.example";
        route.prefix_ = prefix;
        route.policy_.name_ = "urgent";
        config.routes_.push_back(route);
        config.teams_[team_name("bakers")].keys_ = keys;
        log_.enqueue(pool::put_config{config}, nullptr);
    }

    void configure(std::uint64_t version, const std::set<std::string>& keys,
                   const std::string& prefix = "/urgent/")
    {
        enqueue_config(version, keys, prefix);
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
        call.order_.emplace();
        call.order_->id_ = job_id(job);
        call.order_->steps_.resize(1);
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

    /// The answer is there once the event loop has turned.
    void serve_async(const client_call& call,
                     std::optional<client_response>& response)
    {
        clients_.serve(call, [&response](const client_response& result) {
            response = result;
        });
    }

    void end_leadership() { clients_.end_leadership(); }

    /// Calls back when the calls asked until now have been granted.
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

    QTemporaryDir folder_;
    metric_registry metrics_;
    replica<pool_state_machine> replica_;
    group_log log_{replica_, metrics_};
    client_service clients_{replica_, log_, metrics_};
};

} // namespace

// CONFIG, arreola-rol-grown: a client sent an accepted job again after its key
// had been taken away, the leader was lost, and the second attempt was served.
TEST_CASE("a known job is not served again under a key that was taken away",
          "[client_service]")
{
    leader_fixture leader;
    leader.configure(1, {"key-1"});
    REQUIRE(leader.serve(leader_fixture::make_submit("entry-1-1")).outcome_ ==
            client_outcome::done);
    client_call retry = leader_fixture::make_submit("entry-2-1");
    retry.may_have_executed_ = true;
    SECTION("its key is gone")
    {
        leader.configure(2, {"key-2"});
        CHECK(leader.serve(retry).outcome_ == client_outcome::unknown_key);
    }
    SECTION("its route is gone")
    {
        leader.configure(2, {"key-1"}, "/other/");
        CHECK(leader.serve(retry).outcome_ == client_outcome::unknown_route);
    }
    SECTION("both are there")
    {
        leader.configure(2, {"key-1", "key-2"});
        CHECK(leader.serve(retry).outcome_ == client_outcome::done);
    }
}

// REFUSED 7, arreola-rol-grown trouble-3.
TEST_CASE("a call that has stored its job is served though its key is gone",
          "[client_service]")
{
    leader_fixture leader;
    leader.configure(1, {"key-1"});
    client_call call = leader_fixture::make_submit("entry-1-1");
    REQUIRE(leader.serve(call).outcome_ == client_outcome::done);
    leader.configure(2, {"key-2"});
    call.may_have_executed_ = true;
    CHECK(leader.serve(call).outcome_ == client_outcome::done);
}

// CONFIG, arreola-rol-grown: a job was accepted by the configuration that the
// leader had applied, and stored behind one that had taken its key away.
TEST_CASE("a call goes by the configuration before it in the log",
          "[client_service]")
{
    leader_fixture leader;
    leader.configure(1, {"key-1"});
    client_call call = leader_fixture::make_submit("entry-1-1");
    SECTION("a submit whose key the configuration before it takes away")
    {
        leader.enqueue_config(2, {"key-2"});
        CHECK(leader.serve(call).outcome_ == client_outcome::unknown_key);
        CHECK(leader.state().find_job(job_id(job_name)) == nullptr);
    }
    SECTION("a submit whose route the configuration before it takes away")
    {
        leader.enqueue_config(2, {"key-1"}, "/other/");
        CHECK(leader.serve(call).outcome_ == client_outcome::unknown_route);
        CHECK(leader.state().find_job(job_id(job_name)) == nullptr);
    }
    SECTION("a cancel whose key the configuration before it takes away")
    {
        REQUIRE(leader.serve(call).outcome_ == client_outcome::done);
        leader.enqueue_config(2, {"key-2"});
        call.verb_ = client_verb::cancel;
        call.order_.reset();
        CHECK(leader.serve(call).outcome_ == client_outcome::unknown_key);
        CHECK(leader.state().find_job(job_id(job_name))->phase_ ==
              pool::job_phase::open);
    }
    SECTION("a submit that the configuration before it changes nothing for")
    {
        leader.enqueue_config(2, {"key-1", "key-2"});
        client_response response = leader.serve(call);
        CHECK(response.outcome_ == client_outcome::done);
        CHECK(response.config_version_ == 2);
    }
}

// CONFIG, arreola-rol-grown: a read was decided by an older configuration than
// a submit that had come before it and was on its way to the log.
TEST_CASE("a read is decided after a submit that came before it",
          "[client_service]")
{
    leader_fixture leader;
    leader.configure(1, {"key-1"});
    std::optional<client_response> submitted;
    std::optional<client_response> counted;
    SECTION("a configuration comes between them")
    {
        leader.serve_async(leader_fixture::make_submit("entry-1-1"), submitted);
        leader.serve_async(leader_fixture::make_read("entry-1-2"), counted);
        leader.enqueue_config(2, {"key-1", "key-2"});
    }
    SECTION("a configuration comes while they are decided")
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

// CONFIG, arreola-rol-grown: a read was decided by a newer configuration than a
// submit that came after it, as both shared an entry of the log with it, or as
// the read waited for the later submit.
TEST_CASE("a read is decided before a submit that came after it",
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
    SECTION("a configuration comes after both")
    {
        leader.serve_async(later, submitted);
        leader.after_read_barrier([&] { leader.enqueue_config(2, {"key-1"}); });
        submit_version = 1;
    }
    SECTION("a configuration comes between them")
    {
        leader.after_read_barrier([&] { leader.enqueue_config(2, {"key-1"}); });
        leader.serve_async(later, submitted);
        submit_version = 2;
    }
    REQUIRE(run_until([&] { return submitted && counted; }));
    CHECK(counted->config_version_ == 1);
    CHECK(submitted->config_version_ == submit_version);
}

TEST_CASE("calls on their way when the lead is lost are answered at once",
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
    // The submit is in the queue for the log, and may be stored yet.
    CHECK(submitted->outcome_ == client_outcome::unsure);
    CHECK(counted->outcome_ == client_outcome::not_leader);
}
