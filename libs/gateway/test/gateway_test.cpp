#include "dandelioncrank/gateway/gateway.hpp"

#include "dandelioncrank/core/mailbox.hpp"
#include "dandelioncrank/http/client_connection.hpp"
#include "dandelioncrank/http/http_server.hpp"
#include "dandelioncrank/routing/dispatcher.hpp"
#include "dandelioncrank/state/claim_table.hpp"

#include <QCoreApplication>
#include <QEventLoop>

#include <catch2/catch.hpp>

#include <map>

using namespace dandelioncrank;
using namespace std::chrono_literals;

namespace {

const host_port any_port{"127.0.0.1", 0};

template <class Condition>
void run_until(Condition holds)
{
    instant deadline = steady_now() + 60s;
    while (!holds() && steady_now() < deadline)
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 100);
    REQUIRE(holds());
}

/// Event loop of the test thread; must be constructed before its users.
struct event_loop
{
    event_loop()
    {
        static int count = 1;
        static char name[] = "test";
        static char* words[] = {name, nullptr};
        static QCoreApplication instance(count, words);
    }
};

/// Gateway with a real dispatcher and endpoints in this thread. Claims are kept
/// in a local table without replication.
struct gateway_fixture
{
    gateway_fixture()
    {
        service_rule rule;
        rule.name_ = service_name("rota");
        rule.deadline_ = 30s;
        rule.queue_time_ = 30s;
        config_.services_.emplace(rule.name_, rule);
        dispatcher_.configure(config_);
        auto table = std::make_unique<routing_table>();
        table->serving_ = true;
        table->services_["rota"] = {rule, {}};
        table_.replace(std::move(table));
        gateway_options options;
        options.host_ = host_name("h");
        options.address_ = any_port;
        gateway_ = std::make_unique<gateway>(options, table_, make_hooks());
    }

    gateway_hooks make_hooks()
    {
        gateway_hooks hooks;
        hooks.request_slot_ = [this](slot_request_message message, auto post,
                                     auto answer) {
            inbox_.post([=, this] {
                pending_[message.id_] = [post, answer](slot_decision decision) {
                    post([answer, decision] { answer(decision); });
                };
                slot_request request{message.id_,
                                     message.service_,
                                     message.team_,
                                     message.route_,
                                     steady_now() + message.time_left_,
                                     message.attempt_,
                                     message.excluded_endpoints_};
                feed(slot_requested{request});
            });
        };
        hooks.withdraw_ = [this](slot_request_id id, service_name) {
            inbox_.post([=, this] { feed(slot_request_withdrawn{id}); });
        };
        hooks.return_slot_ = [this](slot_returned item, service_name) {
            inbox_.post([=, this] { feed(item); });
        };
        hooks.claim_ = [this](acquire_claim claim, duration, auto post,
                              auto answer) {
            inbox_.post([=, this] {
                std::optional<claim_result> result;
                if (quorum_)
                    result = claims_.acquire(claim, {});
                post([answer, result] { answer(result); });
            });
        };
        hooks.settle_ = [this](settle_claim item) {
            inbox_.post([=, this] { claims_.settle(item); });
        };
        hooks.record_outcome_ = [this](outcome_record record, request_metrics) {
            inbox_.post([=, this] { outcomes_[record.id_] = record; });
        };
        hooks.find_outcome_ = [this](request_id id, auto post, auto answer) {
            inbox_.post([=, this] {
                std::optional<outcome_record> found;
                if (outcomes_.contains(id))
                    found = outcomes_[id];
                post([answer, found] { answer(found); });
            });
        };
        return hooks;
    }

    void feed(const routing_event& event)
    {
        for (const auto& action : dispatcher_.handle(event, steady_now())) {
            if (const auto* item = std::get_if<slot_granted>(&action))
                deliver_decision(item->id_, *item);
            if (const auto* item = std::get_if<slot_refused>(&action))
                deliver_decision(item->id_, *item);
        }
    }

    void deliver_decision(const slot_request_id& id,
                          const slot_decision& decision)
    {
        auto found = pending_.find(id);
        REQUIRE(found != pending_.end());
        auto answer = found->second;
        pending_.erase(found);
        answer(decision);
    }

    void announce(const std::string& name, int port, int slots = 8)
    {
        endpoint_info info;
        info.name_ = endpoint_name(name);
        info.service_ = service_name("rota");
        info.address_ = {"127.0.0.1", port};
        info.slots_ = slots;
        info.time_to_live_ = 1h;
        feed(endpoint_announced{info});
    }

