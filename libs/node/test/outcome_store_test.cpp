#include "outcome_store.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;

TEST_CASE("the oldest outcomes are evicted first", "[outcome_store]")
{
    outcome_store store(3);
    for (const char* id : {"a", "b", "c", "b", "d"})
        store.record({request_id(id), request_outcome::completed, 200, {}});
    CHECK(store.size() == 3);
    CHECK_FALSE(store.find(request_id("a")));
    CHECK(store.find(request_id("b")));
    CHECK(store.find(request_id("d")));
}
