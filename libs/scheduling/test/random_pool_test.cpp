#include "fake_pool.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace dandelioncrank;
using namespace dandelioncrank::test;
using namespace std::chrono_literals;

namespace {

configuration random_configuration(std::mt19937_64& random,
                                   const pool_options& pool)
{
    configuration rules;
    zone_rule zone{zone_name("z"), "r", pool.racks_, pool.workers_per_rack_,
                   pool.accelerators_};
    rules.zones_.emplace(zone.name_, zone);
    int left = pool.racks_ * pool.workers_per_rack_ * pool.accelerators_ / 2;
    for (const char* name : {"a", "b", "c", "d"}) {
        team_rule team;
        team.name_ = team_name(name);
        auto within = static_cast<adjacency>(random() % 3);
        int most = within == adjacency::worker ? pool.accelerators_
                                               : 2 * pool.accelerators_;
        int size = 1 + static_cast<int>(random() % most);
        int blocks = 1 + static_cast<int>(random() % 2);
        if (random() % 4 != 0 && size * blocks <= left) {
            left -= size * blocks;
            team.guarantees_.push_back({zone.name_, blocks, size, within});
        }
        rules.teams_.emplace(team.name_, team);
    }
    return rules;
}

job_spec random_job(std::mt19937_64& random, int number,
                    const pool_options& pool)
{
    job_spec spec;
    spec.id_ = job_id("j" + std::to_string(number));
    spec.team_ = team_name(std::string(1, "abcd"[random() % 4]));
    spec.within_ = static_cast<adjacency>(random() % 3);
    spec.accelerators_ = 1 + static_cast<int>(random() % 2);
    int most = spec.within_ == adjacency::worker
                   ? pool.accelerators_ / spec.accelerators_
                   : 2 * pool.accelerators_ / spec.accelerators_;
    spec.tasks_ = 1 + static_cast<int>(random() % most);
    spec.urgent_ = random() % 8 == 0;
    spec.checkpoints_ = random() % 2 == 0;
    spec.repeatable_ = random() % 4 != 0;
    spec.declared_run_time_ = std::chrono::seconds(1 + random() % 300);
    return spec;
}

/// Runs a pool under load with worker crashes, network partitions, message
/// loss, cancellations, configuration changes and scheduler restarts. Checks
/// the scheduler's invariants after every event, and its job states against
/// what the simulated workers ran.
void run_with_seed(std::uint64_t seed,
                   scheduling_fault fault = scheduling_fault::none)
{
    std::mt19937_64 random(seed);
    // Every fourth run has no outages; then no worker may refuse a hold.
    bool no_outages = seed % 4 == 0;
    pool_options options;
    options.seed_ = seed;
    options.racks_ = 1 + static_cast<int>(random() % 3);
    options.workers_per_rack_ = 2 + static_cast<int>(random() % 4);
    options.accelerators_ = 2 + static_cast<int>(random() % 7);
    options.loss_percent_ = !no_outages && random() % 3 == 0 ? 10 : 0;
    options.delay_ = std::chrono::milliseconds(1 + random() % 50);
    scheduler_options scheduling;
    scheduling.zone_ = zone_name("z");
    scheduling.wait_for_reports_ = true;
    scheduling.fault_ = fault;
    fake_pool pool(options, scheduling, random_configuration(random, options));

    instant begin = pool.now();
    auto random_time = [&] {
        return begin + std::chrono::milliseconds(random() % 240'000);
    };
    int jobs = 10 + static_cast<int>(random() % 30);
    for (int i = 0; i < jobs; ++i) {
        auto length = std::chrono::milliseconds(100 + random() % 40'000);
        pool.submit(random_job(random, i, options), length, random_time());
        if (random() % 6 == 0)
            pool.cancel(job_id("j" + std::to_string(i)), random_time());
    }
    int workers = options.racks_ * options.workers_per_rack_;
    for (int i = 0; i < 4 && !no_outages; ++i) {
        auto index = static_cast<int>(random() % workers);
        auto length = std::chrono::milliseconds(random() % 30'000);
        if (random() % 2 == 0)
            pool.crash(index, random_time(), length);
        else
            pool.partition(index, random_time(), length);
    }
    if (!no_outages && random() % 2 == 0)
        pool.replace_scheduler(random_time());
    if (random() % 3 == 0)
        pool.configure(random_configuration(random, options), random_time());
    if (random() % 5 == 0)
        pool.set_faulty(static_cast<int>(random() % workers));
    if (random() % 5 == 0)
        pool.set_failing(job_id("j0"));
    // Later kinds of faults have their own generators, so that the seeds of
    // earlier ones keep their draws.
    std::mt19937_64 sizes(seed + 1);
    for (int i = 0; i < 2 && !no_outages && sizes() % 3 == 0; ++i) {
        auto index = static_cast<int>(sizes() % workers);
        auto change = std::chrono::milliseconds(sizes() % 240'000);
        auto size = 1 + static_cast<int>(sizes() % options.accelerators_);
        pool.resize(index, size, begin + change);
        pool.resize(index, options.accelerators_,
                    begin + change + std::chrono::seconds(sizes() % 60));
    }
    std::mt19937_64 others(seed + 2);
    for (int i = 0; i < 8 && !no_outages; ++i) {
        auto index = static_cast<int>(others() % workers);
        auto when = begin + std::chrono::milliseconds(others() % 240'000);
        if (i < 6)
            pool.delay_report(index, when,
                              std::chrono::milliseconds(others() % 40'000));
        else if (others() % 2 == 0)
            pool.forge_report(index, when);
    }
    // Every job that fits ends long before this.
    pool.run_to_end(begin + 4h);
    pool.scheduler().check_invariants();
    if (no_outages && pool.refused_holds() > 0)
        throw std::logic_error("a worker refused a hold without an outage");
    // A tenth of the workers, and at least one of four or more.
    std::size_t cap = workers >= 4 ? std::max(1, workers / 10) : 0;
    if (pool.peak_quarantined() > cap)
        throw std::logic_error("too many workers were in quarantine");
}

} // namespace

TEST_CASE("scheduler invariants hold in random runs", "[scheduling_runs]")
{
    std::uint64_t first = 1;
    std::uint64_t count = 1000;
    if (const char* text = std::getenv("DANDELIONCRANK_FIRST_SEED"))
        first = std::strtoull(text, nullptr, 10);
    if (const char* text = std::getenv("DANDELIONCRANK_SEEDS"))
        count = std::strtoull(text, nullptr, 10);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        INFO("DANDELIONCRANK_FIRST_SEED=" << seed
                                          << " DANDELIONCRANK_SEEDS=1 "
                                             "test_scheduling "
                                             "[scheduling_runs]");
        REQUIRE_NOTHROW(run_with_seed(seed));
    }
}

TEST_CASE("seeds of fixed faults pass", "[scheduling_runs]")
{
    for (std::uint64_t seed : {2, 16, 19, 42, 608, 6348, 106748}) {
        INFO("seed " << seed);
        CHECK_NOTHROW(run_with_seed(seed));
    }
}

TEST_CASE("each injected fault is detected", "[scheduling_faults]")
{
    struct named_fault
    {
        scheduling_fault fault_;
        const char* name_;
    };
    for (const named_fault& item : {
             named_fault{scheduling_fault::start_before_all_hold,
                         "start before all hold"},
             named_fault{scheduling_fault::free_before_stop_confirmed,
                         "accelerators freed before the stop is confirmed"},
             named_fault{scheduling_fault::pinned_work_ignores_guarantees,
                         "pinned work ignores guarantees"},
             named_fault{scheduling_fault::job_forgotten_after_loss,
                         "job forgotten after a loss"},
             named_fault{scheduling_fault::guarantees_stay_on_lost_workers,
                         "guarantees stay on lost workers"},
             named_fault{scheduling_fault::gang_survives_lost_part,
                         "gang survives a lost part"},
             named_fault{scheduling_fault::unlimited_quarantine,
                         "quarantine without a limit"},
         }) {
        std::string failure;
        for (std::uint64_t seed = 1; failure.empty() && seed <= 200; ++seed) {
            try {
                run_with_seed(seed, item.fault_);
            } catch (const std::logic_error& error) {
                failure = error.what();
            }
        }
        INFO(item.name_);
        CHECK_FALSE(failure.empty());
    }
}
