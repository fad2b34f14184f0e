#include "dandelioncrank/routing/dispatcher.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace std::chrono_literals;

namespace {

const service_name rota("rota");

/// Dispatcher with one service, and helpers that send it events.
struct dispatcher_fixture
{
    dispatcher_fixture()
    {
        service_rule rule;
        rule.name_ = rota;
        rule.queue_time_ = 10s;
        rule.retry_percent_ = 0;
        config_.services_.emplace(rota, rule);
        for (const char* name : {"a", "b"}) {
            team_rule team;
            team.name_ = team_name(name);
            team.queued_requests_ = 50;
            config_.teams_.emplace(team.name_, team);
        }
        dispatcher_.configure(config_);
    }

    void announce(const std::string& name, int slots = 1, bool leaving = false)
    {
        endpoint_info info;
        info.name_ = endpoint_name(name);
        info.service_ = rota;
        info.slots_ = slots;
        info.leaving_ = leaving;
        info.time_to_live_ = 1h;
        feed(endpoint_announced{info});
    }

    slot_request_id submit(const std::string& team, int attempt = 1,
                           std::vector<endpoint_name> excluded = {},
                           duration deadline = 60s)
    {
        slot_request request;
        request.id_ = {host_name("h"), ++number_};
        request.service_ = rota;
        request.team_ = team_name(team);
        request.deadline_ = now_ + deadline;
        request.attempt_ = attempt;
        request.excluded_endpoints_ = std::move(excluded);
        feed(slot_requested{request});
        return request.id_;
    }

    void return_slot(const slot_request_id& id, slot_outcome outcome,
                     duration time = 10ms)
    {
        now_ += time;
        feed(slot_returned{id, outcome, time});
    }

    void feed(const routing_event& event)
    {
        for (const auto& action : dispatcher_.handle(event, now_)) {
            if (const auto* item = std::get_if<slot_granted>(&action))
                granted_[item->id_] = item->endpoint_.str();
            if (const auto* item = std::get_if<slot_refused>(&action))
                refused_.insert_or_assign(item->id_, *item);
            ejected_ += std::holds_alternative<endpoint_ejected>(action);
        }
    }

    configuration config_;
    dispatcher dispatcher_{queue_discipline::protect_short_work, 1};
    instant now_ = instant(1h);
    std::uint64_t number_ = 0;
    std::map<slot_request_id, std::string> granted_;
    std::map<slot_request_id, slot_refused> refused_;
    int ejected_ = 0;
};

} // namespace

TEST_CASE("slots are never oversubscribed", "[dispatcher]")
{
    dispatcher_fixture test;
    test.announce("e", 2);
    auto first = test.submit("a");
    test.submit("a");
    auto third = test.submit("a");
    CHECK(test.granted_.size() == 2);
    test.return_slot(first, slot_outcome::succeeded);
    CHECK(test.granted_.contains(third));
    // A duplicate return does not free another slot.
    test.return_slot(first, slot_outcome::succeeded);
    auto fourth = test.submit("a");
    CHECK_FALSE(test.granted_.contains(fourth));
}

TEST_CASE("teams share slots regardless of their queue lengths", "[dispatcher]")
{
    dispatcher_fixture test;
    test.announce("e", 1);
    auto running = test.submit("a");
    test.return_slot(running, slot_outcome::succeeded);
    running = test.submit("a");
    std::vector<slot_request_id> many;
    for (int i = 0; i < 20; ++i)
        many.push_back(test.submit("a"));
    auto other = test.submit("b");
    test.return_slot(running, slot_outcome::succeeded);
    // At most one request of team a is served before that of team b.
    if (!test.granted_.contains(other))
        test.return_slot(many.front(), slot_outcome::succeeded);
    CHECK(test.granted_.contains(other));
}

TEST_CASE("a leaving endpoint gets no new requests", "[dispatcher]")
{
    dispatcher_fixture test;
    test.announce("old", 4);
    test.announce("new", 4);
    test.announce("old", 4, true);
    for (int i = 0; i < 4; ++i) {
        auto id = test.submit("a");
        CHECK(test.granted_[id] == "new");
    }
}

TEST_CASE("refusals are immediate and state a reason", "[dispatcher]")
{
    dispatcher_fixture test;
    auto none = test.submit("a");
    CHECK(test.refused_.at(none).reason_ == refusal_reason::no_endpoint);
    test.announce("e", 1);
    auto late = test.submit("a", 1, {}, 0s);
    CHECK(test.refused_.at(late).reason_ == refusal_reason::deadline_passed);
    auto running = test.submit("a");
    test.return_slot(running, slot_outcome::succeeded, 1s);
    running = test.submit("a");
    // A request with a run time of 1 s is ahead, so 500 ms is too short.
    auto short_deadline = test.submit("a", 1, {}, 500ms);
    CHECK(test.refused_.at(short_deadline).reason_ ==
          refusal_reason::would_miss_deadline);
    CHECK(test.refused_.at(short_deadline).retry_after_ > 0s);
    for (int i = 0; i < 60; ++i)
        test.submit("b");
    CHECK(test.refused_.size() > 10);
}

TEST_CASE("a team's queue limit refuses that team only", "[dispatcher]")
{
    dispatcher_fixture test;
    test.announce("e", 1);
    for (int i = 0; i < 51; ++i)
        test.submit("a");
    CHECK(test.refused_.empty());
    auto more = test.submit("a");
    CHECK(test.refused_.at(more).reason_ == refusal_reason::team_queue_full);
    auto other = test.submit("b");
    CHECK_FALSE(test.refused_.contains(other));
}

