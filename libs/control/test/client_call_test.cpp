#include "dandelioncrank/control/client_call.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank::control;

namespace {

client_response visible_response(client_verb verb, bool may_have_executed,
                                 client_call_outcome kind)
{
    client_call call;
    call.verb_ = verb;
    call.may_have_executed_ = may_have_executed;
    client_response response;
    response.outcome_ = kind;
    return client_visible_response(call, response);
}

} // namespace

// The first attempt of a submit was stored, but its response was lost. Then the
// key was removed, and the second attempt was refused with 401 although the job
// ran.
TEST_CASE("a retried submit is never refused", "[client_call]")
{
    for (auto kind :
         {client_call_outcome::unknown_key, client_call_outcome::unknown_route,
          client_call_outcome::invalid, client_call_outcome::unavailable,
          client_call_outcome::not_leader}) {
        CHECK(visible_response(client_verb::submit, true, kind).outcome_ ==
              client_call_outcome::unsure);
        CHECK(visible_response(client_verb::submit, false, kind).outcome_ ==
              kind);
    }
    CHECK(visible_response(client_verb::submit, true, client_call_outcome::done)
              .outcome_ == client_call_outcome::done);
}

TEST_CASE("a read may be refused on any attempt", "[client_call]")
{
    CHECK(visible_response(client_verb::show, true,
                           client_call_outcome::unknown_key)
              .outcome_ == client_call_outcome::unknown_key);
}
