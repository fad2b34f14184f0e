// Time per event and memory of the zone scheduler at several sizes, and the
// start latency of urgent jobs in a full pool.
#include "benchmark_report.hpp"
#include "fake_pool.hpp"

#include <chrono>
#include <map>
#include <random>

using namespace dandelioncrank;
using namespace dandelioncrank::test;
using namespace dandelioncrank::bench;
using namespace std::chrono_literals;

namespace {

using wall_clock = std::chrono::steady_clock;

constexpr int workers_per_rack = 8;

configuration make_configuration(int workers)
{
    configuration config;
    zone_rule zone{zone_name("z"), "r", workers / workers_per_rack + 1,
                   workers_per_rack, 8};
    config.zones_.emplace(zone.name_, zone);
    // 140 teams at the design size of 22,000 workers over 16 zones.
    for (int i = 0; i < 140; ++i) {
        team_rule team;
        team.name_ = team_name("t" + std::to_string(i));
        team.queued_jobs_ = 100000;
        team.jobs_per_minute_ = 1000000;
        bool guaranteed = i < workers / 20;
        if (guaranteed)
            team.guarantees_.push_back({zone.name_, 1, 8, adjacency::worker});
        config.teams_.emplace(team.name_, team);
    }
    return config;
}

/// Workers that execute commands immediately, without a network.
class simulated_workers
{
  public:
    explicit simulated_workers(int workers)
    {
        scheduler_options options;
        options.zone_ = zone_name("z");
        options.wait_for_reports_ = false;
        scheduler_ = std::make_unique<zone_scheduler>(options);
        scheduler_->configure(make_configuration(workers), now_);
        for (int i = 0; i < workers; ++i) {
            worker_report report;
            report.info_ = {
                worker_name("w" + std::to_string(i)),
                rack_name("r" + std::to_string(i / workers_per_rack)), 8, 256,
                1 << 20};
            report.incarnation_ = "1";
            reports_.push_back(report);
            index_[report.info_.name_] = static_cast<std::size_t>(i);
        }
    }

    /// Handles one event and records its duration under its kind.
    void time_event(const std::string& kind, const scheduling_event& event)
    {
        auto begin = wall_clock::now();
        auto actions = scheduler_->handle(event, now_);
        std::chrono::duration<double, std::micro> elapsed =
            wall_clock::now() - begin;
        event_times_us_[kind].push_back(elapsed.count());
        for (const auto& action : actions) {
            if (const auto* item = std::get_if<command_issued>(&action))
                pending_workers_.insert(index_.at(item->worker_));
            if (const auto* item = std::get_if<job_changed>(&action))
                states_[item->record_.spec_.id_] = item->record_.state_;
        }
    }

    void report_all()
    {
        for (std::size_t i = 0; i < reports_.size(); ++i)
            time_event("report", worker_reported{reports_[i]});
    }

    /// Executes commands until none are pending.
    void run_until_idle()
    {
        while (!pending_workers_.empty()) {
            std::set<std::size_t> batch = std::exchange(pending_workers_, {});
            for (std::size_t index : batch) {
                execute_commands(index);
                time_event("change", worker_reported{reports_[index]});
            }
            now_ += 1ms;
        }
    }

    void tick()
    {
        now_ += 100ms;
        time_event("tick", scheduler_ticked{});
    }

    void submit(const job_spec& spec)
    {
        time_event("submit", job_submitted{spec});
    }

    void finish_job(const job_id& id)
    {
        for (std::size_t index = 0; index < reports_.size(); ++index) {
            for (reported_part& part : reports_[index].parts_) {
                if (part.gang_.job_ != id)
                    continue;
                part.state_ = part_state::finished;
                time_event("finish", worker_reported{reports_[index]});
                break;
            }
        }
    }

    void print(const std::string& name, int workers, double bytes)
    {
        for (const auto& [kind, times] : event_times_us_) {
            json_result(name)
                .add("workers", workers)
                .add("event", kind)
                .add("count", static_cast<double>(times.size()))
                .add("p50_us", percentile(times, 0.5))
                .add("p99_us", percentile(times, 0.99))
                .add("max_us", percentile(times, 1.0))
                .add("target_p99_us", 1000)
                .target_met(percentile(times, 0.99) < 1000)
                .print();
        }
        json_result(name + "_memory")
            .add("workers", workers)
            .add("bytes", bytes)
            .add("bytes_per_worker", bytes / workers)
            .print();
    }

    instant now_{1h};
    std::unique_ptr<zone_scheduler> scheduler_;
    std::map<std::string, std::vector<double>> event_times_us_;
    std::map<job_id, job_state> states_;

