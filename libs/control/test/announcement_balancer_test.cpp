#include "../src/announcement_balancer.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace dandelioncrank;
using namespace dandelioncrank::control;
using namespace std::chrono_literals;

namespace {

pool::worker_info make_worker(int number)
{
    pool::worker_info info;
    info.name_ = worker_name("i-" + std::to_string(number));
    info.incarnation_ = 1;
    info.address_ = "10.0.0.1:" + std::to_string(number);
    info.service_ = service_name("s");
    return info;
}

constexpr instant start{1h};

} // namespace

// With 3,000 workers, a leader that acknowledged all 2,000 announcements per
// second beside its planning responded late, and workers retried at other
// hosts.
TEST_CASE("announcements are distributed only in a large pool",
          "[announcement_balancer]")
{
    pool::pool_state state;
    announcement_balancer balancer(state);
    for (int i = 1; i <= 400; ++i)
        state.apply(pool::put_worker{make_worker(i)});
    CHECK(!balancer.is_distributed());
    for (int i = 401; i <= 800; ++i)
        state.apply(pool::put_worker{make_worker(i)});
    CHECK(balancer.is_distributed());
}

TEST_CASE("workers are distributed evenly and keep their host",
          "[announcement_balancer]")
{
    std::vector<std::string> hosts = {"a:1", "b:1", "c:1", "d:1", "e:1"};
    std::map<std::string, int> counts;
    int moved = 0;
    for (int i = 0; i < 3000; ++i) {
        worker_name worker("i-" + std::to_string(i));
        std::string assigned =
            announcement_balancer::assigned_host(worker, hosts);
        ++counts[assigned];
        std::vector<std::string> fewer(hosts.begin(), hosts.end() - 1);
        moved += assigned != "e:1" && announcement_balancer::assigned_host(
                                          worker, fewer) != assigned;
    }
    for (const auto& [host, count] : counts)
        CHECK(count > 450);
    CHECK(moved == 0);
    CHECK(announcement_balancer::assigned_host(worker_name("i"), {}).empty());
}

TEST_CASE("an announcement with a change is not acknowledged for the leader",
          "[announcement_balancer]")
{
    pool::pool_state state;
    announcement_balancer balancer(state);
    pool::worker_info info = make_worker(1);
    CHECK(!balancer.is_unchanged(info));
    state.apply(pool::put_worker{info});
    CHECK(balancer.is_unchanged(info));
    info.is_draining_ = true;
    CHECK(!balancer.is_unchanged(info));
    info.is_draining_ = false;
    info.incarnation_ = 2;
    CHECK(!balancer.is_unchanged(info));
}

TEST_CASE("a stale announcement is told from the first of a new life",
          "[announcement_balancer]")
{
    pool::pool_state state;
    announcement_balancer balancer(state);
    pool::worker_info info = make_worker(1);
    CHECK(!balancer.is_stale(info, 4, start));
    CHECK(balancer.is_stale(info, 3, start));
    CHECK(!balancer.is_stale(info, 5, start));
    info.incarnation_ = 2;
    CHECK(!balancer.is_stale(info, 1, start));
    info.incarnation_ = 1;
    CHECK(balancer.is_stale(info, 9, start));
    balancer.reset_sequence(info.name_);
    CHECK(!balancer.is_stale(info, 9, start));
}

// One announcement of another writer with a sequence number that is far too
// high silenced its worker for ever (issue 31).
TEST_CASE("a sequence number that is too high is forgotten after five seconds",
          "[announcement_balancer]")
{
    pool::pool_state state;
    announcement_balancer balancer(state);
    pool::worker_info info = make_worker(1);
    CHECK(!balancer.is_stale(info, 1'000'000'000, start));
    CHECK(balancer.is_stale(info, 7, start + 4s));
    // One that was merely delayed does not come with a second one.
    CHECK(balancer.is_stale(info, 8, start + 6s));
    CHECK(balancer.is_stale(info, 8, start + 7s));
    CHECK(!balancer.is_stale(info, 9, start + 7500ms));
    CHECK(balancer.is_stale(info, 9, start + 8s));
    CHECK(!balancer.is_stale(info, 10, start + 9s));
}

TEST_CASE("announcements are relayed in batches", "[announcement_balancer]")
{
    pool::pool_state state;
    announcement_balancer balancer(state);
    balancer.add_to_batch(make_worker(1), 5);
    balancer.add_to_batch(make_worker(2), 6);
    CHECK(balancer.take_batch(start).size() == 2);
    balancer.add_to_batch(make_worker(1), 7);
    CHECK(balancer.take_batch(start + 50ms).empty());
    CHECK(balancer.take_batch(start + 100ms).size() == 1);
    CHECK(balancer.take_batch(start + 300ms).empty());
}
