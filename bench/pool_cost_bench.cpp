// CPU cost of the pool owner by the number of workers: a scheduling plan, a
// tick without work, a tick that sweeps all workers, and a tick after a state
// change. One JSON line per size.
#include "pool_fixture.hpp"

#include "dandelioncrank/pool/pool_owner.hpp"

#include <chrono>
#include <cstdio>
#include <functional>

using namespace dandelioncrank;
using namespace dandelioncrank::pool;
using namespace std::chrono_literals;

namespace {

constexpr int repetitions = 50;

double mean_microseconds(const std::function<void()>& action)
{
    auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < repetitions; ++i)
        action();
    std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - begin;
    return elapsed.count() / repetitions;
}

/// Fills the pool and leaves jobs of all priorities queued.
void fill_pool(pool_fixture& pool, int workers)
{
    int number = 0;
    auto next_id = [&number] { return "job" + std::to_string(number++); };
    pool.guarantee("t", workers * 4);
    for (int i = 0; i < workers / 4; ++i)
        pool.submit(next_id(), {pool_fixture::make_step(16, 1, false)}, 2);
    for (int i = 0; i < workers / 8; ++i)
        pool.submit(next_id(), {pool_fixture::make_step(4, 4, true)}, 1);
    pool.plan_and_start();
    for (int i = 0; i < workers / 20; ++i) {
        step_spec urgent = pool_fixture::make_step(3, 4, true);
        urgent.is_rack_sensitive_ = true;
        pool.submit(next_id(), {urgent}, 0);
        pool.submit(next_id(), {pool_fixture::make_step(39, 1, false)}, 2);
    }
}

void bench_pool(int workers, bool has_mixed_speeds)
{
    pool_fixture pool(workers, 20);
    for (int i = 0; has_mixed_speeds && i < workers; i += 4)
        pool.input_.estimates_.worker_speeds_[pool_fixture::name_of(i)] = 0.5;
    fill_pool(pool, workers);
    std::size_t run_count = pool.input_.runs_.size();
    double plan_us = mean_microseconds([&pool] { (void)pool.plan(); });
    pool_owner owner(pool.state_, owner_timing{});
    instant now = pool.input_.now_;
    owner.begin(1, now);
    owner.tick(now, 0);
    (void)owner.take_output();
    double tick_us = mean_microseconds([&owner, &now] {
        now += 1ms;
        owner.tick(now, 0);
        (void)owner.take_output();
    });
    // 41 ms exceeds the sweep interval of 40 ms; no plan is due.
    double sweep_us = mean_microseconds([&owner, &now] {
        now += 41ms;
        owner.tick(now, 0);
        (void)owner.take_output();
    });
    double change_us = mean_microseconds([&owner, &now] {
        now += 1ms;
        owner.state_changed();
        owner.tick(now, 0);
        (void)owner.take_output();
    });
    std::printf(
        "{\"workers\":%d,\"mixed_speeds\":%s,\"runs\":%zu,\"waiting_jobs\":%d,"
        "\"plan_us\":%.0f,\"turn_us\":%.0f,\"sweep_us\":%.0f,"
        "\"change_us\":%.0f}\n",
        workers, has_mixed_speeds ? "true" : "false", run_count, workers / 10,
        plan_us, tick_us, sweep_us, change_us);
}

/// A plan beside recurring jobs in a full pool, by their occurrences to come.
void bench_occurrences(std::uint32_t repeats, bool are_due)
{
    constexpr int workers = 48;
    constexpr int jobs = 20;
    pool_fixture pool(workers, 20);
    fill_pool(pool, workers);
    for (int i = 0; i < jobs; ++i) {
        accept_job job;
        job.spec_.id_ = job_id("r" + std::to_string(i));
        job.spec_.steps_ = {pool_fixture::make_step(94, 1, false)};
        job.spec_.repeats_ = repeats;
        job.spec_.first_due_ms_ = are_due ? 1 : 2'000'000;
        job.access_ = pool.grant_queue_access(2, "t");
        pool.state_.apply(job);
        pool.input_.accepted_at_[job.spec_.id_] = pool.input_.now_;
    }
    pool.input_.wall_ms_ = 1'000'000;
    double plan_us = mean_microseconds([&pool] { (void)pool.plan(); });
    std::printf("{\"recurring_jobs\":%d,\"occurrences\":%u,\"due\":%s,"
                "\"plan_us\":%.0f}\n",
                jobs, repeats, are_due ? "true" : "false", plan_us);
}

} // namespace

int main()
{
    for (bool has_mixed_speeds : {false, true}) {
        for (int workers : {48, 350, 1100, 3000})
            bench_pool(workers, has_mixed_speeds);
    }
    for (bool are_due : {false, true}) {
        for (std::uint32_t repeats : {6U, 1000U})
            bench_occurrences(repeats, are_due);
    }
}
