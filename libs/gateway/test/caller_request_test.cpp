#include "dandelioncrank/gateway/caller_request.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace std::chrono_literals;

namespace {

routing_table make_table()
{
    routing_table table;
    table.zone_ = zone_name("leon");
    table.serving_ = true;
    service_route rota;
    rota.rule_.name_ = service_name("rota");
    rota.rule_.team_ = team_name("kitchens");
    rota.rule_.deadline_ = 5s;
    table.services_["rota"] = rota;
    service_route shop = rota;
    shop.missing_dependency_ = "allergy";
    table.services_["shop"] = shop;
    return table;
}

http_request make_request(const std::string& target,
                          std::vector<header_field> headers = {})
{
    http_request request;
    request.method_ = "POST";
    request.target_ = target;
    for (const header_field& field : headers)
        request.headers_.add(field.name_, field.value_);
    return request;
}

refusal_reason reason_for(const http_request& request,
                          const routing_table& table = make_table())
{
    auto result = parse_caller_request(request, table, "fresh");
    REQUIRE(std::holds_alternative<request_refused>(result));
    return std::get<request_refused>(result).reason_;
}

caller_request accepted(const http_request& request)
{
    auto result = parse_caller_request(request, make_table(), "fresh");
    REQUIRE(std::holds_alternative<caller_request>(result));
    return std::get<caller_request>(result);
}

} // namespace

TEST_CASE("a caller request is parsed", "[caller_request]")
{
    auto item = accepted(make_request("/services/rota/plan/7?x=1",
                                      {{"X-Deadline-Ms", "900"},
                                       {"Idempotency-Key", "k"},
                                       {"Connection", "keep-alive"}}));
    CHECK(item.service_ == service_name("rota"));
    CHECK(item.route_ == "POST /plan");
    CHECK(item.forwarded_.target_ == "/plan/7?x=1");
    CHECK(item.deadline_ == 900ms);
    CHECK_FALSE(item.repeatable_);
    CHECK(item.idempotency_key_ == "rota/k");
    CHECK_FALSE(item.forwarded_.headers_.find("Connection"));
    CHECK(item.id_ == request_id("fresh"));
    CHECK(accepted(make_request("/services/rota", {{"X-Repeatable", "yes"}}))
              .repeatable_);
    CHECK(accepted(make_request("/services/rota?q")).forwarded_.target_ ==
          "/?q");
}

TEST_CASE("a caller cannot exceed the deadline of the service",
          "[caller_request]")
{
    auto item = accepted(
        make_request("/services/rota/", {{"X-Deadline-Ms", "900000"}}));
    CHECK(item.deadline_ == 5s);
}

TEST_CASE("invalid requests are refused with a reason", "[caller_request]")
{
    CHECK(reason_for(make_request("/elsewhere")) ==
          refusal_reason::unknown_service);
    CHECK(reason_for(make_request("/services/none/")) ==
          refusal_reason::unknown_service);
    CHECK(reason_for(make_request("/services/rota/", {{"X-Zone", "celaya"}})) ==
          refusal_reason::wrong_zone);
    CHECK(reason_for(make_request("/services/shop/")) ==
          refusal_reason::dependency_down);
    CHECK(
        reason_for(make_request("/services/rota/", {{"X-Deadline-Ms", "0"}})) ==
        refusal_reason::deadline_passed);
    for (const char* text : {"-1", "soon", "99999999", ""}) {
        CHECK(reason_for(
                  make_request("/services/rota/", {{"X-Deadline-Ms", text}})) ==
              refusal_reason::bad_request);
    }
    CHECK(reason_for(
              make_request("/services/rota/", {{"X-Request-Id", "a b"}})) ==
          refusal_reason::bad_request);
    CHECK(
        reason_for(make_request(
            "/services/rota/", {{"Idempotency-Key", std::string(300, 'k')}})) ==
        refusal_reason::bad_request);
    routing_table starting = make_table();
    starting.serving_ = false;
    CHECK(reason_for(make_request("/services/rota/"), starting) ==
          refusal_reason::stopping);
}

TEST_CASE("a refusal states that nothing ran and when to retry",
          "[caller_request]")
{
    auto response = refusal_response(request_id("r"),
                                     refusal_reason::queue_full, "d", 1200ms);
    CHECK(response.status_ == 429);
    CHECK(response.headers_.find("X-Fate") == "not-run");
    CHECK(response.headers_.find("Retry-After") == "2");
    CHECK(response.headers_.find("X-Retry-After-Ms") == "1200");
}
