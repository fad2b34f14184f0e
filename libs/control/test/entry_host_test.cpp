// Tests an entry host against fake control hosts.
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

/// A control host that records the calls it receives.
class fake_control_host
{
  public:
    fake_control_host(const std::string& ip, int port)
        : server_(host_port{ip, port},
                  [this](const QByteArray& bytes,
                         const peer_server::responder& reply) {
                      handle(bytes, reply);
                  }),
          address_(host_port{ip, server_.port()})
    {
    }

    peer_server server_;
    host_port address_;
    /// Response to hellos.
    hello_response hello_response_;
    bool responds_to_calls_ = true;
    std::vector<std::string> received_calls_;

  private:
    void handle(const QByteArray& bytes, const peer_server::responder& reply)
    {
        std::visit(
            overloaded{[&](const hello&) { reply(to_wire(hello_response_)); },
                       [&](const client_call& call) {
                           received_calls_.push_back(call.request_id_);
                           if (responds_to_calls_)
                               reply(to_wire(make_response()));
                       },
                       [&](const auto&) { reply(std::nullopt); }},
            from_wire<control_message>(bytes).payload_);
    }

    static client_response make_response()
    {
        client_response response;
        response.outcome_ = client_call_outcome::done;
        return response;
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
    call.request_id_ = request;
    call.verb_ = client_verb::count_waiting;
    return call;
}

/// Runs the event loop for some time, so that calls arrive one after another;
/// no result depends on the duration.
void run_event_loop_for(duration time)
{
    instant end = steady_now() + time;
    run_until([end] { return steady_now() >= end; });
}

} // namespace

// Calls that waited for a leader were sent in the order of their timers, so the
// call that arrived first was decided last.
TEST_CASE("calls that wait for a leader are sent in order of arrival",
          "[entry_host]")
{
    test_application();
    fake_control_host host("127.0.7.1", 0);
    metric_registry metrics;
    entry_host entry(make_settings(host.address_), metrics);
    std::vector<std::string> request_ids;
    std::size_t response_count = 0;
    for (char letter = 'a'; letter <= 'j'; ++letter) {
        request_ids.emplace_back(1, letter);
        client_call call = make_read(request_ids.back());
        // A call that may have been executed waits as long as its client does.
        call.may_have_executed_ = true;
        entry.serve(
            call, test_timeout,
            [&response_count](const client_response&) { ++response_count; });
        run_event_loop_for(4ms);
    }
    host.hello_response_.is_leader_ = true;
    REQUIRE(run_until([&] { return response_count == request_ids.size(); }));
    CHECK(host.received_calls_ == request_ids);
}

// A call was still pending at the former leader when later calls were decided
// by its successor.
TEST_CASE("a call pending at a lost leader is not overtaken by later calls",
          "[entry_host]")
{
    test_application();
    fake_control_host old_leader("127.0.7.1", 0);
    fake_control_host new_leader("127.0.7.2", old_leader.address_.port_);
    old_leader.hello_response_.is_leader_ = true;
    old_leader.responds_to_calls_ = false;
    metric_registry metrics;
    entry_host entry(make_settings(old_leader.address_), metrics);
    std::size_t response_count = 0;
    auto count = [&response_count](const client_response&) {
        ++response_count;
    };
    entry.serve(make_read("a"), test_timeout, count);
    REQUIRE(run_until([&] { return !old_leader.received_calls_.empty(); }));
    new_leader.hello_response_.is_leader_ = true;
    old_leader.hello_response_.is_leader_ = false;
    old_leader.hello_response_.leader_ = new_leader.address_.to_text();
    REQUIRE(run_until([&] {
        return entry.describe().find(new_leader.address_.to_text()) !=
               std::string::npos;
    }));
    entry.serve(make_read("b"), test_timeout, count);
    REQUIRE(run_until([&] { return response_count == 2; }));
    CHECK(new_leader.received_calls_ == std::vector<std::string>{"a", "b"});
}
