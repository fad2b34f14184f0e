#include "history_checker.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::test;
using namespace std::chrono_literals;

namespace {

using kind = text_operation::kind;

text_operation write(int start, int end, std::uint64_t version,
                     const std::string& body)
{
    return {kind::write, instant(start * 1s), instant(end * 1s), version, body,
            true};
}

text_operation read(int start, int end, std::uint64_t version,
                    const std::string& body)
{
    return {kind::read, instant(start * 1s), instant(end * 1s), version, body,
            true};
}

} // namespace

TEST_CASE("a linearizable history is accepted", "[history]")
{
    CHECK_FALSE(check_text_history({write(0, 5, 1, "a"), read(1, 2, 1, "a"),
                                    read(1, 9, 0, ""), write(4, 8, 2, "b"),
                                    read(6, 7, 1, "a"), read(9, 10, 2, "b")},
                                   {}));
}

TEST_CASE("a lost write is detected", "[history]")
{
    CHECK(check_text_history({write(0, 1, 1, "a"), read(2, 3, 0, "")}, {}));
    CHECK(check_text_history({write(0, 1, 1, "a"), write(2, 3, 1, "b")}, {}));
}

TEST_CASE("a read of an older version after a newer one is detected",
          "[history]")
{
    CHECK(check_text_history({write(0, 9, 1, "a"), write(0, 9, 2, "b"),
                              read(1, 2, 2, "b"), read(3, 4, 1, "a")},
                             {}));
}

TEST_CASE("a read that precedes its write is detected", "[history]")
{
    CHECK(check_text_history({read(0, 1, 1, "a"), write(2, 3, 1, "a")}, {}));
}

TEST_CASE("versions that contradict real-time order are detected", "[history]")
{
    CHECK(check_text_history({write(0, 1, 2, "b"), write(2, 3, 1, "a")}, {}));
}

TEST_CASE("a body that no write produced is detected", "[history]")
{
    CHECK(check_text_history({write(0, 1, 1, "a"), read(2, 3, 1, "x")}, {}));
    CHECK(check_text_history({read(2, 3, 1, "x")}, {}));
    CHECK_FALSE(check_text_history({read(2, 3, 1, "x")}, {{instant(1s), "x"}}));
}
