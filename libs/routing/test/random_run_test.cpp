#include "fake_fleet.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::test;
using namespace std::chrono_literals;

namespace {

/// Runs a small fleet with random load, failing and slow endpoints, a leaving
/// endpoint and, in some runs, a lost host.
void run_seed(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    fleet_options options;
    options.seed_ = seed;
    options.endpoints_ = 2 + static_cast<int>(random() % 8);
    options.slots_ = 1 + static_cast<int>(random() % 8);
    options.queue_time_ = std::chrono::milliseconds(1 + random() % 500);
    options.queue_limit_ = 10 + static_cast<int>(random() % 500);
    if (random() % 2 == 0)
        options.behaviours_[0].fails_immediately_ = true;
    if (random() % 2 == 0)
        options.behaviours_[1].slow_factor_ = 20;
    fake_fleet fleet(options);
    auto length = static_cast<int>(100 + random() % 400);
    for (int i = 0; i < length; ++i) {
        fake_request request;
        request.at_ = instant(std::chrono::microseconds(random() % 2'000'000));
        request.team_ = team_name(std::string(1, "abcd"[random() % 4]));
        bool is_long = random() % 10 == 0;
        request.route_ = is_long ? "/plan" : "/check";
        request.run_time_ = is_long ? 200ms : 10ms;
        request.deadline_ = std::chrono::milliseconds(50 + random() % 3000);
        request.repeatable_ = random() % 2 == 0;
        fleet.submit(request);
    }
    int leaving = options.endpoints_ - 1;
    instant leaves_at = instant(1s);
    fleet.set_leaving(leaving, leaves_at);
    if (random() % 3 == 0)
        fleet.fail_host(0, instant(1500ms));
    fleet.run();

    CHECK(fleet.most_in_flight() <= options.slots_);
    for (const request_record& record : fleet.records()) {
        CHECK(record.done_);
        if (!record.request_.repeatable_)
            CHECK(record.runs_ <= 1);
        if (record.request_outcome_ == request_outcome::not_run)
            CHECK(record.runs_ == 0);
        if (record.request_outcome_ == request_outcome::completed)
            CHECK(record.runs_ >= 1);
    }
}

} // namespace

TEST_CASE("guarantees hold in random runs", "[routing_runs]")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        INFO("seed " << seed);
        run_seed(seed);
    }
}

TEST_CASE("runs with the same seed are identical", "[routing_runs]")
{
    auto trace = [] {
        fake_fleet fleet({});
        for (int i = 0; i < 500; ++i)
            fleet.submit({instant(i * 1ms), team_name("a"), "/x", 900ms});
        fleet.run();
        return fleet.now();
    };
    CHECK(trace() == trace());
}
