#include "dandelioncrank/routing/dispatcher.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace std::chrono_literals;

namespace {

const service_name rota("rota");

/// One dispatcher with a service, and shorthands for its events.
struct bench
{
    bench()
    {
        service_rule rule;
        rule.name_ = rota;
        rule.queue_time_ = 10s;
        rule.retry_percent_ = 0;
        rules_.services_.emplace(rota, rule);
        for (const char* name : {"a", "b"}) {
            team_rule team;
            team.name_ = team_name(name);
            team.queued_requests_ = 50;
            rules_.teams_.emplace(team.name_, team);
        }
        core_.configure(rules_);
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

    ticket_id submit(const std::string& team, int attempt = 1,
                     std::vector<endpoint_name> avoid = {},
                     duration deadline = 60s)
    {
        ticket request;
        request.id_ = {host_name("h"), ++number_};
        request.service_ = rota;
        request.team_ = team_name(team);
        request.deadline_ = now_ + deadline;
        request.attempt_ = attempt;
        request.avoid_ = std::move(avoid);
        feed(ticket_submitted{request});
        return request.id_;
    }

    void end(const ticket_id& id, slot_outcome outcome, duration time = 10ms)
    {
        now_ += time;
        feed(slot_returned{id, outcome, time});
    }

    void feed(const routing_event& event)
    {
        for (const auto& action : core_.handle(event, now_)) {
            if (const auto* item = std::get_if<slot_granted>(&action))
                granted_[item->id_] = item->endpoint_.str();
            if (const auto* item = std::get_if<ticket_refused>(&action))
                refused_.insert_or_assign(item->id_, *item);
            ejected_ += std::holds_alternative<endpoint_ejected>(action);
        }
    }

    configuration rules_;
    dispatcher core_{queue_policy::protect_short_work, 1};
    instant now_ = instant(1h);
    std::uint64_t number_ = 0;
    std::map<ticket_id, std::string> granted_;
    std::map<ticket_id, ticket_refused> refused_;
    int ejected_ = 0;
};

} // namespace

TEST_CASE("slots are never oversubscribed", "[dispatcher]")
{
    bench test;
    test.announce("e", 2);
    auto first = test.submit("a");
    test.submit("a");
    auto third = test.submit("a");
    CHECK(test.granted_.size() == 2);
    test.end(first, slot_outcome::succeeded);
    CHECK(test.granted_.contains(third));
    // A doubled return frees nothing more.
    test.end(first, slot_outcome::succeeded);
    auto fourth = test.submit("a");
    CHECK_FALSE(test.granted_.contains(fourth));
}

TEST_CASE("teams share slots whatever their queues", "[dispatcher]")
{
    bench test;
    test.announce("e", 1);
    auto running = test.submit("a");
    test.end(running, slot_outcome::succeeded);
    running = test.submit("a");
    std::vector<ticket_id> many;
    for (int i = 0; i < 20; ++i)
        many.push_back(test.submit("a"));
    auto other = test.submit("b");
    test.end(running, slot_outcome::succeeded);
    // At most one request of the busy team goes before the quiet team's.
    if (!test.granted_.contains(other))
        test.end(many.front(), slot_outcome::succeeded);
    CHECK(test.granted_.contains(other));
}

TEST_CASE("a leaving endpoint gets nothing new", "[dispatcher]")
{
    bench test;
    test.announce("old", 4);
    test.announce("new", 4);
    test.announce("old", 4, true);
    for (int i = 0; i < 4; ++i) {
        auto id = test.submit("a");
        CHECK(test.granted_[id] == "new");
    }
}

TEST_CASE("refusals come at once and name a reason", "[dispatcher]")
{
    bench test;
    auto none = test.submit("a");
    CHECK(test.refused_.at(none).reason_ == refusal_reason::no_endpoint);
    test.announce("e", 1);
    auto late = test.submit("a", 1, {}, 0s);
    CHECK(test.refused_.at(late).reason_ == refusal_reason::deadline_passed);
    auto running = test.submit("a");
    test.end(running, slot_outcome::succeeded, 1s);
    running = test.submit("a");
    // One request of a second ahead: 500 ms cannot be enough.
    auto hurried = test.submit("a", 1, {}, 500ms);
    CHECK(test.refused_.at(hurried).reason_ ==
          refusal_reason::would_miss_deadline);
    CHECK(test.refused_.at(hurried).retry_after_ > 0s);
    for (int i = 0; i < 60; ++i)
        test.submit("b");
    CHECK(test.refused_.size() > 10);
}

TEST_CASE("a team's queue limit refuses that team only", "[dispatcher]")
{
    bench test;
    test.announce("e", 1);
    for (int i = 0; i < 51; ++i)
        test.submit("a");
    CHECK(test.refused_.empty());
    auto more = test.submit("a");
    CHECK(test.refused_.at(more).reason_ == refusal_reason::team_queue_full);
    auto other = test.submit("b");
    CHECK_FALSE(test.refused_.contains(other));
}

TEST_CASE("an endpoint that fails at once is ejected and returns slowly",
          "[dispatcher]")
{
    bench test;
    for (const char* name : {"bad", "g1", "g2", "g3"})
        test.announce(name, 8);
    int bad_uses = 0;
    for (int i = 0; i < 200; ++i) {
        auto id = test.submit("a");
        bool bad = test.granted_.at(id) == "bad";
        bad_uses += bad;
        test.end(id, bad ? slot_outcome::failed : slot_outcome::succeeded,
                 bad ? 0ms : 10ms);
    }
    CHECK(test.ejected_ >= 1);
    CHECK(bad_uses <= 6);
}

TEST_CASE("failing endpoints never take the whole pool out", "[dispatcher]")
{
    bench test;
    for (int i = 0; i < 10; ++i)
        test.announce("e" + std::to_string(i), 1);
    for (int i = 0; i < 300; ++i) {
        auto id = test.submit("a");
        REQUIRE(test.granted_.contains(id));
        test.end(id, slot_outcome::failed);
    }
    CHECK(test.core_.summaries(test.now_)[0].slots_ >= 7);
}

TEST_CASE("callers in a hurry do not make endpoints look sick", "[dispatcher]")
{
    bench test;
    for (int i = 0; i < 4; ++i)
        test.announce("e" + std::to_string(i), 2);
    for (int i = 0; i < 30; ++i)
        test.end(test.submit("a"), slot_outcome::succeeded, 10ms);
    // Deadlines as short as the usual run time.
    for (int i = 0; i < 60; ++i)
        test.end(test.submit("a"), slot_outcome::timed_out, 10ms);
    CHECK(test.ejected_ == 0);
    CHECK(test.core_.summaries(test.now_)[0].slots_ == 8);
    // An endpoint that hangs is another matter.
    int hung = 0;
    for (int i = 0; i < 60; ++i) {
        auto id = test.submit("a");
        REQUIRE(test.granted_.contains(id));
        bool bad = test.granted_.at(id) == "e0";
        hung += bad;
        test.end(id, bad ? slot_outcome::timed_out : slot_outcome::succeeded,
                 bad ? 500ms : 10ms);
    }
    CHECK(test.ejected_ >= 1);
    CHECK(hung <= 6);
}

TEST_CASE("retries stay within their budget", "[dispatcher]")
{
    bench test;
    test.rules_.services_.at(rota).retry_percent_ = 10;
    test.core_.configure(test.rules_);
    test.announce("e1", 1);
    test.announce("e2", 1);
    int retried = 0;
    for (int i = 0; i < 200; ++i) {
        auto id = test.submit("a");
        test.end(id, slot_outcome::succeeded);
        auto again = test.submit("a", 2);
        retried += test.granted_.contains(again);
        test.end(again, slot_outcome::succeeded);
    }
    CHECK(retried >= 20);
    CHECK(retried <= 200 / 10 + 20);
}

TEST_CASE("a retry goes to another endpoint and blocks nobody", "[dispatcher]")
{
    bench test;
    test.rules_.services_.at(rota).retry_percent_ = 100;
    test.core_.configure(test.rules_);
    test.announce("e1", 1);
    auto warm = test.submit("a");
    test.end(warm, slot_outcome::succeeded);
    test.announce("e2", 2);
    auto busy1 = test.submit("a");
    auto busy2 = test.submit("a");
    auto busy3 = test.submit("a");
    REQUIRE(test.granted_.contains(busy3));
    auto picky = test.submit("a", 2, {endpoint_name("e2")});
    auto plain = test.submit("a");
    for (const auto& id : {busy1, busy2, busy3}) {
        if (test.granted_[id] == "e2") {
            test.end(id, slot_outcome::succeeded);
            break;
        }
    }
    CHECK_FALSE(test.granted_.contains(picky));
    CHECK(test.granted_.contains(plain));
}

TEST_CASE("slots of a lost host come back after the grace time", "[dispatcher]")
{
    bench test;
    test.announce("e", 1);
    test.submit("a");
    test.feed(host_lost{host_name("h")});
    test.now_ += 1s;
    test.feed(clock_ticked{});
    CHECK(test.core_.summaries(test.now_)[0].in_flight_ == 1);
    test.now_ += 5s;
    test.feed(clock_ticked{});
    CHECK(test.core_.summaries(test.now_)[0].in_flight_ == 0);
}

TEST_CASE("a new owner counts slots that are in use already", "[dispatcher]")
{
    bench test;
    test.core_.take_over(rota, test.now_ + 1s);
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
