#include "fencing_tokens.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::pool;
using namespace std::chrono_literals;

namespace {

const worker_name first("w0");
const worker_name second("w1");
constexpr instant start{1h};

} // namespace

TEST_CASE("a raised token is above those of before, on its worker only",
          "[fencing_tokens]")
{
    fencing_tokens tokens;
    tokens.begin(3);
    std::uint64_t before = tokens.token_for(first);
    tokens.raise(first);
    CHECK(tokens.token_for(first) > before);
    CHECK(tokens.token_for(second) == before);
    CHECK(tokens.late_until(first) <= start);
    tokens.record_lost_call(second, start);
    CHECK(tokens.token_for(second) > before);
    CHECK(tokens.late_until(second) > start + 12s);
}

TEST_CASE("tokens of a later term are above all of an earlier one",
          "[fencing_tokens]")
{
    fencing_tokens tokens;
    tokens.begin(3);
    for (int i = 0; i < 1000; ++i)
        tokens.raise(first);
    std::uint64_t before = tokens.token_for(first);
    tokens.begin(4);
    CHECK(tokens.token_for(first) > before);
    CHECK(tokens.token_for(second) > before);
}

// An owner that counted anew in its own term would be fenced by itself for
// good.
TEST_CASE("an owner that begins again in its term goes on counting",
          "[fencing_tokens]")
{
    fencing_tokens tokens;
    tokens.begin(3);
    tokens.raise(first);
    std::uint64_t before = tokens.token_for(first);
    std::uint64_t others = tokens.token_for(second);
    tokens.begin(3);
    CHECK(tokens.token_for(first) > before);
    CHECK(tokens.token_for(second) > others);
}

TEST_CASE("a count that is used up stays below the next term",
          "[fencing_tokens]")
{
    fencing_tokens tokens;
    tokens.begin(3);
    std::uint64_t above = tokens.token_for(first);
    tokens.begin(4);
    above += 2 * (tokens.token_for(first) - above);
    for (int i = 0; i < 17'000'000; ++i)
        tokens.raise(first);
    CHECK(tokens.token_for(first) < above);
    // The largest integer that every reader of JSON holds exactly.
    tokens.begin((std::uint64_t{1} << 29) - 1);
    tokens.raise(first);
    CHECK(tokens.token_for(first) < (std::uint64_t{1} << 53));
}

// A worker that returns after its entry was dropped has seen the count of then.
TEST_CASE("a dropped entry leaves no lower token", "[fencing_tokens]")
{
    fencing_tokens tokens;
    tokens.begin(3);
    for (int i = 0; i < 5; ++i)
        tokens.record_lost_call(first, start);
    std::uint64_t before = tokens.token_for(first);
    for (int i = 0; i < 66'000; ++i)
        tokens.raise(worker_name("x" + std::to_string(i)));
    CHECK(tokens.token_for(first) >= before);
    CHECK(tokens.late_until(first) > start + 12s);
}
