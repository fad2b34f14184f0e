#include "fake_cluster.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::test;
using namespace std::chrono_literals;

namespace {

constexpr instant start{1h};

void cut_both_ways(fake_cluster& cluster, int a, int b)
{
    cluster.cut(a, b);
    cluster.cut(b, a);
}

void isolate(fake_cluster& cluster, int index)
{
    for (int i = 0; i < cluster.hosts(); ++i) {
        if (i != index)
            cut_both_ways(cluster, index, i);
    }
}

} // namespace

TEST_CASE("a group elects one leader and accepts changes", "[consensus]")
{
    fake_cluster cluster({.seed_ = 1, .voters_ = 5});
    cluster.start_client(0, start + 20s);
    cluster.run_until(start + 20s);
    CHECK(cluster.leader() >= 0);
    CHECK(cluster.accepted() > 50);
    cluster.settle();
}

TEST_CASE("a leader that is cut off silently steps down", "[consensus]")
{
    fake_cluster cluster({.seed_ = 2, .voters_ = 5});
    cluster.run_until(start + 5s);
    int old = cluster.leader();
    REQUIRE(old >= 0);
    isolate(cluster, old);
    cluster.run_until(start + 10s);
    CHECK(cluster.status(old).role_ != replica_role::leader);
    CHECK(cluster.leader() >= 0);
    CHECK(cluster.leader() != old);
    cluster.settle();
}

TEST_CASE("an hour alone raises no term and disturbs nobody", "[consensus]")
{
    fake_cluster cluster({.seed_ = 3, .voters_ = 5});
    cluster.run_until(start + 5s);
    int away = (cluster.leader() + 1) % 5;
    isolate(cluster, away);
    cluster.run_until(start + 1h);
    term_number before = cluster.highest_term();
    int chief = cluster.leader();
    cluster.heal();
    cluster.run_until(start + 1h + 30s);
    CHECK(cluster.highest_term() == before);
    CHECK(cluster.leader() == chief);
    cluster.settle();
}

TEST_CASE("a one-way cut does not leave the group without a leader",
          "[consensus]")
{
    fake_cluster cluster({.seed_ = 4, .voters_ = 3});
    cluster.run_until(start + 5s);
    int old = cluster.leader();
    // It sends heartbeats, but hears nobody.
    for (int i = 0; i < 3; ++i) {
        if (i != old)
            cluster.cut(i, old);
    }
    cluster.run_until(start + 10s);
    CHECK(cluster.leader() != old);
    cluster.start_client(0, start + 20s);
    cluster.run_until(start + 20s);
    CHECK(cluster.accepted() > 0);
    cluster.settle();
}

TEST_CASE("a replica that missed hundreds of changes catches up", "[consensus]")
{
    fake_cluster cluster({.seed_ = 5, .voters_ = 3, .compact_after_ = 30});
    cluster.run_until(start + 5s);
    int away = (cluster.leader() + 1) % 3;
    cluster.crash(away);
    for (int client = 0; client < 4; ++client)
        cluster.start_client(client, start + 60s);
    cluster.run_until(start + 60s);
    REQUIRE(cluster.accepted() > 300);
    cluster.restart(away);
    cluster.run_until(start + 65s);
    CHECK(cluster.snapshots_installed() > 0);
    CHECK(cluster.status(away).commit_ ==
          cluster.status(cluster.leader()).commit_);
    cluster.settle();
}

TEST_CASE("a lost host is replaced, and then another one lost", "[consensus]")
{
    fake_cluster cluster({.seed_ = 6, .voters_ = 3});
    cluster.start_client(0, start + 40s);
    cluster.run_until(start + 5s);
    int lost = (cluster.leader() + 1) % 3;
    cluster.lose_disk(lost);
    int fresh = cluster.add_host();
    cluster.restart(fresh);
    REQUIRE(cluster.replace(lost, fresh));
    cluster.run_until(start + 10s);
    REQUIRE(cluster.replacement_done(lost));
    // The second loss, right after the repair.
    int second = 3 - lost - cluster.leader();
    if (cluster.leader() == fresh)
        second = (lost + 1) % 3;
    cluster.lose_disk(second);
    cluster.run_until(start + 20s);
    CHECK(cluster.leader() >= 0);
    std::size_t before = cluster.accepted();
    cluster.run_until(start + 40s);
    CHECK(cluster.accepted() > before);
}

TEST_CASE("a planned hand-over takes no election timeout", "[consensus]")
{
    fake_cluster cluster({.seed_ = 7, .voters_ = 3});
    cluster.run_until(start + 5s);
    int old = cluster.leader();
    cluster.hand_over();
    cluster.run_until(start + 5s + 200ms);
    CHECK(cluster.leader() >= 0);
    CHECK(cluster.leader() != old);
    cluster.settle();
}