    http_response call(std::vector<header_field> headers,
                       const std::string& body = "b",
                       const std::string& target = "/services/rota/x")
    {
        http_request request;
        request.method_ = "POST";
        request.target_ = target;
        request.body_ = body;
        request.headers_.add("Host", "x");
        for (const header_field& field : headers)
            request.headers_.add(field.name_, field.value_);
        client_connection connection({"127.0.0.1", gateway_->port()}, {});
        std::optional<client_outcome> outcome;
        connection.send(request, 30s,
                        [&](client_outcome result) { outcome = result; });
        run_until([&] { return outcome.has_value(); });
        REQUIRE(std::holds_alternative<request_answered>(*outcome));
        return std::get<request_answered>(*outcome).response_;
    }

    event_loop event_loop_;
    configuration config_;
    mailbox inbox_;
    dispatcher dispatcher_{queue_discipline::protect_short_work, 1};
    std::map<slot_request_id, std::function<void(slot_decision)>> pending_;
    claim_table claims_;
    bool quorum_ = true;
    std::map<request_id, outcome_record> outcomes_;
    rcu_routing_table table_;
    std::unique_ptr<gateway> gateway_;
};

/// Endpoint that counts the requests that it receives.
struct counting_endpoint
{
    explicit counting_endpoint(
        std::function<void(http_request, std::shared_ptr<responder>)> answer)
        : server_(any_port, {},
                  [this, answer](http_request request, auto& reply) {
                      ++runs_;
                      answer(std::move(request), reply);
                  })
    {
    }

    int runs_ = 0;
    http_server server_;
};

void echo(http_request request, const std::shared_ptr<responder>& reply)
{
    http_response response;
    response.body_ = "echo:" + request.body_;
    (*reply)(std::move(response));
}

std::string outcome_of(const http_response& response)
{
    return response.headers_.value_or("X-Fate", "none");
}

/// Endpoint that reads requests and closes the connection without a response.
struct closing_endpoint
{
    closing_endpoint()
        : listener_(any_port, [this](int descriptor) {
              sockets_.push_back(std::make_unique<tcp_socket>());
              tcp_socket* socket = sockets_.back().get();
              socket->on_input_ = [this, socket] {
                  ++runs_;
                  socket->close();
              };
              socket->adopt(descriptor);
          })
    {
    }

    int runs_ = 0;
    std::vector<std::unique_ptr<tcp_socket>> sockets_;
    tcp_listener listener_;
};

} // namespace

TEST_CASE("a response is forwarded completely with its outcome", "[gateway]")
{
    gateway_fixture test;
    counting_endpoint endpoint(echo);
    test.announce("e", endpoint.server_.port());
    auto response = test.call({{"X-Request-Id", "r1"}}, "hello");
    CHECK(response.status_ == 200);
    CHECK(response.body_ == "echo:hello");
    CHECK(outcome_of(response) == "completed");
    CHECK(response.headers_.find("X-Request-Id") == "r1");
    auto asked = test.call({}, "", "/requests/r1");
    CHECK(asked.body_.find("completed") != std::string::npos);
    CHECK(test.call({}, "", "/requests/r2").status_ == 404);
}

TEST_CASE("an interrupted non-repeatable request is unknown and not retried",
          "[gateway]")
{
    gateway_fixture test;
    closing_endpoint endpoint;
    test.announce("e1", endpoint.listener_.port());
    counting_endpoint other(echo);
    test.announce("e2", other.server_.port());
    int unknown = 0;
    for (int i = 0; i < 10; ++i) {
        auto response = test.call({});
        bool is_unknown = outcome_of(response) == "unknown";
        unknown += is_unknown;
        CHECK((is_unknown || outcome_of(response) == "completed"));
    }
    // Each request reached exactly one endpoint.
    CHECK(endpoint.runs_ == unknown);
    CHECK(endpoint.runs_ + other.runs_ == 10);
    CHECK(unknown > 0);
}

TEST_CASE("an interrupted repeatable request is retried elsewhere", "[gateway]")
{
    gateway_fixture test;
    closing_endpoint endpoint;
    test.announce("e1", endpoint.listener_.port());
    counting_endpoint other(echo);
    test.announce("e2", other.server_.port());
    for (int i = 0; i < 10; ++i)
        CHECK(outcome_of(test.call({{"X-Repeatable", "yes"}})) == "completed");
    CHECK(endpoint.runs_ > 0);
}

