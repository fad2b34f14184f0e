#include "dandelioncrank/control/client_call.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank::control;

namespace {

client_answer settle(client_verb verb, bool is_repeat, client_outcome_kind kind)
{
    client_call call;
    call.verb_ = verb;
    call.is_repeat_ = is_repeat;
    client_answer answer;
    answer.kind_ = kind;
    return settle_answer(call, answer);
}

} // namespace

// arreola-rol-grown trouble-3: the first attempt of a submit was stored, its
// answer was lost, the key was taken away, and the second attempt was refused
// with 401 although the job ran.
TEST_CASE("a repeated submit is never refused", "[client_call]")
{
    for (auto kind :
         {client_outcome_kind::unknown_key, client_outcome_kind::unknown_route,
          client_outcome_kind::invalid, client_outcome_kind::unavailable,
          client_outcome_kind::not_leader}) {
        CHECK(settle(client_verb::submit, true, kind).kind_ ==
              client_outcome_kind::unsure);
        CHECK(settle(client_verb::submit, false, kind).kind_ == kind);
    }
    CHECK(settle(client_verb::submit, true, client_outcome_kind::done).kind_ ==
          client_outcome_kind::done);
}

TEST_CASE("a read may be refused on any attempt", "[client_call]")
{
    CHECK(settle(client_verb::show, true, client_outcome_kind::unknown_key)
              .kind_ == client_outcome_kind::unknown_key);
}
