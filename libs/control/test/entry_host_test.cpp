// An entry host before control hosts that are played by the test.
#include "control_messages.hpp"
#include "dandelioncrank/control/entry_host.hpp"
#include "dandelioncrank/core/overloaded.hpp"
#include "dandelioncrank/peer/peer_codec.hpp"
#include "dandelioncrank/peer/peer_server.hpp"
#include "event_loop.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::control;
using namespace std::chrono_literals;

namespace {

/// A control host that notes the calls it is asked.
class played_host
{
  public:
    played_host(const std::string& ip, int port)
        : server_(
              host_port{ip, port},
              [this](const QByteArray& bytes, const peer_server::reply& reply) {
                  take(bytes, reply);
              }),
          address_(host_port{ip, server_.port()})
    {
    }

    peer_server server_;
    host_port address_;
    /// What it says of itself.
    hello_answer greeting_;
    bool answers_calls_ = true;
    std::vector<std::string> asked_;

  private:
    void take(const QByteArray& bytes, const peer_server::reply& reply)
    {
        std::visit(overloaded{[&](const hello&) { reply(to_wire(greeting_)); },
                              [&](const client_call& call) {
                                  asked_.push_back(call.request_);
                                  if (answers_calls_)
                                      reply(to_wire(make_answer()));
                              },
                              [&](const auto&) { reply(std::nullopt); }},
                   from_wire<control_message>(bytes).payload_);
    }

    static client_answer make_answer()
    {
        client_answer answer;
        answer.kind_ = client_outcome_kind::done;
        return answer;
    }
};

control_settings make_settings(const host_port& seed)
{
    control_settings settings;
    settings.internal_address_ = {"127.0.7.9", seed.port_};
    settings.client_address_ = {"127.0.7.9", 1};
    settings.seeds_ = {seed};
    return settings;
}

client_call make_read(const std::string& request)
{
    client_call call;
    call.request_ = request;
    call.verb_ = client_verb::count_waiting;
    return call;
}

/// Lets the event loop turn until some time has passed, so that calls come
/// one after another; no verdict depends on it.
void turn_for(duration time)
{
    instant end = steady_now() + time;
    run_until([end] { return steady_now() >= end; });
}

} // namespace

// CONFIG, arreola-rol-grown: calls that waited for a leader were asked in the
// order of their timers, and the one that came first was decided last.
TEST_CASE("calls that wait for a leader are asked in the order in which they "
          "came",
          "[entry_host]")
{
    test_application();
    played_host host("127.0.7.1", 0);
    metric_registry metrics;
    entry_host entry(make_settings(host.address_), metrics);
    std::vector<std::string> names;
    std::size_t answered = 0;
    for (char letter = 'a'; letter <= 'j'; ++letter) {
        names.emplace_back(1, letter);
        client_call call = make_read(names.back());
        // A call that was asked before waits as long as its client does.
        call.is_repeat_ = true;
        entry.serve(call, hang_time,
                    [&answered](const client_answer&) { ++answered; });
        turn_for(4ms);
    }
    host.greeting_.leads_ = true;
    REQUIRE(run_until([&] { return answered == names.size(); }));
    CHECK(host.asked_ == names);
}

// CONFIG, arreola-rol-grown: a call was still asked at the leader of before
// when later ones were decided by its successor.
TEST_CASE("a call that the lost leader has not answered is not overtaken",
          "[entry_host]")
{
    test_application();
    played_host lost("127.0.7.1", 0);
    played_host next("127.0.7.2", lost.address_.port_);
    lost.greeting_.leads_ = true;
    lost.answers_calls_ = false;
    metric_registry metrics;
    entry_host entry(make_settings(lost.address_), metrics);
    std::size_t answered = 0;
    auto count = [&answered](const client_answer&) { ++answered; };
    entry.serve(make_read("a"), hang_time, count);
    REQUIRE(run_until([&] { return !lost.asked_.empty(); }));
    next.greeting_.leads_ = true;
    lost.greeting_.leads_ = false;
    lost.greeting_.leader_ = next.address_.to_text();
    REQUIRE(run_until([&] {
        return entry.describe().find(next.address_.to_text()) !=
               std::string::npos;
    }));
    entry.serve(make_read("b"), hang_time, count);
    REQUIRE(run_until([&] { return answered == 2; }));
    CHECK(next.asked_ == std::vector<std::string>{"a", "b"});
}