TEST_CASE("a request with the same key gets the first response", "[gateway]")
{
    gateway_fixture test;
    counting_endpoint endpoint(echo);
    test.announce("e", endpoint.server_.port());
    auto first = test.call({{"Idempotency-Key", "k"}}, "booking");
    run_until([&] {
        auto claim = test.claims_.find("rota/k");
        return claim && claim->settled_;
    });
    auto again = test.call({{"Idempotency-Key", "k"}}, "booking");
    CHECK(again.body_ == first.body_);
    CHECK(again.headers_.find("X-Replayed") == "yes");
    CHECK(outcome_of(again) == "completed");
    CHECK(endpoint.runs_ == 1);
    auto other = test.call({{"Idempotency-Key", "k"}}, "another booking");
    CHECK(other.status_ == 400);
    CHECK(outcome_of(other) == "not-run");
    CHECK(endpoint.runs_ == 1);
}

TEST_CASE("without a quorum a claimed request does not run", "[gateway]")
{
    gateway_fixture test;
    test.quorum_ = false;
    counting_endpoint endpoint(echo);
    test.announce("e", endpoint.server_.port());
    auto response = test.call({{"Idempotency-Key", "k"}});
    CHECK(response.status_ == 503);
    CHECK(outcome_of(response) == "not-run");
    CHECK(endpoint.runs_ == 0);
}

TEST_CASE("the key of a request that did not run can be reused", "[gateway]")
{
    gateway_fixture test;
    auto refused = test.call({{"Idempotency-Key", "k"}});
    CHECK(outcome_of(refused) == "not-run");
    run_until([&] { return !test.claims_.find("rota/k"); });
    counting_endpoint endpoint(echo);
    test.announce("e", endpoint.server_.port());
    CHECK(outcome_of(test.call({{"Idempotency-Key", "k"}})) == "completed");
    CHECK(endpoint.runs_ == 1);
}

TEST_CASE("a refusal by the endpoint is forwarded as not run", "[gateway]")
{
    gateway_fixture test;
    counting_endpoint endpoint([](http_request, auto reply) {
        http_response response;
        response.status_ = 503;
        response.headers_.add("X-Fate", "not-run");
        (*reply)(std::move(response));
    });
    test.announce("e", endpoint.server_.port());
    auto response = test.call({});
    CHECK(outcome_of(response) == "not-run");
    CHECK(response.headers_.find("X-Reason") == "endpoint-refused");
    CHECK(endpoint.runs_ == 1);
}

TEST_CASE("an unreachable endpoint does not affect the outcome", "[gateway]")
{
    gateway_fixture test;
    int port = 0;
    {
        tcp_listener gone(any_port, [](int) {});
        port = gone.port();
    }
    test.announce("gone", port);
    counting_endpoint endpoint(echo);
    test.announce("e", endpoint.server_.port());
    for (int i = 0; i < 6; ++i)
        CHECK(outcome_of(test.call({})) == "completed");
    CHECK(endpoint.runs_ == 6);
}

TEST_CASE("a request whose deadline passes in flight is unknown", "[gateway]")
{
    gateway_fixture test;
    std::vector<std::shared_ptr<responder>> held;
    counting_endpoint endpoint(
        [&](http_request, auto reply) { held.push_back(reply); });
    test.announce("e", endpoint.server_.port());
    auto response = test.call({{"X-Deadline-Ms", "80"}});
    CHECK(response.status_ == 504);
    CHECK(outcome_of(response) == "unknown");
    CHECK(endpoint.runs_ == 1);
}

TEST_CASE("a stopping gateway completes requests in flight", "[gateway]")
{
    gateway_fixture test;
    std::vector<std::shared_ptr<responder>> held;
    counting_endpoint endpoint(
        [&](http_request, auto reply) { held.push_back(reply); });
    test.announce("e", endpoint.server_.port());
    http_request request;
    request.method_ = "POST";
    request.target_ = "/services/rota/x";
    request.headers_.add("Host", "x");
    client_connection connection({"127.0.0.1", test.gateway_->port()}, {});
    std::optional<client_outcome> outcome;
    connection.send(request, 30s,
                    [&](client_outcome result) { outcome = result; });
    run_until([&] { return held.size() == 1; });
    test.gateway_->stop_accepting();
    CHECK(test.gateway_->in_flight() == 1);
    http_response answer;
    answer.body_ = "whole";
    (*held[0])(answer);
    run_until([&] { return outcome.has_value(); });
    REQUIRE(std::holds_alternative<request_answered>(*outcome));
    CHECK(std::get<request_answered>(*outcome).response_.body_ == "whole");
    run_until([&] { return test.gateway_->in_flight() == 0; });
}