  private:
    void execute_commands(std::size_t index)
    {
        worker_report& report = reports_[index];
        for (const worker_command& command :
             scheduler_->outbox(report.info_.name_, report.incarnation_)) {
            if (command.number_ <= report.applied_command_)
                continue;
            report.epoch_ = command.epoch_;
            report.applied_command_ = command.number_;
            auto is_same_gang = [&command](const reported_part& part) {
                return part.gang_ == command.gang_;
            };
            if (command.kind_ == command_kind::hold)
                report.parts_.push_back({command.gang_, part_state::held,
                                         command.tasks_,
                                         command.accelerators_});
            if (command.kind_ == command_kind::stop)
                std::erase_if(report.parts_, is_same_gang);
            for (reported_part& part : report.parts_) {
                if (is_same_gang(part) && command.kind_ == command_kind::start)
                    part.state_ = part_state::running;
                if (is_same_gang(part) &&
                    command.kind_ == command_kind::checkpoint)
                    part.state_ = part_state::checkpointed;
            }
        }
    }

    std::vector<worker_report> reports_;
    std::map<worker_name, std::size_t> index_;
    std::set<std::size_t> pending_workers_;
};

job_spec make_job(int number, int tasks, bool checkpoints)
{
    job_spec spec;
    spec.id_ = job_id("j" + std::to_string(number));
    spec.team_ = team_name("t" + std::to_string(number % 140));
    spec.tasks_ = tasks;
    spec.accelerators_ = 1;
    spec.checkpoints_ = checkpoints;
    spec.declared_run_time_ = 1h;
    return spec;
}

// Fills the pool with gangs to the design density of 94,000 tasks on 22,000
// workers and measures events in the steady state.
void bench_event_cost(int workers)
{
    double before = allocated_bytes();
    simulated_workers pool(workers);
    pool.report_all();
    pool.tick();
    std::mt19937_64 random(1);
    int tasks = 0;
    int number = 0;
    int target_tasks = static_cast<int>(workers * 94000.0 / 22000.0);
    while (tasks < target_tasks) {
        int width = std::vector<int>{1, 2, 4, 8, 16, 64}[random() % 6];
        pool.submit(make_job(++number, width, true));
        tasks += width;
        if (number % 20 == 0)
            pool.tick();
        pool.run_until_idle();
    }
    for (int i = 0; i < 20; ++i) {
        pool.tick();
        pool.run_until_idle();
    }
    double bytes = allocated_bytes() - before;
    // Excludes the cost of filling the pool.
    pool.event_times_us_.clear();
    pool.report_all();
    for (int i = 1; i <= std::min(200, number); ++i) {
        pool.finish_job(job_id("j" + std::to_string(i)));
        pool.run_until_idle();
        pool.submit(make_job(number + i, 8, true));
        pool.run_until_idle();
        pool.tick();
        pool.run_until_idle();
    }
    pool.print("cost", workers, bytes);
}

// Start latency of urgent jobs of guaranteed teams while borrowing jobs occupy
// the whole pool.
void bench_urgent_start(int workers)
{
    pool_options options;
    options.workers_per_rack_ = workers_per_rack;
    options.racks_ = workers / workers_per_rack;
    options.check_every_event_ = false;
    options.heartbeat_ = 5s;
    options.lease_ = 20s;
    scheduler_options scheduling;
    scheduling.zone_ = zone_name("z");
    scheduling.wait_for_reports_ = false;
    fake_pool pool(options, scheduling, make_configuration(workers));
    instant begin = pool.now() + 10s;
    for (int i = 0; i < workers; ++i) {
        // One team borrows all capacity above its guarantee, if it has one.
        job_spec spec = make_job(i, 8, i % 2 == 0);
        spec.team_ = team_name("t139");
        pool.submit(spec, 100h, begin);
    }
    instant urgent_begin = begin + 120s;
    int urgent = std::min(100, workers / 20);
    for (int i = 0; i < urgent; ++i) {
        job_spec spec = make_job(1000000 + i, 8, false);
        spec.team_ = team_name("t" + std::to_string(i));
        spec.urgent_ = true;
        spec.within_ = adjacency::worker;
        pool.submit(spec, 1h, urgent_begin + i * 20ms);
    }
    pool.run_until(urgent_begin - 1s);
    int free = pool.scheduler().summary().free_;
    pool.run_until(urgent_begin + 60s);
    std::vector<double> waits;
    int not_started = 0;
    for (int i = 0; i < urgent; ++i) {
        const auto& observed =
            pool.observed_jobs().at(job_id("j" + std::to_string(1000000 + i)));
        if (!observed.started_) {
            ++not_started;
            continue;
        }
        std::chrono::duration<double> wait =
            *observed.started_ - observed.arrived_;
        waits.push_back(wait.count());
    }
    json_result("urgent_start")
        .add("workers", workers)
        .add("free_before", free)
        .add("urgent_jobs", urgent)
        .add("not_started", not_started)
        .add("p50_s", percentile(waits, 0.5))
        .add("p99_s", percentile(waits, 0.99))
        .add("target_s", 3.7)
        .target_met(not_started == 0 && percentile(waits, 0.99) <= 3.7)
        .print();
}

} // namespace

int main(int argc, char** argv)
{
    bool quick = argc > 1 && std::string(argv[1]) == "--quick";
    for (int workers : {50, 1400, 22000}) {
        if (quick && workers > 1400)
            break;
        bench_event_cost(workers);
    }
    bench_urgent_start(56);
    bench_urgent_start(1400);
    if (!quick)
        bench_urgent_start(22000);
    return 0;
}