TEST_CASE("an endpoint that fails immediately gets few requests and is ejected",
          "[dispatcher]")
{
    dispatcher_fixture test;
    for (const char* name : {"bad", "g1", "g2", "g3"})
        test.announce(name, 8);
    int bad_uses = 0;
    for (int i = 0; i < 200; ++i) {
        auto id = test.submit("a");
        bool bad = test.granted_.at(id) == "bad";
        bad_uses += bad;
        test.return_slot(id,
                         bad ? slot_outcome::failed : slot_outcome::succeeded,
                         bad ? 0ms : 10ms);
    }
    CHECK(test.ejected_ >= 1);
    CHECK(bad_uses <= 6);
}

TEST_CASE("failing endpoints never eject the whole pool", "[dispatcher]")
{
    dispatcher_fixture test;
    for (int i = 0; i < 10; ++i)
        test.announce("e" + std::to_string(i), 1);
    for (int i = 0; i < 300; ++i) {
        auto id = test.submit("a");
        REQUIRE(test.granted_.contains(id));
        test.return_slot(id, slot_outcome::failed);
    }
    CHECK(test.dispatcher_.summaries(test.now_)[0].slots_ >= 7);
}

TEST_CASE("short deadlines do not make endpoints look unhealthy",
          "[dispatcher]")
{
    dispatcher_fixture test;
    for (int i = 0; i < 4; ++i)
        test.announce("e" + std::to_string(i), 2);
    for (int i = 0; i < 30; ++i)
        test.return_slot(test.submit("a"), slot_outcome::succeeded, 10ms);
    // Deadlines equal to the usual run time are no evidence of a failure.
    for (int i = 0; i < 60; ++i)
        test.return_slot(test.submit("a"), slot_outcome::timed_out, 10ms);
    CHECK(test.ejected_ == 0);
    CHECK(test.dispatcher_.summaries(test.now_)[0].slots_ == 8);
    // An endpoint that hangs is ejected.
    int hung = 0;
    for (int i = 0; i < 60; ++i) {
        auto id = test.submit("a");
        REQUIRE(test.granted_.contains(id));
        bool bad = test.granted_.at(id) == "e0";
        hung += bad;
        test.return_slot(
            id, bad ? slot_outcome::timed_out : slot_outcome::succeeded,
            bad ? 500ms : 10ms);
    }
    CHECK(test.ejected_ >= 1);
    CHECK(hung <= 6);
}

TEST_CASE("retries stay within the retry budget", "[dispatcher]")
{
    dispatcher_fixture test;
    test.config_.services_.at(rota).retry_percent_ = 10;
    test.dispatcher_.configure(test.config_);
    test.announce("e1", 1);
    test.announce("e2", 1);
    int retried = 0;
    for (int i = 0; i < 200; ++i) {
        auto id = test.submit("a");
        test.return_slot(id, slot_outcome::succeeded);
        auto again = test.submit("a", 2);
        retried += test.granted_.contains(again);
        test.return_slot(again, slot_outcome::succeeded);
    }
    CHECK(retried >= 20);
    CHECK(retried <= 200 / 10 + 20);
}

TEST_CASE("a retry uses another endpoint and blocks no other request",
          "[dispatcher]")
{
    dispatcher_fixture test;
    test.config_.services_.at(rota).retry_percent_ = 100;
    test.dispatcher_.configure(test.config_);
    test.announce("e1", 1);
    auto warm = test.submit("a");
    test.return_slot(warm, slot_outcome::succeeded);
    test.announce("e2", 2);
    auto busy1 = test.submit("a");
    auto busy2 = test.submit("a");
    auto busy3 = test.submit("a");
    REQUIRE(test.granted_.contains(busy3));
    auto excluding = test.submit("a", 2, {endpoint_name("e2")});
    auto plain = test.submit("a");
    for (const auto& id : {busy1, busy2, busy3}) {
        if (test.granted_[id] == "e2") {
            test.return_slot(id, slot_outcome::succeeded);
            break;
        }
    }
    CHECK_FALSE(test.granted_.contains(excluding));
    CHECK(test.granted_.contains(plain));
}

TEST_CASE("slots of a lost host are reclaimed after the grace period",
          "[dispatcher]")
{
    dispatcher_fixture test;
    test.announce("e", 1);
    test.submit("a");
    test.feed(host_lost{host_name("h")});
    test.now_ += 1s;
    test.feed(clock_ticked{});
    CHECK(test.dispatcher_.summaries(test.now_)[0].in_flight_ == 1);
    test.now_ += 5s;
    test.feed(clock_ticked{});
    CHECK(test.dispatcher_.summaries(test.now_)[0].in_flight_ == 0);
}

TEST_CASE("a new owner counts slots that are already in use", "[dispatcher]")
{
    dispatcher_fixture test;
    test.dispatcher_.acquire_service(rota, test.now_ + 1s);
    test.announce("e", 2);
    test.feed(
        slot_reported{{host_name("x"), 9}, rota, endpoint_name("e"), "", 2s});
    auto first = test.submit("a");
    auto second = test.submit("a");
    CHECK(test.granted_.empty());
    test.now_ += 1s;
    test.feed(clock_ticked{});
    CHECK(test.granted_.contains(first));
    CHECK_FALSE(test.granted_.contains(second));
}
