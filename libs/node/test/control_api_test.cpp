#include "control_api.hpp"

#include <QCoreApplication>
#include <QEventLoop>
#include <QTemporaryDir>

#include <catch2/catch.hpp>

#include <optional>

using namespace dandelioncrank;
using namespace std::chrono_literals;

namespace {

QCoreApplication& application()
{
    static int argc = 1;
    static char name[] = "test";
    static char* argv[] = {name, nullptr};
    static QCoreApplication instance(argc, argv);
    return instance;
}

node_settings make_settings(int voters, const QTemporaryDir& folder)
{
    application();
    node_settings settings;
    settings.host_ = host_name("h1");
    settings.zone_ = zone_name("z");
    settings.is_voter_ = true;
    settings.bootstrap_ = true;
    settings.data_dir_ = folder.path().toStdString();
    // Nothing listens at port 1, so the other voters are unreachable.
    for (int i = 1; i <= voters; ++i)
        settings.hosts_.push_back({host_name("h" + std::to_string(i)),
                                   settings.zone_,
                                   {"127.0.0.1", 1},
                                   {"127.0.0.1", 1},
                                   true});
    return settings;
}

/// The control API of host h1, the only one of its voters that runs.
struct single_host
{
    explicit single_host(int voters) : settings_(make_settings(voters, folder_))
    {
    }

    http_response ask(const std::string& target,
                      const std::string& method = "GET",
                      const std::string& body = {})
    {
        http_request request;
        request.method_ = method;
        request.target_ = target;
        request.body_ = body;
        std::optional<http_response> response;
        api_.handle(request, [&](http_response answer) { response = answer; });
        run_until([&] { return response.has_value(); });
        return *response;
    }

    template <class Condition>
    void run_until(Condition condition)
    {
        instant deadline = steady_now() + 60s;
        while (!condition() && steady_now() < deadline) {
            voter_.tick(steady_now());
            QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
        }
        REQUIRE(condition());
    }

    QTemporaryDir folder_;
    node_settings settings_;
    metric_registry metrics_;
    peer_directory peers_{settings_};
    disseminator gossip_{host_status{}, {}, gossip_timing{}};
    active_config config_;
    state_replica voter_{settings_, peers_};
    state_client state_{settings_, peers_, &voter_};
    zone_service zone_{settings_, peers_, gossip_, state_, &voter_, metrics_};
    control_api api_{
        settings_, peers_, gossip_, config_,
        state_,    zone_,  &voter_, [](const endpoint_info&, std::uint64_t) {}};
};

} // namespace

// Regression: a follower that had a change in force through gossip, but had not
// applied it yet, answered with a history that lacked it.
TEST_CASE("a voter without a quorum does not answer with its own history",
          "[control_api]")
{
    single_host host(3);
    host.config_.update(2, {});
    http_response response = host.ask("/v1/config/history");
    INFO(response.body_);
    CHECK(response.status_ == 503);
}

TEST_CASE("the leader answers with every accepted change", "[control_api]")
{
    single_host host(1);
    host.run_until([&] { return host.voter_.is_leader(); });
    submit_config change;
    change.request_ = request_id("first");
    change.author_ = "ana";
    change.change_.subject_ = "budget";
    bool committed = false;
    host.state_.execute(change, 10s, [&](const command_outcome& outcome) {
        committed = outcome.status_ == command_status::committed;
    });
    host.run_until([&] { return committed; });
    http_response response = host.ask("/v1/config/history");
    CHECK(response.status_ == 200);
    CHECK(response.body_.find("\"ana\"") != std::string::npos);
}

// Guards against texts that are accepted and changed: a lone surrogate became
// "?" in the configuration that is in force everywhere.
TEST_CASE("a submitted text that is no Unicode text is refused",
          "[control_api]")
{
    single_host host(1);
    for (const char* field : {"file", "text", "author", "request_id"}) {
        http_response response =
            host.ask("/v1/config/submit", "POST",
                     "{\"" + std::string(field) + R"(":"a\ud800"})");
        INFO(response.body_);
        CHECK(response.status_ == 400);
        CHECK(response.body_.find(std::string(field) + " is not a string") !=
              std::string::npos);
    }
}
