#include "cluster_runs.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace dandelioncrank;
using namespace dandelioncrank::test;

namespace {

std::uint64_t number_from(const char* variable, std::uint64_t missing)
{
    const char* text = std::getenv(variable);
    return text == nullptr ? missing : std::strtoull(text, nullptr, 10);
}

} // namespace

TEST_CASE("invariants hold in random runs", "[consensus_runs]")
{
    std::uint64_t first = number_from("DANDELIONCRANK_FIRST_SEED", 1);
    std::uint64_t count = number_from("DANDELIONCRANK_SEEDS", 2000);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        auto failure = find_violation(seed, consensus_fault::none);
        INFO("DANDELIONCRANK_FIRST_SEED=" << seed
                                          << " DANDELIONCRANK_SEEDS=1 "
                                             "test_consensus [consensus_runs]");
        INFO(failure.value_or(""));
        REQUIRE_FALSE(failure);
    }
}
